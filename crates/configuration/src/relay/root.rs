//! The root of the relay tree, at the primary. A new primary makes a new one.

use super::message::{ConfigurationDelta, OutboundMessage, RelayMessage, RelayPeer, RootHeartbeat};
use super::receivers::Downstream;
use super::tree::{RelayMembership, Tree};
use super::update_log::Archive;
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// The state machine of the primary's end.
#[derive(Clone, Debug)]
pub struct RelayRoot {
    pulse: RootHeartbeat,
    roster: Option<u64>,
    downstream: Downstream,
    archive: Archive,
}

impl RelayRoot {
    /// The root of a primary that has just begun. It begins its heartbeats at once.
    pub fn new(epoch: u64, now: Millis) -> RelayRoot {
        RelayRoot {
            // Above the pulse of those that have heard none, also in epoch 0.
            pulse: RootHeartbeat { epoch, count: 1 },
            roster: None,
            downstream: Downstream::new(now),
            archive: Archive::default(),
        }
    }

    /// The version that was last published; 0 for none.
    pub fn version(&self) -> u64 {
        self.archive.version()
    }

    /// Those that it tells.
    pub fn receivers(&self) -> impl Iterator<Item = &RelayPeer> {
        self.downstream.receivers()
    }

    /// When [`RelayRoot::tick`] is to be called next.
    pub fn next_tick(&self) -> Millis {
        self.downstream.next_heartbeat()
    }

    /// Takes a roster; one that is not newer than the last one is passed over.
    pub fn set_roster(&mut self, roster: &RelayMembership) {
        if self.roster.is_some_and(|version| version >= roster.version) {
            return;
        }
        self.downstream
            .set_children(Tree::new(roster).children_of_root());
        self.roster = Some(roster.version);
    }

    /// Publishes a configuration that is committed; one that is not newer is passed over.
    pub fn publish(&mut self, version: u64, text: Arc<RawValue>) -> Vec<OutboundMessage> {
        let had = self.version();
        if version > had {
            self.archive.set_whole(version, text);
        }
        self.tell(had)
    }

    /// Publishes the committed result of an update.
    pub fn publish_change(
        &mut self,
        change: ConfigurationDelta,
        text: Arc<RawValue>,
    ) -> Vec<OutboundMessage> {
        let had = self.version();
        if change.base != had {
            return self.publish(change.version, text);
        }
        if change.version > had {
            self.archive.set_changed(change, text);
        }
        self.tell(had)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<OutboundMessage> {
        if !self.downstream.is_due(now) {
            return Vec::new();
        }
        self.pulse.count += 1;
        self.downstream
            .heartbeats(self.version(), self.pulse, false)
    }

    /// Takes a message; only questions come up the tree.
    pub fn receive(
        &mut self,
        now: Millis,
        from: &RelayPeer,
        message: RelayMessage,
    ) -> Vec<OutboundMessage> {
        let RelayMessage::Ask { have } = message else {
            return Vec::new();
        };
        let adopted = self.downstream.asked(now, from);
        let (version, pulse) = (self.version(), self.pulse);
        let heartbeat = RelayMessage::Heartbeat {
            version,
            pulse,
            adopted,
            ask: false,
        };
        let messages = std::iter::once(heartbeat).chain(self.archive.since(have));
        messages
            .map(|message| OutboundMessage::one(from.clone(), message))
            .collect()
    }

    fn tell(&mut self, had: u64) -> Vec<OutboundMessage> {
        let version = self.version();
        if version <= had {
            return Vec::new();
        }
        match self.archive.pushed_since(had) {
            Some(message) => self.downstream.tell(message, None).into_iter().collect(),
            None => self.downstream.heartbeats(version, self.pulse, true),
        }
    }
}
