//! Positions of units, tasks and runs within their job.
//!
//! They correspond to the identifiers of the protocol without the job, and are checked against the job's
//! steps once.

use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::unit::{StepId, UnitId};

/// Position of a unit in its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnitPosition {
    pub(crate) iteration: u32,
    /// Step within the iteration.
    pub(crate) step: u32,
    /// Unit within the step; 0 for a gang.
    pub(crate) unit: u32,
}

impl UnitPosition {
    /// Position that an identifier names.
    pub(crate) fn from_id(id: &UnitId) -> UnitPosition {
        UnitPosition {
            iteration: id.step.iteration,
            step: id.step.step,
            unit: id.index.unwrap_or(0),
        }
    }

    /// Identifier of the unit.
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

    /// Identifier of a task of the unit.
    pub(crate) fn task_id(self, job: &JobId, task: u32) -> TaskId {
        TaskId {
            job: job.clone(),
            iteration: self.iteration,
            step: self.step,
            index: task,
        }
    }
}

/// Position of a task in its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskPosition {
    /// Unit to which the task belongs.
    pub(crate) unit: UnitPosition,
    /// Task within the step.
    pub(crate) task: u32,
}

/// Distinguishes the runs that a task may have at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunSlot {
    /// The newest run, or the only one.
    Newest,
    /// The earlier run of a hedged task, beside which a newer run waits or is assigned.
    Earlier,
}

/// Position of a run that is assigned to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunPosition {
    pub(crate) task: TaskPosition,
    /// Which of the task's runs it is.
    pub(crate) slot: RunSlot,
}

impl RunPosition {
    /// Unit to which the run's task belongs.
    pub(crate) fn unit(self) -> UnitPosition {
        self.task.unit
    }
}
