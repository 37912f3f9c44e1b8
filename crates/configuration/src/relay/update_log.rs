//! The newest configuration as text, with the latest changes for those that lack only these.

use super::message::{ConfigurationDelta, RelayMessage};
use super::{KEPT_CHANGES, PUSHED_BYTES};
use crate::error::ConfigurationError;
use crate::json::parse_configuration;
use crate::update::apply;
use serde_json::value::RawValue;
use std::collections::VecDeque;
use std::sync::Arc;
use streamusher_protocol::config::Configuration;

/// What a process can tell others.
#[derive(Clone, Debug, Default)]
pub struct Archive {
    version: u64,
    text: Option<Arc<RawValue>>,
    /// Each builds on the one before; the last one made the text.
    changes: VecDeque<ConfigurationDelta>,
    /// Their length together, in bytes.
    changes_bytes: usize,
}

impl Archive {
    /// The newest version; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The newest configuration's text.
    pub fn text(&self) -> Option<&Arc<RawValue>> {
        self.text.as_ref()
    }

    /// Takes a whole configuration, and forgets changes, as there is none that leads to it.
    pub fn set_whole(&mut self, version: u64, text: Arc<RawValue>) {
        *self = Archive {
            version,
            text: Some(text),
            ..Archive::default()
        };
    }

    /// Takes a change and the text that it made.
    pub fn set_changed(&mut self, change: ConfigurationDelta, text: Arc<RawValue>) {
        self.version = change.version;
        self.changes_bytes += change.update.get().len();
        self.changes.push_back(change);
        while self.changes.len() > KEPT_CHANGES || self.changes_bytes > text.get().len() {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.changes_bytes -= oldest.update.get().len();
        }
        self.text = Some(text);
    }

    /// What brings someone from version `have` to the newest one; none where nothing is newer.
    pub fn since(&self, have: u64) -> Option<RelayMessage> {
        let text = self.text.as_ref().filter(|_| have < self.version)?;
        let known = self.changes.iter().position(|change| change.base == have);
        Some(match known {
            Some(first) => {
                RelayMessage::Changes(self.changes.iter().skip(first).cloned().collect())
            }
            None => RelayMessage::Whole {
                version: self.version,
                text: text.clone(),
            },
        })
    }

    /// As [`Archive::since`], but none where that is too long to be sent unasked.
    pub fn pushed_since(&self, have: u64) -> Option<RelayMessage> {
        self.since(have).filter(|message| match message {
            RelayMessage::Whole { text, .. } => text.get().len() <= PUSHED_BYTES,
            _ => true,
        })
    }
}

/// The text and the configuration that a change makes of `base`.
///
/// # Errors
/// Where the change, or what it makes, cannot be read or is of another version.
pub fn changed(
    base: &RawValue,
    change: &ConfigurationDelta,
) -> Result<(Arc<RawValue>, Arc<Configuration>), ConfigurationError> {
    let text = apply(base.get(), change.update.get())?;
    let text = RawValue::from_string(text).map_err(|error| ConfigurationError::Unreadable {
        cause: error.to_string(),
    })?;
    let configuration = read(&text, change.version)?;
    Ok((text.into(), configuration))
}

/// Reads a configuration that is to be of this version.
///
/// # Errors
/// Where it cannot be read or is of another version.
pub fn read(text: &RawValue, version: u64) -> Result<Arc<Configuration>, ConfigurationError> {
    let configuration = parse_configuration(text.get())?;
    if configuration.version != version {
        let cause = format!("version is {} in place of {version}", configuration.version);
        return Err(ConfigurationError::Unreadable { cause });
    }
    Ok(Arc::new(configuration))
}
