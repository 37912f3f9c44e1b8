//! How wrong an order may be by the age of its version.
//!
//! Let X be started before Y, of one priority, by a version of age A. In the version X's key was not above Y's. Since
//! then X's user may have used `g`, at most `largest_rate_cores x A`, and Y's debt may have faded; all other changes
//! of use make the order better. With the delay `D x d / (d + h)`, a growth of the debt by `g` adds at most
//! `D x g / (g + h)`, as for `d = 0`. Fading by A takes away at most `D x tanh(A ln 2 / (4 half-life))`, as for
//! `d = h x 2^(A / (2 half-life))`, which is less than `D x A ln 2 / (4 half-life)`. Roundings of both keys, and of
//! debts read in core-milliseconds, add at most 3 ms. What the system gives back to a user for work thrown away counts
//! from the first version that holds it.

use crate::settings::{FairShareSettings, USUAL_WEIGHT};
use streamusher_protocol::Millis;

/// ln 2, in thousandths, rounded up.
const LN_2: u128 = 694;
/// Roundings of both keys.
const ROUNDING_MS: u128 = 3;

/// The largest difference of true keys, in milliseconds, by which a start may precede a unit that should have gone
/// before it, when the version that ranked both had this age. Never above the largest delay, plus rounding.
pub fn largest_inversion_ms(settings: &FairShareSettings, age: Millis) -> Millis {
    let most = u128::from(settings.most_delay_ms);
    let age = u128::from(age);
    let least_weight = settings
        .weights
        .values()
        .min()
        .copied()
        .unwrap_or(USUAL_WEIGHT);
    let weight = u128::from(least_weight.clamp(1, USUAL_WEIGHT));
    // In thousandths of a core-millisecond, as the weight is in thousandths.
    let half = u128::from(settings.half_delay_core_s) * u128::from(USUAL_WEIGHT) * weight;
    let growth =
        (u128::from(settings.largest_rate_cores) * age).saturating_mul(u128::from(USUAL_WEIGHT));
    let grown = most
        .saturating_mul(growth)
        .div_ceil(growth.saturating_add(half).max(1));
    let half_life = u128::from(settings.half_life_ms.max(1));
    let faded = most
        .saturating_mul(LN_2)
        .saturating_mul(age)
        .div_ceil(4_000 * half_life);
    let sum = grown.saturating_add(faded).min(most) + ROUNDING_MS;
    sum as Millis
}
