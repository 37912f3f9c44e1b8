//! Timers of the job table, ordered by time.

use std::collections::BTreeSet;
use streamusher_protocol::task::JobId;
use streamusher_protocol::unit::UnitId;
use streamusher_protocol::{Millis, Now};

/// A backoff that has elapsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ElapsedBackoff {
    /// Time for which the timer was set. The unit may have entered another backoff since.
    pub(crate) until_ms: Millis,
    pub(crate) unit: UnitId,
}

/// All timers that are set. The first entry of each set expires next.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    /// Releases of the next iteration of each job, on the system clock.
    releases: BTreeSet<(Millis, JobId)>,
    /// Ends of backoffs, on the steady clock.
    backoffs: BTreeSet<(Millis, UnitId)>,
    /// Ends of the retention of ended jobs, on the steady clock.
    expiries: BTreeSet<(Millis, JobId)>,
}

impl Timers {
    /// Sets the release time of a job's next iteration, in milliseconds since 1970.
    pub(crate) fn set_release(&mut self, unix_ms: Millis, job: &JobId) {
        self.releases.insert((unix_ms, job.clone()));
    }

    /// Sets the end of a unit's backoff, on the steady clock.
    pub(crate) fn set_backoff_end(&mut self, until_ms: Millis, unit: UnitId) {
        self.backoffs.insert((until_ms, unit));
    }

    /// Sets the end of an ended job's retention, on the steady clock.
    pub(crate) fn set_expiry(&mut self, steady_ms: Millis, job: &JobId) {
        self.expiries.insert((steady_ms, job.clone()));
    }

    /// Removes and returns the next job with a due iteration.
    pub(crate) fn pop_due_release(&mut self, now: Now) -> Option<JobId> {
        pop_due(&mut self.releases, now.unix_ms).map(|(_, job)| job)
    }

    /// Removes and returns the next backoff that has elapsed.
    pub(crate) fn pop_elapsed_backoff(&mut self, now: Now) -> Option<ElapsedBackoff> {
        let (until_ms, unit) = pop_due(&mut self.backoffs, now.steady_ms)?;
        Some(ElapsedBackoff { until_ms, unit })
    }

    /// Removes and returns the next job whose retention is over.
    pub(crate) fn pop_expired(&mut self, now: Now) -> Option<JobId> {
        pop_due(&mut self.expiries, now.steady_ms).map(|(_, job)| job)
    }

    /// Time until the next timer expires, in milliseconds; `None` if no timer is set.
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
