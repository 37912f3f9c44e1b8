//! What crosses the border of this package: settings, workers, what is held, decisions.

use crate::explain::WaitReason;
use crate::policy::Policy;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// What the operators' pages fix.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Seed of the random choices.
    pub random_seed: u64,
    /// A task away from its rack runs this many times as long.
    pub remote_slowdown: f64,
    /// The longest that a stop takes.
    pub max_stop_ms: Millis,
    /// What continuing from a checkpoint takes.
    pub checkpoint_restore_ms: Millis,
    /// The mechanisms that are in use.
    pub policy: Policy,
}

/// A worker as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Its identifier, new for each start.
    pub id: WorkerId,
    /// The service whose units it runs.
    pub service: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its labels: the kind, then the rack.
    pub labels: Vec<Arc<str>>,
    /// Its whole room.
    pub capacity: Resources,
    /// Whether it takes new work.
    pub schedulable: bool,
}

/// What is known of a run that takes room.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    /// The unit that it belongs to.
    pub unit: UnitId,
    /// What it takes.
    pub resources: Resources,
    /// The service that it runs for.
    pub service: Arc<str>,
    /// The queue that its job was handed in to.
    pub queue: Arc<str>,
    /// How long its unit could wait.
    pub slack_ms: Millis,
    /// 0 comes first.
    pub priority: u32,
    /// It writes checkpoints.
    pub checkpoints: bool,
    /// It runs until its job is cancelled.
    pub long_running: bool,
    /// It is a member of a gang.
    pub gang_member: bool,
    /// Guess of its run time.
    pub estimated_ms: Millis,
}

impl From<&Unit> for Allocation {
    /// What a run of a task of this unit takes.
    fn from(unit: &Unit) -> Allocation {
        Allocation {
            unit: unit.id.clone(),
            resources: unit.resources,
            service: unit.service.clone(),
            queue: unit.queue.clone(),
            slack_ms: unit.slack_ms,
            priority: unit.priority,
            checkpoints: unit.checkpoints,
            long_running: unit.long_running,
            gang_member: unit.id.index.is_none(),
            estimated_ms: unit.estimated_ms,
        }
    }
}

/// How a run gave its room back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReleaseReason {
    /// Its worker listed its end.
    Finished {
        /// How it ended.
        outcome: RunEnd,
        /// How long it ran.
        ran_ms: Millis,
    },
    /// Its worker is gone.
    Lost,
    /// It was withdrawn before it began.
    Withdrawn,
}

/// A task with the worker that it is placed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskAssignment {
    /// The task.
    pub task: TaskId,
    /// Its worker.
    pub worker: WorkerId,
}

/// The total time that a unit has waited for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeWaited {
    /// The reason.
    pub reason: WaitReason,
    /// The total, in milliseconds.
    pub waited_ms: Millis,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start all tasks of a unit; their room is taken already.
    Start {
        /// The unit.
        unit: UnitId,
        /// Each of its tasks with its worker.
        assignments: Vec<TaskAssignment>,
        /// What it waited for, as far as it waited.
        waits: Vec<TimeWaited>,
    },
    /// Stop a run so that a unit of higher priority gets its room; call `stopping` when the stop is ordered.
    Preempt {
        /// The task whose run is to be stopped.
        task: TaskId,
        /// Where it runs.
        worker: WorkerId,
    },
}

/// A worker as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerStatus {
    /// The worker.
    pub info: WorkerInfo,
    /// Room that is taken: running, ordered and stopping.
    pub used: Resources,
    /// Runs that take room.
    pub runs: usize,
    /// Copies in its queue.
    pub queued: usize,
    /// What its failures add to its rank, in tasks.
    pub penalty: f64,
    /// Run time here over the usual.
    pub slowness: f64,
}
