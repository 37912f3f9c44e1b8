//! How long a unit would run on a worker: its estimate, times what distance from its data and a slow worker add, plus what
//! failures cost.

use crate::cluster::Cluster;
use crate::policy::Mechanism;
use crate::service::Service;
use crate::unit_view::UnitView;
use crate::worker::Worker;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// A failed run costs a retry: so many run times for each task of penalty.
const RUNS_PER_PENALTY: f64 = 0.3;
/// Least run time that a mean of a service stands for, in milliseconds.
const MIN_RUN_MS: f64 = 1.0;
/// Least run time on a worker, as a share of the usual.
const MIN_RELATIVE_RUN_TIME: f64 = 0.1;
/// Puts workers that the unit avoids behind all others; in run times.
pub(crate) const AVOIDED_WORKER_COST: f64 = 100.0;

/// Run time that the unit is expected to take on a usual worker near its data, in milliseconds.
pub(crate) fn usual_run_ms(view: &UnitView<'_>) -> f64 {
    match view.unit().estimated_ms {
        0 => view.service.usual_run_ms().max(MIN_RUN_MS),
        estimated_ms => estimated_ms as f64,
    }
}

/// How much longer than usual a worker's runs have lately taken.
pub(crate) fn slowness(cluster: &Cluster, now: Millis, worker: &Worker, service: &Service) -> f64 {
    if cluster.uses(Mechanism::RelativeSpeed) {
        worker.speed.slowness(now, &service.speed)
    } else {
        1.0
    }
}

/// How much longer a run of the unit takes on a worker than near its data.
pub(crate) fn remote_slowdown(cluster: &Cluster, unit: &Unit, worker: &Worker) -> f64 {
    let is_remote = unit
        .affinity
        .as_ref()
        .is_some_and(|rack| !worker.has_label(rack));
    if is_remote {
        cluster.settings.remote_slowdown.max(1.0)
    } else {
        1.0
    }
}

/// What running on a worker costs beyond a usual run, in run times of the unit: distance from its data, a slow worker, its
/// failures, and that the unit avoids it.
pub(crate) fn extra_cost(view: &UnitView<'_>, worker: &Worker) -> f64 {
    let remote_slowdown = if view.uses(Mechanism::DataLocality) {
        remote_slowdown(view.cluster, view.unit(), worker)
    } else {
        1.0
    };
    let slowness = slowness(view.cluster, view.now, worker, view.service);
    let is_avoided = view.uses(Mechanism::Avoidance) && view.unit().avoid.contains(&worker.info.id);
    let avoided = if is_avoided { AVOIDED_WORKER_COST } else { 0.0 };
    let penalty = worker.penalty.value_at(view.now);
    avoided + remote_slowdown * slowness - 1.0 + RUNS_PER_PENALTY * penalty
}

/// How long the unit is expected to run on a worker, in milliseconds.
pub(crate) fn expected_run_ms(view: &UnitView<'_>, worker: &Worker) -> f64 {
    if view.unit().long_running {
        return f64::INFINITY;
    }
    let extra_cost = extra_cost(view, worker) % AVOIDED_WORKER_COST;
    usual_run_ms(view) * (1.0 + extra_cost).max(MIN_RELATIVE_RUN_TIME)
}
