//! Ranking score: the cost of placing a unit on a worker, as expected wait and extra run time.

use crate::admission::admits;
use crate::index::WorkerIndex;
use crate::policy::Mechanism;
use crate::run_estimate::{baseline_run_ms, extra_cost};
use crate::unit_view::UnitView;
use crate::worker::Worker;

/// Weight of the load in a rank: it breaks ties between workers that are otherwise alike.
const LOAD_WEIGHT: f64 = 0.2;
/// Share of a worker from which a request is large. While large requests are expected, smaller ones are
/// packed, to leave whole workers free.
const LARGE_REQUEST_SHARE: f64 = 0.4;

/// Rank of a worker for a unit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedWorker {
    pub(crate) index: WorkerIndex,
    /// Expected wait and extra cost, in run times of the unit; the lowest is best.
    pub(crate) rank: f64,
    /// Cost of running on the worker beyond a run on an average one, in run times of the unit.
    pub(crate) extra_cost: f64,
    /// Expected wait in milliseconds.
    pub(crate) wait_ms: f64,
}

/// Ranks a worker for a unit.
pub(crate) fn rank(view: &UnitView<'_>, index: WorkerIndex) -> Option<RankedWorker> {
    let worker = view.cluster.workers.get(index)?;
    let extra_cost = extra_cost(view, worker);
    let is_admitted = admits(view, index);
    let wait_ms = if is_admitted {
        0.0
    } else {
        expected_wait_ms(view, worker)
    };
    let load = load_score(view, worker, is_admitted);
    Some(RankedWorker {
        index,
        rank: extra_cost + wait_ms / baseline_run_ms(view) + LOAD_WEIGHT * load,
        extra_cost,
        wait_ms,
    })
}

/// Prefers the least loaded worker, or, while whole workers are to be left free, the most loaded one that
/// admits the unit.
fn load_score(view: &UnitView<'_>, worker: &Worker, is_admitted: bool) -> f64 {
    let share = view.pending.share_of(worker);
    let packs = view.uses(Mechanism::Packing)
        && view.service.largest_request(view.now) >= LARGE_REQUEST_SHARE
        && share < LARGE_REQUEST_SHARE;
    if packs && is_admitted {
        1.0 - worker.load()
    } else {
        worker.load() + share
    }
}

/// Estimates the wait from counts: capacity becomes free as runs end, and the copies queued at the worker
/// take it first.
fn expected_wait_ms(view: &UnitView<'_>, worker: &Worker) -> f64 {
    let copies_ahead = worker.queue.len() as f64;
    let runs = worker.runs.len() as f64;
    // A task that takes the capacity of several runs has to wait for as many of them to end.
    let ends_needed = (view.pending.share_of(worker) * runs).max(1.0);
    view.service.mean_run_ms() * (ends_needed + copies_ahead) / (runs + 1.0)
}
