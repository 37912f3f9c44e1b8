//! Records of the changes that were applied, by which a repeated change is acknowledged again.

use crate::change_id::ChangeId;
use crate::error::RecordError;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// Applied changes that are remembered; the oldest are forgotten. A day has hundreds of changes, and repetitions follow
/// within minutes.
pub const MAX_APPLIED_CHANGES: usize = 4_096;

/// The record of a change that was applied.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct AppliedChange {
    /// The version that it made.
    pub(crate) version: u64,
    /// The version on which it built.
    #[serde(rename = "base")]
    pub(crate) base_version: u64,
    /// Length of its body.
    #[serde(rename = "length")]
    pub(crate) body_bytes: u64,
}

impl AppliedChange {
    /// The stored form. The field names and their order are those of all releases.
    fn record(&self) -> String {
        let AppliedChange {
            version,
            base_version,
            body_bytes,
        } = self;
        format!(r#"{{"version":{version},"base":{base_version},"length":{body_bytes}}}"#)
    }
}

/// The applied changes that are remembered, by their key and by the version that they made.
///
/// Both maps hold the same changes. Versions and base versions rise from change to change.
#[derive(Clone, Debug, Default)]
pub(crate) struct AppliedChanges {
    by_key: HashMap<Arc<str>, AppliedChange>,
    by_version: BTreeMap<u64, Arc<str>>,
}

impl AppliedChanges {
    /// The newest change: its key and the version that it made.
    pub(crate) fn newest(&self) -> Option<(&Arc<str>, u64)> {
        self.by_version
            .last_key_value()
            .map(|(version, key)| (key, *version))
    }

    /// The version that this change made, where it was applied.
    pub(crate) fn version_made_by(
        &self,
        id: &ChangeId,
        base_version: u64,
        body: &str,
    ) -> Option<u64> {
        let applied = self.by_key.get(&id.applied_key())?;
        let is_same =
            applied.base_version == base_version && applied.body_bytes == body.len() as u64;
        is_same.then_some(applied.version)
    }

    /// Whether a change on `base_version` may have been applied and forgotten since. The remembered changes build on rising
    /// versions, so one that was forgotten built on a lower version than all of them.
    pub(crate) fn may_have_forgotten(&self, base_version: u64) -> bool {
        let oldest = self
            .by_version
            .first_key_value()
            .and_then(|(_, key)| self.by_key.get(key));
        self.by_version.len() >= MAX_APPLIED_CHANGES
            && oldest.is_some_and(|oldest| base_version < oldest.base_version)
    }

    /// Remembers a change; returns the writes for it and for the changes that are forgotten.
    pub(crate) fn add(&mut self, id: &ChangeId, change: AppliedChange) -> Vec<Write> {
        let key = id.applied_key();
        let mut writes = vec![Write::set(key.clone(), change.record())];
        self.insert(key, change);
        while self.by_version.len() > MAX_APPLIED_CHANGES {
            let Some((_, oldest)) = self.by_version.pop_first() else {
                break;
            };
            self.by_key.remove(&oldest);
            writes.push(Write::remove(oldest));
        }
        writes
    }

    /// Takes over a stored record.
    ///
    /// # Errors
    /// [`RecordError::Corrupt`] where it cannot be read.
    pub(crate) fn recover(&mut self, key: Arc<str>, value: &str) -> Result<(), RecordError> {
        let change = serde_json::from_str(value).map_err(|error| RecordError::Corrupt {
            key: key.to_string(),
            cause: error.to_string(),
        })?;
        self.insert(key, change);
        Ok(())
    }

    fn insert(&mut self, key: Arc<str>, change: AppliedChange) {
        self.by_version.insert(change.version, key.clone());
        self.by_key.insert(key, change);
    }
}
