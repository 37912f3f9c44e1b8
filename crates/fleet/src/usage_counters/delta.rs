//! Messages about usage counters: version summaries, digests composed of them, and deltas.
//!
//! These types are encoded by position: the order of fields and variants is part of the datagram format.

use crate::incarnation::Incarnation;
use crate::usage::{UsageKey, UsageValues};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The version up to which one incarnation is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationVersion {
    /// The incarnation's number.
    pub number: u64,
    /// All changes up to this version are held.
    pub version: u64,
}

/// The state that one member holds of one name: an entry of the version vector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// The member name that the counters belong to.
    pub name: Arc<str>,
    /// The number of the last incarnation compacted into the base; 0 if none is.
    pub compacted_up_to: u64,
    /// A checksum of the base's rows: two bases up to the same incarnation may differ temporarily.
    pub base_checksum: u32,
    /// Versions of the incarnations that are not compacted.
    pub incarnations: Vec<IncarnationVersion>,
}

/// A digest of the names in an interval; a peer answers with the deltas that the sender lacks (anti-entropy).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageDigest {
    /// The interval starts after this name, or with the first name if this is `None`.
    pub after: Option<Arc<str>>,
    /// Whether the interval has no end; otherwise it ends with the last summary's name.
    pub last: bool,
    /// The sender's state, by name. A name of the interval that is missing here is unknown to the sender.
    pub summaries: Vec<VersionSummary>,
    /// The sender requests the receiver's digest of the same interval.
    pub reply_wanted: bool,
}

impl UsageDigest {
    /// Whether a name lies in the digest's interval.
    pub fn covers(&self, name: &Arc<str>) -> bool {
        if self.after.as_ref().is_some_and(|after| name <= after) {
            return false;
        }
        self.last || self.summaries.last().is_some_and(|end| *name <= end.name)
    }
}

/// A row of one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// Period and tenant of the row.
    pub key: UsageKey,
    /// The version of the incarnation that last changed the row.
    pub version: u64,
    /// The counters of the row.
    pub values: UsageValues,
}

/// A row of a compacted base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseRow {
    /// Period and tenant of the row.
    pub key: UsageKey,
    /// Sums over the compacted incarnations.
    pub values: UsageValues,
}

/// A part of one member's counters that can be merged on its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// All rows of an incarnation that changed after one version, up to another.
    Incarnation {
        /// The incarnation to which the rows belong.
        incarnation: Incarnation,
        /// The version after which changes are included: a receiver that holds at least this version
        /// advances.
        after: u64,
        /// The version that the receiver holds after merging.
        up_to: u64,
        /// Rows that changed after `after`.
        rows: Vec<VersionedRow>,
    },
    /// A part of a name's compacted base. The receiver adopts the base once it has all rows.
    Base {
        /// The member name to which the base belongs.
        name: Arc<str>,
        /// The number of the earliest known incarnation.
        first_incarnation: u64,
        /// The number of the last compacted incarnation.
        up_to: u64,
        /// The number of rows in the whole base.
        total_rows: u64,
        /// The rows of this part.
        rows: Vec<BaseRow>,
    },
}
