//! The sending side that the root and the members have in common: what they have, and to whom they send it.

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
    /// One without a configuration and receivers; heartbeats begin at `first_heartbeat_at`.
    pub(super) fn new(first_heartbeat_at: Millis) -> Distributor {
        Distributor {
            log: UpdateLog::default(),
            receivers: Receivers::new(first_heartbeat_at),
        }
    }

    /// The newest version; 0 for none.
    pub(super) fn version(&self) -> u64 {
        self.log.version()
    }

    /// The newest configuration's text.
    pub(super) fn text(&self) -> Option<&Arc<RawValue>> {
        self.log.text()
    }

    /// Replaces the configuration.
    pub(super) fn set_snapshot(&mut self, version: u64, text: Arc<RawValue>) {
        self.log.reset(version, text);
    }

    /// Takes an update of the newest configuration, and the text that it makes.
    pub(super) fn append_update(&mut self, update: ConfigurationDelta, text: Arc<RawValue>) {
        self.log.append(update, text);
    }

    /// Takes the children of a new membership.
    pub(super) fn set_children(&mut self, children: Vec<Arc<str>>) {
        self.receivers.set_children(children);
    }

    /// All receivers.
    pub(super) fn receivers(&self) -> impl Iterator<Item = &RelayPeer> {
        self.receivers.iter()
    }

    /// When heartbeats are due; never while there is no receiver.
    pub(super) fn next_heartbeat_at(&self) -> Millis {
        self.receivers.next_heartbeat_at()
    }

    /// Whether heartbeats are due; the next ones are due an interval later.
    pub(super) fn take_due_heartbeat(&mut self, now: Millis) -> bool {
        self.receivers.take_due_heartbeat(now)
    }

    /// Regular heartbeats to all receivers.
    pub(super) fn heartbeats(&self, root_heartbeat: RootHeartbeat) -> Vec<OutboundMessage> {
        self.receivers
            .heartbeats(self.version(), root_heartbeat, false)
    }

    /// Answers a request: with a heartbeat, and with what is newer than `known_version`.
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

    /// Sends on what leads from `former_version` to the newest one, or announces it where that is too long. Nothing where the
    /// version has not risen.
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
