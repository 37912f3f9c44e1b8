//! Penalties: a worker's failures count against it, and fade.

use crate::allocation::ReleaseReason;
use crate::decay::decayed;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::Millis;

/// A penalty halves in this time: a worker that failed for some seconds is tried again some seconds later.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Upper bound: two half-lives without a failure take a worker from here to the end of probation.
const MAX_PENALTY: f64 = 12.0;
/// For a run that failed, in tasks.
const PENALTY_OF_FAILURE: f64 = 1.0;
/// For a run without progress: it held its capacity for seconds, as bad as many failures.
const PENALTY_OF_STALL: f64 = 6.0;
/// For a run that the worker rejected.
const PENALTY_OF_REJECTION: f64 = 0.5;
/// Factor on the penalty with each run that ends well.
const REMAINDER_AFTER_SUCCESS: f64 = 0.7;
/// From this excess over the service's mean on, a worker is on probation: it runs one task at a time.
const PROBATION_EXCESS: f64 = 3.0;
/// From this excess on it gets no task.
const EXCLUSION_EXCESS: f64 = 4.5;

/// The penalty for a worker's failures, in tasks; decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Penalty {
    value: f64,
    updated_at: Millis,
}

impl Penalty {
    /// One that a former primary has learnt.
    pub(crate) fn restored(now: Millis, value: f64) -> Penalty {
        Penalty {
            value: value.clamp(0.0, MAX_PENALTY),
            updated_at: now,
        }
    }

    /// The penalty as it counts now.
    pub(crate) fn value_at(&self, now: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        decayed(self.value, self.updated_at, now, HALF_LIFE_MS)
    }

    /// Learns from the end of a run. Returns by how much the penalty has changed.
    pub(crate) fn on_release(&mut self, now: Millis, reason: ReleaseReason) -> f64 {
        let ReleaseReason::Finished { outcome, .. } = reason else {
            return 0.0;
        };
        match outcome {
            RunEnd::Done => self.update(now, REMAINDER_AFTER_SUCCESS, 0.0),
            RunEnd::Failed => self.update(now, 1.0, PENALTY_OF_FAILURE),
            RunEnd::Rejected => self.update(now, 1.0, PENALTY_OF_REJECTION),
            _ => 0.0,
        }
    }

    /// Learns that a run makes no progress. Returns by how much the penalty has changed.
    pub(crate) fn on_stall(&mut self, now: Millis) -> f64 {
        self.update(now, 1.0, PENALTY_OF_STALL)
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

    /// Adds to a sum of penalties, which decays as each of them does.
    pub(crate) fn add_to_sum(&mut self, now: Millis, change: f64) {
        *self = Penalty {
            value: (self.value_at(now) + change).max(0.0),
            updated_at: now,
        };
    }
}

/// How many runs a worker may have at once, by the excess of its penalty over the mean of its service: where all workers
/// fail alike, the tasks are at fault.
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
