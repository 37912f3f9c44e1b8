//! Event handling and message delivery of a simulated fleet.

use super::fleet::{Event, Fleet, DELAY};
use std::sync::Arc;
use streamusher_configuration::relay::{OutboundMessage, RelayActions, RelayMessage, RelayPeer};
use streamusher_protocol::Millis;

impl Fleet {
    pub(super) fn schedule_event(&mut self, due_at: Millis, event: Event) {
        self.event_count += 1;
        self.events.insert((due_at, self.event_count), event);
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        let owner = match &event {
            Event::Deliver {
                to: RelayPeer::Member(address),
                ..
            }
            | Event::Tick(address)
            | Event::Membership(address, _) => Some(address.clone()),
            _ => None,
        };
        let Some(address) = owner else {
            return self.handle_root_event(event);
        };
        let Some(member) = self.members.get_mut(&address).filter(|member| member.alive) else {
            return;
        };
        if member.frozen_until > self.now {
            let until = member.frozen_until;
            return self.schedule_event(until, event);
        }
        let now = self.now;
        let actions = match event {
            Event::Deliver { from, message, .. } => {
                member.node.on_message(now, &from, (*message).clone())
            }
            Event::Membership(_, membership) => member.node.set_membership(now, &membership),
            Event::Tick(_) => {
                member.next_tick_at = Millis::MAX;
                member.node.tick(now)
            }
            Event::RootTick(_) => return,
        };
        self.apply_actions(&address, actions);
    }

    fn handle_root_event(&mut self, event: Event) {
        match event {
            Event::RootTick(index) => {
                let now = self.now;
                let messages = self.roots[index].tick(now);
                self.send(&RelayPeer::Primary, index, messages);
                let next = self.roots[index].next_tick().min(now + 100).max(now + 1);
                self.schedule_event(next, Event::RootTick(index));
            }
            Event::Deliver {
                from,
                from_root,
                message,
                ..
            } => {
                let messages = self.roots[from_root].on_message(self.now, &from, &message);
                self.send(&RelayPeer::Primary, from_root, messages);
            }
            _ => {}
        }
    }

    pub(super) fn apply_actions(&mut self, address: &Arc<str>, actions: RelayActions) {
        let member = self.members.get_mut(address).expect("a member");
        if let Some(configuration) = actions.configuration {
            let version = configuration.version;
            let last = member.applied.last().map_or(0, |(version, _)| *version);
            assert!(version > last, "{address} reverts from {last} to {version}");
            let text = member.node.text().expect("a configuration").get();
            assert_eq!(
                text,
                self.texts[&version].get(),
                "{address} has another text for version {version}"
            );
            member.applied.push((version, self.now));
        }
        self.send(
            &RelayPeer::Member(address.clone()),
            self.acting_root,
            actions.messages,
        );
        self.schedule_tick(address);
    }

    pub(super) fn schedule_tick(&mut self, address: &Arc<str>) {
        let member = self.members.get_mut(address).expect("a member");
        let next = member.node.next_tick().max(self.now);
        if next < member.next_tick_at {
            member.next_tick_at = next;
            self.schedule_event(next, Event::Tick(address.clone()));
        }
    }

    pub(super) fn send(
        &mut self,
        from: &RelayPeer,
        root_index: usize,
        messages: Vec<OutboundMessage>,
    ) {
        for OutboundMessage { receivers, message } in messages {
            let bytes = serde_json::to_string(&message).expect("JSON").len() as u64;
            let message = Arc::new(message);
            for receiver in receivers {
                self.record_traffic(&message, bytes);
                self.transmit(from, &receiver, root_index, &message);
            }
        }
    }

    fn record_traffic(&mut self, message: &RelayMessage, bytes: u64) {
        let traffic = match message {
            RelayMessage::Heartbeat {
                request_required: false,
                ..
            } => &mut self.traffic.heartbeats,
            RelayMessage::Request { .. } => &mut self.traffic.requests,
            _ => &mut self.traffic.updates,
        };
        traffic.messages += 1;
        traffic.bytes += bytes;
    }

    fn transmit(
        &mut self,
        from: &RelayPeer,
        to: &RelayPeer,
        root_index: usize,
        message: &Arc<RelayMessage>,
    ) {
        if !self.is_linked(from, to, root_index) || self.rng.below(1_000) < self.loss_permille {
            return;
        }
        let copies = if self.rng.below(1_000) < self.duplication_permille {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let arrives_at = self.now + DELAY + self.rng.below(self.max_jitter + 1);
            let (to, from, message) = (to.clone(), from.clone(), message.clone());
            self.schedule_event(
                arrives_at,
                Event::Deliver {
                    to,
                    from,
                    from_root: root_index,
                    message,
                },
            );
        }
    }

    fn is_linked(&self, from: &RelayPeer, to: &RelayPeer, root_index: usize) -> bool {
        let is_partitioned = |peer: &RelayPeer| match peer {
            RelayPeer::Primary => self.partitioned_roots.contains(&root_index),
            RelayPeer::Member(address) => self.partitioned.contains(address),
        };
        let pair = |one: &RelayPeer, other: &RelayPeer| {
            self.partitioned_pairs
                .contains(&(one.clone(), other.clone()))
        };
        !is_partitioned(from) && !is_partitioned(to) && !pair(from, to) && !pair(to, from)
    }
}
