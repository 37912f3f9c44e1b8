//! Validation of the assignments of a unit's tasks to workers.

use std::ops::Range;
use streamusher_protocol::unit::{StepId, TaskAssignment, UnitId, WorkerId};

/// Returns the workers in the order of the unit's tasks, or `None` unless the assignments name each task
/// exactly once and no other task.
pub(crate) fn workers_in_task_order(
    unit: &UnitId,
    tasks: Range<u32>,
    assignments: &[TaskAssignment],
) -> Option<Vec<WorkerId>> {
    if assignments.len() != tasks.len() {
        return None;
    }
    let mut workers = vec![None; tasks.len()];
    for assignment in assignments {
        let task = &assignment.task;
        if StepId::of_task(task) != unit.step {
            return None;
        }
        let offset = task.index.checked_sub(tasks.start)?;
        let slot = workers.get_mut(offset as usize)?;
        if slot.is_some() {
            return None;
        }
        *slot = Some(assignment.worker.clone());
    }
    workers.into_iter().collect()
}
