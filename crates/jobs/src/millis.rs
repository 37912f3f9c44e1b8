//! Conversion of computed durations to whole milliseconds.

use streamusher_protocol::Millis;

/// Converts a duration to whole milliseconds, rounded down. Negative values and NaN become 0; values out of
/// range become the largest duration.
#[expect(
    clippy::cast_possible_truncation,
    reason = "rounding down is intended, and `as` saturates at both ends"
)]
pub(crate) fn saturating_millis(duration_ms: f64) -> Millis {
    duration_ms as Millis
}
