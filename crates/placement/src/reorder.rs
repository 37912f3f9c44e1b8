//! Moves a pending unit to another position in the queue.

use crate::cluster::Cluster;
use crate::index::{QueueKey, WorkerIndex};
use crate::pending_unit::PendingUnit;
use streamusher_protocol::unit::UnitId;

/// Changes a pending unit's order within its priority. Returns true if its position was changed.
///
/// The unit keeps its copies and its waiting time. A gang with reservations, and a unit that runs were
/// preempted for, keep their position. Other reservations are cancelled; the unit's next retry may create new
/// ones.
pub(crate) fn reorder(cluster: &mut Cluster, unit: &UnitId, order: u64) -> bool {
    let Some(key) = cluster.queue.key_of(unit) else {
        return false;
    };
    let Some(pending) = cluster.queue.get(key) else {
        return false;
    };
    if pending.unit.order == order || is_position_fixed(cluster, key, pending) {
        return false;
    }
    cluster.cancel_reservations(key);
    cluster.change_key(key, order)
}

fn is_position_fixed(cluster: &Cluster, key: QueueKey, pending: &PendingUnit) -> bool {
    let holds_preempted_capacity = |index: &WorkerIndex| {
        let worker = cluster.workers.get(*index);
        worker.is_some_and(|worker| {
            worker
                .reservations
                .iter()
                .any(|reservation| reservation.unit == key && reservation.by_preemption)
        })
    };
    let is_gang_with_reservations = pending.is_gang() && !pending.reserved_at.is_empty();
    is_gang_with_reservations || pending.reserved_at.iter().any(holds_preempted_capacity)
}
