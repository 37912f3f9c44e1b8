//! Random numbers from a seed.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

/// A repeatable source of random numbers.
#[derive(Clone, Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// The source of a seed; `stream` keeps the sources of one seed apart.
    pub fn new(seed: u64, stream: u64) -> Random {
        let mixed =
            seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ stream.wrapping_mul(0xD1B5_4A32_D192_ED03);
        Random(Pcg64Mcg::seed_from_u64(mixed))
    }

    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.random_range(low..=high.max(low))
    }

    /// An index below `count`; 0 where there is none.
    pub fn below(&mut self, count: usize) -> usize {
        if count == 0 {
            return 0;
        }
        self.0.random_range(0..count)
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.0.random::<f64>() < probability
    }

    /// One of the items.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        items.get(self.below(items.len()))
    }

    /// A factor with mean 1 whose logarithm has this standard deviation.
    pub fn log_normal(&mut self, deviation: f64) -> f64 {
        let drawn = LogNormal::new(-deviation * deviation / 2.0, deviation);
        drawn.map_or(1.0, |factors| factors.sample(&mut self.0))
    }

    /// A pause between events that come at this rate.
    pub fn pause(&mut self, rate: f64) -> f64 {
        Exp::new(rate).map_or(f64::INFINITY, |pauses| pauses.sample(&mut self.0))
    }

    /// A whole random word.
    pub fn word(&mut self) -> u64 {
        self.0.random()
    }
}
