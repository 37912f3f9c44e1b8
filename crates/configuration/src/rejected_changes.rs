//! Records of the changes that were rejected because they build on a version to come.
//!
//! The first final answer to a change holds: when that version becomes current, a copy of the rejected change that was
//! delayed on its way must be rejected again.

use crate::change_id::ChangeId;
use crate::error::RecordError;
use std::collections::BTreeMap;
use std::num::ParseIntError;
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// Rejected changes that are remembered at once. Beyond this a change on a version to come is not rejected but left
/// undecided: an operator has at most eight changes in flight.
pub const MAX_REJECTED_CHANGES: usize = 1_024;

/// Rejected changes on versions to come: the base version of each, by the key of its record.
#[derive(Clone, Debug, Default)]
pub(crate) struct RejectedChanges {
    base_versions: BTreeMap<Arc<str>, u64>,
}

impl RejectedChanges {
    /// Whether this change was rejected.
    pub(crate) fn contains(&self, id: &ChangeId) -> bool {
        self.base_versions.contains_key(&id.rejected_key())
    }

    /// Remembers a rejected change; returns the writes for it, or none where too many are remembered.
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

    /// Forgets the changes on versions below the current one, as these are rejected for that alone; returns the writes.
    pub(crate) fn forget_below(&mut self, current_version: u64) -> Vec<Write> {
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

    /// Takes over a stored record.
    ///
    /// # Errors
    /// [`RecordError::Corrupt`] where it cannot be read.
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
