//! Worker penalties: failures raise a worker's penalty, which decays with time.

use crate::allocation::ReleaseReason;
use crate::decay::decayed;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::Millis;

/// Half-life of a penalty: a worker that failed for some seconds is tried again some seconds later.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Upper bound of a penalty. Without further failures, two half-lives take a worker from this value to the
/// end of probation.
const MAX_PENALTY: f64 = 12.0;
/// Penalty for a failed run, in tasks.
const FAILURE_PENALTY: f64 = 1.0;
/// Penalty for a run without progress: it held its capacity for seconds, which is as bad as many failures.
const STALL_PENALTY: f64 = 6.0;
/// Penalty for a run that the worker rejected.
const REJECTION_PENALTY: f64 = 0.5;
/// Factor on the penalty for each successful run.
const SUCCESS_FACTOR: f64 = 0.7;
/// Excess over the service's mean penalty from which a worker is on probation: it runs one task at a time.
const PROBATION_EXCESS: f64 = 3.0;
/// Excess over the service's mean penalty from which a worker gets no tasks.
const EXCLUSION_EXCESS: f64 = 4.5;

/// Penalty for a worker's failures, measured in tasks; decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Penalty {
    value: f64,
    updated_at: Millis,
}

impl Penalty {
    /// Restores a penalty that a former primary learned.
    pub(crate) fn restored(now: Millis, value: f64) -> Penalty {
        Penalty {
            value: value.clamp(0.0, MAX_PENALTY),
            updated_at: now,
        }
    }

    /// Penalty, decayed to the given time.
    pub(crate) fn value_at(&self, now: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        decayed(self.value, self.updated_at, now, HALF_LIFE_MS)
    }

    /// Updates the penalty after a run was released. Returns the change of its value.
    pub(crate) fn on_release(&mut self, now: Millis, reason: ReleaseReason) -> f64 {
        let ReleaseReason::Finished { outcome, .. } = reason else {
            return 0.0;
        };
        match outcome {
            RunEnd::Done => self.update(now, SUCCESS_FACTOR, 0.0),
            RunEnd::Failed => self.update(now, 1.0, FAILURE_PENALTY),
            RunEnd::Rejected => self.update(now, 1.0, REJECTION_PENALTY),
            _ => 0.0,
        }
    }

    /// Raises the penalty for a run without progress. Returns the change of its value.
    pub(crate) fn on_stall(&mut self, now: Millis) -> f64 {
        self.update(now, 1.0, STALL_PENALTY)
    }

    fn update(&mut self, now: Millis, factor: f64, added: f64) -> f64 {
        let before = self.value_at(now);
        let after = (before * factor + added).min(MAX_PENALTY);
        *self = Penalty {
            value: after,
            updated_at: now,
        };
        after - before
    }

    /// Adds a change to a sum of penalties. The sum decays at the same rate as each penalty.
    pub(crate) fn add_to_sum(&mut self, now: Millis, change: f64) {
        *self = Penalty {
            value: (self.value_at(now) + change).max(0.0),
            updated_at: now,
        };
    }
}

/// Number of concurrent runs that a worker may have, by the excess of its penalty over the mean of its
/// service. The mean is subtracted because the tasks are at fault if all workers fail alike.
pub(crate) fn max_concurrent_runs(penalty: f64, mean: f64) -> usize {
    let excess = penalty - mean;
    if excess >= EXCLUSION_EXCESS {
        0
    } else if excess >= PROBATION_EXCESS {
        1
    } else {
        usize::MAX
    }
}
