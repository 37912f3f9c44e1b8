//! Records of changes that were rejected because their base version was newer than the current version.
//!
//! The first final answer to a change is binding: when that base version becomes current, a delayed copy of
//! the rejected change must be rejected again.

use crate::change_id::ChangeId;
use crate::error::RecordError;
use std::collections::BTreeMap;
use std::num::ParseIntError;
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// Maximum number of rejected changes whose records are kept at a time. Beyond it, a change based on a future
/// version is not rejected but left undecided. An operator has at most eight changes in flight.
pub const MAX_REJECTED_CHANGES: usize = 1_024;

/// Rejected changes based on future versions: the base version of each, by record key.
#[derive(Clone, Debug, Default)]
pub(crate) struct RejectedChanges {
    base_versions: BTreeMap<Arc<str>, u64>,
}

impl RejectedChanges {
    /// Returns whether the rejection of this change is recorded.
    pub(crate) fn contains(&self, id: &ChangeId) -> bool {
        self.base_versions.contains_key(&id.rejected_key())
    }

    /// Records the rejection of a change; returns the writes for it, or `None` if the maximum number of
    /// records is reached.
    pub(crate) fn add(&mut self, id: &ChangeId, base_version: u64) -> Option<Vec<Write>> {
        let key = id.rejected_key();
        if self.base_versions.contains_key(&key) {
            return Some(Vec::new());
        }
        if self.base_versions.len() >= MAX_REJECTED_CHANGES {
            return None;
        }
        self.base_versions.insert(key.clone(), base_version);
        Some(vec![Write::set(key, base_version.to_string())])
    }

    /// Removes the records of changes based on versions below the current one, which are rejected without a
    /// record; returns the writes.
    pub(crate) fn remove_below(&mut self, current_version: u64) -> Vec<Write> {
        let mut writes = Vec::new();
        self.base_versions.retain(|key, base_version| {
            let is_kept = *base_version >= current_version;
            if !is_kept {
                writes.push(Write::remove(key.clone()));
            }
            is_kept
        });
        writes
    }

    /// Restores a stored record.
    ///
    /// # Errors
    /// [`RecordError::Corrupt`] if the record cannot be parsed.
    pub(crate) fn recover(&mut self, key: Arc<str>, value: &str) -> Result<(), RecordError> {
        let base_version = value
            .parse()
            .map_err(|error: ParseIntError| RecordError::Corrupt {
                key: key.to_string(),
                cause: error.to_string(),
            })?;
        self.base_versions.insert(key, base_version);
        Ok(())
    }
}
