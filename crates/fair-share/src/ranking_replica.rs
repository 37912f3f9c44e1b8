//! A node's replica of the newest ranking version that it has received.

use crate::ranking::{FairShareRanking, UsageByUser};
use crate::settings::FairShareSettings;
use crate::version::{RankingUpdate, RankingVersion, UsageChange};
use crate::version_history::VersionHistory;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Steady clocks may differ in speed by one part in this many. Ages are extended accordingly.
const MAX_CLOCK_DRIFT_DIVISOR: Millis = 32;

/// Result of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The node ranks by the update's version from now on. If it already did, the bound of the version's age
    /// may be tighter now.
    Applied,
    /// The node holds a newer version.
    Outdated,
    /// The update is relative to a version that the node does not hold. The node must request another one and
    /// name the version it holds.
    UnknownBase,
}

/// Upper bound of a version's age.
#[derive(Clone, Copy, Debug, Default)]
struct AgeBound {
    age_ms: Millis,
    /// Steady time of the node at which the bound applied.
    as_of: Millis,
}

impl AgeBound {
    /// The bound at a later steady time.
    fn at(self, now: Millis) -> Millis {
        let elapsed_ms = now.saturating_sub(self.as_of);
        let drift_ms = elapsed_ms / MAX_CLOCK_DRIFT_DIVISOR + u64::from(elapsed_ms > 0);
        self.age_ms
            .saturating_add(elapsed_ms)
            .saturating_add(drift_ms)
    }
}

/// Ranks units at a node by the newest version that it has received, and can send that version to other
/// nodes.
///
/// Updates may be lost, late, duplicated or out of order.
#[derive(Clone, Debug)]
pub struct RankingReplica {
    settings: Arc<FairShareSettings>,
    /// `None` until the first version is received.
    history: Option<VersionHistory>,
    age: AgeBound,
}

impl RankingReplica {
    /// Creates a replica without a version.
    pub fn new(settings: FairShareSettings) -> RankingReplica {
        RankingReplica {
            settings: Arc::new(settings.clamped()),
            history: None,
            age: AgeBound::default(),
        }
    }

    /// Applies an update that answers a request sent at the node's steady time `requested_at`. The transit
    /// time is unknown, so the age counts as if the response had been sent at that time.
    pub fn apply(&mut self, requested_at: Millis, update: &RankingUpdate) -> UpdateOutcome {
        let held = self.version();
        let is_outdated = held.is_some_and(|held| update.version < held);
        if is_outdated && !cfg!(feature = "mutant-version") {
            return UpdateOutcome::Outdated;
        }
        let age = AgeBound {
            age_ms: update.age_ms,
            as_of: requested_at,
        };
        if held == Some(update.version) {
            self.tighten_age(age);
            return UpdateOutcome::Applied;
        }
        let has_other_base = update.base.is_some() && update.base != held;
        if has_other_base && !cfg!(feature = "mutant-version") {
            return UpdateOutcome::UnknownBase;
        }
        self.install(update);
        self.age = age;
        UpdateOutcome::Applied
    }

    /// The version that the node holds, to be named in requests.
    pub fn version(&self) -> Option<RankingVersion> {
        self.ranking().map(FairShareRanking::version)
    }

    /// The order by the version that the node holds; `None` until the first one is received. A stale version
    /// is returned as well, because a node that receives no updates continues with the last one.
    pub fn ranking(&self) -> Option<&FairShareRanking> {
        self.history.as_ref().map(VersionHistory::newest)
    }

    /// Upper bound of the version's age, in milliseconds.
    pub fn age_ms(&self, now: Millis) -> Millis {
        self.age.at(now)
    }

    /// Whether the version exceeds the maximum age, or there is none. Should be reported with each decision.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.history.is_none() || self.age_ms(now) > self.settings.max_age_ms
    }

    /// Returns the update that brings another node to the version held here; `None` if there is no version.
    pub fn update_since(&self, now: Millis, held: Option<RankingVersion>) -> Option<RankingUpdate> {
        let history = self.history.as_ref()?;
        Some(history.update_since(held, self.age_ms(now)))
    }

    /// Applies another age bound of the same version. The lower of both bounds holds.
    fn tighten_age(&mut self, age: AgeBound) {
        let now = age.as_of.max(self.age.as_of);
        if age.at(now) < self.age.at(now) {
            self.age = age;
        }
    }

    fn install(&mut self, update: &RankingUpdate) {
        let base = self.history.take().filter(|_| update.base.is_some());
        let mut usage_by_user = base.as_ref().map_or_else(UsageByUser::new, |history| {
            history.newest().usage_by_user().clone()
        });
        for UsageChange { user, usage } in &update.changes {
            match usage {
                Some(usage) => usage_by_user.insert(user.clone(), usage.clone()),
                None => usage_by_user.remove(user),
            };
        }
        let ranking = FairShareRanking::new(
            self.settings.clone(),
            update.version,
            update.created_at,
            usage_by_user,
        );
        self.history = Some(match base {
            Some(mut history) => {
                let changed = update.changes.iter().map(|change| change.user.clone());
                history.push(ranking, changed.collect());
                history
            }
            None => VersionHistory::new(ranking),
        });
    }
}
