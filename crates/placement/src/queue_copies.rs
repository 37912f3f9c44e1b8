//! Queue copies: how many and which workers' queues a unit waits in (late binding, as in Sparrow).

use crate::candidates::ranked_candidates;
use crate::cycle::SchedulingCycle;
use crate::index::{QueueKey, WorkerIndex};
use crate::policy::Mechanism;
use crate::ranking::RankedWorker;
use crate::run_estimate::{baseline_run_ms, AVOIDED_WORKER_COST};
use crate::unit_view::UnitView;
use crate::wait_escalation::{may_use_any_capacity, ANY_WORKER_AFTER_MS, AVOIDED_WORKERS_AFTER_MS};
use streamusher_protocol::Millis;

/// Waiting time from which a unit gets the maximum number of copies.
const MAX_COPIES_AFTER_MS: Millis = 200;
/// Upper bound of a unit's copies; in a larger service, later retries choose other workers.
const MAX_COPIES: usize = 32;
/// Upper bound of the copies at the first attempt, however long the best worker's queue is: beyond a few
/// queues, one more adds little.
const MAX_INITIAL_COPIES: usize = 4;
/// Upper bound of the accepted extra cost that still excludes workers that the unit avoids.
const MAX_COST_WITHOUT_AVOIDED: f64 = AVOIDED_WORKER_COST / 2.0;

/// Adds copies of a unit to workers' queues: one if the best worker has capacity, more the longer the best
/// worker's queue is, and the maximum after a while.
pub(crate) fn update_copies(cycle: &mut SchedulingCycle<'_>, key: QueueKey) {
    let ranked = ranked_candidates(cycle, key);
    let Some(view) = cycle.view(key) else {
        return;
    };
    let acceptable = acceptable_workers(&view, &ranked);
    let Some(best) = ranked.first() else {
        return;
    };
    let wanted = wanted_copies(&view, best);
    if view.pending.copies.len() >= MAX_COPIES {
        cycle.cluster.withdraw_copies(key);
    }
    for index in acceptable.into_iter().take(wanted) {
        cycle.cluster.add_copy(key, index);
    }
}

fn wanted_copies(view: &UnitView<'_>, best: &RankedWorker) -> usize {
    if best.wait_ms == 0.0 || !view.uses(Mechanism::QueueCopies) {
        return 1;
    }
    if view.waited_ms() >= MAX_COPIES_AFTER_MS {
        return MAX_COPIES;
    }
    let best_worker = view.cluster.workers.get(best.index);
    let copies_ahead = best_worker.map_or(0, |worker| worker.queue.len());
    (1 + copies_ahead)
        .min(MAX_INITIAL_COPIES)
        .max(2 * view.pending.copies.len())
        .min(MAX_COPIES)
}

/// Workers on which the unit would finish no later than by waiting for the best one, best first.
pub(crate) fn acceptable_workers(view: &UnitView<'_>, ranked: &[RankedWorker]) -> Vec<WorkerIndex> {
    let Some(best) = ranked.first() else {
        return Vec::new();
    };
    let limit = max_extra_cost(view, best);
    ranked
        .iter()
        .filter(|worker| worker.extra_cost <= limit)
        .map(|worker| worker.index)
        .collect()
}

/// Maximum extra cost of a worker, in run times of the unit: what waiting for the best worker has cost so far
/// and is expected to cost.
fn max_extra_cost(view: &UnitView<'_>, best: &RankedWorker) -> f64 {
    let waited_ms = view.waited_ms();
    if may_use_any_capacity(view) || waited_ms >= AVOIDED_WORKERS_AFTER_MS {
        return f64::INFINITY;
    }
    if waited_ms >= ANY_WORKER_AFTER_MS && view.uses(Mechanism::WaitEscalation) {
        return best.extra_cost.max(MAX_COST_WITHOUT_AVOIDED);
    }
    let cost_of_waiting = (waited_ms as f64 + best.wait_ms) / baseline_run_ms(view);
    best.extra_cost + cost_of_waiting.min(MAX_COST_WITHOUT_AVOIDED)
}
