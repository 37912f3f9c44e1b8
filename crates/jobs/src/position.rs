//! Positions of units, tasks and runs within their job.
//!
//! They mirror the identifiers of the protocol without the job, and are checked against the job's steps once.

use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::unit::{StepId, UnitId};

/// A unit's position in its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnitPosition {
    /// The iteration.
    pub(crate) iteration: u32,
    /// The step within the iteration.
    pub(crate) step: u32,
    /// The unit within the step; 0 for a gang.
    pub(crate) unit: u32,
}

impl UnitPosition {
    /// The position that an identifier names.
    pub(crate) fn from_id(id: &UnitId) -> UnitPosition {
        UnitPosition {
            iteration: id.step.iteration,
            step: id.step.step,
            unit: id.index.unwrap_or(0),
        }
    }

    /// The unit's identifier.
    pub(crate) fn id(self, job: &JobId, is_gang: bool) -> UnitId {
        UnitId {
            step: StepId {
                job: job.clone(),
                iteration: self.iteration,
                step: self.step,
            },
            index: (!is_gang).then_some(self.unit),
        }
    }

    /// The identifier of a task of the unit.
    pub(crate) fn task_id(self, job: &JobId, task: u32) -> TaskId {
        TaskId {
            job: job.clone(),
            iteration: self.iteration,
            step: self.step,
            index: task,
        }
    }
}

/// A task's position in its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskPosition {
    /// The unit that the task is part of.
    pub(crate) unit: UnitPosition,
    /// The task within the step.
    pub(crate) task: u32,
}

/// Which of a task's runs is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunSlot {
    /// The newest one, or the only one.
    Newest,
    /// Of a hedged task: the one beside which a newer one waits or runs.
    Earlier,
}

/// The position of a run that is assigned to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunPosition {
    /// The task.
    pub(crate) task: TaskPosition,
    /// Which of its runs.
    pub(crate) slot: RunSlot,
}

impl RunPosition {
    /// The unit that the run's task is part of.
    pub(crate) fn unit(self) -> UnitPosition {
        self.task.unit
    }
}
