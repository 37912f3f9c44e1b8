//! Schedules the next retry of a unit that was examined and not started.

use crate::cycle::SchedulingCycle;
use crate::index::QueueKey;
use crate::wait_diagnosis::record_wait_reason;
use streamusher_protocol::Millis;

/// Schedules the next retry of a unit that was not started, no later than its reservations expire, and
/// records why it waits.
pub(crate) fn schedule_retry(cycle: &mut SchedulingCycle<'_>, key: QueueKey) {
    record_wait_reason(cycle.cluster, cycle.now, key);
    let Some(pending) = cycle.cluster.queue.get(key) else {
        return;
    };
    let no_later_than = if pending.reserved_at.is_empty() {
        Millis::MAX
    } else {
        pending.reserved_until
    };
    cycle
        .cluster
        .queue
        .schedule_retry(cycle.now, key, no_later_than);
}
