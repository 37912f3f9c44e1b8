//! Units of placement: a task, or all tasks of a gang, which are placed together. The job table creates
//! units, and placement starts them.

use crate::heartbeat::Resources;
use crate::task::{JobId, TaskId};
use crate::Millis;
use std::sync::Arc;

/// ID of a worker; each start of the worker has a new one.
pub type WorkerId = Arc<str>;

/// One step of one iteration of a job. The limit `anti_affinity` counts the tasks of this group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job that the step belongs to.
    pub job: JobId,
    /// Index of the job's iteration, from 0.
    pub iteration: u32,
    /// Index of the step within the job, from 0.
    pub step: u32,
}

/// Identifies a unit of placement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId {
    /// The step that the unit belongs to.
    pub step: StepId,
    /// Index of the task within the step; `None` if the unit is the whole step as a gang.
    pub index: Option<u32>,
}

/// A task or gang that may run now, with everything that placement needs to know about it.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a step, named as in the client's request"
)]
pub struct Unit {
    /// Identifier of the unit.
    pub id: UnitId,
    /// The single task, or all tasks of the gang.
    pub tasks: Vec<TaskId>,
    /// Resources that each task requires.
    pub resources: Resources,
    /// The service whose workers may run the unit.
    pub service: Arc<str>,
    /// The queue that the job was submitted to.
    pub queue: Arc<str>,
    /// Priority of the queue: 0 is the most urgent and may preempt the others.
    pub priority: u32,
    /// Position among units of the same priority; lower values come first.
    pub order: u64,
    /// How long the unit may still wait for its job to meet the queue's latency objective.
    pub slack_ms: Millis,
    /// Label that the worker must have; `None` permits any worker.
    pub node_selector: Option<Arc<str>>,
    /// Rack that holds the data; on other racks the unit runs `far_x` times as long.
    pub affinity: Option<Arc<str>>,
    /// Maximum number of the step's tasks on one worker; 0 means no limit.
    pub anti_affinity: u32,
    /// Whether a gang should be placed on one rack; on more than one it runs `far_x` times as long.
    pub same_rack: bool,
    /// Estimated run time of each task.
    pub estimated_ms: Millis,
    /// Whether the tasks save checkpoints, in which case stopping one loses little work.
    pub checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether the unit may have a speculative second run.
    pub hedged: bool,
    /// Whether this is the speculative second run of a hedged task. It uses free capacity on another worker,
    /// and nothing is preempted for it.
    pub speculative: bool,
    /// Workers on which a run of the unit failed or stalled. They are chosen only if no other worker can run
    /// it.
    pub avoid: Vec<WorkerId>,
}

/// Assignment of a task to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskAssignment {
    /// The task to run.
    pub task: TaskId,
    /// The worker that the task is assigned to.
    pub worker: WorkerId,
}

impl UnitId {
    /// Returns the unit of a single task.
    pub fn of_task(task: &TaskId) -> UnitId {
        UnitId {
            step: StepId::of_task(task),
            index: Some(task.index),
        }
    }
}

impl StepId {
    /// Returns the step that a task belongs to.
    pub fn of_task(task: &TaskId) -> StepId {
        StepId {
            job: task.job.clone(),
            iteration: task.iteration,
            step: task.step,
        }
    }
}
