//! Compares the run time of a task with those of the other tasks of its step.
//!
//! The tasks of a step are alike and share one estimate, right or wrong, so their run times distinguish
//! workers far better than estimates do.

use std::collections::{BTreeMap, VecDeque};
use streamusher_protocol::unit::StepId;

/// Maximum number of steps kept, to bound memory; the oldest are evicted.
const MAX_STEPS: usize = 1_024;
/// Shorter run times are ignored as meaningless.
const MIN_RUN_MS: f64 = 1.0;

/// Mean logarithm of the run times of one step's tasks.
#[derive(Clone, Copy, Debug, Default)]
struct MeanLogarithm {
    mean: f64,
    observations: f64,
}

/// Run times of a service's most recent steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepRunTimes {
    by_step: BTreeMap<StepId, MeanLogarithm>,
    oldest_first: VecDeque<StepId>,
}

impl StepRunTimes {
    /// Records a task's run time near its data. Returns its ratio to the geometric mean of the step's earlier
    /// tasks, or `None` for the first.
    pub(crate) fn observe(&mut self, step: &StepId, run_ms: f64) -> Option<f64> {
        if !run_ms.is_finite() || run_ms < MIN_RUN_MS {
            return None;
        }
        if !self.by_step.contains_key(step) {
            self.evict_oldest_if_full();
            self.oldest_first.push_back(step.clone());
        }
        let step_mean = self.by_step.entry(step.clone()).or_default();
        let logarithm = run_ms.ln();
        let ratio = (step_mean.observations > 0.0).then(|| (logarithm - step_mean.mean).exp());
        step_mean.observations += 1.0;
        step_mean.mean += (logarithm - step_mean.mean) / step_mean.observations;
        ratio
    }

    fn evict_oldest_if_full(&mut self) {
        if self.oldest_first.len() < MAX_STEPS {
            return;
        }
        if let Some(oldest) = self.oldest_first.pop_front() {
            self.by_step.remove(&oldest);
        }
    }
}
