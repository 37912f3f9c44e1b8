//! How a run's time compares with those of its step's other tasks.
//!
//! The tasks of a step are alike and share one estimate, right or wrong: their times tell workers apart far better than estimates
//! do.

use std::collections::{BTreeMap, VecDeque};
use streamusher_protocol::unit::StepId;

/// Steps that are remembered, the newest.
const MOST_STEPS: usize = 1_024;

/// Mean of the logarithm of run times of one step's tasks.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    mean: f64,
    observations: f64,
}

/// The paces of a service's newest steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Paces {
    by_step: BTreeMap<StepId, Pace>,
    oldest_first: VecDeque<StepId>,
}

impl Paces {
    /// A task would take, or took, this time near its data; answers that over the mean of the step's tasks before it.
    pub fn compare(&mut self, step: &StepId, run_ms: f64) -> Option<f64> {
        if !run_ms.is_finite() || run_ms < 1.0 {
            return None;
        }
        if !self.by_step.contains_key(step) {
            self.make_room();
            self.oldest_first.push_back(step.clone());
        }
        let pace = self.by_step.entry(step.clone()).or_default();
        let value = run_ms.ln();
        let ratio = (pace.observations > 0.0).then(|| (value - pace.mean).exp());
        pace.observations += 1.0;
        pace.mean += (value - pace.mean) / pace.observations;
        ratio
    }

    fn make_room(&mut self) {
        if self.oldest_first.len() < MOST_STEPS {
            return;
        }
        if let Some(oldest) = self.oldest_first.pop_front() {
            self.by_step.remove(&oldest);
        }
    }
}
