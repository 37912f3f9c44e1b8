//! Reproducible random numbers: a seed and a stream determine the sequence.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

const SEED_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;
const STREAM_FACTOR: u64 = 0xD1B5_4A32_D192_ED03;

/// Purpose of a random sequence. The streams of a seed are independent, so that more draws from one do not
/// change the others. The discriminants are part of what a seed means: a changed one changes every recorded
/// digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stream {
    /// Traffic, delays outside of the network, and everything else in a fleet.
    Fleet = 1,
    /// Delays and losses of the network.
    Network = 2,
    /// Behaviour of simulated workers.
    Workers = 3,
    /// Kinds of the workers.
    WorkerKinds = 4,
    /// Sizes of a fleet.
    Settings = 5,
    /// Faults, except the additional faults of the control plane.
    Faults = 7,
    /// Additional faults of the control plane.
    ControlFaults = 8,
    /// Additional faults of agents.
    AgentFaults = 9,
}

/// A reproducible random number generator.
#[derive(Clone, Debug)]
pub(crate) struct Random(Pcg64Mcg);

impl Random {
    /// Creates the generator of a stream of a seed.
    pub(crate) fn new(seed: u64, stream: Stream) -> Random {
        let mixed = seed.wrapping_mul(SEED_FACTOR) ^ (stream as u64).wrapping_mul(STREAM_FACTOR);
        Random(Pcg64Mcg::seed_from_u64(mixed))
    }

    /// Draws a number from `low` to `high`, both inclusive.
    pub(crate) fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.random_range(low..=high.max(low))
    }

    /// Draws a 32-bit number from `low` to `high`, both inclusive.
    pub(crate) fn between_u32(&mut self, low: u32, high: u32) -> u32 {
        let drawn = self.between(u64::from(low), u64::from(high));
        u32::try_from(drawn).unwrap_or(high)
    }

    /// Draws an index below `count`; 0 if `count` is 0.
    pub(crate) fn below(&mut self, count: usize) -> usize {
        if count == 0 {
            return 0;
        }
        self.0.random_range(0..count)
    }

    /// Returns true with this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.0.random::<f64>() < probability
    }

    /// Draws one of the items; `None` if there are none.
    pub(crate) fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        items.get(self.below(items.len()))
    }

    /// Draws a log-normal factor with mean 1; `deviation` is the standard deviation of its logarithm.
    pub(crate) fn log_normal(&mut self, deviation: f64) -> f64 {
        let drawn = LogNormal::new(-deviation * deviation / 2.0, deviation);
        drawn.map_or(1.0, |factors| factors.sample(&mut self.0))
    }

    /// Draws an exponentially distributed interval between events of this rate.
    pub(crate) fn pause(&mut self, rate: f64) -> f64 {
        Exp::new(rate).map_or(f64::INFINITY, |pauses| pauses.sample(&mut self.0))
    }

    /// Draws any 64-bit number.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0.random()
    }
}
