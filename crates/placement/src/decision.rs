//! Decisions: what placement asks its caller to carry out.

use crate::wait_reason::WaitReason;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::{TaskAssignment, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// What the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start all tasks of a unit. Their capacity is allocated already.
    Start {
        /// The unit.
        unit: UnitId,
        /// One assignment for each of its tasks.
        assignments: Vec<TaskAssignment>,
        /// Where the time in the queue went, by reason; empty if the unit did not wait.
        waits: Vec<TimeWaited>,
    },
    /// Stop a run, so that a unit of higher priority gets its capacity.
    /// [`Placement::mark_stopping`](crate::Placement::mark_stopping) is to be called when the stop is ordered.
    Preempt {
        /// The task whose run is to be stopped.
        task: TaskId,
        /// The worker that it runs on.
        worker: WorkerId,
    },
}

/// The total time that a unit has waited for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeWaited {
    /// The reason.
    pub reason: WaitReason,
    /// The total, in milliseconds.
    pub waited_ms: Millis,
}
