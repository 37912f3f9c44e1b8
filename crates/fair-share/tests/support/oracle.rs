//! The oracle: computes values from the list of all usage, in integers with 60 fractional bits, by square
//! roots and a closed form. It shares nothing with the package's arithmetic: no sums by half-life, no table,
//! no window.

const BITS: u32 = 60;
const ONE: u128 = 1 << BITS;
/// ln 2, with 60 fractional bits.
const LN_2: u128 = 799_144_290_325_165_979;

/// Usage as a rate in thousandths of a core, a start and an end.
pub(crate) type UsageSpan = (u64, u64, u64);

fn square_root(value: u128) -> u128 {
    let (mut low, mut high) = (0u128, 1u128 << 64);
    while low + 1 < high {
        let middle = u128::midpoint(low, high);
        if middle * middle <= value {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// 2^-(span / half-life), with 60 fractional bits.
pub(crate) fn fraction_left(span: u64, half_life: u64) -> u128 {
    let whole = span / half_life;
    if whole >= 100 {
        return 0;
    }
    let mut rest = span % half_life;
    let (mut power, mut root) = (ONE, ONE / 2);
    for _ in 0..58 {
        root = square_root(root << BITS);
        rest *= 2;
        if rest >= half_life {
            rest -= half_life;
            power = (power * root) >> BITS;
        }
    }
    power >> whole
}

/// The value at `now`, in core-milliseconds: the sum of rate x half-life / ln 2 x (2^-(now-to) -
/// 2^-(now-from)).
pub(crate) fn value_at(spans: &[UsageSpan], half_life: u64, now: u64) -> u64 {
    let mut total = 0u128;
    for &(rate, from, to) in spans {
        let (from, to) = (from.min(now), to.min(now));
        let weight = fraction_left(now - to, half_life) - fraction_left(now - from, half_life);
        // Milliseconds with 20 fractional bits.
        let span = (weight >> 20) * u128::from(half_life) / (LN_2 >> 20) * (1 << 20)
            + (((weight >> 20) * u128::from(half_life) % (LN_2 >> 20)) << 20) / (LN_2 >> 20);
        total += u128::from(rate) * span;
    }
    u64::try_from((total / 1_000) >> 20).expect("a value of 64 bits")
}
