//! Units: what is placed at once, a task or all tasks of a gang. The job table creates them, and placement starts them.

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
    /// Which iteration of the job, from 0.
    pub iteration: u32,
    /// Which step, from 0.
    pub step: u32,
}

/// Identifies a unit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId {
    /// The step.
    pub step: StepId,
    /// The task's index; none for the whole step as a gang.
    pub index: Option<u32>,
}

/// A task or a gang that may run now, with all that placement needs to know of it.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a step, named as in the client's request"
)]
pub struct Unit {
    /// Its identifier.
    pub id: UnitId,
    /// Its task, or all tasks of the gang.
    pub tasks: Vec<TaskId>,
    /// What each task takes.
    pub resources: Resources,
    /// The service whose workers may run it.
    pub service: Arc<str>,
    /// The queue that its job was submitted to.
    pub queue: Arc<str>,
    /// The queue's priority: 0 is the most urgent and may preempt the others.
    pub priority: u32,
    /// Order within a priority: lower first.
    pub order: u64,
    /// How long it may wait so that its job still meets the queue's latency objective.
    pub slack_ms: Millis,
    /// Label that the worker must have.
    pub node_selector: Option<Arc<str>>,
    /// Rack with the data; elsewhere it runs `far_x` times as long.
    pub affinity: Option<Arc<str>>,
    /// At most so many tasks of the step on one worker; 0 means no limit.
    pub anti_affinity: u32,
    /// A gang runs `far_x` times as long on more than one rack.
    pub same_rack: bool,
    /// Estimate of a task's run time.
    pub estimated_ms: Millis,
    /// Whether its tasks save checkpoints: stopping one loses little.
    pub checkpoints: bool,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether it may have a speculative second run.
    pub hedged: bool,
    /// Whether this is the speculative second run of a hedged task: it takes free capacity at another worker, and nothing is
    /// preempted for it.
    pub speculative: bool,
    /// Workers at which a run of it failed or stalled: chosen only if no other can run it.
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
