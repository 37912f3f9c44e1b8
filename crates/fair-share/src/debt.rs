//! A user's debt: sums by half-life at a common reference time each.

use crate::fade::{faded, power_of_two, weight_up_to, POWER_BITS, WEIGHT_BITS};
use serde::{Deserialize, Serialize};
use streamusher_protocol::Millis;

/// Half-lives after which use is forgotten: a 65,536th of it is left by then.
pub const WINDOW: u64 = 16;
/// A merged part may be so many half-lives ahead of the time that is asked for.
const MOST_AHEAD: u64 = 8;
/// Half-lives in one debt: the window, what is ahead, and those at both ends. Only a damaged record holds more.
const MOST_SUMS: usize = 32;
/// Thousandths of a core for one millisecond, in a core-millisecond.
const MILLICORES: u128 = 1_000;

/// What was used in each of the last half-lives, as a weighted sum at that half-life's beginning.
///
/// Half-lives are counted from the agreed time 0. Use at time `t` of half-life `n` weighs 2^(t / half-life - n). Sums
/// saturate; so adding is exact, commutative and associative, and nothing is rounded before a debt is read. Use is
/// forgotten by its half-life alone, so it does not matter whether that is before or after a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct DecayedUsage {
    /// Number of the half-life, and its sum; by number, none twice.
    sums: Vec<(u64, u64)>,
}

impl DecayedUsage {
    /// Adds the use of `rate` thousandths of a core from one agreed time to another.
    pub fn add(&mut self, half_life: Millis, rate: u64, from: Millis, to: Millis) {
        for_each_part(half_life, from, to, |number, weight| {
            let sum = self.sum_mut(number);
            *sum = sum.saturating_add(rate.saturating_mul(weight));
        });
    }

    /// Takes back what [`DecayedUsage::add`] added with the same arguments.
    pub fn take_back(&mut self, half_life: Millis, rate: u64, from: Millis, to: Millis) {
        for_each_part(half_life, from, to, |number, weight| {
            let sum = self.sum_mut(number);
            *sum = sum.saturating_sub(rate.saturating_mul(weight));
        });
        self.sums.retain(|(_, sum)| *sum > 0);
    }

    /// Adds another part's debt of the same user.
    pub fn merge(&mut self, other: &DecayedUsage) {
        for (number, sum) in &other.sums {
            let mine = self.sum_mut(*number);
            if cfg!(feature = "mutant-merge") {
                *mine = (*mine).max(*sum);
            } else {
                *mine = mine.saturating_add(*sum);
            }
        }
    }

    /// Forgets half-lives that lie out of the window at a time.
    pub fn forget(&mut self, half_life: Millis, now: Millis) {
        let oldest = (now / half_life.max(1)).saturating_sub(WINDOW);
        self.sums.retain(|(number, _)| *number >= oldest);
    }

    /// The debt at an agreed time, in core-milliseconds; rounded down once.
    pub fn at(&self, half_life: Millis, now: Millis) -> u64 {
        let half_life = half_life.max(1);
        let present = now / half_life;
        let total: u128 = self
            .sums
            .iter()
            .map(|(number, sum)| aligned(*number, *sum, present))
            .sum();
        // Below 2^91 with all sums at their largest: 32 more bits are room enough.
        let scaled = total * u128::from(faded(now % half_life, half_life));
        let millicore_ms = scaled >> (32 + WINDOW as u32 + WEIGHT_BITS);
        u64::try_from(millicore_ms / MILLICORES).unwrap_or(u64::MAX)
    }

    /// A debt that reads as `core_ms` at a time; to carry debts over to another half-life. Rounded.
    pub(crate) fn of_value(core_ms: u64, half_life: Millis, now: Millis) -> DecayedUsage {
        let half_life = half_life.max(1);
        let growth = u128::from(power_of_two(now % half_life, half_life) >> (POWER_BITS - 32));
        let sum = (u128::from(core_ms) * MILLICORES * growth) >> (32 - WEIGHT_BITS);
        DecayedUsage::of_sums([(now / half_life, u64::try_from(sum).unwrap_or(u64::MAX))])
    }

    /// Number of the latest half-life with a use.
    pub(crate) fn latest(&self) -> Option<u64> {
        self.sums.last().map(|(number, _)| *number)
    }

    /// Whether nothing is owed.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    /// From sums in any order; those of one half-life are added, and only the latest are kept.
    pub(crate) fn of_sums(sums: impl IntoIterator<Item = (u64, u64)>) -> DecayedUsage {
        let mut debt = DecayedUsage::default();
        for (number, sum) in sums {
            let mine = debt.sum_mut(number);
            *mine = mine.saturating_add(sum);
        }
        let surplus = debt.sums.len().saturating_sub(MOST_SUMS);
        debt.sums.drain(..surplus);
        debt
    }

    fn sum_mut(&mut self, number: u64) -> &mut u64 {
        let index = match self
            .sums
            .binary_search_by_key(&number, |(number, _)| *number)
        {
            Ok(index) => index,
            Err(index) => {
                self.sums.insert(index, (number, 0));
                index
            }
        };
        &mut self.sums[index].1
    }
}

impl From<Vec<(u64, u64)>> for DecayedUsage {
    fn from(sums: Vec<(u64, u64)>) -> DecayedUsage {
        DecayedUsage::of_sums(sums)
    }
}

impl From<DecayedUsage> for Vec<(u64, u64)> {
    fn from(debt: DecayedUsage) -> Vec<(u64, u64)> {
        debt.sums
    }
}

/// A half-life's sum as it counts in half-life `present`, with [`WINDOW`] fractional bits.
fn aligned(number: u64, sum: u64, present: u64) -> u128 {
    let age = present.saturating_sub(number);
    let ahead = number.saturating_sub(present).min(MOST_AHEAD);
    if age > WINDOW {
        return 0;
    }
    let age = if cfg!(feature = "mutant-fade") {
        0
    } else {
        age
    };
    u128::from(sum) << (WINDOW + ahead - age)
}

/// Calls with the number of each half-life that a span touches, and the span's weight in it. Of a span longer than
/// the window only its end counts.
fn for_each_part(half_life: Millis, from: Millis, to: Millis, mut part: impl FnMut(u64, u64)) {
    let half_life = half_life.max(1);
    if from >= to {
        return;
    }
    let last = (to - 1) / half_life;
    let first = (from / half_life).max(last.saturating_sub(WINDOW));
    for number in first..=last {
        let begins = number.saturating_mul(half_life);
        let start = from.max(begins) - begins;
        let end = (to - begins).min(half_life);
        part(
            number,
            weight_up_to(end, half_life).saturating_sub(weight_up_to(start, half_life)),
        );
    }
}
