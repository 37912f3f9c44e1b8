//! Fair share between users, where it is switched on: which run is charged to whom, and the order of units that follows.

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

/// Keys of the replicated state that belong to fair share.
pub(crate) const KEY_PREFIXES: &[&str] = &["debt/", "debt-version"];
/// Pending units that are reordered at a time: bounded work, however many are pending.
const MAX_REORDERED_UNITS: usize = 256;
/// A pending unit is reordered when its delay has changed by more than this part of the largest delay.
const MIN_SHIFT_DIVISOR: Millis = 64;
/// Users that the status lists, those with the largest usage.
const MAX_LISTED_USERS: usize = 100;

/// A pass over all pending units that gives them their order by the newest ranking.
struct ReorderPass {
    /// The ranking version at the beginning of the pass.
    version: RankingVersion,
    /// The last unit that was given its order.
    last: Option<UnitId>,
}

/// A pending unit with its order by the newest ranking.
pub(crate) struct ReorderedUnit {
    pub(crate) unit: UnitId,
    pub(crate) order: u64,
}

/// Users' accounts, and how far the order of pending units follows them.
pub(crate) struct FairShare {
    accounts: FairShareAccounts,
    /// None while all pending units have their order by the newest ranking.
    pass: Option<ReorderPass>,
}

impl FairShare {
    /// Continues from the replicated records of [`KEY_PREFIXES`].
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
                "fair share: {unreadable} usage records are unreadable: their users start without usage"
            );
        }
        FairShare {
            accounts,
            pass: None,
        }
    }

    /// The ranking version, its age, and the users with the largest usage.
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

    /// A user's usage.
    pub(crate) fn usage_of(&self, now: Millis, user: &Arc<str>) -> UserUsage {
        self.accounts.usage_of(now, user)
    }

    /// The user that is charged for a job; none where the job is unknown.
    pub(crate) fn user_of(&self, jobs: &JobTable, job: &JobId) -> Option<Arc<str>> {
        let queue = jobs.queue_of(job)?;
        Some(self.accounts.settings().user_of(&queue))
    }

    /// A unit's order within its priority.
    pub(crate) fn order_key(&self, jobs: &JobTable, unit: &Unit) -> u64 {
        match self.user_of(jobs, &unit.id.step.job) {
            Some(user) => self.accounts.order_key(&user, unit.priority, unit.order),
            None => unit.order,
        }
    }

    /// A run has been allocated its capacity.
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

    /// A worker reports that a run has finished. To be called before the job table learns of it, as the state of the job
    /// up to then decides whether the user pays.
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
            // The user had it stopped, its own job failed, or nothing of its work is lost.
            RunEnd::Stopped if is_job_over || !checkpoint.is_empty() => UsageCharge::Full,
            RunEnd::Stopped
            | RunEnd::LeaseExpired
            | RunEnd::GangBroken
            | RunEnd::GangIncomplete
            | RunEnd::Rejected => UsageCharge::Nothing,
        };
        self.accounts.on_run_finished(now, run, charge);
    }

    /// A run's capacity is released. One that was not reported as finished is not charged.
    pub(crate) fn on_run_released(&mut self, now: Millis, run: &RunId) {
        self.accounts
            .on_run_finished(now, run, UsageCharge::Nothing);
    }

    /// Makes a new ranking version where one is due; returns its writes. A pass over the pending units begins with it,
    /// unless one is under way: that one goes to its end first, or the last units of a long queue would never be reached.
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

    /// The next units of the pass, with their order by the newest ranking.
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

    /// A pending unit is reordered when its order has changed by more than this.
    pub(crate) fn min_shift_ms(&self) -> Millis {
        self.accounts.settings().max_delay_ms / MIN_SHIFT_DIVISOR
    }
}
