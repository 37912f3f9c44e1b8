//! What members exchange of usage counters: version summaries, digests made of them, and deltas.
//!
//! These types are encoded by position: the order of fields and variants is part of the datagram format.

use crate::incarnation::Incarnation;
use crate::usage::{UsageKey, UsageValues};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Up to which version one incarnation is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationVersion {
    /// The incarnation's number.
    pub number: u64,
    /// All changes up to this version are held.
    pub version: u64,
}

/// What one member holds of one name: its entry of the version vector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// The name.
    pub name: Arc<str>,
    /// The last incarnation compacted into the base; 0 if none is.
    pub compacted_up_to: u64,
    /// A checksum of the base's rows: two bases up to one incarnation may differ for a while.
    pub base_checksum: u32,
    /// Incarnations that are not compacted.
    pub incarnations: Vec<IncarnationVersion>,
}

/// A digest of the names in an interval, to which a peer answers with the deltas that the sender lacks (anti-entropy).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageDigest {
    /// The interval begins behind this name; at the first one if none is given.
    pub after: Option<Arc<str>>,
    /// The interval has no end; else it ends with the last summary's name.
    pub last: bool,
    /// What the sender holds, by name. A name of the interval that is missing here is unknown to the sender.
    pub summaries: Vec<VersionSummary>,
    /// The sender wants the receiver's digest of the same interval.
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
    /// Tenant and period.
    pub key: UsageKey,
    /// The version of the incarnation that changed the row last.
    pub version: u64,
    /// The counters.
    pub values: UsageValues,
}

/// A row of a compacted base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseRow {
    /// Tenant and period.
    pub key: UsageKey,
    /// Sums over the compacted incarnations.
    pub values: UsageValues,
}

/// A part of one member's counters, useful by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// All rows of an incarnation that changed after one version, up to another.
    Incarnation {
        /// Whose rows.
        incarnation: Incarnation,
        /// Advances the version of a receiver that holds the incarnation up to here or further.
        after: u64,
        /// The version that the receiver then holds.
        up_to: u64,
        /// The rows.
        rows: Vec<VersionedRow>,
    },
    /// A part of a name's compacted base. The base is taken once all its rows are there.
    Base {
        /// Whose base.
        name: Arc<str>,
        /// The earliest incarnation ever heard of.
        first_incarnation: u64,
        /// The last incarnation compacted.
        up_to: u64,
        /// How many rows the whole base has.
        total_rows: u64,
        /// Some of them.
        rows: Vec<BaseRow>,
    },
}
