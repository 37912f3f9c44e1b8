//! Sending side that the root and the members share: the newest configuration and the peers to which it is
//! sent.

use super::message::{ConfigurationDelta, OutboundMessage, RelayMessage, RelayPeer, RootHeartbeat};
use super::receivers::Receivers;
use super::update_log::UpdateLog;
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// The newest configuration, and its receivers.
#[derive(Clone, Debug)]
pub(super) struct Distributor {
    log: UpdateLog,
    receivers: Receivers,
}

impl Distributor {
    /// Creates a distributor without a configuration or receivers; heartbeats begin at `first_heartbeat_at`.
    pub(super) fn new(first_heartbeat_at: Millis) -> Distributor {
        Distributor {
            log: UpdateLog::default(),
            receivers: Receivers::new(first_heartbeat_at),
        }
    }

    /// Returns the newest version; 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.log.version()
    }

    /// Returns the JSON text of the newest configuration.
    pub(super) fn text(&self) -> Option<&Arc<RawValue>> {
        self.log.text()
    }

    /// Replaces the whole configuration.
    pub(super) fn set_snapshot(&mut self, version: u64, text: Arc<RawValue>) {
        self.log.reset(version, text);
    }

    /// Appends an update of the newest configuration, and the text that it produces.
    pub(super) fn append_update(&mut self, update: ConfigurationDelta, text: Arc<RawValue>) {
        self.log.append(update, text);
    }

    /// Sets the children according to a new membership.
    pub(super) fn set_children(&mut self, children: Vec<Arc<str>>) {
        self.receivers.set_children(children);
    }

    /// Returns the children and temporary children.
    pub(super) fn receivers(&self) -> impl Iterator<Item = &RelayPeer> {
        self.receivers.iter()
    }

    /// Returns when heartbeats are due; `Millis::MAX` while there is no receiver.
    pub(super) fn next_heartbeat_at(&self) -> Millis {
        self.receivers.next_heartbeat_at()
    }

    /// Returns whether heartbeats are due. If so, the next ones are due one interval later.
    pub(super) fn take_due_heartbeat(&mut self, now: Millis) -> bool {
        self.receivers.take_due_heartbeat(now)
    }

    /// Returns the regular heartbeats to all receivers.
    pub(super) fn heartbeats(&self, root_heartbeat: RootHeartbeat) -> Vec<OutboundMessage> {
        self.receivers
            .heartbeats(self.version(), root_heartbeat, false)
    }

    /// Answers a request with a heartbeat and, if there is a newer version than `known_version`, the message
    /// that leads to it.
    pub(super) fn on_request(
        &mut self,
        now: Millis,
        requester: &RelayPeer,
        known_version: u64,
        root_heartbeat: RootHeartbeat,
    ) -> Vec<OutboundMessage> {
        let heartbeat = RelayMessage::Heartbeat {
            version: self.version(),
            root_heartbeat,
            is_temporary: self.receivers.on_request(now, requester),
            request_required: false,
        };
        let newer = self.log.message_since(known_version);
        std::iter::once(heartbeat)
            .chain(newer)
            .map(|message| OutboundMessage::to_peer(requester.clone(), message))
            .collect()
    }

    /// Sends the message that leads from `former_version` to the newest version to all receivers but
    /// `except`, or announces the version to all receivers if the message is too long. Sends nothing if the
    /// version has not increased.
    pub(super) fn forward(
        &self,
        former_version: u64,
        root_heartbeat: RootHeartbeat,
        except: Option<&RelayPeer>,
    ) -> Vec<OutboundMessage> {
        let version = self.version();
        if version <= former_version {
            return Vec::new();
        }
        match self.log.pushed_message_since(former_version) {
            Some(message) => self
                .receivers
                .broadcast(message, except)
                .into_iter()
                .collect(),
            None => self.receivers.heartbeats(version, root_heartbeat, true),
        }
    }
}
