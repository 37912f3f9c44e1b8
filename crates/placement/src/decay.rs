//! Exponential decay of observed values.

use streamusher_protocol::Millis;

/// Value observed at `observed_at`, decayed to `now`.
pub(crate) fn decayed(value: f64, observed_at: Millis, now: Millis, half_life_ms: f64) -> f64 {
    let age_ms = now.saturating_sub(observed_at) as f64;
    value * (-age_ms / half_life_ms).exp2()
}
