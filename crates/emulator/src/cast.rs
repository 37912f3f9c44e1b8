//! Conversions between numbers that cannot fail for the sizes that occur in a simulation, and saturate beyond.

/// The whole part of a number that is not negative.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the whole part is wanted, and `as` saturates"
)]
pub(crate) fn whole(number: f64) -> u64 {
    number as u64
}

/// The whole part of a small number that is not negative.
pub(crate) fn whole_u32(number: f64) -> u32 {
    u32::try_from(whole(number)).unwrap_or(u32::MAX)
}

/// An index or a count as the protocol encodes it.
pub(crate) fn index_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
