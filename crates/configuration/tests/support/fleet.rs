//! Simulation of relay tree members and their roots in virtual time: links with delay, partitions, crashes,
//! freezes, delayed memberships.

use super::{route, service, TestRng};
use serde_json::json;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_configuration::apply_update;
use streamusher_configuration::relay::{
    ConfigurationDelta, RelayMembership, RelayMessage, RelayNode, RelayPeer, RelayRoot, RelayTree,
};
use streamusher_protocol::Millis;

/// One-way delay of a link, in milliseconds.
pub(crate) const DELAY: Millis = 10;

/// Value of `config_apply_ms` in the operators' settings.
pub(crate) const APPLY_BOUND: u64 = 2_000;

/// Creates a fleet in which every member has version 1 and no messages are in flight except heartbeats.
pub(crate) fn settled_fleet(size: usize, seed: u64, routes: usize) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.run_until(1_000);
    fleet.replace(1, routes);
    fleet.run_until(3_000);
    assert_eq!(fleet.lagging_members(1), [] as [Arc<str>; 0]);
    fleet.take_traffic();
    fleet
}

/// A scheduled event.
pub(super) enum Event {
    Deliver {
        to: RelayPeer,
        from: RelayPeer,
        from_root: usize,
        message: Arc<RelayMessage>,
    },
    Tick(Arc<str>),
    RootTick(usize),
    Membership(Arc<str>, Arc<RelayMembership>),
}

/// One process of the data plane.
pub(crate) struct Member {
    pub(crate) node: RelayNode,
    pub(crate) alive: bool,
    /// Time until which the member processes nothing; messages that arrive in the meantime are queued.
    pub(crate) frozen_until: Millis,
    /// Versions that have been in force since the member's start, each with the time at which it was applied.
    pub(crate) applied: Vec<(u64, Millis)>,
    pub(super) next_tick_at: Millis,
}

/// Number and bytes of messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// Messages sent since the totals were last read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrafficTotals {
    /// Regular heartbeats and those that answer a request.
    pub(crate) heartbeats: Traffic,
    pub(crate) requests: Traffic,
    /// Snapshots, deltas, and announcements of versions that are too long to be pushed.
    pub(crate) updates: Traffic,
}

/// Simulated relay tree.
pub(crate) struct Fleet {
    pub(crate) now: Millis,
    pub(crate) members: BTreeMap<Arc<str>, Member>,
    pub(crate) roots: Vec<RelayRoot>,
    /// Index of the root of the current primary.
    pub(crate) acting_root: usize,
    pub(crate) membership: Arc<RelayMembership>,
    /// Members that are partitioned from all peers.
    pub(crate) partitioned: BTreeSet<Arc<str>>,
    /// Roots that are partitioned from all members.
    pub(crate) partitioned_roots: BTreeSet<usize>,
    /// Pairs of peers without a link, in both directions.
    pub(crate) partitioned_pairs: BTreeSet<(RelayPeer, RelayPeer)>,
    /// Chance that a message is lost, in thousandths.
    pub(crate) loss_permille: u64,
    /// Chance that a message is delivered twice, in thousandths.
    pub(crate) duplication_permille: u64,
    /// Upper bound of the random delay added to `DELAY` for each message, in milliseconds.
    pub(crate) max_jitter: Millis,
    pub(crate) traffic: TrafficTotals,
    /// The update that produced each version, if one did.
    pub(crate) deltas: BTreeMap<u64, ConfigurationDelta>,
    /// JSON text of each version.
    pub(crate) texts: BTreeMap<u64, Arc<RawValue>>,
    /// Upper bound of the delay with which a member receives a new membership, in milliseconds.
    pub(crate) membership_delay: Millis,
    pub(crate) rng: TestRng,
    pub(super) events: BTreeMap<(Millis, u64), Event>,
    pub(super) event_count: u64,
}

impl Fleet {
    /// Creates a fleet whose members have all been started and receive the same membership at time 0, without
    /// a configuration.
    pub(crate) fn new(size: usize, seed: u64) -> Fleet {
        let addresses: Vec<Arc<str>> = (0..size)
            .map(|index| format!("10.{}.{}.{}:7381", seed % 200, index / 250, index % 250).into())
            .collect();
        let mut fleet = Fleet {
            now: 0,
            members: BTreeMap::new(),
            roots: vec![RelayRoot::new(0, 0)],
            acting_root: 0,
            membership: Arc::new(RelayMembership {
                version: 1,
                members: addresses.clone(),
            }),
            partitioned: BTreeSet::new(),
            partitioned_roots: BTreeSet::new(),
            partitioned_pairs: BTreeSet::new(),
            loss_permille: 0,
            duplication_permille: 0,
            max_jitter: 0,
            traffic: TrafficTotals::default(),
            deltas: BTreeMap::new(),
            texts: BTreeMap::new(),
            membership_delay: 0,
            rng: TestRng(seed),
            events: BTreeMap::new(),
            event_count: 0,
        };
        fleet.roots[0].set_membership(&fleet.membership);
        fleet.schedule_event(0, Event::RootTick(0));
        for address in addresses {
            fleet.start(&address);
        }
        fleet
    }

    /// Starts a member, or restarts it without its state.
    pub(crate) fn start(&mut self, address: &Arc<str>) {
        let node = RelayNode::new(address.clone(), self.now);
        let member = Member {
            node,
            alive: true,
            frozen_until: 0,
            applied: Vec::new(),
            next_tick_at: Millis::MAX,
        };
        self.members.insert(address.clone(), member);
        self.schedule_tick(address);
        self.schedule_event(
            self.now,
            Event::Membership(address.clone(), self.membership.clone()),
        );
    }

    /// Changes the membership: for the root at once, for each member after a random delay.
    pub(crate) fn set_membership(&mut self, members: Vec<Arc<str>>) {
        self.membership = Arc::new(RelayMembership {
            version: self.membership.version + 1,
            members,
        });
        let acting_root = self.acting_root;
        self.roots[acting_root].set_membership(&self.membership);
        let addresses: Vec<Arc<str>> = self.members.keys().cloned().collect();
        for address in addresses {
            let delay = self.rng.below(self.membership_delay + 1);
            self.schedule_event(
                self.now + delay,
                Event::Membership(address, self.membership.clone()),
            );
        }
    }

    /// Starts a root for another primary, which takes over with the newest configuration.
    pub(crate) fn fail_over(&mut self, epoch: u64) {
        let mut root = RelayRoot::new(epoch, self.now);
        root.set_membership(&self.membership);
        let newest = self
            .texts
            .last_key_value()
            .map(|(version, text)| (*version, text.clone()));
        self.roots.push(root);
        self.acting_root = self.roots.len() - 1;
        self.schedule_event(self.now, Event::RootTick(self.acting_root));
        if let Some((version, text)) = newest {
            let messages = self.roots[self.acting_root].publish(version, text);
            self.send(&RelayPeer::Primary, self.acting_root, messages);
        }
    }

    /// Publishes a whole configuration with this number of routes.
    pub(crate) fn replace(&mut self, version: u64, routes: usize) {
        let routes: Vec<_> = (0..routes)
            .map(|index| {
                route(
                    &format!("r-{index}"),
                    "host.example",
                    &format!("/p{index}/"),
                    "cores",
                )
            })
            .collect();
        let whole = json!({"version": version, "routes": routes, "services": [service("cores")]});
        let text: Arc<RawValue> = RawValue::from_string(whole.to_string())
            .expect("JSON")
            .into();
        self.texts.insert(version, text.clone());
        let messages = self.roots[self.acting_root].publish(version, text);
        self.send(&RelayPeer::Primary, self.acting_root, messages);
    }

    /// Publishes an update of the newest version. Consecutive updates change different routes, so that a
    /// skipped update is detected.
    pub(crate) fn update(&mut self, version: u64) {
        let (base_version, text) = self.texts.last_key_value().expect("a configuration");
        let prefix = format!("/changed{version}/");
        let name = format!("r-{}", version % 11);
        let update = json!({"version": version, "upsert": {"routes": [route(&name, "host.example", &prefix, "cores")]}});
        let update: Arc<RawValue> = RawValue::from_string(update.to_string())
            .expect("JSON")
            .into();
        let changed = apply_update(text.get(), update.get()).expect("an applicable update");
        let delta = ConfigurationDelta {
            base_version: *base_version,
            version,
            update,
        };
        self.deltas.insert(version, delta.clone());
        let text: Arc<RawValue> = RawValue::from_string(changed).expect("JSON").into();
        self.texts.insert(version, text.clone());
        let messages = self.roots[self.acting_root].publish_update(delta, text);
        self.send(&RelayPeer::Primary, self.acting_root, messages);
    }

    /// Processes all events up to this time.
    pub(crate) fn run_until(&mut self, until: Millis) {
        while let Some(((due_at, sequence), _)) = self.events.first_key_value() {
            let key = (*due_at, *sequence);
            if key.0 > until {
                break;
            }
            self.now = key.0;
            if let Some(event) = self.events.remove(&key) {
                self.handle_event(event);
            }
        }
        self.now = until;
    }

    /// Processes all events of the next `time` milliseconds.
    pub(crate) fn run_for(&mut self, time: Millis) {
        self.run_until(self.now + time);
    }

    /// Delivers a message that its sender did not send.
    pub(crate) fn inject(&mut self, to: &Arc<str>, from: RelayPeer, message: RelayMessage) {
        let to = RelayPeer::Member(to.clone());
        self.schedule_event(
            self.now,
            Event::Deliver {
                to,
                from,
                from_root: self.acting_root,
                message: Arc::new(message),
            },
        );
    }

    /// Announces a version to a member, as the primary's lease responses do.
    pub(crate) fn announce_version(&mut self, address: &Arc<str>, version: u64) {
        let now = self.now;
        let actions = self
            .members
            .get_mut(address)
            .expect("a member")
            .node
            .on_version_announced(now, version);
        self.apply_actions(address, actions);
    }

    /// Returns the members that have children according to the current membership.
    pub(crate) fn inner_members(&self) -> Vec<Arc<str>> {
        let tree = RelayTree::new(&self.membership);
        let inner = self
            .membership
            .members
            .iter()
            .filter(|member| !tree.children(member).is_empty());
        inner.cloned().collect()
    }

    /// Chooses `count` of the candidates at random.
    pub(crate) fn choose_random(
        &mut self,
        mut candidates: Vec<Arc<str>>,
        count: usize,
    ) -> Vec<Arc<str>> {
        let mut chosen = Vec::new();
        while chosen.len() < count && !candidates.is_empty() {
            let index = self.rng.index(candidates.len());
            chosen.push(candidates.swap_remove(index));
        }
        chosen
    }

    /// Crashes a member: it processes nothing from now on.
    pub(crate) fn kill(&mut self, address: &Arc<str>) {
        self.members.get_mut(address).expect("a member").alive = false;
    }

    /// Freezes a member: it processes nothing until this time.
    pub(crate) fn freeze(&mut self, address: &Arc<str>, until: Millis) {
        self.members
            .get_mut(address)
            .expect("a member")
            .frozen_until = until;
    }

    /// Returns the live members that do not have this version.
    pub(crate) fn lagging_members(&self, version: u64) -> Vec<Arc<str>> {
        let lagging = self
            .members
            .iter()
            .filter(|(_, member)| member.alive && member.node.version() != version);
        lagging.map(|(address, _)| address.clone()).collect()
    }

    /// Returns the time at which the last live member applied this version or a newer one.
    pub(crate) fn last_applied(&self, version: u64) -> Millis {
        let live = self.members.values().filter(|member| member.alive);
        let times = live.map(|member| {
            member
                .applied
                .iter()
                .find(|(applied, _)| *applied >= version)
        });
        times
            .map(|applied| applied.expect("every live member has it").1)
            .max()
            .unwrap_or(0)
    }

    /// Returns the totals of the messages sent since the last call.
    pub(crate) fn take_traffic(&mut self) -> TrafficTotals {
        std::mem::take(&mut self.traffic)
    }
}
