//! Learns from runs: penalties from failures and stalls, speeds and run times from progress reports and
//! completed runs.

use crate::allocation::ReleaseReason;
use crate::cluster::Cluster;
use crate::index::WorkerIndex;
use crate::policy::Mechanism;
use crate::run::Run;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Updates statistics when a run's allocation is released.
pub(crate) fn on_release(
    cluster: &mut Cluster,
    now: Millis,
    index: WorkerIndex,
    run: &Run,
    reason: ReleaseReason,
) {
    learn_penalty(cluster, now, index, reason);
    if let ReleaseReason::Finished {
        outcome: RunEnd::Done,
        ran_ms,
    } = reason
    {
        learn_run_time(cluster, now, index, run, ran_ms);
    }
}

fn learn_penalty(cluster: &mut Cluster, now: Millis, index: WorkerIndex, reason: ReleaseReason) {
    let uses_penalties = cluster.uses(Mechanism::Penalties);
    let Some(worker) = cluster.workers.get_mut(index) else {
        return;
    };
    let change = if uses_penalties {
        worker.penalty.on_release(now, reason)
    } else {
        0.0
    };
    if let Some(service) = cluster.services.get_mut(&worker.info.service) {
        service.change_penalty_sum(now, change);
    }
}

fn learn_run_time(
    cluster: &mut Cluster,
    now: Millis,
    index: WorkerIndex,
    run: &Run,
    ran_ms: Millis,
) {
    let allocation = &run.allocation;
    if allocation.long_running {
        return;
    }
    let Some(worker) = cluster.workers.get_mut(index) else {
        return;
    };
    let Some(service) = cluster.services.get_mut(&allocation.service) else {
        return;
    };
    // The run time of a run that resumed from a checkpoint does not cover all of its work.
    if !allocation.checkpoints {
        let local_run_ms = ran_ms.max(1) as f64 / run.remote_slowdown;
        service.observe_speed(now, allocation, local_run_ms, &mut worker.speed);
    }
    service.observe_run_time(ran_ms);
}

/// Records that a run makes no progress. The worker's penalty rises at once, before the run ends, to keep
/// other tasks off it.
pub(crate) fn on_run_stalled(cluster: &mut Cluster, now: Millis, worker: &WorkerId) {
    if !cluster.uses(Mechanism::Penalties) {
        return;
    }
    let Some(worker) = cluster.workers.by_id_mut(worker) else {
        return;
    };
    let change = worker.penalty.on_stall(now);
    if let Some(service) = cluster.services.get_mut(&worker.info.service) {
        service.change_penalty_sum(now, change);
    }
}

/// Records the share of its work that a run has done, in percent.
pub(crate) fn update_progress(
    cluster: &mut Cluster,
    now: Millis,
    task: &TaskId,
    worker: &WorkerId,
    percent: f64,
) {
    let Some(worker) = cluster.workers.by_id_mut(worker) else {
        return;
    };
    let Some(run) = worker.runs.get_mut(task) else {
        return;
    };
    let Some(local_run_ms) = run.record_progress(now, percent) else {
        return;
    };
    if let Some(service) = cluster.services.get_mut(&worker.info.service) {
        service.observe_speed(now, &run.allocation, local_run_ms, &mut worker.speed);
    }
}
