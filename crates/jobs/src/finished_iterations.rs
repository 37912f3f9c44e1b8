//! The set of finished iterations of a job, in little space: iterations mostly finish in their order.

use std::collections::BTreeSet;

/// The iterations that are done and of which no run is left.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct FinishedIterations {
    /// All iterations before this one.
    pub(crate) below: u32,
    /// Later iterations.
    pub(crate) above: BTreeSet<u32>,
}

impl FinishedIterations {
    /// Adds an iteration.
    pub(crate) fn insert(&mut self, iteration: u32) {
        self.above.insert(iteration);
        while self.above.remove(&self.below) {
            self.below += 1;
        }
    }

    /// Whether an iteration is finished.
    pub(crate) fn contains(&self, iteration: u32) -> bool {
        iteration < self.below || self.above.contains(&iteration)
    }

    /// How many iterations are finished.
    pub(crate) fn count(&self) -> u32 {
        let above = u32::try_from(self.above.len()).unwrap_or(u32::MAX);
        self.below.saturating_add(above)
    }
}
