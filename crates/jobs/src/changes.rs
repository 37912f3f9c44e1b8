//! What the job table hands out: its changes, and views of single runs.

use crate::completion::Completion;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::RunId;
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// Everything that changed since the last call of [`JobTable::take_changes`](crate::JobTable::take_changes).
///
/// Apply `revoked_units` before `ready_units`: a unit that is reissued is in both.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobChanges {
    /// Writes to the replicated state, in one batch; each key at most once.
    pub writes: Vec<Write>,
    /// Units that became ready for placement.
    pub ready_units: Vec<Unit>,
    /// Units that were handed out as ready before and must not start any more.
    pub revoked_units: Vec<UnitId>,
    /// Runs to stop.
    pub runs_to_stop: Vec<RunId>,
    /// Iterations that ended, with where their time went.
    pub completions: Vec<Completion>,
}

/// A run that its worker may be told to start once the writes that record it are committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRun {
    /// The run.
    pub run: RunId,
    /// Worker that it is assigned to.
    pub worker: WorkerId,
    /// What to run.
    pub spec: Arc<str>,
    /// Checkpoint to continue from; empty for the beginning.
    pub checkpoint: Arc<str>,
}

/// A run that is recorded as occupying a worker.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of the request, as it is in the protocol"
)]
pub struct AssignedRun {
    /// The run.
    pub run: RunId,
    /// Worker that it is assigned to.
    pub worker: WorkerId,
    /// What it takes there.
    pub resources: Resources,
    /// Its queue.
    pub queue: Arc<str>,
    /// Its step's part of the time that its job may spend waiting and still meet its latency objective, in milliseconds.
    pub slack_ms: Millis,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// The unit that it is part of.
    pub unit: UnitId,
    /// Service of its queue.
    pub service: Arc<str>,
    /// What it was started with.
    pub spec: Arc<str>,
    /// Checkpoint that it was started with; empty for the beginning.
    pub checkpoint: Arc<str>,
    /// When it was assigned, in milliseconds since 1970; where a former version did not record it, when the job table was
    /// recovered.
    pub assigned_unix_ms: Millis,
    /// Estimated run time of a task, in milliseconds.
    pub estimated_ms: Millis,
    /// It writes checkpoints.
    pub checkpoints: bool,
    /// It runs until the job is cancelled.
    pub long_running: bool,
    /// It is one of a gang.
    pub gang: bool,
    /// Its task may have a speculative second run.
    pub hedged: bool,
    /// Its result is not wanted any more; it still occupies the worker until it is over.
    pub stopping: bool,
}
