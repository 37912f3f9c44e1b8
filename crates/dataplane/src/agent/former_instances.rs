//! Worker instances that a newer instance has replaced at this agent.

use std::collections::VecDeque;
use std::sync::Arc;

/// Number of replaced instances that are remembered, so that a late request of one is not taken for a new
/// worker.
const MAX_FORMER_INSTANCES: usize = 8;

/// The most recently replaced instances, oldest first.
#[derive(Debug, Default)]
pub(super) struct FormerInstances {
    instances: VecDeque<Arc<str>>,
}

impl FormerInstances {
    pub(super) fn contains(&self, instance: &Arc<str>) -> bool {
        self.instances.contains(instance)
    }

    pub(super) fn push(&mut self, instance: Arc<str>) {
        self.instances.push_back(instance);
        if self.instances.len() > MAX_FORMER_INSTANCES {
            self.instances.pop_front();
        }
    }
}
