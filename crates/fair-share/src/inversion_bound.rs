//! By how much a start may be out of order, by the age of the ranking version that ordered it.
//!
//! Let X be started before Y, of one priority, by a version of age A. In the version X's key was not above Y's. Since
//! then X's user may have used `g`, at most `max_rate_cores x A`, and Y's usage may have decayed; all other changes of
//! usage make the order better. With the delay `D x u / (u + h)` of usage `u`, growth by `g` adds at most
//! `D x g / (g + h)`, as for `u = 0`. Decay by A takes away at most `D x tanh(A ln 2 / (4 half-life))`, as for
//! `u = h x 2^(A / (2 half-life))`, which is less than `D x A ln 2 / (4 half-life)`. Roundings of both keys, and of usage
//! read in core-milliseconds, add at most 3 ms. What is refunded to a user for wasted work counts from the first version
//! that holds it.

use crate::settings::{FairShareSettings, DEFAULT_WEIGHT};
use streamusher_protocol::Millis;

/// ln 2, in thousandths, rounded up.
const LN_2_THOUSANDTHS: u128 = 694;
/// Four, as in `A ln 2 / (4 half-life)`, in thousandths.
const FOUR_THOUSANDTHS: u128 = 4_000;
/// Roundings of both keys.
const ROUNDING_MS: u128 = 3;

/// The largest difference of true keys, in milliseconds, by which a start may precede a unit that should have started
/// before it, when the version that ranked both had this age. Never above the largest delay, plus rounding.
pub fn max_inversion_ms(settings: &FairShareSettings, age_ms: Millis) -> Millis {
    let max_delay = u128::from(settings.max_delay_ms);
    let age = u128::from(age_ms);
    let least_weight = settings.weights.values().min().copied();
    let weight = least_weight
        .unwrap_or(DEFAULT_WEIGHT)
        .clamp(1, DEFAULT_WEIGHT);
    // In thousandths of a core-millisecond, as the weight is in thousandths.
    let half_delay_usage =
        u128::from(settings.half_delay_core_s) * u128::from(DEFAULT_WEIGHT) * u128::from(weight);
    let growth =
        (u128::from(settings.max_rate_cores) * age).saturating_mul(u128::from(DEFAULT_WEIGHT));
    let by_growth = max_delay
        .saturating_mul(growth)
        .div_ceil(growth.saturating_add(half_delay_usage).max(1));
    let half_life = u128::from(settings.half_life_ms.max(1));
    let by_decay = max_delay
        .saturating_mul(LN_2_THOUSANDTHS)
        .saturating_mul(age)
        .div_ceil(FOUR_THOUSANDTHS * half_life);
    let bound = by_growth.saturating_add(by_decay).min(max_delay) + ROUNDING_MS;
    Millis::try_from(bound).unwrap_or(Millis::MAX)
}
