//! Output of the job table: its changes since the last call, and descriptions of single runs.

use crate::completion::Completion;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::RunId;
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// All changes since the last call of [`JobTable::take_changes`](crate::JobTable::take_changes).
///
/// Apply `revoked_units` before `ready_units`: a unit that is reissued is in both.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobChanges {
    /// Writes to the replicated state, to be committed in one batch. Each key occurs at most once.
    pub writes: Vec<Write>,
    /// Units that became ready for placement.
    pub ready_units: Vec<Unit>,
    /// Units that an earlier call returned as ready and that must not start any more.
    pub revoked_units: Vec<UnitId>,
    /// Assigned runs that their workers should stop.
    pub runs_to_stop: Vec<RunId>,
    /// Iterations that ended, with their latency breakdown.
    pub completions: Vec<Completion>,
}

/// A run that its worker may start once the writes that record it are committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRun {
    /// Identifier of the run.
    pub run: RunId,
    /// Worker to which the run is assigned.
    pub worker: WorkerId,
    /// Specification of the work, from the request of the job.
    pub spec: Arc<str>,
    /// Checkpoint from which the run continues; empty to start from the beginning.
    pub checkpoint: Arc<str>,
}

/// A run that is recorded as occupying a worker.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of the request, as it is in the protocol"
)]
pub struct AssignedRun {
    /// Identifier of the run.
    pub run: RunId,
    /// Worker to which the run is assigned.
    pub worker: WorkerId,
    /// Resources that the run occupies at the worker.
    pub resources: Resources,
    /// Queue of the run's job.
    pub queue: Arc<str>,
    /// Share of the run's step in the slack of its job, in milliseconds. The slack is the time that the job
    /// may spend waiting and still meet its latency objective.
    pub slack_ms: Millis,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Unit to which the run's task belongs.
    pub unit: UnitId,
    /// Service of the queue.
    pub service: Arc<str>,
    /// Specification with which the run was started.
    pub spec: Arc<str>,
    /// Checkpoint from which the run was started; empty if it started from the beginning.
    pub checkpoint: Arc<str>,
    /// Time of the assignment, in milliseconds since 1970. If a former version did not record it, this is the
    /// time at which the job table was recovered.
    pub assigned_unix_ms: Millis,
    /// Estimated run time of the task, in milliseconds.
    pub estimated_ms: Millis,
    /// The task writes checkpoints.
    pub checkpoints: bool,
    /// The task runs until its job is cancelled.
    pub long_running: bool,
    /// The task is a member of a gang.
    pub gang: bool,
    /// The task may have a speculative second run.
    pub hedged: bool,
    /// The run is being stopped and its result is ignored; it occupies the worker until it is over.
    pub stopping: bool,
}
