//! Escalation by waiting time: the longer a unit has waited, the more workers and capacity it may take.
//!
//! It bounds every wait: no unit waits for 3 s while its service has much free capacity. `docs/design/waiting.md` lists each
//! state in which a unit can wait, with its bound.

use crate::policy::Mechanism;
use crate::reservation::HeadroomAccess;
use crate::unit_view::UnitView;
use crate::worker::Worker;
use streamusher_protocol::Millis;

/// From this wait on no worker is too far, too slow or too often at fault.
pub(crate) const ANY_WORKER_AFTER_MS: Millis = 1_500;
/// From this wait on workers that the unit avoids are taken too.
pub(crate) const AVOIDED_WORKERS_AFTER_MS: Millis = 6_000;
/// From this wait on small units take even what runs were preempted for.
const PREEMPTED_CAPACITY_AFTER_MS: Millis = 2_300;
/// Units that take less of a worker are small.
const SMALL_SHARE: f64 = 0.2;

/// Whether a unit takes any free capacity that there is: it has waited long in a service with much free capacity.
pub(crate) fn takes_any_capacity(view: &UnitView<'_>) -> bool {
    view.uses(Mechanism::WaitEscalation)
        && !view.unit().speculative
        && view.waited_ms() >= ANY_WORKER_AFTER_MS
        && view.service.is_lightly_used()
}

/// What a unit may take of the capacity of a worker that is kept for others. What was preempted for others goes to small
/// units only: for a large one it would have to be preempted again.
pub(crate) fn headroom_access(view: &UnitView<'_>, worker: &Worker) -> HeadroomAccess {
    if !takes_any_capacity(view) {
        return HeadroomAccess::Denied;
    }
    let waited_longer = view.waited_ms() >= PREEMPTED_CAPACITY_AFTER_MS;
    if waited_longer && view.pending.share_of(worker) < SMALL_SHARE {
        HeadroomAccess::Full
    } else {
        HeadroomAccess::ExceptPreempted
    }
}
