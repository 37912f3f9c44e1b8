//! Observed values that decay over time.

use crate::interface::Micros;

/// A value and the time of its observation.
#[derive(Clone, Copy)]
pub(crate) struct Observation {
    /// When the value was observed.
    pub(crate) at: Micros,
    /// The observed value.
    pub(crate) value: f64,
}

/// The current value of an observation: it decays exponentially to the baseline, by a factor e per time
/// constant. Without an observation the result is the baseline.
pub(crate) fn decayed(
    observation: Option<Observation>,
    baseline: f64,
    now: Micros,
    time_constant_us: f64,
) -> f64 {
    observation.map_or(baseline, |observation| {
        let age_us = now.saturating_sub(observation.at) as f64;
        baseline + (observation.value - baseline) * (-age_us / time_constant_us).exp()
    })
}
