//! Placement of a single task that was examined in this cycle and that no worker has claimed yet.

use crate::candidates::ranked_candidates;
use crate::capacity_search::{search_capacity, search_may_succeed};
use crate::claim::claim;
use crate::cycle::SchedulingCycle;
use crate::index::{QueueKey, WorkerIndex};
use crate::queue_copies::acceptable_workers;
use crate::retry::schedule_retry;

/// A task with fewer copies than this also tries acceptable workers that hold no copy of it.
const MIN_COPIES: usize = 2;

/// Tries once more to start a single task, on the workers with its copies and then on any acceptable one;
/// otherwise searches capacity for it.
pub(crate) fn place_single_task(cycle: &mut SchedulingCycle<'_>, key: QueueKey) {
    let Some(pending) = cycle.cluster.queue.get(key) else {
        return;
    };
    let copies = pending.copies.clone();
    if claim_at_any(cycle, key, &copies) {
        return;
    }
    if copies.len() < MIN_COPIES && claim_at_acceptable(cycle, key) {
        return;
    }
    if !cycle.cluster.holds_reservations(cycle.now, key) && may_search(cycle, key, &copies) {
        let ranked = ranked_candidates(cycle, key);
        search_capacity(cycle, key, &[ranked]);
    }
    schedule_retry(cycle, key);
}

fn may_search(cycle: &SchedulingCycle<'_>, key: QueueKey, copies: &[WorkerIndex]) -> bool {
    cycle.remaining_searches > 0
        && cycle
            .view(key)
            .is_some_and(|view| search_may_succeed(&view, copies))
}

/// Tries to start the task on one of its acceptable workers. Returns whether it was started.
fn claim_at_acceptable(cycle: &mut SchedulingCycle<'_>, key: QueueKey) -> bool {
    let ranked = ranked_candidates(cycle, key);
    let acceptable = cycle
        .view(key)
        .map_or_else(Vec::new, |view| acceptable_workers(&view, &ranked));
    claim_at_any(cycle, key, &acceptable)
}

/// Tries to start the task on one of the workers, in order. Returns whether it was started.
fn claim_at_any(cycle: &mut SchedulingCycle<'_>, key: QueueKey, workers: &[WorkerIndex]) -> bool {
    workers.iter().any(|index| {
        claim(cycle, key, *index);
        !cycle.is_pending(key)
    })
}
