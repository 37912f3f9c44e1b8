//! Fair share between users, if enabled: which user each run is charged to, and the resulting order of units.

use crate::status::FairShareStatus;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::Arc;
use streamusher_fair_share::{
    FairShareAccounts, FairShareSettings, RankingVersion, UsageCharge, UserUsage,
};
use streamusher_jobs::JobTable;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::JobState;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::{JobId, RunEnd, RunId};
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

/// Prefixes of the replicated keys that belong to fair share.
pub(crate) const KEY_PREFIXES: &[&str] = &["debt/", "debt-version"];
/// Pending units that are reordered per call, which bounds the work however many units are pending.
const MAX_REORDERED_UNITS: usize = 256;
/// A pending unit is reordered if its order has changed by more than the largest delay divided by this.
const MIN_SHIFT_DIVISOR: Millis = 64;
/// Users that the status lists: those with the largest usage.
const MAX_LISTED_USERS: usize = 100;

/// A pass over all pending units that updates their order to the newest ranking.
struct ReorderPass {
    /// Ranking version at the beginning of the pass.
    version: RankingVersion,
    /// Last unit that has been reordered.
    last: Option<UnitId>,
}

/// A pending unit with its order by the newest ranking.
pub(crate) struct ReorderedUnit {
    pub(crate) unit: UnitId,
    pub(crate) order: u64,
}

/// The users' accounts, and the progress of reordering pending units after a new ranking.
pub(crate) struct FairShare {
    accounts: FairShareAccounts,
    /// `None` while all pending units have their order by the newest ranking.
    pass: Option<ReorderPass>,
}

impl FairShare {
    /// Restores the accounts from the replicated records under [`KEY_PREFIXES`].
    pub(crate) fn recover(
        settings: FairShareSettings,
        epoch: u64,
        now: Millis,
        records: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) -> FairShare {
        let accounts = FairShareAccounts::recover(settings, epoch, now, records);
        let unreadable = accounts.unreadable_users().len();
        if unreadable > 0 {
            log::warn!(
                "fair share: {unreadable} usage records are unreadable; their users start without usage"
            );
        }
        FairShare {
            accounts,
            pass: None,
        }
    }

    /// Returns the ranking version, its age, and the users with the largest usage.
    pub(crate) fn status(&self, now: Millis) -> FairShareStatus {
        let mut users: Vec<UserUsage> = self
            .accounts
            .users()
            .map(|user| self.accounts.usage_of(now, user))
            .collect();
        users.sort_by_key(|usage| Reverse(usage.present_core_ms));
        let user_count = users.len();
        users.truncate(MAX_LISTED_USERS);
        FairShareStatus {
            age_ms: self.accounts.age_ms(now),
            user_count,
            users,
            version: self.accounts.version(),
        }
    }

    /// Returns a user's usage at the time `now`.
    pub(crate) fn usage_of(&self, now: Millis, user: &Arc<str>) -> UserUsage {
        self.accounts.usage_of(now, user)
    }

    /// Returns the user that is charged for a job; `None` if the job is unknown.
    pub(crate) fn user_of(&self, jobs: &JobTable, job: &JobId) -> Option<Arc<str>> {
        let queue = jobs.queue_of(job)?;
        Some(self.accounts.settings().user_of(&queue))
    }

    /// Returns a unit's order key by the newest ranking; the unit's own order if its job is unknown.
    pub(crate) fn order_key(&self, jobs: &JobTable, unit: &Unit) -> u64 {
        match self.user_of(jobs, &unit.id.step.job) {
            Some(user) => self.accounts.order_key(&user, unit.priority, unit.order),
            None => unit.order,
        }
    }

    /// Starts charging a run that has been allocated its capacity.
    pub(crate) fn on_run_started(
        &mut self,
        now: Millis,
        jobs: &JobTable,
        run: &RunId,
        resources: &Resources,
    ) {
        if let Some(user) = self.user_of(jobs, &run.task.job) {
            self.accounts
                .on_run_started(now, &user, run.clone(), resources);
        }
    }

    /// Charges a run that a worker has reported as finished. Must be called before the job table processes
    /// the outcome, because the job's state before it decides whether the user is charged.
    pub(crate) fn on_run_finished(
        &mut self,
        now: Millis,
        jobs: &JobTable,
        run: &RunId,
        outcome: RunEnd,
        checkpoint: &str,
    ) {
        let state = jobs.status(&run.task.job);
        let is_job_over = matches!(state, Some(JobState::Cancelled | JobState::Failed));
        let charge = match outcome {
            RunEnd::Done | RunEnd::Failed => UsageCharge::Full,
            // The user cancelled the job, the job itself failed, or a checkpoint preserves the work.
            RunEnd::Stopped if is_job_over || !checkpoint.is_empty() => UsageCharge::Full,
            RunEnd::Stopped
            | RunEnd::LeaseExpired
            | RunEnd::GangBroken
            | RunEnd::GangIncomplete
            | RunEnd::Rejected => UsageCharge::Nothing,
        };
        self.accounts.on_run_finished(now, run, charge);
    }

    /// Ends the charging of a run whose capacity is released. A run that was not reported as finished is not
    /// charged.
    pub(crate) fn on_run_released(&mut self, now: Millis, run: &RunId) {
        self.accounts
            .on_run_finished(now, run, UsageCharge::Nothing);
    }

    /// Creates a new ranking version if one is due, and returns its writes. A pass over the pending units
    /// starts with it, unless one is in progress. That pass finishes first, because restarting it would never
    /// reach the last units of a long queue.
    pub(crate) fn publish_ranking(&mut self, now: Millis) -> Vec<Write> {
        let writes = self.accounts.publish_if_due(now);
        if !writes.is_empty() && self.pass.is_none() {
            self.pass = Some(ReorderPass {
                version: self.accounts.version(),
                last: None,
            });
        }
        writes
    }

    /// Returns the next units of the pass, with their order by the newest ranking.
    pub(crate) fn next_reordered_units(
        &mut self,
        jobs: &JobTable,
        pending: &BTreeMap<UnitId, Unit>,
    ) -> Vec<ReorderedUnit> {
        let Some(pass) = self.pass.take() else {
            return Vec::new();
        };
        let after_last = pass.last.map_or(Unbounded, Excluded);
        let units: Vec<ReorderedUnit> = pending
            .range((after_last, Unbounded))
            .take(MAX_REORDERED_UNITS)
            .map(|(id, unit)| ReorderedUnit {
                unit: id.clone(),
                order: self.order_key(jobs, unit),
            })
            .collect();
        let newest = self.accounts.version();
        self.pass = match units.last() {
            Some(last) if units.len() == MAX_REORDERED_UNITS => Some(ReorderPass {
                version: pass.version,
                last: Some(last.unit.clone()),
            }),
            _ if pass.version < newest => Some(ReorderPass {
                version: newest,
                last: None,
            }),
            _ => None,
        };
        units
    }

    /// Difference in order, in milliseconds, above which a pending unit is reordered.
    pub(crate) fn min_shift_ms(&self) -> Millis {
        self.accounts.settings().max_delay_ms / MIN_SHIFT_DIVISOR
    }
}
