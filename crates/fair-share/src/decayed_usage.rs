//! A user's usage under exponential decay: one sum per half-life, weighted as of the half-life's beginning.

use crate::decay::{
    decay_factor, power_of_two, weight_up_to, FACTOR_BITS, POWER_BITS, WEIGHT_BITS,
};
use serde::{Deserialize, Serialize};
use streamusher_protocol::Millis;

/// Number of half-lives after which usage is discarded. It has decayed to 1/65,536 by then.
pub const MAX_HALF_LIVES: u64 = 16;
/// Maximum number of half-lives by which a merged part may be ahead of the queried time.
const MAX_HALF_LIVES_AHEAD: u64 = 8;
/// Maximum number of sums in one usage: those of [`MAX_HALF_LIVES`], those ahead of the time, and those at
/// both ends. Only a damaged record has more.
const MAX_SUMS: usize = 32;
/// Divisor that converts thousandths of a core times milliseconds into core-milliseconds.
const MILLICORES_PER_CORE: u128 = 1_000;
/// Fractional bits of a value apart from those that align sums: the bits of the factor and of the weights.
const VALUE_BITS: u32 = FACTOR_BITS + WEIGHT_BITS;

/// Usage within one half-life, weighted as of its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HalfLifeSum {
    /// Number of the half-life, counted from the cluster time 0.
    half_life: u64,
    sum: u64,
}

/// A user's usage in each of the last half-lives, as a weighted sum as of that half-life's beginning.
///
/// Half-lives are counted from the cluster time 0. Usage at time `t` in half-life `n` has the weight 2^(t /
/// half-life - n). Sums saturate, so addition is exact, commutative and associative, and nothing is rounded
/// until a value is read. Usage is discarded by its half-life alone, so it does not matter whether that
/// happens before or after a merge.
///
/// All rates are in thousandths of a core. Encoded as a list of pairs: the number of a half-life and its sum.
///
/// ```
/// use streamusher_fair_share::DecayedUsage;
///
/// let half_life = 10_000;
/// let mut usage = DecayedUsage::default();
/// usage.add(half_life, 8_000, 0, 10_000);
/// let value = usage.value_at(half_life, 10_000);
/// assert!(value < 80_000, "eight cores for 10 s, less what decayed meanwhile");
/// assert_eq!(usage.value_at(half_life, 20_000), value / 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct DecayedUsage {
    /// Ordered by half-life, without duplicates.
    sums: Vec<HalfLifeSum>,
}

impl DecayedUsage {
    /// Adds usage at a constant rate between two cluster times.
    pub fn add(&mut self, half_life: Millis, rate: u64, from: Millis, to: Millis) {
        for_each_half_life(half_life, from, to, |number, weight| {
            let sum = self.sum_mut(number);
            *sum = sum.saturating_add(rate.saturating_mul(weight));
        });
    }

    /// Reverts [`DecayedUsage::add`] with the same arguments.
    pub fn subtract(&mut self, half_life: Millis, rate: u64, from: Millis, to: Millis) {
        for_each_half_life(half_life, from, to, |number, weight| {
            let sum = self.sum_mut(number);
            *sum = sum.saturating_sub(rate.saturating_mul(weight));
        });
        self.sums.retain(|entry| entry.sum > 0);
    }

    /// Adds another part of the same user's usage.
    pub fn merge(&mut self, other: &DecayedUsage) {
        for entry in &other.sums {
            let sum = self.sum_mut(entry.half_life);
            *sum = if cfg!(feature = "mutant-merge") {
                (*sum).max(entry.sum)
            } else {
                sum.saturating_add(entry.sum)
            };
        }
    }

    /// Discards usage that is older than [`MAX_HALF_LIVES`] at a cluster time.
    pub fn discard_expired(&mut self, half_life: Millis, now: Millis) {
        let oldest = (now / half_life.max(1)).saturating_sub(MAX_HALF_LIVES);
        self.sums.retain(|entry| entry.half_life >= oldest);
    }

    /// Value at a cluster time, in core-milliseconds, rounded down once.
    pub fn value_at(&self, half_life: Millis, now: Millis) -> u64 {
        let half_life = half_life.max(1);
        let current = now / half_life;
        let total: u128 = self.sums.iter().map(|entry| entry.aligned(current)).sum();
        // Below 2^91 with all sums at their maximum, so there is enough space for 32 more bits.
        let scaled = total * u128::from(decay_factor(now % half_life, half_life));
        let millicore_ms = (scaled >> MAX_HALF_LIVES) >> VALUE_BITS;
        u64::try_from(millicore_ms / MILLICORES_PER_CORE).unwrap_or(u64::MAX)
    }

    /// Creates usage with a given value in core-milliseconds at a cluster time, rounded. Used to convert
    /// usage to another half-life.
    pub(crate) fn from_value(core_ms: u64, half_life: Millis, now: Millis) -> DecayedUsage {
        let half_life = half_life.max(1);
        let growth =
            u128::from(power_of_two(now % half_life, half_life) >> (POWER_BITS - FACTOR_BITS));
        let sum =
            (u128::from(core_ms) * MILLICORES_PER_CORE * growth) >> (FACTOR_BITS - WEIGHT_BITS);
        DecayedUsage {
            sums: vec![HalfLifeSum {
                half_life: now / half_life,
                sum: u64::try_from(sum).unwrap_or(u64::MAX),
            }],
        }
    }

    /// Number of the latest half-life with usage.
    pub(crate) fn latest_half_life(&self) -> Option<u64> {
        self.sums.last().map(|entry| entry.half_life)
    }

    /// Whether no half-life has a sum.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    fn sum_mut(&mut self, half_life: u64) -> &mut u64 {
        let found = self
            .sums
            .binary_search_by_key(&half_life, |entry| entry.half_life);
        let index = found.unwrap_or_else(|index| {
            self.sums.insert(index, HalfLifeSum { half_life, sum: 0 });
            index
        });
        &mut self.sums[index].sum
    }
}

impl HalfLifeSum {
    /// The sum as it counts in the half-life `current`, with [`MAX_HALF_LIVES`] fractional bits.
    fn aligned(&self, current: u64) -> u128 {
        let age = current.saturating_sub(self.half_life);
        let ahead = self
            .half_life
            .saturating_sub(current)
            .min(MAX_HALF_LIVES_AHEAD);
        if age > MAX_HALF_LIVES {
            return 0;
        }
        let age = if cfg!(feature = "mutant-fade") {
            0
        } else {
            age
        };
        u128::from(self.sum) << (MAX_HALF_LIVES + ahead - age)
    }
}

impl From<Vec<(u64, u64)>> for DecayedUsage {
    /// Decodes sums in any order. Sums of the same half-life are added, and only the latest half-lives are
    /// kept.
    fn from(sums: Vec<(u64, u64)>) -> DecayedUsage {
        let mut usage = DecayedUsage::default();
        for (half_life, added) in sums {
            let sum = usage.sum_mut(half_life);
            *sum = sum.saturating_add(added);
        }
        let excess = usage.sums.len().saturating_sub(MAX_SUMS);
        usage.sums.drain(..excess);
        usage
    }
}

impl From<DecayedUsage> for Vec<(u64, u64)> {
    fn from(usage: DecayedUsage) -> Vec<(u64, u64)> {
        usage
            .sums
            .iter()
            .map(|entry| (entry.half_life, entry.sum))
            .collect()
    }
}

/// Calls `on_half_life` for each half-life that a span overlaps, with its number and the span's weight in it.
/// If a span is longer than [`MAX_HALF_LIVES`], only its end counts.
fn for_each_half_life(
    half_life: Millis,
    from: Millis,
    to: Millis,
    mut on_half_life: impl FnMut(u64, u64),
) {
    let half_life = half_life.max(1);
    if from >= to {
        return;
    }
    let last = (to - 1) / half_life;
    let first = (from / half_life).max(last.saturating_sub(MAX_HALF_LIVES));
    for number in first..=last {
        let begins_at = number.saturating_mul(half_life);
        let start = from.max(begins_at) - begins_at;
        let end = (to - begins_at).min(half_life);
        let weight = weight_up_to(end, half_life).saturating_sub(weight_up_to(start, half_life));
        on_half_life(number, weight);
    }
}
