//! Escalation by waiting time: the longer a unit has waited, the more workers and capacity it may use.
//!
//! Escalation bounds every wait: no unit waits for 3 s while much of its service's capacity is free.
//! `docs/design/waiting.md` lists each state in which a unit can wait, with its bound.

use crate::policy::Mechanism;
use crate::reservation::HeadroomAccess;
use crate::unit_view::UnitView;
use crate::worker::Worker;
use streamusher_protocol::Millis;

/// Waiting time from which a unit accepts workers that are remote, slow or prone to failure.
pub(crate) const ANY_WORKER_AFTER_MS: Millis = 1_500;
/// Waiting time from which a unit also accepts workers that it avoids.
pub(crate) const AVOIDED_WORKERS_AFTER_MS: Millis = 6_000;
/// Waiting time from which small units may use even capacity that runs were preempted for.
const PREEMPTED_CAPACITY_AFTER_MS: Millis = 2_300;
/// A unit is small if one of its tasks takes less than this share of a worker.
const SMALL_SHARE: f64 = 0.2;

/// Whether a unit may use any free capacity: it has waited long in a service with much free capacity.
pub(crate) fn may_use_any_capacity(view: &UnitView<'_>) -> bool {
    view.uses(Mechanism::WaitEscalation)
        && !view.unit().speculative
        && view.waited_ms() >= ANY_WORKER_AFTER_MS
        && view.service.is_lightly_used()
}

/// Returns the unit's access to capacity of a worker that is reserved for others. Capacity freed by
/// preemption for others is open only to small units: a large unit would cause another preemption.
pub(crate) fn headroom_access(view: &UnitView<'_>, worker: &Worker) -> HeadroomAccess {
    if !may_use_any_capacity(view) {
        return HeadroomAccess::Denied;
    }
    let waited_longer = view.waited_ms() >= PREEMPTED_CAPACITY_AFTER_MS;
    if waited_longer && view.pending.share_of(worker) < SMALL_SHARE {
        HeadroomAccess::Full
    } else {
        HeadroomAccess::ExceptPreempted
    }
}
