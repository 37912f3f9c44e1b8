//! The newest configuration as text, and the latest updates for receivers that lack only these.

use super::message::{ConfigurationDelta, RelayMessage};
use serde_json::value::RawValue;
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of updates that are kept; together they are no longer than the whole configuration.
const MAX_UPDATES: usize = 16;

/// Maximum size of a whole configuration that is pushed. A longer one is only announced, and receivers that
/// lack it request it, so that it is not sent to a receiver that already has it.
const MAX_PUSHED_BYTES: usize = 65_536;

/// A configuration and the latest updates that led to it.
///
/// Invariant: each update is based on the version of the one before, and the last one produced the text.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateLog {
    version: u64,
    text: Option<Arc<RawValue>>,
    updates: VecDeque<ConfigurationDelta>,
    /// Total length of the updates' texts.
    update_bytes: usize,
}

impl UpdateLog {
    /// Returns the newest version; 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the JSON text of the newest configuration.
    pub(super) fn text(&self) -> Option<&Arc<RawValue>> {
        self.text.as_ref()
    }

    /// Replaces the configuration and drops the updates, as none of them leads to it.
    pub(super) fn reset(&mut self, version: u64, text: Arc<RawValue>) {
        *self = UpdateLog {
            version,
            text: Some(text),
            ..UpdateLog::default()
        };
    }

    /// Appends an update of the newest version, and the text that it produced.
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

    /// Returns the message that brings a receiver from `known_version` to the newest version; `None` if there
    /// is no newer one.
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

    /// The same as [`UpdateLog::message_since`], but `None` if the message is too long to be sent without a
    /// request.
    pub(super) fn pushed_message_since(&self, known_version: u64) -> Option<RelayMessage> {
        let message = self.message_since(known_version)?;
        match &message {
            RelayMessage::Snapshot { text, .. } if text.get().len() > MAX_PUSHED_BYTES => None,
            _ => Some(message),
        }
    }
}
