//! Number of pending jobs per queue.

use std::collections::HashMap;
use std::sync::Arc;

/// Number of jobs of which no run has been assigned, by queue.
#[derive(Debug, Default)]
pub(crate) struct PendingCounts {
    by_queue: HashMap<Arc<str>, u64>,
}

impl PendingCounts {
    /// Counts a job as pending.
    pub(crate) fn add(&mut self, queue: Arc<str>) {
        *self.by_queue.entry(queue).or_default() += 1;
    }

    /// Removes a job from the count.
    pub(crate) fn remove(&mut self, queue: &str) {
        let Some(count) = self.by_queue.get_mut(queue) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.by_queue.remove(queue);
        }
    }

    /// Number of pending jobs of a queue.
    pub(crate) fn count(&self, queue: &str) -> u64 {
        self.by_queue.get(queue).copied().unwrap_or(0)
    }
}
