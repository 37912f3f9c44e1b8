//! Explains to an operator why a unit waits.

use crate::cluster::Cluster;
use crate::eligibility::is_eligible;
use crate::index::WorkerIndex;
use crate::pending_unit::PendingUnit;
use crate::wait_reason::{WaitExplanation, WaitReason};
use crate::worker::Worker;
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

/// Explains why a unit waits; `None` if it is not pending. Examines every worker of the service and every
/// unit earlier in the queue.
pub(crate) fn explain(cluster: &Cluster, now: Millis, unit: &UnitId) -> Option<WaitExplanation> {
    let key = cluster.queue.key_of(unit)?;
    let pending = cluster.queue.get(key)?;
    let counts = WorkerCounts::of(cluster, &pending.unit);
    Some(WaitExplanation {
        reason: reason(pending, &counts),
        waited_ms: pending.waited_ms(now),
        units_ahead: cluster.queue.units_before(key),
        schedulable_workers: counts.schedulable,
        eligible_workers: counts.eligible,
        workers_below_limit: counts.below_limit,
        workers_with_free_capacity: counts.with_free_capacity,
        copies: pending.copies.len(),
    })
}

/// Number of workers that pass each successive requirement of a unit.
struct WorkerCounts {
    schedulable: usize,
    with_label: usize,
    eligible: usize,
    below_limit: usize,
    with_free_capacity: usize,
}

impl WorkerCounts {
    fn of(cluster: &Cluster, unit: &Unit) -> WorkerCounts {
        let schedulable: Vec<(WorkerIndex, &Worker)> = cluster
            .workers
            .iter()
            .filter(|(_, worker)| worker.info.schedulable && worker.info.service == unit.service)
            .collect();
        let has_label = |worker: &Worker| {
            let label = unit.node_selector.as_ref();
            label.is_none_or(|label| worker.has_label(label))
        };
        let with_label = schedulable.iter().filter(|(_, worker)| has_label(worker));
        let eligible: Vec<&Worker> = schedulable
            .iter()
            .filter(|(index, _)| is_eligible(&cluster.workers, unit, *index))
            .map(|(_, worker)| *worker)
            .collect();
        let below_limit: Vec<&Worker> = eligible
            .iter()
            .copied()
            .filter(|worker| worker.admits_by_anti_affinity(unit))
            .collect();
        let with_free_capacity = below_limit
            .iter()
            .filter(|worker| worker.free().covers(&unit.resources));
        WorkerCounts {
            schedulable: schedulable.len(),
            with_label: with_label.count(),
            eligible: eligible.len(),
            below_limit: below_limit.len(),
            with_free_capacity: with_free_capacity.count(),
        }
    }
}

fn reason(pending: &PendingUnit, counts: &WorkerCounts) -> WaitReason {
    if counts.schedulable == 0 {
        WaitReason::NoSchedulableWorker
    } else if counts.with_label == 0 {
        WaitReason::NoMatchingLabel
    } else if counts.eligible == 0 {
        WaitReason::NoWorkerLargeEnough
    } else if counts.below_limit == 0 {
        WaitReason::AntiAffinityLimitReached
    } else if !pending.reserved_at.is_empty() {
        WaitReason::CapacityReserved
    } else if counts.with_free_capacity == 0 {
        WaitReason::NoFreeCapacity
    } else {
        WaitReason::CapacityReservedForOthers
    }
}
