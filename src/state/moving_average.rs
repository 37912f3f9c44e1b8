//! Exponential moving averages.

use crate::interface::Micros;

/// Weight of the newest value: about the last twenty values count.
pub(crate) const SMOOTHING_FACTOR: f64 = 0.05;

/// As many values count as much as the prior.
const PRIOR_WEIGHT: f64 = 20.0;

/// An exponential moving average that weighs its first values evenly.
#[derive(Clone, Copy, Default)]
pub(crate) struct MovingAverage {
    /// Number of values so far.
    pub(crate) count: f64,
    /// The average.
    pub(crate) mean: f64,
}

impl MovingAverage {
    /// An average that is `value` until the first value is added.
    pub(crate) fn with_initial(value: Micros) -> MovingAverage {
        MovingAverage {
            count: 0.0,
            mean: value as f64,
        }
    }

    pub(crate) fn add(&mut self, value: f64) {
        self.count += 1.0;
        self.mean += (value - self.mean) * SMOOTHING_FACTOR.max(1.0 / self.count);
    }

    /// The average where there are values, drawn towards the prior while they are few.
    pub(crate) fn with_prior(&self, prior: f64) -> f64 {
        let count = self.count.min(2.0 * PRIOR_WEIGHT);
        (self.mean * count + prior * PRIOR_WEIGHT) / (count + PRIOR_WEIGHT)
    }
}
