//! Estimates how long a unit would run on a worker: its estimated run time, adjusted for remote data and a
//! slow worker, plus the expected cost of failures.

use crate::cluster::Cluster;
use crate::policy::Mechanism;
use crate::service::Service;
use crate::unit_view::UnitView;
use crate::worker::Worker;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// Expected cost of retries, in run times of the unit, for each task of the worker's penalty.
const RUNS_PER_PENALTY: f64 = 0.3;
/// Lower bound of a service's mean run time when it replaces an estimate, in milliseconds.
const MIN_RUN_MS: f64 = 1.0;
/// Lower bound of the run time on a worker, as a share of the run time on an average worker.
const MIN_RELATIVE_RUN_TIME: f64 = 0.1;
/// Cost that ranks workers that the unit avoids behind all others, in run times.
pub(crate) const AVOIDED_WORKER_COST: f64 = 100.0;

/// Expected run time of the unit on an average worker near its data, in milliseconds.
pub(crate) fn baseline_run_ms(view: &UnitView<'_>) -> f64 {
    match view.unit().estimated_ms {
        0 => view.service.mean_run_ms().max(MIN_RUN_MS),
        estimated_ms => estimated_ms as f64,
    }
}

/// Ratio of the run time on a worker to the service's average in recent runs.
pub(crate) fn slowness(cluster: &Cluster, now: Millis, worker: &Worker, service: &Service) -> f64 {
    if cluster.uses(Mechanism::RelativeSpeed) {
        worker.speed.slowness(now, &service.speed)
    } else {
        1.0
    }
}

/// Factor by which a run of the unit takes longer on a worker than near its data.
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

/// Extra cost of a run on a worker, in run times of the unit: for remote data, a slow worker, the worker's
/// failures, and a worker that the unit avoids.
pub(crate) fn extra_cost(view: &UnitView<'_>, worker: &Worker) -> f64 {
    let remote_slowdown = if view.uses(Mechanism::DataLocality) {
        remote_slowdown(view.cluster, view.unit(), worker)
    } else {
        1.0
    };
    let slowness = slowness(view.cluster, view.now, worker, view.service);
    let is_avoided = view.uses(Mechanism::Avoidance) && view.unit().avoid.contains(&worker.info.id);
    let avoidance_cost = if is_avoided { AVOIDED_WORKER_COST } else { 0.0 };
    let penalty = worker.penalty.value_at(view.now);
    avoidance_cost + remote_slowdown * slowness - 1.0 + RUNS_PER_PENALTY * penalty
}

/// Expected run time of the unit on a worker, in milliseconds.
pub(crate) fn expected_run_ms(view: &UnitView<'_>, worker: &Worker) -> f64 {
    if view.unit().long_running {
        return f64::INFINITY;
    }
    let extra_cost = extra_cost(view, worker) % AVOIDED_WORKER_COST;
    baseline_run_ms(view) * (1.0 + extra_cost).max(MIN_RELATIVE_RUN_TIME)
}
