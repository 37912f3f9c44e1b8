//! Those that a process tells: its children by the roster, and those that have asked it.

use super::message::{OutboundMessage, RelayMessage, RelayPeer, RootHeartbeat};
use super::{ADOPTION, HEARTBEAT_INTERVAL};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Receivers of heartbeats and updates.
#[derive(Clone, Debug)]
pub struct Downstream {
    children: Vec<RelayPeer>,
    /// Until when each of the others is told.
    adopted: BTreeMap<RelayPeer, Millis>,
    next_heartbeat: Millis,
}

impl Downstream {
    /// One that begins its heartbeats at `first`.
    pub fn new(first: Millis) -> Downstream {
        Downstream {
            children: Vec::new(),
            adopted: BTreeMap::new(),
            next_heartbeat: first,
        }
    }

    /// Takes the children of a new roster; former ones ask if nobody else tells them.
    pub fn set_children(&mut self, children: Vec<Arc<str>>) {
        self.children = children.into_iter().map(RelayPeer::Member).collect();
        self.adopted.retain(|peer, _| !self.children.contains(peer));
    }

    /// All that are told now: children, and those that have asked.
    pub fn receivers(&self) -> impl Iterator<Item = &RelayPeer> {
        self.children.iter().chain(self.adopted.keys())
    }

    /// Takes note that this one asked; returns whether it is adopted rather than a child.
    pub fn asked(&mut self, now: Millis, peer: &RelayPeer) -> bool {
        if self.children.contains(peer) {
            return false;
        }
        self.adopted.insert(peer.clone(), now + ADOPTION);
        true
    }

    /// Whether heartbeats are due; the next ones are due an interval later.
    pub fn is_due(&mut self, now: Millis) -> bool {
        if now < self.next_heartbeat() {
            return false;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.adopted.retain(|_, until| now < *until);
        true
    }

    /// When heartbeats are due; never while there is nobody to tell.
    pub fn next_heartbeat(&self) -> Millis {
        if self.children.is_empty() && self.adopted.is_empty() {
            return Millis::MAX;
        }
        self.next_heartbeat
    }

    /// Heartbeats to all.
    pub fn heartbeats(
        &self,
        version: u64,
        pulse: RootHeartbeat,
        ask: bool,
    ) -> Vec<OutboundMessage> {
        let children = self.children.clone();
        let others = self.adopted.keys().cloned().collect();
        let groups = [(children, false), (others, true)];
        let filled = groups
            .into_iter()
            .filter(|(to, _): &(Vec<RelayPeer>, bool)| !to.is_empty());
        filled
            .map(|(to, adopted)| OutboundMessage {
                to,
                message: RelayMessage::Heartbeat {
                    version,
                    pulse,
                    adopted,
                    ask,
                },
            })
            .collect()
    }

    /// A message to all but one.
    pub fn tell(
        &self,
        message: RelayMessage,
        except: Option<&RelayPeer>,
    ) -> Option<OutboundMessage> {
        let to: Vec<RelayPeer> = self
            .receivers()
            .filter(|peer| Some(*peer) != except)
            .cloned()
            .collect();
        (!to.is_empty()).then_some(OutboundMessage { to, message })
    }
}
