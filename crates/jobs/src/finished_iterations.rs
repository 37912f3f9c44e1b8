//! Compact set of the finished iterations of a job. Iterations mostly finish in order, so most are covered by
//! one bound.

use std::collections::BTreeSet;

/// Iterations that are done and have no assigned run.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct FinishedIterations {
    /// All iterations before this one are finished.
    pub(crate) below: u32,
    /// Finished iterations from `below` on.
    pub(crate) above: BTreeSet<u32>,
}

impl FinishedIterations {
    /// Marks an iteration as finished, and raises `below` as far as possible.
    pub(crate) fn insert(&mut self, iteration: u32) {
        self.above.insert(iteration);
        while self.above.remove(&self.below) {
            self.below += 1;
        }
    }

    pub(crate) fn contains(&self, iteration: u32) -> bool {
        iteration < self.below || self.above.contains(&iteration)
    }

    /// Number of finished iterations.
    pub(crate) fn count(&self) -> u32 {
        let above = u32::try_from(self.above.len()).unwrap_or(u32::MAX);
        self.below.saturating_add(above)
    }
}
