//! Check of an assignment of a unit's tasks to workers.

use std::ops::Range;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::{StepId, UnitId, WorkerId};

/// The workers in the order of the unit's tasks; none unless the assignment names each task once and nothing else.
pub(crate) fn workers_in_task_order(
    unit: &UnitId,
    tasks: Range<u32>,
    assignment: &[(TaskId, WorkerId)],
) -> Option<Vec<WorkerId>> {
    if assignment.len() != tasks.len() {
        return None;
    }
    let mut workers = vec![None; tasks.len()];
    for (task, worker) in assignment {
        if StepId::of_task(task) != unit.step {
            return None;
        }
        let offset = task.index.checked_sub(tasks.start)?;
        let slot = workers.get_mut(offset as usize)?;
        if slot.is_some() {
            return None;
        }
        *slot = Some(worker.clone());
    }
    workers.into_iter().collect()
}
