//! Identifiers of ranking versions, and the form in which versions are transmitted.

use crate::decayed_usage::DecayedUsage;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Identifies one state of all users' usage.
///
/// Versions are ordered by epoch first: a later primary's version is newer than an earlier primary's,
/// whatever their numbers. A version that a deposed primary created but could not commit therefore never
/// replaces a later one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RankingVersion {
    /// Epoch of the primary that created the version.
    pub epoch: u64,
    /// Sequence number, incremented with each version across all epochs.
    pub number: u64,
}

/// A version as one node sends it to another: complete, or as the difference from another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankingUpdate {
    /// The version that `changes` are relative to; `None` if all users are listed.
    pub base: Option<RankingVersion>,
    /// The version that is sent.
    pub version: RankingVersion,
    /// Cluster time at which the version was created.
    #[serde(rename = "time")]
    pub created_at: Millis,
    /// Upper bound of the version's age when this update was sent, in milliseconds.
    pub age_ms: Millis,
    /// Users whose usage differs from the base, or all users if there is no base.
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
    /// Name of the user.
    pub user: Arc<str>,
    /// Usage of the user; `None` if the user has been dropped.
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
