//! What the record hands out: writes, units to place, runs to stop, and views of single runs.

use crate::completion::Completion;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::RunId;
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// Everything that changed since the last call. Take back `revoked` first, then place `ready`: a unit given out anew
/// is in both.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobChanges {
    /// Changes to the replicated state, in one batch; each key at most once.
    pub writes: Vec<Write>,
    /// Units whose turn has come.
    pub ready_units: Vec<Unit>,
    /// Units given out before that must not start any more.
    pub revoked_units: Vec<UnitId>,
    /// Runs to stop.
    pub runs_to_stop: Vec<RunId>,
    /// Iterations that ended, with where their time went.
    pub completions: Vec<Completion>,
}

/// A run that may be ordered once the writes that record it are committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRun {
    /// The run.
    pub run: RunId,
    /// Where it is to start.
    pub worker: WorkerId,
    /// What to run.
    pub spec: Arc<str>,
    /// Where to continue from; empty for the beginning.
    pub checkpoint: Arc<str>,
}

/// A run that occupies a worker by the record.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedRun {
    /// The run.
    pub run: RunId,
    /// The worker that it was ordered at.
    pub worker: WorkerId,
    /// What it takes there.
    pub resources: Resources,
    /// Its queue.
    pub queue: Arc<str>,
    /// Its step's part of the time that its job may spend waiting and still meet the queue's objective.
    pub slack_ms: Millis,
    /// Its queue's priority.
    pub priority: u32,
    /// The unit that it is part of.
    pub unit: UnitId,
    /// Its queue's service.
    pub service: Arc<str>,
    /// What it was started with.
    pub spec: Arc<str>,
    /// The checkpoint that its start brings.
    pub checkpoint: Arc<str>,
    /// Guess of a task's run time, in milliseconds.
    pub estimated_ms: Millis,
    /// It writes checkpoints.
    pub checkpoints: bool,
    /// It runs until the job is cancelled.
    pub long_running: bool,
    /// It is one of a gang.
    pub gang: bool,
    /// Copies of its task may run at the same time.
    pub hedged: bool,
    /// Its result is not wanted any more; it still occupies the worker until it is over.
    pub stopping: bool,
}
