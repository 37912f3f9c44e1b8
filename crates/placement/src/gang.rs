//! Gang scheduling: all members of a gang are started in one decision.

use crate::capacity_search::search_capacity;
use crate::claim::{start, TaskPlacement};
use crate::cycle::SchedulingCycle;
use crate::gang_fit::{cheapest_plan, GangPlan, PreemptionScope};
use crate::gang_groups::worker_groups;
use crate::index::QueueKey;
use crate::ranking::RankedWorker;
use crate::retry::schedule_retry;
use crate::unit_view::UnitView;
use crate::wait_escalation::ANY_WORKER_AFTER_MS;

/// Maximum number of gangs per service for which capacity is searched: the first ones in queue order.
const MAX_SEARCHING_GANGS: usize = 4;

/// Starts a gang if all members fit, otherwise searches capacity for it.
pub(crate) fn place_gang(cycle: &mut SchedulingCycle<'_>, key: QueueKey) {
    let groups = worker_groups(cycle, key);
    let Some(view) = cycle.view(key) else {
        return;
    };
    if let Some(placements) = placements_if_fits(&view, &groups) {
        start(cycle, key, placements);
    }
    if !cycle.is_pending(key) {
        return;
    }
    if !cycle.cluster.holds_reservations(cycle.now, key) && may_search(cycle, key) {
        search_capacity(cycle, key, &groups);
    }
    schedule_retry(cycle, key);
}

/// Assigns a worker to each member if all fit in the capacity that is free now.
fn placements_if_fits(
    view: &UnitView<'_>,
    groups: &[Vec<RankedWorker>],
) -> Option<Vec<TaskPlacement>> {
    let plan = cheapest_plan(view, groups, PreemptionScope::FreeNow)?;
    if !is_acceptable(view, &plan) {
        return None;
    }
    let workers = plan
        .assignments
        .iter()
        .flat_map(|assignment| std::iter::repeat_n(assignment.worker, assignment.members as usize));
    let placements = view
        .unit()
        .tasks
        .iter()
        .zip(workers)
        .map(|(task, worker)| TaskPlacement {
            task: task.clone(),
            worker,
        });
    Some(placements.collect())
}

/// Whether the plan's workers are acceptable: those that the gang avoids are used only after a while, because
/// others may become free first.
fn is_acceptable(view: &UnitView<'_>, plan: &GangPlan) -> bool {
    let uses_avoided = plan.assignments.iter().any(|assignment| {
        let worker = view.cluster.workers.get(assignment.worker);
        worker.is_some_and(|worker| view.unit().avoid.contains(&worker.info.id))
    });
    !uses_avoided || view.waited_ms() >= ANY_WORKER_AFTER_MS
}

fn may_search(cycle: &SchedulingCycle<'_>, key: QueueKey) -> bool {
    let is_among_first = |view: UnitView<'_>| {
        let first = view.service.pending_gangs.iter().take(MAX_SEARCHING_GANGS);
        first.into_iter().any(|gang| *gang == key)
    };
    cycle.remaining_searches > 0 && cycle.view(key).is_some_and(is_among_first)
}
