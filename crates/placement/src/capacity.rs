//! Capacity accounting of one worker: resources that its runs hold, in total, by priority and by slack class.

use crate::headroom::SlackClass;
use crate::run::Run;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::unit::StepId;

/// Resources that the runs of one worker hold. Each sum covers the allocations of the worker's current runs.
#[derive(Debug, Default)]
pub(crate) struct AllocatedCapacity {
    total: Resources,
    by_priority: BTreeMap<u32, Resources>,
    by_slack_class: BTreeMap<SlackClass, Resources>,
    tasks_by_step: HashMap<StepId, u32>,
}

impl AllocatedCapacity {
    pub(crate) fn add(&mut self, run: &Run) {
        let resources = &run.allocation.resources;
        self.total = self.total.saturating_add(resources);
        let same_priority = self.by_priority.entry(run.allocation.priority).or_default();
        *same_priority = same_priority.saturating_add(resources);
        let same_class = self.by_slack_class.entry(run.slack_class).or_default();
        *same_class = same_class.saturating_add(resources);
        let step = run.allocation.unit.step.clone();
        *self.tasks_by_step.entry(step).or_insert(0) += 1;
    }

    pub(crate) fn remove(&mut self, run: &Run) {
        let resources = &run.allocation.resources;
        let already_freed = cfg!(feature = "mutant-stopping-room") && run.stopping;
        if !already_freed {
            self.total = self.total.saturating_sub(resources);
        }
        if let Some(same_priority) = self.by_priority.get_mut(&run.allocation.priority) {
            *same_priority = same_priority.saturating_sub(resources);
        }
        if let Some(same_class) = self.by_slack_class.get_mut(&run.slack_class) {
            *same_class = same_class.saturating_sub(resources);
        }
        self.remove_task_of(&run.allocation.unit.step);
    }

    fn remove_task_of(&mut self, step: &StepId) {
        let Some(count) = self.tasks_by_step.get_mut(step) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.tasks_by_step.remove(step);
        }
    }

    /// Called when a stop is ordered. The run holds its allocation until its end is known; an injected fault
    /// frees it at once, which the tests must detect.
    pub(crate) fn on_stopping(&mut self, run: &Run) {
        if cfg!(feature = "mutant-stopping-room") {
            self.total = self.total.saturating_sub(&run.allocation.resources);
        }
    }

    /// Resources that all runs hold.
    pub(crate) fn total(&self) -> Resources {
        self.total
    }

    /// Resources held by runs of lower priority, that is, with a greater priority number.
    pub(crate) fn below_priority(&self, priority: u32) -> Resources {
        sum_after(&self.by_priority, &priority)
    }

    /// Resources held by runs of classes with more slack than the given one.
    pub(crate) fn above_slack_class(&self, class: SlackClass) -> Resources {
        sum_after(&self.by_slack_class, &class)
    }

    /// Number of tasks of a step that hold an allocation.
    pub(crate) fn tasks_of(&self, step: &StepId) -> u32 {
        self.tasks_by_step.get(step).copied().unwrap_or(0)
    }
}

fn sum_after<K: Ord>(sums: &BTreeMap<K, Resources>, key: &K) -> Resources {
    let after = sums.range((Bound::Excluded(key), Bound::Unbounded));
    after.fold(Resources::default(), |sum, (_, resources)| {
        sum.saturating_add(resources)
    })
}
