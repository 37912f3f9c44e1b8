//! Exponential moving averages.

use crate::interface::Micros;

/// Weight of the newest value: the average covers about the last twenty values.
pub(crate) const SMOOTHING_FACTOR: f64 = 0.05;

/// Number of values that have the same weight as the prior.
const PRIOR_WEIGHT: f64 = 20.0;

/// An exponential moving average that weights its first values equally.
#[derive(Clone, Copy, Default)]
pub(crate) struct MovingAverage {
    /// Number of values added so far.
    pub(crate) count: f64,
    /// The current average.
    pub(crate) mean: f64,
}

impl MovingAverage {
    /// Creates an average that is `value` until the first value is added.
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

    /// The average, drawn towards `prior` while there are few values.
    pub(crate) fn with_prior(&self, prior: f64) -> f64 {
        let count = self.count.min(2.0 * PRIOR_WEIGHT);
        (self.mean * count + prior * PRIOR_WEIGHT) / (count + PRIOR_WEIGHT)
    }
}
