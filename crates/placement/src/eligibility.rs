//! Eligibility filter: which workers could run a unit if they were empty.

use crate::index::WorkerIndex;
use crate::worker_table::WorkerTable;
use streamusher_protocol::unit::Unit;

/// Whether a worker could run a unit if it were empty: it is schedulable, belongs to the unit's service, is
/// large enough, has the required label, and does not already run the task that the unit is a speculative
/// copy of. The result rarely changes while the unit waits.
pub(crate) fn is_eligible(workers: &WorkerTable, unit: &Unit, index: WorkerIndex) -> bool {
    let Some(worker) = workers.get(index) else {
        return false;
    };
    let has_label = unit
        .node_selector
        .as_ref()
        .is_none_or(|label| worker.has_label(label));
    worker.info.schedulable
        && worker.info.service == unit.service
        && worker.info.capacity.covers(&unit.resources)
        && has_label
        && !worker.runs_same_task(unit)
}
