//! Names of versions, and how one is told.

use crate::debt::DecayedUsage;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Names one state of all debts. The order is the agreed one: a later primary's version goes before an earlier one's,
/// whatever their numbers, so what a deposed primary made and could not commit never wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RankingVersion {
    /// Epoch of the primary that made it.
    pub epoch: u64,
    /// Rises by one from version to version, over all epochs.
    pub number: u64,
}

/// A version as told from node to node: whole, or as the difference from another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankingUpdate {
    /// The version on which `debts` builds; none where all debts are given.
    pub base: Option<RankingVersion>,
    /// The version told.
    pub version: RankingVersion,
    /// The agreed time at which it was made.
    pub time: Millis,
    /// Its age when this update was sent, in milliseconds, at most.
    pub age_ms: Millis,
    /// Debts that differ from the base; none where the user is dropped.
    pub debts: Vec<(Arc<str>, Option<DecayedUsage>)>,
}
