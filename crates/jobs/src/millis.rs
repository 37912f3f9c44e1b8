//! Conversion of computed spans to whole milliseconds.

use streamusher_protocol::Millis;

/// A span in whole milliseconds, rounded down; negative and NaN become 0, too large ones the largest span.
#[expect(
    clippy::cast_possible_truncation,
    reason = "rounding down is wanted, and `as` saturates at both ends"
)]
pub(crate) fn saturating_millis(span_ms: f64) -> Millis {
    span_ms as Millis
}
