//! Admission control: whether a single task may start on a worker now.

use crate::headroom::HeadroomShare;
use crate::index::WorkerIndex;
use crate::policy::Mechanism;
use crate::reservation::HeadroomAccess;
use crate::resource_vector::ResourceVector;
use crate::run_estimate::expected_run_ms;
use crate::unit_view::UnitView;
use crate::wait_escalation::headroom_access;
use crate::worker::Worker;
use streamusher_protocol::heartbeat::Resources;

/// Share of its slack that a unit may wait before it affects other units. The rest is left for commands, slow
/// workers and second attempts.
const WAITING_SHARE_OF_SLACK: f64 = 0.5;

/// Whether a single task may start on a worker now.
pub(crate) fn admits(view: &UnitView<'_>, index: WorkerIndex) -> bool {
    let unit = view.unit();
    let Some(worker) = view.cluster.workers.get(index) else {
        return false;
    };
    let excluded = !worker.info.schedulable
        || worker.runs_same_task(unit)
        || !worker.admits_by_anti_affinity(unit);
    if excluded || !worker.free().covers(&unit.resources) {
        return false;
    }
    if unit.speculative && !view.service.is_lightly_used() {
        return false;
    }
    let access = headroom_access(view, worker);
    if access == HeadroomAccess::Denied
        && !(has_run_slot(view, worker) && leaves_headroom(view, worker))
    {
        return false;
    }
    let ends_at_ms = view.now as f64 + expected_run_ms(view, worker);
    worker.fits(view.now, view.key, &unit.resources, ends_at_ms, access)
}

/// Whether a worker may have one more run, by its penalty.
pub(crate) fn has_run_slot(view: &UnitView<'_>, worker: &Worker) -> bool {
    !view.uses(Mechanism::Probation)
        || worker.runs.len() < view.service.max_concurrent_runs(view.now, worker)
}

/// Headroom that applies to a unit. Once the unit has waited for as long as it may, only headroom for more
/// urgent work still applies.
pub(crate) fn headroom_against<'a>(
    view: &UnitView<'a>,
) -> impl Iterator<Item = HeadroomShare> + 'a {
    let view = *view;
    let is_overdue = remaining_wait_ms(&view) <= 0.0;
    let waited_share = view.waited_ms() as f64 / max_wait_ms(&view).max(1.0);
    let priority = view.unit().priority;
    view.service
        .headroom
        .shares_against(view.pending.slack_class, waited_share)
        .filter(move |_| view.uses(Mechanism::Headroom))
        .filter(move |share| !is_overdue || share.most_urgent_priority < priority)
}

/// How much longer a unit may wait until a preemption for it would come too late, in milliseconds; negative
/// once that time has passed.
pub(crate) fn remaining_wait_ms(view: &UnitView<'_>) -> f64 {
    let with_stop_ms = view
        .waited_ms()
        .saturating_add(view.cluster.settings.max_stop_ms);
    max_wait_ms(view) - with_stop_ms as f64
}

/// How long a unit may wait before it affects other units, in milliseconds.
fn max_wait_ms(view: &UnitView<'_>) -> f64 {
    WAITING_SHARE_OF_SLACK * view.unit().slack_ms as f64
}

/// Whether the headroom for classes with less slack stays free. A worker without runs of the classes that the
/// headroom applies to always admits one.
fn leaves_headroom(view: &UnitView<'_>, worker: &Worker) -> bool {
    let capacity = ResourceVector::from(&worker.info.capacity);
    let demand = ResourceVector::from(&view.unit().resources);
    headroom_against(view).all(|headroom| {
        let used_above = worker.allocated.above_slack_class(headroom.up_to);
        let limit = capacity.minus_shares(headroom.shares);
        let used = ResourceVector::from(&used_above) + demand;
        used_above == Resources::default() || used.fits_within(&limit)
    })
}
