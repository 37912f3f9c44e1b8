//! What ends and reports teach of a worker: charges for failures that fade, and its speed.

use crate::types::ReleaseReason;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::Millis;

/// A charge halves in this time: what failed for some seconds is tried again some seconds later.
const CHARGE_HALF_LIFE_MS: f64 = 4_000.0;
/// The highest charge: it falls to a single trial run after about three half-lives.
const HIGHEST_CHARGE: f64 = 12.0;
/// A run that failed, in tasks.
const CHARGE_OF_FAILURE: f64 = 1.0;
/// A run that stood still held its room for seconds: as bad as many failures.
const CHARGE_OF_STANDSTILL: f64 = 6.0;
/// A run that was not started.
const CHARGE_OF_REFUSAL: f64 = 0.5;
/// What a good end leaves of a charge.
const KEPT_AFTER_SUCCESS: f64 = 0.7;
/// From here on a worker runs one task at a time, as a trial.
const CHARGE_OF_TRIAL: f64 = 3.0;
/// From here on it gets nothing.
const CHARGE_OF_REST: f64 = 4.5;
/// Newest observation's part in a mean of many.
const BLEND: f64 = 0.15;
/// Observations of a worker's speed halve in weight in this time, so that a slow one is tried again.
const SPEED_HALF_LIFE_MS: f64 = 10_000.0;
/// This many standard errors are taken for noise.
const NOISE: f64 = 1.0;
/// Standard deviation of single observations where little is known of it: estimates are rough.
const FIRST_DEVIATION: f64 = 1.0;
/// Observations before the deviation that was seen counts.
const LEAST_FOR_DEVIATION: f64 = 10.0;
/// Run times of equal tasks differ by no less than about a tenth.
const LEAST_DEVIATION: f64 = 0.1;
const MOST_OBSERVATIONS: f64 = 20.0;
const SLOWEST: f64 = 8.0;

fn faded(value: f64, from: Millis, now: Millis, half_life_ms: f64) -> f64 {
    value * (-(now.saturating_sub(from) as f64) / half_life_ms).exp2()
}

/// What speaks against a worker, in tasks; fades.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Charge {
    value: f64,
    at: Millis,
}

impl Charge {
    /// One that another primary has learnt.
    pub fn inherited(now: Millis, value: f64) -> Charge {
        Charge {
            value: value.clamp(0.0, HIGHEST_CHARGE),
            at: now,
        }
    }

    pub fn at(&self, now: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        faded(self.value, self.at, now, CHARGE_HALF_LIFE_MS)
    }

    /// Learns from an end; answers by how much the charge has changed.
    pub fn learn(&mut self, now: Millis, how: ReleaseReason) -> f64 {
        let (kept, added) = match how {
            ReleaseReason::Finished {
                outcome: RunEnd::Done,
                ..
            } => (KEPT_AFTER_SUCCESS, 0.0),
            ReleaseReason::Finished {
                outcome: RunEnd::Failed,
                ..
            } => (1.0, CHARGE_OF_FAILURE),
            ReleaseReason::Finished {
                outcome: RunEnd::Rejected,
                ..
            } => (1.0, CHARGE_OF_REFUSAL),
            _ => return 0.0,
        };
        self.change(now, kept, added)
    }

    /// Learns that a run makes no progress; answers by how much the charge has changed.
    pub fn learn_standstill(&mut self, now: Millis) -> f64 {
        self.change(now, 1.0, CHARGE_OF_STANDSTILL)
    }

    fn change(&mut self, now: Millis, kept: f64, added: f64) -> f64 {
        let before = self.at(now);
        let after = (before * kept + added).min(HIGHEST_CHARGE);
        *self = Charge {
            value: after,
            at: now,
        };
        after - before
    }

    /// Adds to a sum of charges, which fades as each of them does.
    pub fn add(&mut self, now: Millis, change: f64) {
        *self = Charge {
            value: (self.at(now) + change).max(0.0),
            at: now,
        };
    }
}

/// How many runs a worker may have at once, by how far its charge is above the mean of its service: where all
/// fail alike, the tasks are at fault.
pub(crate) fn most_runs(charge: f64, mean: f64) -> usize {
    match charge - mean {
        excess if excess >= CHARGE_OF_REST => 0,
        excess if excess >= CHARGE_OF_TRIAL => 1,
        _ => usize::MAX,
    }
}

/// Mean of the logarithm of run time over what is usual for such a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    mean: f64,
    variance: f64,
    observations: f64,
    at: Millis,
}

impl Speed {
    pub fn learn(&mut self, now: Millis, ratio: f64) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let known = self.weight(now);
        let part = (1.0 / (known + 1.0)).max(BLEND);
        let distance = ratio.ln() - self.mean;
        self.mean += part * distance;
        self.variance = (1.0 - part) * (self.variance + part * distance * distance);
        self.observations = (known + 1.0).min(MOST_OBSERVATIONS);
        self.at = now;
    }

    /// Standard deviation of single observations.
    fn deviation(&self) -> f64 {
        if self.observations < LEAST_FOR_DEVIATION {
            return FIRST_DEVIATION;
        }
        self.variance.sqrt().clamp(LEAST_DEVIATION, FIRST_DEVIATION)
    }

    fn weight(&self, now: Millis) -> f64 {
        if self.observations == 0.0 {
            return 0.0;
        }
        faded(self.observations, self.at, now, SPEED_HALF_LIFE_MS)
    }

    /// Run time here over the usual, with what may be noise taken off.
    pub fn slowness(&self, now: Millis, usual: &Speed) -> f64 {
        let weight = self.weight(now);
        if weight < 1.0 || usual.observations == 0.0 {
            return 1.0;
        }
        let distance = self.mean - usual.mean;
        let sure = (distance.abs() - NOISE * usual.deviation() / weight.sqrt()).max(0.0);
        (sure * distance.signum())
            .exp()
            .clamp(1.0 / SLOWEST, SLOWEST)
    }
}

/// A mean in which each observation has the same weight at first and a fixed part later.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    value: f64,
    observations: f64,
}

impl Mean {
    pub fn learn(&mut self, value: f64) {
        self.observations = (self.observations + 1.0).min(MOST_OBSERVATIONS);
        self.value += (value - self.value) * (1.0 / self.observations).max(0.05);
    }

    pub fn or(&self, default: f64) -> f64 {
        if self.observations > 0.0 {
            self.value
        } else {
            default
        }
    }
}
