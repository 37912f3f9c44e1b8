//! Claims: a worker takes the first queued copy that it admits, and the unit's other copies are withdrawn in
//! the same step.

use crate::admission::admits;
use crate::allocation::Allocation;
use crate::cluster::Cluster;
use crate::cycle::SchedulingCycle;
use crate::decision::Decision;
use crate::index::{QueueKey, WorkerIndex};
use crate::pending_unit::PendingUnit;
use crate::resource_vector::multiply;
use crate::run::Run;
use crate::run_estimate::remote_slowdown;
use std::collections::BTreeMap;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::TaskAssignment;

/// Maximum number of copies scanned in one worker's queue; later ones are considered when their unit is
/// retried.
const MAX_COPIES_SCANNED: usize = 32;

/// Assignment of a task to the worker that it starts on.
#[derive(Clone, Debug)]
pub(crate) struct TaskPlacement {
    pub(crate) task: TaskId,
    pub(crate) worker: WorkerIndex,
}

/// Lets each changed worker claim the units that it admits; if `before` is given, only units earlier than
/// that in the queue.
pub(crate) fn claim_at_changed_workers(cycle: &mut SchedulingCycle<'_>, before: Option<QueueKey>) {
    let changed: Vec<WorkerIndex> = cycle.cluster.changed_workers.iter().copied().collect();
    for index in changed {
        claim_at_worker(cycle, index, before);
    }
}

/// Repeats the scan of a worker's queue until it claims nothing more.
fn claim_at_worker(cycle: &mut SchedulingCycle<'_>, index: WorkerIndex, before: Option<QueueKey>) {
    loop {
        let Some(worker) = cycle.cluster.workers.get(index) else {
            return;
        };
        if !worker.info.schedulable {
            return;
        }
        let keys: Vec<QueueKey> = worker
            .queue
            .iter()
            .take_while(|key| before.is_none_or(|before| **key < before))
            .take(MAX_COPIES_SCANNED)
            .copied()
            .collect();
        let decisions_before = cycle.decisions.len();
        for key in keys {
            claim(cycle, key, index);
        }
        if cycle.decisions.len() == decisions_before {
            return;
        }
    }
}

/// Starts a single task on a worker if the task is admitted there.
pub(crate) fn claim(cycle: &mut SchedulingCycle<'_>, key: QueueKey, index: WorkerIndex) {
    let Some(view) = cycle.view(key) else {
        return;
    };
    if view.pending.is_gang() || !admits(&view, index) {
        return;
    }
    let placements = view
        .unit()
        .tasks
        .iter()
        .map(|task| TaskPlacement {
            task: task.clone(),
            worker: index,
        })
        .collect();
    start(cycle, key, placements);
}

/// Removes a unit from the queue and allocates capacity for its tasks.
pub(crate) fn start(
    cycle: &mut SchedulingCycle<'_>,
    key: QueueKey,
    placements: Vec<TaskPlacement>,
) {
    if !has_capacity_for(cycle.cluster, key, &placements) {
        return;
    }
    let Some(pending) = take_from_queue(cycle.cluster, key, &placements) else {
        return;
    };
    let mut assignments = Vec::with_capacity(placements.len());
    for TaskPlacement { task, worker } in placements {
        assignments.extend(allocate(cycle, &pending, task, worker));
    }
    cycle.decisions.push(Decision::Start {
        unit: pending.unit.id,
        assignments,
        waits: pending.wait_history.finish(cycle.now),
    });
}

fn allocate(
    cycle: &mut SchedulingCycle<'_>,
    pending: &PendingUnit,
    task: TaskId,
    index: WorkerIndex,
) -> Option<TaskAssignment> {
    let allocation = Allocation::from(&pending.unit);
    let mut run = Run::new(cycle.now, allocation, pending.slack_class);
    let worker = cycle.cluster.workers.get(index)?;
    run.remote_slowdown = remote_slowdown(cycle.cluster, &pending.unit, worker);
    let worker = cycle.cluster.workers.get_mut(index)?;
    let id = worker.info.id.clone();
    worker.allocate(&task, run);
    cycle.cluster.update_load(index);
    Some(TaskAssignment { task, worker: id })
}

/// Final check before capacity is allocated, however the workers were chosen: no worker is filled beyond its
/// capacity.
fn has_capacity_for(cluster: &Cluster, key: QueueKey, placements: &[TaskPlacement]) -> bool {
    let Some(pending) = cluster.queue.get(key) else {
        return false;
    };
    let mut counts: BTreeMap<WorkerIndex, u64> = BTreeMap::new();
    for placement in placements {
        *counts.entry(placement.worker).or_insert(0) += 1;
    }
    counts.into_iter().all(|(index, count)| {
        let demand = multiply(&pending.unit.resources, count);
        let worker = cluster.workers.get(index);
        worker.is_some_and(|worker| worker.free().covers(&demand))
    })
}

#[cfg(not(feature = "mutant-claim"))]
fn take_from_queue(
    cluster: &mut Cluster,
    key: QueueKey,
    _placements: &[TaskPlacement],
) -> Option<PendingUnit> {
    cluster.remove_pending(key)
}

/// Injected fault that the tests must detect: the copies at other workers stay queued.
#[cfg(feature = "mutant-claim")]
fn take_from_queue(
    cluster: &mut Cluster,
    key: QueueKey,
    placements: &[TaskPlacement],
) -> Option<PendingUnit> {
    let pending = cluster.queue.get(key)?.clone();
    if pending.copies.len() <= 1 {
        return cluster.remove_pending(key);
    }
    for placement in placements {
        let worker = cluster.workers.get_mut(placement.worker)?;
        worker.remove_copy(key, &pending.unit.resources);
    }
    Some(pending)
}
