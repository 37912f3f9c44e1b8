//! What users have lately used, where it is switched on: who is charged for which run, and the order that follows.

use crate::scheduler::Scheduler;
use serde_json::json;
use std::sync::Arc;
use streamusher_fair_share::{
    FairShareAccounts, FairShareSettings, RankingVersion, UsageCharge, UserUsage,
};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{JobId, RunEnd, RunId};
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

/// Waiting units that are looked at after each watch: bounded work, however many wait.
const LOOKED_AT: usize = 256;
/// A waiting unit gets another place when its delay has changed by this share of the largest delay.
const MOVED_SHARE: Millis = 64;
/// Users that status lists, those with the largest debts.
const SHOWN_USERS: usize = 100;

/// The debts, and how far the order of what waits follows them.
pub(crate) struct ShareDebt {
    book: FairShareAccounts,
    /// The version by which waiting units are being ordered anew, and the last of them that was looked at.
    ordering: Option<(RankingVersion, Option<UnitId>)>,
}

impl ShareDebt {
    pub(crate) fn recover(
        settings: FairShareSettings,
        epoch: u64,
        now: Millis,
        records: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) -> ShareDebt {
        let book = FairShareAccounts::recover(settings, epoch, now, records);
        if !book.damaged().is_empty() {
            log::warn!(
                "share debt: {} records cannot be read; their users begin anew",
                book.damaged().len()
            );
        }
        ShareDebt {
            book,
            ordering: None,
        }
    }

    /// The version, its age, and the users with the largest debts.
    pub(crate) fn status(&self, now: Millis) -> serde_json::Value {
        let mut users: Vec<_> = self
            .book
            .users()
            .map(|user| self.book.show(now, user))
            .collect();
        users.sort_by_key(|shown| std::cmp::Reverse(shown.present_core_ms));
        let count = users.len();
        users.truncate(SHOWN_USERS);
        json!({
            "version": self.book.version(), "age_ms": self.book.age(now), "count": count, "users": users,
        })
    }

    /// What a user has lately used.
    pub(crate) fn show(&self, now: Millis, user: &Arc<str>) -> UserUsage {
        self.book.show(now, user)
    }

    /// What a delay must change by to move a unit that waits.
    fn least_move(&self) -> Millis {
        self.book.settings().most_delay_ms / MOVED_SHARE
    }
}

impl Scheduler {
    /// A unit's order within its priority.
    pub(crate) fn order_by_debt(&self, unit: &Unit) -> u64 {
        let Some(debt) = &self.share_debt else {
            return unit.order;
        };
        match self.user_of(&unit.id.step.job) {
            Some(user) => debt.book.order_key(&user, unit.priority, unit.order),
            None => unit.order,
        }
    }

    /// A run takes its room.
    pub(crate) fn debt_begins(&mut self, now: Millis, run: &RunId, resources: &Resources) {
        let Some(user) = self.user_of(&run.task.job) else {
            return;
        };
        if let Some(debt) = &mut self.share_debt {
            debt.book.on_run_started(now, &user, run.clone(), resources);
        }
    }

    /// A run's room is free. Told again, nothing changes.
    pub(crate) fn debt_ends(&mut self, now: Millis, run: &RunId, charge: UsageCharge) {
        if let Some(debt) = &mut self.share_debt {
            debt.book.on_run_finished(now, run, charge);
        }
    }

    /// A worker listed a run's end; to be told before the job record hears of it.
    pub(crate) fn debt_of_end(&mut self, now: Millis, run: &RunId, how: RunEnd, checkpoint: &str) {
        if self.share_debt.is_none() {
            return;
        }
        let state = self.jobs.status(&run.task.job);
        let is_unwanted = matches!(state, Some(JobState::Cancelled | JobState::Failed));
        let charge = match how {
            RunEnd::Done | RunEnd::Failed => UsageCharge::Used,
            // The user had it stopped, its own job failed, or nothing of its work is lost.
            RunEnd::Stopped if is_unwanted || !checkpoint.is_empty() => UsageCharge::Used,
            RunEnd::Stopped
            | RunEnd::LeaseExpired
            | RunEnd::GangBroken
            | RunEnd::GangIncomplete
            | RunEnd::Rejected => UsageCharge::ThrownAway,
        };
        self.debt_ends(now, run, charge);
    }

    /// Makes a version where one is due, and goes on ordering what waits by the newest.
    pub(crate) fn watch_debts(&mut self, now: Millis) {
        let Some(debt) = &mut self.share_debt else {
            return;
        };
        let writes = debt.book.advance(now);
        let newest = debt.book.version();
        // A pass that is not over goes to its end first, or the last ones of a long queue would never be looked at.
        if !writes.is_empty() && debt.ordering.is_none() {
            debt.ordering = Some((newest, None));
        }
        self.write(writes);
        self.order_anew();
    }

    fn order_anew(&mut self) {
        use std::ops::Bound::{Excluded, Unbounded};
        let Some(debt) = &mut self.share_debt else {
            return;
        };
        let Some((version, last)) = debt.ordering.take() else {
            return;
        };
        let least_move = debt.least_move();
        let newest = debt.book.version();
        let after = last.map_or(Unbounded, Excluded);
        let units: Vec<(UnitId, u64)> = self
            .waiting
            .range((after, Unbounded))
            .take(LOOKED_AT)
            .map(|(id, unit)| (id.clone(), self.order_by_debt(unit)))
            .collect();
        let next = match units.last() {
            Some((last, _)) if units.len() == LOOKED_AT => Some((version, Some(last.clone()))),
            _ if version < newest => Some((newest, None)),
            _ => None,
        };
        if let Some(debt) = &mut self.share_debt {
            debt.ordering = next;
        }
        for (unit, order) in units {
            let before = self.placement.order_of(&unit);
            if before.is_some_and(|before| before.abs_diff(order) > least_move) {
                self.placement.reorder(&unit, order);
            }
        }
    }

    /// Who pays for a job's tasks.
    pub(crate) fn user_of(&self, job: &JobId) -> Option<Arc<str>> {
        let debt = self.share_debt.as_ref()?;
        let queue = self.jobs.queue_of(job)?;
        Some(debt.book.settings().user_of(&queue))
    }
}
