//! Peers to which a process sends heartbeats and updates: its children according to the membership, and
//! temporary children, which have sent it a request.

use super::message::{OutboundMessage, RelayMessage, RelayPeer, RootHeartbeat};
use super::timing::{HEARTBEAT_INTERVAL_MS, TEMPORARY_CHILD_TIMEOUT_MS};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Children and temporary children of a process.
#[derive(Clone, Debug)]
pub(super) struct Receivers {
    children: Vec<RelayPeer>,
    /// Expiry time of each temporary child. A peer is never both a child and a temporary child.
    temporary_children: BTreeMap<RelayPeer, Millis>,
    next_heartbeat_at: Millis,
}

impl Receivers {
    /// Creates a set without receivers; heartbeats begin at `first_heartbeat_at`.
    pub(super) fn new(first_heartbeat_at: Millis) -> Receivers {
        Receivers {
            children: Vec::new(),
            temporary_children: BTreeMap::new(),
            next_heartbeat_at: first_heartbeat_at,
        }
    }

    /// Sets the children according to a new membership. Former children send a request if no other peer sends
    /// them heartbeats.
    pub(super) fn set_children(&mut self, children: Vec<Arc<str>>) {
        self.children = children.into_iter().map(RelayPeer::Member).collect();
        self.temporary_children
            .retain(|peer, _| !self.children.contains(peer));
    }

    /// Returns the children and temporary children.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RelayPeer> {
        self.children.iter().chain(self.temporary_children.keys())
    }

    /// Makes the requester a temporary child, unless it is a child; returns whether it is a temporary child.
    pub(super) fn on_request(&mut self, now: Millis, peer: &RelayPeer) -> bool {
        if self.children.contains(peer) {
            return false;
        }
        self.temporary_children
            .insert(peer.clone(), now + TEMPORARY_CHILD_TIMEOUT_MS);
        true
    }

    /// Returns whether heartbeats are due. If so, the next ones are due one interval later, and temporary
    /// children that have expired are removed.
    pub(super) fn take_due_heartbeat(&mut self, now: Millis) -> bool {
        if now < self.next_heartbeat_at() {
            return false;
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
        self.temporary_children
            .retain(|_, expires_at| now < *expires_at);
        true
    }

    /// Returns when heartbeats are due; `Millis::MAX` while there is no receiver.
    pub(super) fn next_heartbeat_at(&self) -> Millis {
        if self.children.is_empty() && self.temporary_children.is_empty() {
            return Millis::MAX;
        }
        self.next_heartbeat_at
    }

    /// Creates heartbeats to all receivers. `request_required` means that this version is sent on request
    /// only.
    pub(super) fn heartbeats(
        &self,
        version: u64,
        root_heartbeat: RootHeartbeat,
        request_required: bool,
    ) -> Vec<OutboundMessage> {
        let heartbeat = |receivers: Vec<RelayPeer>, is_temporary| OutboundMessage {
            receivers,
            message: RelayMessage::Heartbeat {
                version,
                root_heartbeat,
                is_temporary,
                request_required,
            },
        };
        let temporary_children = self.temporary_children.keys().cloned().collect();
        let mut heartbeats = vec![
            heartbeat(self.children.clone(), false),
            heartbeat(temporary_children, true),
        ];
        heartbeats.retain(|heartbeat| !heartbeat.receivers.is_empty());
        heartbeats
    }

    /// Creates a message to all receivers except one; `None` if there are no others.
    pub(super) fn broadcast(
        &self,
        message: RelayMessage,
        except: Option<&RelayPeer>,
    ) -> Option<OutboundMessage> {
        let receivers: Vec<RelayPeer> = self
            .iter()
            .filter(|peer| Some(*peer) != except)
            .cloned()
            .collect();
        (!receivers.is_empty()).then_some(OutboundMessage { receivers, message })
    }
}
