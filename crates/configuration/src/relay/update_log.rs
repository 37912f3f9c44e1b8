//! The newest configuration as text, with the latest updates for receivers that lack only these.

use super::message::{ConfigurationDelta, RelayMessage};
use serde_json::value::RawValue;
use std::collections::VecDeque;
use std::sync::Arc;

/// Updates that are kept; together they are no longer than the whole configuration.
const MAX_UPDATES: usize = 16;

/// A whole configuration up to this size is pushed. A longer one is only announced, and receivers that lack it request it,
/// so that it is not sent to a receiver that has it already.
const MAX_PUSHED_BYTES: usize = 65_536;

/// A configuration and the updates that led to it.
///
/// Invariant: each update builds on the one before, and the last one made the text.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateLog {
    version: u64,
    text: Option<Arc<RawValue>>,
    updates: VecDeque<ConfigurationDelta>,
    /// Length of the updates' texts together.
    update_bytes: usize,
}

impl UpdateLog {
    /// The newest version; 0 for none.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// The newest configuration's text.
    pub(super) fn text(&self) -> Option<&Arc<RawValue>> {
        self.text.as_ref()
    }

    /// Replaces the configuration, and drops the updates, as none of them leads to it.
    pub(super) fn reset(&mut self, version: u64, text: Arc<RawValue>) {
        *self = UpdateLog {
            version,
            text: Some(text),
            ..UpdateLog::default()
        };
    }

    /// Appends an update to the newest version, and the text that it made.
    pub(super) fn append(&mut self, update: ConfigurationDelta, text: Arc<RawValue>) {
        self.version = update.version;
        self.update_bytes += update.update.get().len();
        self.updates.push_back(update);
        while self.updates.len() > MAX_UPDATES || self.update_bytes > text.get().len() {
            let Some(oldest) = self.updates.pop_front() else {
                break;
            };
            self.update_bytes -= oldest.update.get().len();
        }
        self.text = Some(text);
    }

    /// The message that brings a receiver from `known_version` to the newest one; none where nothing is newer.
    pub(super) fn message_since(&self, known_version: u64) -> Option<RelayMessage> {
        let text = self.text.as_ref()?;
        if known_version >= self.version {
            return None;
        }
        let first = self
            .updates
            .iter()
            .position(|update| update.base_version == known_version);
        Some(match first {
            Some(first) => RelayMessage::Deltas(self.updates.iter().skip(first).cloned().collect()),
            None => RelayMessage::Snapshot {
                version: self.version,
                text: text.clone(),
            },
        })
    }

    /// As [`UpdateLog::message_since`], but none where the message is too long to be sent without a request.
    pub(super) fn pushed_message_since(&self, known_version: u64) -> Option<RelayMessage> {
        let message = self.message_since(known_version)?;
        match &message {
            RelayMessage::Snapshot { text, .. } if text.get().len() > MAX_PUSHED_BYTES => None,
            _ => Some(message),
        }
    }
}
