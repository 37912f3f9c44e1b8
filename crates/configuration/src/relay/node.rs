//! Member of the relay tree: receives versions from its parent, forwards them to its children, and searches
//! for another sender when its parent stops sending heartbeats.

use super::address_hash::stable_hash;
use super::distributor::Distributor;
use super::membership::RelayMembership;
use super::message::{ConfigurationDelta, OutboundMessage, RelayMessage, RelayPeer};
use super::missing_version::Delivery;
use super::parent_selection::ParentSelection;
use super::parsed_configuration::ParsedConfiguration;
use super::timing::{HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS};
use super::tree::RelayTree;
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_protocol::config::Configuration;
use streamusher_protocol::Millis;

/// Upper bound of the jitter added to the members' time-outs, so that they do not all send their requests at
/// the same moment.
const MAX_JITTER_MS: Millis = 300;

/// Actions that the process has to take.
#[derive(Debug, Default)]
pub struct RelayActions {
    /// Messages to be sent.
    pub messages: Vec<OutboundMessage>,
    /// A newer configuration, which is in force from now on; `None` if nothing has changed.
    pub configuration: Option<Arc<Configuration>>,
}

/// State machine of one process of the data plane.
#[derive(Clone, Debug)]
pub struct RelayNode {
    address: Arc<str>,
    membership_version: Option<u64>,
    parent_selection: ParentSelection,
    distributor: Distributor,
    /// Set when an update could not be applied to this member's text: the next request asks for a snapshot.
    needs_snapshot: bool,
    /// Latest time at which the node should be called; a much later call shows that the process was frozen.
    expected_call_at: Millis,
}

impl RelayNode {
    /// Creates a member that has just started. It requests the configuration when it gets its first
    /// membership, or after [`HEARTBEAT_TIMEOUT_MS`].
    pub fn new(address: Arc<str>, now: Millis) -> RelayNode {
        let hash = stable_hash(&address);
        RelayNode {
            address,
            membership_version: None,
            parent_selection: ParentSelection::new(now, hash % MAX_JITTER_MS),
            distributor: Distributor::new(now + hash % HEARTBEAT_INTERVAL_MS),
            needs_snapshot: false,
            expected_call_at: now + HEARTBEAT_TIMEOUT_MS,
        }
    }

    /// Returns the version of this member's configuration; 0 if it has none.
    pub fn version(&self) -> u64 {
        self.distributor.version()
    }

    /// Returns the JSON text of this member's configuration.
    pub fn text(&self) -> Option<&Arc<RawValue>> {
        self.distributor.text()
    }

    /// Returns the address of this member.
    pub fn address(&self) -> &Arc<str> {
        &self.address
    }

    /// Returns the version of the newest membership that this member has received; 0 if there is none.
    pub fn membership_version(&self) -> u64 {
        self.membership_version.unwrap_or_default()
    }

    /// Returns the parent according to the membership; the primary while there is none.
    pub fn parent(&self) -> Option<&RelayPeer> {
        self.parent_selection.parent()
    }

    /// Returns the peer that sends heartbeats and updates to this member because of a request.
    pub fn temporary_parent(&self) -> Option<&RelayPeer> {
        self.parent_selection.temporary_parent()
    }

    /// Returns the peers to which this member sends heartbeats and updates.
    pub fn receivers(&self) -> impl Iterator<Item = &RelayPeer> {
        self.distributor.receivers()
    }

    /// Returns when [`RelayNode::tick`] has to be called next.
    pub fn next_tick(&self) -> Millis {
        let requests_due_at = self.parent_selection.next_due_at();
        requests_due_at.min(self.distributor.next_heartbeat_at())
    }

    /// Applies a membership; one that is not newer than the last one is ignored.
    pub fn set_membership(&mut self, now: Millis, membership: &RelayMembership) -> RelayActions {
        if self.membership_version >= Some(membership.version) {
            return RelayActions::default();
        }
        let tree = RelayTree::new(membership);
        self.parent_selection
            .set_ancestors(now, tree.ancestors(&self.address));
        self.distributor.set_children(tree.children(&self.address));
        if self.membership_version.is_none() {
            self.parent_selection.search_now(now);
        }
        self.membership_version = Some(membership.version);
        self.with_due_messages(now, RelayActions::default())
    }

    /// Handles an announcement of this version from outside the tree (in the primary's response to a lease
    /// request).
    pub fn on_version_announced(&mut self, now: Millis, version: u64) -> RelayActions {
        if version > self.version() {
            self.parent_selection
                .on_version_announced(now, version, None, Delivery::Pushed);
        }
        self.with_due_messages(now, RelayActions::default())
    }

    /// Sends the requests and heartbeats that are due.
    pub fn tick(&mut self, now: Millis) -> RelayActions {
        let actions = RelayActions {
            messages: self.requests_after_freeze(now),
            configuration: None,
        };
        self.with_due_messages(now, actions)
    }

    /// Handles a message.
    pub fn on_message(
        &mut self,
        now: Millis,
        sender: &RelayPeer,
        message: RelayMessage,
    ) -> RelayActions {
        let requests_after_freeze = self.requests_after_freeze(now);
        let mut actions = self.handle(now, sender, message);
        actions.messages.extend(requests_after_freeze);
        self.with_due_messages(now, actions)
    }

    fn handle(&mut self, now: Millis, sender: &RelayPeer, message: RelayMessage) -> RelayActions {
        match message {
            RelayMessage::Heartbeat {
                version,
                root_heartbeat,
                is_temporary,
                request_required,
            } => {
                self.parent_selection
                    .on_heartbeat(now, sender, root_heartbeat, is_temporary);
                if version > self.version() {
                    let delivery = if request_required {
                        Delivery::OnRequest
                    } else {
                        Delivery::Pushed
                    };
                    self.parent_selection.on_version_announced(
                        now,
                        version,
                        Some(sender),
                        delivery,
                    );
                }
                RelayActions::default()
            }
            RelayMessage::Deltas(deltas) => self.on_deltas(now, sender, &deltas),
            RelayMessage::Snapshot { version, text } => self.on_snapshot(sender, version, text),
            RelayMessage::Request { known_version } => self.on_request(now, sender, known_version),
        }
    }

    /// Sends a request to the parent at once if the process was frozen. This precedes the handling of a
    /// heartbeat that was queued in the meantime, which would make the parent seem alive.
    fn requests_after_freeze(&mut self, now: Millis) -> Vec<OutboundMessage> {
        if now <= self.expected_call_at + HEARTBEAT_TIMEOUT_MS {
            return Vec::new();
        }
        self.parent_selection.search_now(now);
        self.due_requests(now).into_iter().collect()
    }

    /// Adds the requests and heartbeats that are due to `actions`.
    fn with_due_messages(&mut self, now: Millis, mut actions: RelayActions) -> RelayActions {
        actions.messages.extend(self.due_requests(now));
        if self.distributor.take_due_heartbeat(now) {
            let root_heartbeat = self.parent_selection.root_heartbeat();
            actions
                .messages
                .extend(self.distributor.heartbeats(root_heartbeat));
        }
        self.expected_call_at = self.next_tick();
        actions
    }

    fn due_requests(&mut self, now: Millis) -> Option<OutboundMessage> {
        let receivers = self.parent_selection.take_due(now);
        if receivers.is_empty() {
            return None;
        }
        let known_version = if self.needs_snapshot {
            0
        } else {
            self.version()
        };
        Some(OutboundMessage {
            receivers,
            message: RelayMessage::Request { known_version },
        })
    }

    fn on_request(&mut self, now: Millis, sender: &RelayPeer, known_version: u64) -> RelayActions {
        if known_version > self.version() {
            self.parent_selection
                .on_version_announced(now, known_version, None, Delivery::Pushed);
        }
        let root_heartbeat = self.parent_selection.root_heartbeat();
        RelayActions {
            messages: self
                .distributor
                .on_request(now, sender, known_version, root_heartbeat),
            configuration: None,
        }
    }

    fn on_deltas(
        &mut self,
        now: Millis,
        sender: &RelayPeer,
        deltas: &[ConfigurationDelta],
    ) -> RelayActions {
        let former_version = self.version();
        let mut configuration = None;
        for delta in deltas.iter().filter(|delta| delta.version > former_version) {
            let Some(applied) = self.apply_delta(delta) else {
                self.parent_selection.on_version_announced(
                    now,
                    delta.version,
                    Some(sender),
                    Delivery::OnRequest,
                );
                break;
            };
            configuration = Some(applied);
        }
        self.forward(sender, former_version, configuration)
    }

    /// Applies an update; returns `None` if this member lacks its base version, or if it cannot be applied to
    /// the text.
    fn apply_delta(&mut self, delta: &ConfigurationDelta) -> Option<Arc<Configuration>> {
        if delta.base_version != self.version() {
            return None;
        }
        let base = self.distributor.text()?;
        let Ok(parsed) = ParsedConfiguration::apply(base, delta) else {
            self.needs_snapshot = true;
            return None;
        };
        self.distributor.append_update(delta.clone(), parsed.text);
        Some(parsed.configuration)
    }

    fn on_snapshot(
        &mut self,
        sender: &RelayPeer,
        version: u64,
        text: Arc<RawValue>,
    ) -> RelayActions {
        let former_version = self.version();
        if version <= former_version {
            return RelayActions::default();
        }
        // An unreadable snapshot is dropped. The version is requested elsewhere, because heartbeats announce
        // it.
        let Ok(parsed) = ParsedConfiguration::parse(text, version) else {
            return RelayActions::default();
        };
        self.distributor.set_snapshot(version, parsed.text);
        self.needs_snapshot = false;
        self.forward(sender, former_version, Some(parsed.configuration))
    }

    /// Forwards the updates or the snapshot that led this member from `former_version` to its current
    /// version.
    fn forward(
        &mut self,
        sender: &RelayPeer,
        former_version: u64,
        configuration: Option<Arc<Configuration>>,
    ) -> RelayActions {
        self.parent_selection.on_version_received(self.version());
        let root_heartbeat = self.parent_selection.root_heartbeat();
        RelayActions {
            messages: self
                .distributor
                .forward(former_version, root_heartbeat, Some(sender)),
            configuration,
        }
    }
}
