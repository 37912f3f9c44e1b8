//! Run-time statistics: the relative speed of a worker and the mean run time of a service.

use crate::decay::decayed;
use streamusher_protocol::Millis;

/// Minimum weight of the newest observation in the mean of a relative speed.
const MIN_SPEED_WEIGHT: f64 = 0.15;
/// Minimum weight of the newest observation in a mean run time.
const MIN_MEAN_WEIGHT: f64 = 0.05;
/// Half-life of the weight of a worker's speed observations. Old observations fade so that a slow worker is
/// tried again.
const SPEED_HALF_LIFE_MS: f64 = 10_000.0;
/// Differences from the baseline up to this many standard errors count as noise.
const NOISE_STANDARD_ERRORS: f64 = 1.0;
/// Standard deviation assumed for one observation while there are few of them. It is large because run-time
/// estimates are rough.
const INITIAL_DEVIATION: f64 = 1.0;
/// Number of observations from which the observed deviation replaces `INITIAL_DEVIATION`.
const MIN_OBSERVATIONS_FOR_DEVIATION: f64 = 10.0;
/// Lower bound of the deviation: run times of identical tasks differ by at least a tenth.
const MIN_DEVIATION: f64 = 0.1;
/// Upper bound of the observation count, for both kinds of mean.
const MAX_OBSERVATIONS: f64 = 20.0;
/// Upper bound of a slowness; its inverse is the lower bound.
const MAX_SLOWNESS: f64 = 8.0;

/// Relative speed of runs: the mean logarithm of the ratio of observed to expected run time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RelativeSpeed {
    mean: f64,
    variance: f64,
    observations: f64,
    updated_at: Millis,
}

impl RelativeSpeed {
    /// Records a run that took `ratio` times the expected run time.
    pub(crate) fn observe(&mut self, now: Millis, ratio: f64) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let prior_weight = self.weight_at(now);
        let weight = (1.0 / (prior_weight + 1.0)).max(MIN_SPEED_WEIGHT);
        let difference = ratio.ln() - self.mean;
        self.mean += weight * difference;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
        self.observations = (prior_weight + 1.0).min(MAX_OBSERVATIONS);
        self.updated_at = now;
    }

    /// Standard deviation of one observation.
    fn deviation(&self) -> f64 {
        if self.observations < MIN_OBSERVATIONS_FOR_DEVIATION {
            return INITIAL_DEVIATION;
        }
        self.variance.sqrt().clamp(MIN_DEVIATION, INITIAL_DEVIATION)
    }

    /// Number of observations, decayed to the given time.
    fn weight_at(&self, now: Millis) -> f64 {
        if self.observations == 0.0 {
            return 0.0;
        }
        decayed(self.observations, self.updated_at, now, SPEED_HALF_LIFE_MS)
    }

    /// Ratio of the run time to that of the baseline, less what may be noise; 1 if there are too few
    /// observations.
    pub(crate) fn slowness(&self, now: Millis, baseline: &RelativeSpeed) -> f64 {
        let weight = self.weight_at(now);
        if weight < 1.0 || baseline.observations == 0.0 {
            return 1.0;
        }
        let difference = self.mean - baseline.mean;
        let noise = NOISE_STANDARD_ERRORS * baseline.deviation() / weight.sqrt();
        let significant = (difference.abs() - noise).max(0.0);
        (significant * difference.signum())
            .exp()
            .clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS)
    }
}

/// Mean run time. Observations have equal weight at first; once there are many, the newest has a fixed
/// weight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanRunTime {
    mean_ms: f64,
    observations: f64,
}

impl MeanRunTime {
    pub(crate) fn observe(&mut self, run_ms: f64) {
        self.observations = (self.observations + 1.0).min(MAX_OBSERVATIONS);
        self.mean_ms += (run_ms - self.mean_ms) * (1.0 / self.observations).max(MIN_MEAN_WEIGHT);
    }

    pub(crate) fn get_or(&self, default_ms: f64) -> f64 {
        if self.observations > 0.0 {
            self.mean_ms
        } else {
            default_ms
        }
    }
}
