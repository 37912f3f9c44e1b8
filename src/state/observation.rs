//! Observed values that lose their meaning with time.

use crate::interface::Micros;

/// A value, and when it was observed.
#[derive(Clone, Copy)]
pub(crate) struct Observation {
    /// When.
    pub(crate) at: Micros,
    /// The value.
    pub(crate) value: f64,
}

/// What an observation is worth now: it decays exponentially to the baseline, by a factor e per time constant. Without
/// an observation it is the baseline.
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
