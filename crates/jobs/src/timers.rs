//! Timers of the job table, in order of time.

use std::collections::BTreeSet;
use streamusher_protocol::task::JobId;
use streamusher_protocol::unit::UnitId;
use streamusher_protocol::{Millis, Now};

/// A backoff whose time has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ElapsedBackoff {
    /// The time it was set for: a unit may have got into another backoff since.
    pub(crate) until_ms: Millis,
    /// The unit.
    pub(crate) unit: UnitId,
}

/// The timers that are set; the first entry of each set is the next.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    /// Next iterations of jobs, by the time of day.
    releases: BTreeSet<(Millis, JobId)>,
    /// Ends of backoffs, by the steady clock.
    backoffs: BTreeSet<(Millis, UnitId)>,
    /// When ended jobs are dropped, by the steady clock.
    expiries: BTreeSet<(Millis, JobId)>,
}

impl Timers {
    /// Sets the time of day of a job's next iteration.
    pub(crate) fn set_release(&mut self, unix_ms: Millis, job: &JobId) {
        self.releases.insert((unix_ms, job.clone()));
    }

    /// Sets the end of a unit's backoff, by the steady clock.
    pub(crate) fn set_backoff_end(&mut self, until_ms: Millis, unit: UnitId) {
        self.backoffs.insert((until_ms, unit));
    }

    /// Sets when an ended job is dropped, by the steady clock.
    pub(crate) fn set_expiry(&mut self, steady_ms: Millis, job: &JobId) {
        self.expiries.insert((steady_ms, job.clone()));
    }

    /// Takes the next job with an iteration that is due.
    pub(crate) fn pop_due_release(&mut self, now: Now) -> Option<JobId> {
        pop_due(&mut self.releases, now.unix_ms).map(|(_, job)| job)
    }

    /// Takes the next backoff that has elapsed.
    pub(crate) fn pop_elapsed_backoff(&mut self, now: Now) -> Option<ElapsedBackoff> {
        let (until_ms, unit) = pop_due(&mut self.backoffs, now.steady_ms)?;
        Some(ElapsedBackoff { until_ms, unit })
    }

    /// Takes the next job to drop.
    pub(crate) fn pop_expired(&mut self, now: Now) -> Option<JobId> {
        pop_due(&mut self.expiries, now.steady_ms).map(|(_, job)| job)
    }

    /// Time to the next timer, in milliseconds; none if no timer is set.
    pub(crate) fn time_to_next(&self, now: Now) -> Option<Millis> {
        [
            time_to_first(&self.releases, now.unix_ms),
            time_to_first(&self.backoffs, now.steady_ms),
            time_to_first(&self.expiries, now.steady_ms),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

fn pop_due<T: Ord>(timers: &mut BTreeSet<(Millis, T)>, now_ms: Millis) -> Option<(Millis, T)> {
    if timers.first()?.0 > now_ms {
        return None;
    }
    timers.pop_first()
}

fn time_to_first<T>(timers: &BTreeSet<(Millis, T)>, now_ms: Millis) -> Option<Millis>
where
    T: Ord,
{
    let (due_ms, _) = timers.first()?;
    Some(due_ms.saturating_sub(now_ms))
}
