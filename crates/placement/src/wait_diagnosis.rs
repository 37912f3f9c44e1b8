//! Records why a unit waits, each time that it is examined and not started.

use crate::cluster::Cluster;
use crate::eligibility::is_eligible;
use crate::index::{QueueKey, WorkerIndex};
use crate::unit_view::UnitView;
use crate::wait_reason::WaitReason;
use streamusher_protocol::Millis;

/// Workers examined per unit; those with a copy of the unit come first.
const MAX_WORKERS_EXAMINED: usize = 32;

/// Records why a unit waits that was examined and not started.
pub(crate) fn record_wait_reason(cluster: &mut Cluster, now: Millis, key: QueueKey) {
    let Some(view) = UnitView::new(cluster, now, key) else {
        return;
    };
    let reason = wait_reason(&view);
    if let Some(pending) = cluster.queue.get_mut(key) {
        pending.wait_history.record_reason(now, reason);
    }
}

/// Reason derived from a bounded number of workers; [`explain`](crate::explain::explain) examines all of
/// them.
fn wait_reason(view: &UnitView<'_>) -> WaitReason {
    if !view.pending.reserved_at.is_empty() {
        return WaitReason::CapacityReserved;
    }
    let workers = &view.cluster.workers;
    let with_copies = view.pending.copies.iter().copied();
    let members = view.pool().map_or(&[][..], |pool| &pool.members);
    let eligible: Vec<WorkerIndex> = with_copies
        .chain(members.iter().copied())
        .take(MAX_WORKERS_EXAMINED)
        .filter(|index| is_eligible(workers, view.unit(), *index))
        .collect();
    let is_below_limit = |index: &WorkerIndex| {
        let worker = workers.get(*index);
        worker.is_some_and(|worker| worker.admits_by_anti_affinity(view.unit()))
    };
    let below_limit: Vec<WorkerIndex> = eligible.iter().copied().filter(is_below_limit).collect();
    let has_capacity = |index: &WorkerIndex| {
        let worker = workers.get(*index);
        worker.is_some_and(|worker| worker.free().covers(&view.unit().resources))
    };
    if eligible.is_empty() {
        WaitReason::NoSchedulableWorker
    } else if below_limit.is_empty() {
        WaitReason::AntiAffinityLimitReached
    } else if !view.pending.is_gang() && below_limit.iter().any(has_capacity) {
        WaitReason::CapacityReservedForOthers
    } else {
        WaitReason::NoFreeCapacity
    }
}
