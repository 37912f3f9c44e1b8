//! Root of the relay tree, at the primary. Each new primary creates a new root.

use super::distributor::Distributor;
use super::membership::RelayMembership;
use super::message::{ConfigurationDelta, OutboundMessage, RelayMessage, RelayPeer, RootHeartbeat};
use super::tree::RelayTree;
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// State machine of the root.
#[derive(Clone, Debug)]
pub struct RelayRoot {
    heartbeat: RootHeartbeat,
    membership_version: Option<u64>,
    distributor: Distributor,
}

impl RelayRoot {
    /// Creates the root of a primary that was elected in `epoch`. Its heartbeats begin at once.
    pub fn new(epoch: u64, now: Millis) -> RelayRoot {
        RelayRoot {
            // Greater than the initial value of members that have received no heartbeat, also in epoch 0.
            heartbeat: RootHeartbeat { epoch, count: 1 },
            membership_version: None,
            distributor: Distributor::new(now),
        }
    }

    /// Returns the version that was published last; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.distributor.version()
    }

    /// Returns the peers to which the root sends heartbeats and updates.
    pub fn receivers(&self) -> impl Iterator<Item = &RelayPeer> {
        self.distributor.receivers()
    }

    /// Returns when [`RelayRoot::tick`] has to be called next.
    pub fn next_tick(&self) -> Millis {
        self.distributor.next_heartbeat_at()
    }

    /// Applies a membership; one that is not newer than the last one is ignored.
    pub fn set_membership(&mut self, membership: &RelayMembership) {
        if self.membership_version >= Some(membership.version) {
            return;
        }
        let tree = RelayTree::new(membership);
        self.distributor.set_children(tree.children_of_root());
        self.membership_version = Some(membership.version);
    }

    /// Publishes a committed configuration; one that is not newer than the last one is ignored.
    pub fn publish(&mut self, version: u64, text: Arc<RawValue>) -> Vec<OutboundMessage> {
        let former_version = self.version();
        if version > former_version {
            self.distributor.set_snapshot(version, text);
        }
        self.forward(former_version)
    }

    /// Publishes a committed update, with the text that it produced.
    pub fn publish_update(
        &mut self,
        update: ConfigurationDelta,
        text: Arc<RawValue>,
    ) -> Vec<OutboundMessage> {
        let former_version = self.version();
        if update.base_version != former_version {
            return self.publish(update.version, text);
        }
        if update.version > former_version {
            self.distributor.append_update(update, text);
        }
        self.forward(former_version)
    }

    /// Returns the heartbeats that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<OutboundMessage> {
        if !self.distributor.take_due_heartbeat(now) {
            return Vec::new();
        }
        self.heartbeat.count += 1;
        self.distributor.heartbeats(self.heartbeat)
    }

    /// Handles a message. Only requests are sent up the tree; other messages are ignored.
    pub fn on_message(
        &mut self,
        now: Millis,
        sender: &RelayPeer,
        message: &RelayMessage,
    ) -> Vec<OutboundMessage> {
        match message {
            RelayMessage::Request { known_version } => {
                self.distributor
                    .on_request(now, sender, *known_version, self.heartbeat)
            }
            _ => Vec::new(),
        }
    }

    fn forward(&self, former_version: u64) -> Vec<OutboundMessage> {
        self.distributor
            .forward(former_version, self.heartbeat, None)
    }
}
