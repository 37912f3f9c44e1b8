//! What is placed at once: a task, or all tasks of a gang. Made by the job record, taken by placement.

use crate::heartbeat::Resources;
use crate::task::{JobId, TaskId};
use crate::Millis;
use std::sync::Arc;

/// A worker's id, new for each start of the worker.
pub type WorkerId = Arc<str>;

/// One iteration of a job's step: the group that `anti_affinity` counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Which of its times.
    pub iteration: u32,
    /// Which of its steps.
    pub step: u32,
}

/// What is placed at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId {
    /// The step.
    pub step: StepId,
    /// The task's index; none for the whole step as a gang.
    pub index: Option<u32>,
}

/// A task, or a gang, whose turn has come, with all that placement needs to know of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// Its identifier.
    pub id: UnitId,
    /// Its task, or all tasks of the gang.
    pub tasks: Vec<TaskId>,
    /// What each task takes.
    pub resources: Resources,
    /// Whose workers may run it.
    pub service: Arc<str>,
    /// The queue that its job was handed in to.
    pub queue: Arc<str>,
    /// The queue's priority: 0 comes first and may preempt others.
    pub priority: u32,
    /// Order within a priority: lower first.
    pub order: u64,
    /// Its step's part of the time that its job may spend waiting and still meet the queue's objective.
    pub slack_ms: Millis,
    /// Label that the worker must have.
    pub node_selector: Option<Arc<str>>,
    /// Rack that holds the data; elsewhere it runs `far_x` times as long.
    pub affinity: Option<Arc<str>>,
    /// At most so many tasks of the step on one worker; 0 means no limit.
    pub anti_affinity: u32,
    /// A gang runs `far_x` times as long on more than one rack.
    pub same_rack: bool,
    /// Guess of a task's run time.
    pub estimated_ms: Millis,
    /// Its tasks write checkpoints: stopping one loses little.
    pub checkpoints: bool,
    /// Its tasks run until the job is cancelled.
    pub long_running: bool,
    /// Copies of it may run at the same time.
    pub hedged: bool,
    /// A copy of a hedged task that is at work: it takes room that is free, at another worker, and nothing is stopped for
    /// it.
    pub speculative: bool,
    /// Workers at which a run of it failed or stood still: taken only where no other can.
    pub avoid: Vec<WorkerId>,
}

/// A task with the worker that it is placed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskAssignment {
    /// The task.
    pub task: TaskId,
    /// Its worker.
    pub worker: WorkerId,
}

impl UnitId {
    /// The unit of a single task.
    pub fn of_task(task: &TaskId) -> UnitId {
        UnitId {
            step: StepId::of_task(task),
            index: Some(task.index),
        }
    }
}

impl StepId {
    /// The step that a task belongs to.
    pub fn of_task(task: &TaskId) -> StepId {
        StepId {
            job: task.job.clone(),
            iteration: task.iteration,
            step: task.step,
        }
    }
}
