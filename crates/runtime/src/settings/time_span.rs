//! Decodes time spans in settings, which may be integers or fractions.

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use streamusher_protocol::Millis;

/// Decodes a number of milliseconds, which may have a fraction, and rounds it to an integer.
pub(super) fn deserialize_millis<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Millis, D::Error> {
    let value = f64::deserialize(deserializer)?;
    if value.is_nan() || value < 0.0 {
        return Err(D::Error::custom("a time below zero"));
    }
    Ok(round_to_millis(value))
}

/// Rounds to the nearest integer number of milliseconds; a negative number gives 0.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the value is whole and not negative, and `as` saturates at the largest integer"
)]
pub(super) fn round_to_millis(value: f64) -> Millis {
    value.max(0.0).round() as Millis
}
