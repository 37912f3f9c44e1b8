//! Powers of two in fixed point, and the weight of a time span under exponential decay.
//!
//! All arithmetic is in integers, so every machine computes the same results. Times and half-lives have at
//! most 32 bits.

use streamusher_protocol::Millis;

/// Fractional bits of the powers of two.
pub(crate) const POWER_BITS: u32 = 62;
/// Fractional bits of a weight.
pub(crate) const WEIGHT_BITS: u32 = 10;
/// Fractional bits of a decay factor.
pub(crate) const FACTOR_BITS: u32 = 32;
/// Fractional bits of the growth from which a weight is computed.
const GROWTH_BITS: u32 = 48;
/// Fractional bits of [`LOG2_E`].
const LOG2_E_BITS: u32 = 32;
/// 1 / ln 2.
const LOG2_E: u128 = 6_196_328_018;

/// Entry `i` is 2 to the power of 2^-(i+1), with [`POWER_BITS`] fractional bits.
const ROOTS_OF_TWO: [u64; 32] = [
    0x5a82_7999_fcef_3242,
    0x4c1b_f828_c6dc_54b7,
    0x45ca_e0f1_f545_eb73,
    0x42d5_61b3_e624_3d8a,
    0x4166_c34c_5615_d0eb,
    0x40b2_68f9_de01_83b9,
    0x4058_f6a7_eccc_d5b6,
    0x402c_6be9_6af2_fb58,
    0x4016_321b_6870_27a8,
    0x400b_1817_8ba3_3b14,
    0x4005_8bce_4101_47e8,
    0x4002_c5d7_bff7_1dae,
    0x4001_62e8_07ee_7e5b,
    0x4000_b173_0df6_a524,
    0x4000_58b9_497b_8151,
    0x4000_2c5c_955d_d701,
    0x4000_162e_46d6_f26b,
    0x4000_0b17_2275_7b1b,
    0x4000_058b_90fd_3e0c,
    0x4000_02c5_c86f_3f26,
    0x4000_0162_e433_c79b,
    0x4000_00b1_7218_edcf,
    0x4000_0058_b90c_3968,
    0x4000_002c_5c86_0d54,
    0x4000_0016_2e43_02d2,
    0x4000_000b_1721_8073,
    0x4000_0005_8b90_bffc,
    0x4000_0002_c5c8_5fee,
    0x4000_0001_62e4_2ff3,
    0x4000_0000_b172_17f8,
    0x4000_0000_58b9_0bfc,
    0x4000_0000_2c5c_85fe,
];

/// 2 to the power of `numerator / denominator`, from 1 up to 2, with [`POWER_BITS`] fractional bits.
/// `denominator` has at most 32 bits.
///
/// The result never decreases as `numerator` increases: a step of the 32-bit fraction changes it by at least 2^29
/// units, and rounding errors are about 32 units.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the fraction is below 2^32, and the power below 2^63"
)]
pub(crate) fn power_of_two(numerator: Millis, denominator: Millis) -> u64 {
    let denominator = denominator.max(1);
    if numerator >= denominator {
        return 2 << POWER_BITS;
    }
    let fraction = ((u128::from(numerator) << 32) / u128::from(denominator)) as u64;
    let mut power = 1u128 << POWER_BITS;
    for (index, root) in ROOTS_OF_TWO.iter().enumerate() {
        if (fraction >> (31 - index)) & 1 == 1 {
            power = (power * u128::from(*root)) >> POWER_BITS;
        }
    }
    power as u64
}

/// The integral of 2^(t / half-life) over the first `offset` milliseconds of a half-life, in milliseconds with
/// [`WEIGHT_BITS`] fractional bits. Differences between its values add up exactly, wherever a span is cut.
pub(crate) fn weight_up_to(offset: Millis, half_life: Millis) -> u64 {
    let growth = u128::from(power_of_two(offset, half_life)) - (1 << POWER_BITS);
    // 32 bits for milliseconds, 48 for growth and 33 for the constant: below 2^113.
    let scaled = u128::from(half_life) * (growth >> (POWER_BITS - GROWTH_BITS));
    ((scaled * LOG2_E) >> (GROWTH_BITS + LOG2_E_BITS - WEIGHT_BITS)) as u64
}

/// 2^-(numerator / denominator), from 1 down to 1/2, with [`FACTOR_BITS`] fractional bits.
pub(crate) fn decay_factor(numerator: Millis, denominator: Millis) -> u64 {
    if cfg!(feature = "mutant-fade") {
        return 1 << FACTOR_BITS;
    }
    power_of_two(denominator.saturating_sub(numerator), denominator)
        >> (POWER_BITS + 1 - FACTOR_BITS)
}
