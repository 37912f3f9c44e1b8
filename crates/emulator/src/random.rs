//! Repeatable random numbers: the same seed and stream give the same numbers.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

const SEED_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;
const STREAM_FACTOR: u64 = 0xD1B5_4A32_D192_ED03;

/// What random numbers are drawn for. Each stream of a seed is independent of the others, so that more draws from one do
/// not change the others. The numbers are part of what a seed means: a changed number changes every recorded digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stream {
    /// Traffic, delays outside of the network, and all else in a fleet.
    Fleet = 1,
    /// Delays and losses of the network.
    Network = 2,
    /// What simulated workers do.
    Workers = 3,
    /// What kinds of workers there are.
    WorkerKinds = 4,
    /// Sizes of a fleet.
    Settings = 5,
    /// Faults.
    Faults = 7,
    /// Further faults of the control plane.
    ControlFaults = 8,
}

/// A repeatable source of random numbers.
#[derive(Clone, Debug)]
pub(crate) struct Random(Pcg64Mcg);

impl Random {
    /// The source of a seed for one purpose.
    pub(crate) fn new(seed: u64, stream: Stream) -> Random {
        let mixed = seed.wrapping_mul(SEED_FACTOR) ^ (stream as u64).wrapping_mul(STREAM_FACTOR);
        Random(Pcg64Mcg::seed_from_u64(mixed))
    }

    /// A number from `low` to `high`, both included.
    pub(crate) fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.random_range(low..=high.max(low))
    }

    /// A number of 32 bits from `low` to `high`, both included.
    pub(crate) fn between_u32(&mut self, low: u32, high: u32) -> u32 {
        let drawn = self.between(u64::from(low), u64::from(high));
        u32::try_from(drawn).unwrap_or(high)
    }

    /// An index below `count`; 0 where there is none.
    pub(crate) fn below(&mut self, count: usize) -> usize {
        if count == 0 {
            return 0;
        }
        self.0.random_range(0..count)
    }

    /// True with this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.0.random::<f64>() < probability
    }

    /// One of the items.
    pub(crate) fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        items.get(self.below(items.len()))
    }

    /// A log-normally distributed factor with mean 1; `deviation` is the standard deviation of its logarithm.
    pub(crate) fn log_normal(&mut self, deviation: f64) -> f64 {
        let drawn = LogNormal::new(-deviation * deviation / 2.0, deviation);
        drawn.map_or(1.0, |factors| factors.sample(&mut self.0))
    }

    /// An exponentially distributed pause between events that come at this rate.
    pub(crate) fn pause(&mut self, rate: f64) -> f64 {
        Exp::new(rate).map_or(f64::INFINITY, |pauses| pauses.sample(&mut self.0))
    }

    /// Any number of 64 bits.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0.random()
    }
}
