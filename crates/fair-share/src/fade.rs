//! Powers of two in fixed point, and the weight of a span of time. Integers only, so every machine gets the same.

use streamusher_protocol::Millis;

/// Fractional bits of the powers.
pub(crate) const POWER_BITS: u32 = 62;
/// Fractional bits of a weight.
pub(crate) const WEIGHT_BITS: u32 = 10;
/// 1 / ln 2, with 32 fractional bits.
const LOG2_E: u128 = 6196328018;

/// Power `i` is 2 to the power of 2^-(i+1), with [`POWER_BITS`] fractional bits.
const ROOTS: [u64; 32] = [
    0x5a827999fcef3242,
    0x4c1bf828c6dc54b7,
    0x45cae0f1f545eb73,
    0x42d561b3e6243d8a,
    0x4166c34c5615d0eb,
    0x40b268f9de0183b9,
    0x4058f6a7ecccd5b6,
    0x402c6be96af2fb58,
    0x4016321b687027a8,
    0x400b18178ba33b14,
    0x40058bce410147e8,
    0x4002c5d7bff71dae,
    0x400162e807ee7e5b,
    0x4000b1730df6a524,
    0x400058b9497b8151,
    0x40002c5c955dd701,
    0x4000162e46d6f26b,
    0x40000b1722757b1b,
    0x4000058b90fd3e0c,
    0x400002c5c86f3f26,
    0x40000162e433c79b,
    0x400000b17218edcf,
    0x40000058b90c3968,
    0x4000002c5c860d54,
    0x400000162e4302d2,
    0x4000000b17218073,
    0x400000058b90bffc,
    0x40000002c5c85fee,
    0x4000000162e42ff3,
    0x40000000b17217f8,
    0x4000000058b90bfc,
    0x400000002c5c85fe,
];

/// 2 to the power of `part / whole`, from 1 up to 2, with 62 fractional bits. `whole` has at most 32 bits.
///
/// Never falls as `part` rises: steps of the 32-bit fraction are 2^29 units at least, and roundings some 32.
pub(crate) fn power_of_two(part: Millis, whole: Millis) -> u64 {
    let whole = whole.max(1);
    if part >= whole {
        return 2 << POWER_BITS;
    }
    let fraction = ((u128::from(part) << 32) / u128::from(whole)) as u64;
    let mut power = 1u128 << POWER_BITS;
    for (index, root) in ROOTS.iter().enumerate() {
        if (fraction >> (31 - index)) & 1 == 1 {
            power = (power * u128::from(*root)) >> POWER_BITS;
        }
    }
    power as u64
}

/// The integral of 2^(t / half-life) over the first `part` milliseconds of a half-life, in milliseconds with
/// [`WEIGHT_BITS`] fractional bits. Differences of it add up without error, wherever a span is cut.
pub(crate) fn weight_up_to(part: Millis, half_life: Millis) -> u64 {
    let growth = u128::from(power_of_two(part, half_life)) - (1 << POWER_BITS);
    // 32 bits of milliseconds, 48 of growth and 33 of the constant: below 2^113.
    let scaled = u128::from(half_life) * (growth >> (POWER_BITS - 48));
    ((scaled * LOG2_E) >> (48 + 32 - WEIGHT_BITS)) as u64
}

/// 2^-(part / whole), from 1 down to 1/2, with 32 fractional bits.
pub(crate) fn faded(part: Millis, whole: Millis) -> u64 {
    if cfg!(feature = "mutant-fade") {
        return 1 << 32;
    }
    power_of_two(whole.saturating_sub(part), whole) >> (POWER_BITS - 31)
}
