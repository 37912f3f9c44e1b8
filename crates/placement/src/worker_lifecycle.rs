//! Lifecycle of workers and of the runs on them: joining, updates, removal, allocation and release.

use crate::allocation::{Allocation, ReleaseReason};
use crate::cluster::Cluster;
use crate::feedback;
use crate::headroom::DemandChange;
use crate::index::WorkerIndex;
use crate::penalty::Penalty;
use crate::run::Run;
use crate::worker::Worker;
use crate::worker_info::WorkerInfo;
use crate::worker_pool::LoadLevel;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Adds or updates a worker. Returns its index, or `None` if nothing has changed.
pub(crate) fn update_worker(cluster: &mut Cluster, info: WorkerInfo) -> Option<WorkerIndex> {
    let index = match cluster.workers.index_of(&info.id) {
        Some(index) => {
            let worker = cluster.workers.get_mut(index)?;
            if worker.info == info {
                return None;
            }
            if let Some(service) = cluster.services.get_mut(&worker.info.service) {
                service.remove_worker(index, worker);
            }
            index
        }
        None => cluster.workers.add(Worker::new(info.clone())),
    };
    let worker = cluster.workers.get_mut(index)?;
    worker.info = info;
    worker.listed_load = LoadLevel::of(worker.load());
    let service_name = worker.info.service.clone();
    let service = cluster.services.entry(service_name.clone()).or_default();
    service.add_worker(index, worker);
    cluster.services_with_freed_capacity.insert(service_name);
    cluster.changed_workers.insert(index);
    Some(index)
}

/// Replaces a worker's penalty by the one that a former primary learned.
pub(crate) fn set_penalty(
    cluster: &mut Cluster,
    now: Millis,
    index: WorkerIndex,
    penalty: Penalty,
) {
    let Some(worker) = cluster.workers.get_mut(index) else {
        return;
    };
    let change = penalty.value_at(now) - worker.penalty.value_at(now);
    worker.penalty = penalty;
    if let Some(service) = cluster.services.get_mut(&worker.info.service) {
        service.change_penalty_sum(now, change);
    }
}

/// Removes a worker with all its runs, copies and reservations.
pub(crate) fn remove_worker(cluster: &mut Cluster, now: Millis, id: &WorkerId) {
    let Some(index) = cluster.workers.index_of(id) else {
        return;
    };
    let Some(mut worker) = cluster.workers.remove(index) else {
        return;
    };
    if let Some(service) = cluster.services.get_mut(&worker.info.service) {
        service.remove_worker(index, &mut worker);
        service.change_penalty_sum(now, -worker.penalty.value_at(now));
    }
    cluster.changed_workers.remove(&index);
    for run in worker.runs.values() {
        cluster.change_demand(now, &run.allocation, run.slack_class, DemandChange::Removed);
    }
    for key in &worker.queue {
        if let Some(pending) = cluster.queue.get_mut(*key) {
            pending.copies.retain(|copy| *copy != index);
        }
    }
    for reservation in &worker.reservations {
        if let Some(pending) = cluster.queue.get_mut(reservation.unit) {
            pending.reserved_at.retain(|reserved| *reserved != index);
            pending.reserved_until = 0;
        }
    }
}

/// Allocates capacity for a run that a former primary started. The worker must be known.
pub(crate) fn restore_run(
    cluster: &mut Cluster,
    now: Millis,
    task: &TaskId,
    worker: &WorkerId,
    allocation: Allocation,
    elapsed_before_ms: Millis,
) {
    let Some(index) = cluster.workers.index_of(worker) else {
        return;
    };
    let Some(worker) = cluster.workers.get_mut(index) else {
        return;
    };
    let Some(service) = cluster.services.get_mut(&allocation.service) else {
        return;
    };
    let slack_class =
        service
            .headroom
            .observe_slack(&allocation.queue, allocation.priority, allocation.slack_ms);
    let demand = allocation.clone();
    let run = Run::restored(now, elapsed_before_ms, allocation, slack_class);
    if !worker.allocate(task, run) {
        return;
    }
    cluster.change_demand(now, &demand, slack_class, DemandChange::Added);
    cluster.update_load(index);
}

/// Releases a run's allocation and learns from how the run ended.
pub(crate) fn release(
    cluster: &mut Cluster,
    now: Millis,
    task: &TaskId,
    worker: &WorkerId,
    reason: ReleaseReason,
) {
    let Some(index) = cluster.workers.index_of(worker) else {
        return;
    };
    let Some(worker) = cluster.workers.get_mut(index) else {
        return;
    };
    let Some(run) = worker.release(task) else {
        return;
    };
    cluster.change_demand(now, &run.allocation, run.slack_class, DemandChange::Removed);
    feedback::on_release(cluster, now, index, &run, reason);
    cluster.update_load(index);
    cluster.changed_workers.insert(index);
    cluster
        .services_with_freed_capacity
        .insert(run.allocation.service);
}

/// Description of a worker that is known only by its runs. It is not schedulable until it reports itself.
pub(crate) fn unreported_worker(id: &WorkerId, service: &Arc<str>) -> WorkerInfo {
    WorkerInfo {
        id: id.clone(),
        service: service.clone(),
        zone: "".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        schedulable: false,
    }
}
