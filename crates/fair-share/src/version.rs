//! Names of ranking versions, and how they are transmitted.

use crate::decayed_usage::DecayedUsage;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Names one state of all users' usage.
///
/// The order is epoch first: a later primary's version goes before an earlier one's, whatever their numbers, so what a
/// deposed primary made and could not commit never wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RankingVersion {
    /// Epoch of the primary that made it.
    pub epoch: u64,
    /// Rises by one from version to version, over all epochs.
    pub number: u64,
}

/// A version as one node sends it to another: whole, or as the difference from another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankingUpdate {
    /// The version that `changes` are relative to; none where all users are listed.
    pub base: Option<RankingVersion>,
    /// The version that is sent.
    pub version: RankingVersion,
    /// The cluster time at which it was made.
    #[serde(rename = "time")]
    pub created_at: Millis,
    /// Its age when this update was sent, in milliseconds; an upper bound.
    pub age_ms: Millis,
    /// Users whose usage differs from the base.
    #[serde(rename = "debts")]
    pub changes: Vec<UsageChange>,
}

/// A user's usage in an update. Encoded as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(Arc<str>, Option<DecayedUsage>)",
    into = "(Arc<str>, Option<DecayedUsage>)"
)]
pub struct UsageChange {
    /// The user.
    pub user: Arc<str>,
    /// Its usage; none where the user is dropped.
    pub usage: Option<DecayedUsage>,
}

impl From<(Arc<str>, Option<DecayedUsage>)> for UsageChange {
    fn from((user, usage): (Arc<str>, Option<DecayedUsage>)) -> UsageChange {
        UsageChange { user, usage }
    }
}

impl From<UsageChange> for (Arc<str>, Option<DecayedUsage>) {
    fn from(change: UsageChange) -> (Arc<str>, Option<DecayedUsage>) {
        (change.user, change.usage)
    }
}
