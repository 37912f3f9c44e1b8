//! Bounds by how much a start may be out of order, given the age of the ranking version that ordered it.
//!
//! Let X be started before Y, both of the same priority, by a version of age A. In that version, X's key was
//! not greater than Y's. Since then X's user may have accrued usage `g`, at most `max_rate_cores x A`, and
//! Y's usage may have decayed; all other changes of usage improve the order. With the delay `D x u / (u + h)`
//! for usage `u`, growth by `g` adds at most `D x g / (g + h)`, which is reached for `u = 0`. Decay over A
//! reduces the delay by at most `D x tanh(A ln 2 / (4 half-life))`, which is reached for `u = h x 2^(A / (2
//! half-life))` and is less than `D x A ln 2 / (4 half-life)`. Rounding of both keys, and of usage that is
//! read in core-milliseconds, adds at most 3 ms. A refund for wasted work counts from the first version that
//! contains it.

use crate::settings::{FairShareSettings, DEFAULT_WEIGHT};
use streamusher_protocol::Millis;

/// ln 2 in thousandths, rounded up.
const LN_2_THOUSANDTHS: u128 = 694;
/// The factor four of `A ln 2 / (4 half-life)`, in thousandths.
const FOUR_THOUSANDTHS: u128 = 4_000;
/// Rounding of both keys and of the usage, in milliseconds.
const ROUNDING_MS: u128 = 3;

/// Maximum difference of true keys, in milliseconds, by which a start may precede a unit that should have
/// started before it, if the version that ranked both had the given age. Never exceeds the largest delay plus
/// rounding.
pub fn max_inversion_ms(settings: &FairShareSettings, age_ms: Millis) -> Millis {
    let max_delay = u128::from(settings.max_delay_ms);
    let age = u128::from(age_ms);
    let min_weight = settings.weights.values().min().copied();
    let weight = min_weight
        .unwrap_or(DEFAULT_WEIGHT)
        .clamp(1, DEFAULT_WEIGHT);
    // In thousandths of a core-millisecond, because the weight is in thousandths.
    let half_delay_usage =
        u128::from(settings.half_delay_core_s) * u128::from(DEFAULT_WEIGHT) * u128::from(weight);
    let growth =
        (u128::from(settings.max_rate_cores) * age).saturating_mul(u128::from(DEFAULT_WEIGHT));
    let growth_delay = max_delay
        .saturating_mul(growth)
        .div_ceil(growth.saturating_add(half_delay_usage).max(1));
    let half_life = u128::from(settings.half_life_ms.max(1));
    let decay_delay = max_delay
        .saturating_mul(LN_2_THOUSANDTHS)
        .saturating_mul(age)
        .div_ceil(FOUR_THOUSANDTHS * half_life);
    let bound = growth_delay.saturating_add(decay_delay).min(max_delay) + ROUNDING_MS;
    Millis::try_from(bound).unwrap_or(Millis::MAX)
}
