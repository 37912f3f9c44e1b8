//! Steps of a scheduling cycle, in order.

use crate::claim::claim_at_changed_workers;
use crate::cluster::Cluster;
use crate::cycle::SchedulingCycle;
use crate::gang::place_gang;
use crate::index::QueueKey;
use crate::pending_unit::PendingUnit;
use crate::queue_copies::update_copies;
use crate::resource_vector::dominant_share;
use crate::single_task::place_single_task;
use std::collections::BTreeSet;
use streamusher_protocol::Millis;

/// Maximum number of due retries in one cycle; the others follow in the next.
const MAX_DUE_UNITS: usize = 64;
/// Maximum number of new units examined in one cycle, most urgent first. A new primary finds all pending
/// units at once and must not be blocked by them.
const MAX_NEW_UNITS: usize = 1_000;
/// Maximum number of gangs per service that are tried when capacity is freed.
const MAX_GANGS_PER_SERVICE: usize = 8;

/// Runs one cycle: new and due units get copies in workers' queues, changed workers claim units, and capacity
/// is searched for the remaining ones. A gang is tried at its position in the queue order among the claims.
pub(crate) fn run_cycle(cycle: &mut SchedulingCycle<'_>) {
    for service in cycle.cluster.services.values_mut() {
        service.refresh_headroom(cycle.now);
    }
    let DueUnits { gangs, singles } = take_due_units(cycle.cluster, cycle.now);
    for key in gangs.iter().chain(&singles) {
        observe_request(cycle.cluster, cycle.now, *key);
    }
    for key in &singles {
        update_copies(cycle, *key);
    }
    for key in gangs {
        claim_at_changed_workers(cycle, Some(key));
        place_gang(cycle, key);
    }
    claim_at_changed_workers(cycle, None);
    cycle.cluster.changed_workers.clear();
    for key in singles {
        place_single_task(cycle, key);
    }
}

/// Units that one cycle examines.
struct DueUnits {
    gangs: BTreeSet<QueueKey>,
    singles: BTreeSet<QueueKey>,
}

/// Takes the new units, those due for a retry, and the first gangs of each service in which capacity was
/// freed.
fn take_due_units(cluster: &mut Cluster, now: Millis) -> DueUnits {
    let mut keys = take_new_units(cluster);
    keys.extend(take_retries(cluster, now));
    let is_gang = |key: &QueueKey| cluster.queue.get(*key).is_some_and(PendingUnit::is_gang);
    let (mut gangs, singles): (BTreeSet<QueueKey>, BTreeSet<QueueKey>) =
        keys.into_iter().partition(is_gang);
    for name in std::mem::take(&mut cluster.services_with_freed_capacity) {
        if let Some(service) = cluster.services.get(&name) {
            gangs.extend(service.pending_gangs.iter().take(MAX_GANGS_PER_SERVICE));
        }
    }
    DueUnits { gangs, singles }
}

/// Takes the units that are due for a retry, within the rate limit of their service's pacer; the others are
/// postponed.
fn take_retries(cluster: &mut Cluster, now: Millis) -> Vec<QueueKey> {
    let mut keys = Vec::new();
    for key in cluster.queue.take_due(now, MAX_DUE_UNITS) {
        let retry_at = reserve_retry(cluster, now, key);
        if retry_at <= now {
            keys.push(key);
        } else {
            cluster.queue.postpone_retry(key, retry_at);
        }
    }
    cluster.queue.count_retries(keys.len());
    keys
}

fn reserve_retry(cluster: &mut Cluster, now: Millis, key: QueueKey) -> Millis {
    let Some(pending) = cluster.queue.get_mut(key) else {
        return now;
    };
    if std::mem::take(&mut pending.is_retry_reserved) {
        return now;
    }
    let service = cluster.services.get_mut(&pending.unit.service);
    service.map_or(now, |service| service.reserve_retry(now))
}

fn take_new_units(cluster: &mut Cluster) -> BTreeSet<QueueKey> {
    let first_deferred = cluster.new_units.iter().nth(MAX_NEW_UNITS).copied();
    let deferred =
        first_deferred.map_or_else(BTreeSet::new, |key| cluster.new_units.split_off(&key));
    std::mem::replace(&mut cluster.new_units, deferred)
}

/// Records the share of a worker that a unit requests. The service's first worker stands for all of them.
fn observe_request(cluster: &mut Cluster, now: Millis, key: QueueKey) {
    let Some(pending) = cluster.queue.get(key) else {
        return;
    };
    let Some(service) = cluster.services.get_mut(&pending.unit.service) else {
        return;
    };
    let first = service.pools.all.members.first();
    if let Some(worker) = first.and_then(|index| cluster.workers.get(*index)) {
        let share = dominant_share(&pending.unit.resources, &worker.info.capacity);
        service.observe_request(now, share);
    }
}
