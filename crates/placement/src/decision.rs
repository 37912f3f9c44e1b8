//! Decisions that placement returns for the caller to carry out.

use crate::wait_reason::WaitReason;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::{TaskAssignment, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Starts all tasks of a unit. Their capacity is already allocated.
    Start {
        /// Unit to start.
        unit: UnitId,
        /// Assignment of each task of the unit to a worker.
        assignments: Vec<TaskAssignment>,
        /// Time that the unit spent in the queue, by reason; empty if it did not wait.
        waits: Vec<TimeWaited>,
    },
    /// Stops a run to free its capacity for a unit of higher priority. The caller invokes
    /// [`Placement::mark_stopping`](crate::Placement::mark_stopping) when it orders the stop.
    Preempt {
        /// Task whose run is to be stopped.
        task: TaskId,
        /// Worker that runs the task.
        worker: WorkerId,
    },
}

/// Total time that a unit waited for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeWaited {
    /// Reason for the wait.
    pub reason: WaitReason,
    /// Total over all periods with this reason, in milliseconds.
    pub waited_ms: Millis,
}
