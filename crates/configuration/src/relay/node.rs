//! A member of the relay tree: takes versions from above, passes them on, and looks for another sender when there is need.

use super::message::{ConfigurationDelta, OutboundMessage, RelayMessage, RelayPeer};
use super::parent_selection::Upstream;
use super::receivers::Downstream;
use super::tree::{hash, RelayMembership, Tree};
use super::update_log::{changed, read, Archive};
use super::{HEARTBEAT_INTERVAL, SILENCE};
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_protocol::config::Configuration;
use streamusher_protocol::Millis;

/// Spread of the members' patience, so that not all ask at the same moment.
const JITTER: Millis = 300;

/// What a member is to do now.
#[derive(Debug, Default)]
pub struct RelayActions {
    /// Messages to send. One that cannot be delivered is dropped.
    pub sends: Vec<OutboundMessage>,
    /// A newer configuration, to act by from now on.
    pub configuration: Option<Arc<Configuration>>,
}

/// The state machine of one process of the data plane.
#[derive(Clone, Debug)]
pub struct RelayNode {
    address: Arc<str>,
    roster: Option<u64>,
    upstream: Upstream,
    downstream: Downstream,
    archive: Archive,
    /// A change did not fit the text that is here: the next configuration is wanted whole.
    is_damaged: bool,
    /// When it was to be called at the latest; a much later call tells of a freeze.
    called_by: Millis,
}

impl RelayNode {
    /// One that has just started. It asks for the configuration once it knows its roster, or after [`SILENCE`].
    pub fn new(address: Arc<str>, now: Millis) -> RelayNode {
        let spread = hash(&address);
        RelayNode {
            address,
            roster: None,
            upstream: Upstream::new(now, spread % JITTER),
            downstream: Downstream::new(now + spread % HEARTBEAT_INTERVAL),
            archive: Archive::default(),
            is_damaged: false,
            called_by: now + SILENCE,
        }
    }

    /// The version that it has; 0 for none.
    pub fn version(&self) -> u64 {
        self.archive.version()
    }

    /// The text of the configuration that it has.
    pub fn text(&self) -> Option<&Arc<RawValue>> {
        self.archive.text()
    }

    /// Its address.
    pub fn address(&self) -> &Arc<str> {
        &self.address
    }

    /// Version of the roster that it knows; 0 for none.
    pub fn roster(&self) -> u64 {
        self.roster.unwrap_or_default()
    }

    /// Its parent by the roster.
    pub fn parent(&self) -> Option<&RelayPeer> {
        self.upstream.parent()
    }

    /// Who tells it because it asked.
    pub fn adopter(&self) -> Option<&RelayPeer> {
        self.upstream.adopter()
    }

    /// Those that it tells.
    pub fn receivers(&self) -> impl Iterator<Item = &RelayPeer> {
        self.downstream.receivers()
    }

    /// When [`RelayNode::tick`] is to be called next.
    pub fn next_tick(&self) -> Millis {
        Millis::min(self.upstream.next_due(), self.downstream.next_heartbeat())
    }

    /// Takes a roster; one that is not newer than the last one is passed over.
    pub fn set_roster(&mut self, now: Millis, roster: &RelayMembership) -> RelayActions {
        if self.roster.is_some_and(|version| version >= roster.version) {
            return RelayActions::default();
        }
        let tree = Tree::new(roster);
        self.upstream
            .set_ancestors(now, tree.ancestors(&self.address));
        self.downstream.set_children(tree.children(&self.address));
        if self.roster.is_none() {
            self.upstream.ask_now(now);
        }
        self.roster = Some(roster.version);
        self.finish(now, RelayActions::default())
    }

    /// Takes note that there is such a version, as learned elsewhere (in the primary's answer to a call).
    pub fn heard_of(&mut self, now: Millis, version: u64) -> RelayActions {
        if version > self.version() {
            self.upstream.lacks(now, version, None, false);
        }
        self.finish(now, RelayActions::default())
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> RelayActions {
        let actions = self.notice_freeze(now);
        self.finish(now, actions)
    }

    /// Takes a message.
    pub fn receive(
        &mut self,
        now: Millis,
        from: &RelayPeer,
        message: RelayMessage,
    ) -> RelayActions {
        let woken = self.notice_freeze(now);
        let mut actions = match message {
            RelayMessage::Heartbeat {
                version,
                pulse,
                adopted,
                ask,
            } => {
                self.upstream.heard(now, from, pulse, adopted);
                if version > self.version() {
                    self.upstream.lacks(now, version, Some(from), ask);
                }
                RelayActions::default()
            }
            RelayMessage::Changes(changes) => self.take_changes(now, from, &changes),
            RelayMessage::Whole { version, text } => self.take_whole(from, version, text),
            RelayMessage::Ask { have } => self.answer(now, from, have),
        };
        actions.sends.extend(woken.sends);
        self.finish(now, actions)
    }

    /// Asks the parent at once after a freeze, before a heartbeat that waited meanwhile can make that seem needless.
    fn notice_freeze(&mut self, now: Millis) -> RelayActions {
        let mut actions = RelayActions::default();
        if now > self.called_by + SILENCE {
            self.upstream.ask_now(now);
            actions.sends.extend(self.questions(now));
        }
        actions
    }

    /// Adds the questions and heartbeats that are due.
    fn finish(&mut self, now: Millis, mut actions: RelayActions) -> RelayActions {
        actions.sends.extend(self.questions(now));
        if self.downstream.is_due(now) {
            actions.sends.extend(self.downstream.heartbeats(
                self.version(),
                self.upstream.pulse(),
                false,
            ));
        }
        self.called_by = self.next_tick();
        actions
    }

    fn questions(&mut self, now: Millis) -> Option<OutboundMessage> {
        let to = self.upstream.due(now);
        let have = if self.is_damaged { 0 } else { self.version() };
        (!to.is_empty()).then_some(OutboundMessage {
            to,
            message: RelayMessage::Ask { have },
        })
    }

    fn answer(&mut self, now: Millis, from: &RelayPeer, have: u64) -> RelayActions {
        if have > self.version() {
            self.upstream.lacks(now, have, None, false);
        }
        let adopted = self.downstream.asked(now, from);
        let (version, pulse) = (self.version(), self.upstream.pulse());
        let heartbeat = RelayMessage::Heartbeat {
            version,
            pulse,
            adopted,
            ask: false,
        };
        let messages = std::iter::once(heartbeat).chain(self.archive.since(have));
        let sends = messages
            .map(|message| OutboundMessage::one(from.clone(), message))
            .collect();
        RelayActions {
            sends,
            configuration: None,
        }
    }

    fn take_changes(
        &mut self,
        now: Millis,
        from: &RelayPeer,
        changes: &[ConfigurationDelta],
    ) -> RelayActions {
        let had = self.version();
        let mut configuration = None;
        for change in changes.iter().filter(|change| change.version > had) {
            let Some(taken) = self.take_change(change) else {
                self.upstream.lacks(now, change.version, Some(from), true);
                break;
            };
            configuration = Some(taken);
        }
        self.passed_on(had, configuration, from)
    }

    /// Takes a change; none where its base is not here, or where it does not fit the text that is.
    fn take_change(&mut self, change: &ConfigurationDelta) -> Option<Arc<Configuration>> {
        let base = self
            .archive
            .text()
            .filter(|_| change.base == self.archive.version())?;
        let Ok((text, configuration)) = changed(base, change) else {
            self.is_damaged = true;
            return None;
        };
        self.archive.set_changed(change.clone(), text);
        Some(configuration)
    }

    fn take_whole(&mut self, from: &RelayPeer, version: u64, text: Arc<RawValue>) -> RelayActions {
        let had = self.version();
        if version <= had {
            return RelayActions::default();
        }
        // One that cannot be read is dropped; it is asked for again elsewhere, as its heartbeats tell of it.
        let Ok(configuration) = read(&text, version) else {
            return RelayActions::default();
        };
        self.archive.set_whole(version, text);
        self.is_damaged = false;
        self.passed_on(had, Some(configuration), from)
    }

    /// Passes on what brought this member from version `had` to the present one.
    fn passed_on(
        &mut self,
        had: u64,
        configuration: Option<Arc<Configuration>>,
        from: &RelayPeer,
    ) -> RelayActions {
        let version = self.version();
        self.upstream.has(version);
        if version <= had {
            return RelayActions::default();
        }
        let sends = match self.archive.pushed_since(had) {
            Some(message) => self
                .downstream
                .tell(message, Some(from))
                .into_iter()
                .collect(),
            None => self
                .downstream
                .heartbeats(version, self.upstream.pulse(), true),
        };
        RelayActions {
            sends,
            configuration,
        }
    }
}
