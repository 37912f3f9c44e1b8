//! Arithmetic on resources: floating-point vectors, multiples, and shares of a capacity.

use std::ops::{Add, AddAssign, SubAssign};
use streamusher_protocol::heartbeat::Resources;

/// Number of kinds of resources: processor, memory, accelerators.
const KINDS: usize = 3;
/// Lower bound of the divisor of a share, so that a share of zero capacity is large but finite.
const MIN_DIVISOR: f64 = 0.5;

/// An amount for each kind of resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ResourceVector([f64; KINDS]);

impl ResourceVector {
    pub(crate) fn scaled(self, factor: f64) -> ResourceVector {
        ResourceVector(self.0.map(|amount| amount * factor))
    }

    /// Combines the amounts of each kind with those of another vector.
    pub(crate) fn zip_with(
        self,
        other: ResourceVector,
        combine: impl Fn(f64, f64) -> f64,
    ) -> ResourceVector {
        ResourceVector(std::array::from_fn(|kind| {
            combine(self.0[kind], other.0[kind])
        }))
    }

    /// Remaining capacity after subtracting a reserved share of each kind.
    pub(crate) fn minus_shares(self, shares: ResourceVector) -> ResourceVector {
        self.zip_with(shares, |capacity, share| capacity * (1.0 - share))
    }

    /// Adds, with each amount clamped to at least zero. For sums that change often, in which rounding errors
    /// accumulate.
    pub(crate) fn add_non_negative(&mut self, other: ResourceVector) {
        *self = self.zip_with(other, |sum, part| (sum + part).max(0.0));
    }

    /// Subtracts, with each amount clamped to at least zero.
    pub(crate) fn subtract_non_negative(&mut self, other: ResourceVector) {
        *self = self.zip_with(other, |sum, part| (sum - part).max(0.0));
    }

    /// Whether no kind exceeds the limit.
    pub(crate) fn fits_within(&self, limit: &ResourceVector) -> bool {
        self.0
            .iter()
            .zip(&limit.0)
            .all(|(amount, limit)| amount <= limit)
    }

    /// Whether no kind is above zero.
    pub(crate) fn is_zero_or_less(&self) -> bool {
        self.0.iter().all(|amount| *amount <= 0.0)
    }

    /// Largest amount, at least zero.
    pub(crate) fn largest(&self) -> f64 {
        self.0.iter().copied().fold(0.0, f64::max)
    }
}

impl From<&Resources> for ResourceVector {
    fn from(resources: &Resources) -> ResourceVector {
        ResourceVector([
            resources.cpu as f64,
            resources.mem_mb as f64,
            resources.gpu as f64,
        ])
    }
}

impl Add for ResourceVector {
    type Output = ResourceVector;

    fn add(self, other: ResourceVector) -> ResourceVector {
        self.zip_with(other, |left, right| left + right)
    }
}

impl AddAssign for ResourceVector {
    fn add_assign(&mut self, other: ResourceVector) {
        *self = *self + other;
    }
}

impl SubAssign for ResourceVector {
    fn sub_assign(&mut self, other: ResourceVector) {
        *self = self.zip_with(other, |left, right| left - right);
    }
}

/// Total resources of `count` equal tasks.
pub(crate) fn multiply(resources: &Resources, count: u64) -> Resources {
    Resources {
        cpu: resources.cpu.saturating_mul(count),
        mem_mb: resources.mem_mb.saturating_mul(count),
        gpu: resources.gpu.saturating_mul(count),
    }
}

/// Largest share of a capacity that is taken, over all kinds (as in dominant resource fairness). Where
/// nothing is taken the share is zero, even of zero capacity.
pub(crate) fn dominant_share(taken: &Resources, capacity: &Resources) -> f64 {
    let share = |taken: f64, capacity: f64| {
        if taken > 0.0 {
            taken / capacity.max(MIN_DIVISOR)
        } else {
            0.0
        }
    };
    ResourceVector::from(taken)
        .zip_with(ResourceVector::from(capacity), share)
        .largest()
}
