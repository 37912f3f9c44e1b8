//! Exponential decay of what is learnt.

use streamusher_protocol::Millis;

/// A value that was observed at one time, as it counts at another.
pub(crate) fn decayed(value: f64, observed_at: Millis, now: Millis, half_life_ms: f64) -> f64 {
    let age_ms = now.saturating_sub(observed_at) as f64;
    value * (-age_ms / half_life_ms).exp2()
}
