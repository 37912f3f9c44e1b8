//! Numeric conversions that are exact for the sizes that occur in a simulation and saturate beyond them.

/// Truncates a non-negative number to an integer.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the whole part is wanted, and `as` saturates"
)]
pub(crate) fn whole(number: f64) -> u64 {
    number as u64
}

/// Truncates a small non-negative number to an integer.
pub(crate) fn whole_u32(number: f64) -> u32 {
    u32::try_from(whole(number)).unwrap_or(u32::MAX)
}

/// Converts an index or a count to the protocol's type.
pub(crate) fn index_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
