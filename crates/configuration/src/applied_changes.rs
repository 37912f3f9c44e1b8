//! Records of applied changes, by which a repeated change is acknowledged again.

use crate::change_id::ChangeId;
use crate::error::RecordError;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// Maximum number of applied changes whose records are kept; the oldest records are evicted. Operators make
/// hundreds of changes a day, and repetitions follow within minutes.
pub const MAX_APPLIED_CHANGES: usize = 4_096;

/// Stored record of an applied change.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct AppliedChange {
    /// Version that the change produced.
    pub(crate) version: u64,
    /// Version on which the change is based.
    #[serde(rename = "base")]
    pub(crate) base_version: u64,
    /// Length of the change's body.
    #[serde(rename = "length")]
    pub(crate) body_bytes: u64,
}

impl AppliedChange {
    /// Returns the stored form. The field names and their order are the same in all releases.
    fn record(&self) -> String {
        let AppliedChange {
            version,
            base_version,
            body_bytes,
        } = self;
        format!(r#"{{"version":{version},"base":{base_version},"length":{body_bytes}}}"#)
    }
}

/// Retained applied changes, by record key and by the version that they produced.
///
/// Both maps hold the same changes. Versions and base versions increase from one change to the next.
#[derive(Clone, Debug, Default)]
pub(crate) struct AppliedChanges {
    by_key: HashMap<Arc<str>, AppliedChange>,
    by_version: BTreeMap<u64, Arc<str>>,
}

impl AppliedChanges {
    /// Returns the record key of the newest change and the version that it produced.
    pub(crate) fn newest(&self) -> Option<(&Arc<str>, u64)> {
        self.by_version
            .last_key_value()
            .map(|(version, key)| (key, *version))
    }

    /// Returns the version that this change produced, if it was applied and its record is retained.
    pub(crate) fn resulting_version(
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

    /// Returns whether a change based on `base_version` may have been applied and its record evicted since.
    /// The retained changes have increasing base versions, so an evicted change has a lower base version than
    /// all of them.
    pub(crate) fn may_have_evicted(&self, base_version: u64) -> bool {
        let oldest = self
            .by_version
            .first_key_value()
            .and_then(|(_, key)| self.by_key.get(key));
        self.by_version.len() >= MAX_APPLIED_CHANGES
            && oldest.is_some_and(|oldest| base_version < oldest.base_version)
    }

    /// Records an applied change; returns the writes for its record and for the records that are evicted.
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

    /// Restores a stored record.
    ///
    /// # Errors
    /// [`RecordError::Corrupt`] if the record cannot be parsed.
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
