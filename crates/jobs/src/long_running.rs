//! Counts the tasks of a long-running job by phase, for the report of tasks that are not running.

use crate::job::Job;
use crate::unit::UnitPhase;
use std::sync::Arc;
use streamusher_protocol::task::JobId;
use streamusher_protocol::Millis;

/// Number of tasks of a job's long-running steps, by phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongRunningTasks {
    /// Identifier of the job.
    pub job: JobId,
    /// Queue of the job.
    pub queue: Arc<str>,
    /// Due time of the first iteration, or the time of submission if that is later; in milliseconds since
    /// 1970.
    pub due_unix_ms: Millis,
    /// Number of all long-running tasks in open iterations.
    pub tasks: u32,
    /// Number of tasks that wait for placement.
    pub pending: u32,
    /// Number of tasks that wait for the end of the backoff before a restart.
    pub backing_off: u32,
    /// Number of tasks that are assigned to a worker.
    pub assigned: u32,
}

/// Counts the long-running tasks of an open job. Returns `None` if the job has ended or has no such task.
pub(crate) fn long_running_tasks(job: &Job) -> Option<LongRunningTasks> {
    if job.has_ended() {
        return None;
    }
    let mut counts = LongRunningTasks {
        job: job.id.clone(),
        queue: job.policy.queue.clone(),
        due_unix_ms: job.due_unix_ms(0),
        tasks: 0,
        pending: 0,
        backing_off: 0,
        assigned: 0,
    };
    for iteration in job.iterations.open.values() {
        for (step, step_state) in (0..).zip(&iteration.steps) {
            if !job.plan.is_long_running(step) {
                continue;
            }
            for index in step_state.unit_indexes() {
                let tasks = step_state
                    .tasks_of(index)
                    .len()
                    .try_into()
                    .unwrap_or(u32::MAX);
                counts.add(step_state.unit(index)?.phase, tasks);
            }
        }
    }
    (counts.tasks > 0).then_some(counts)
}

impl LongRunningTasks {
    fn add(&mut self, phase: UnitPhase, tasks: u32) {
        self.tasks = self.tasks.saturating_add(tasks);
        let counter = match phase {
            UnitPhase::Waiting => &mut self.pending,
            UnitPhase::BackingOff { .. } => &mut self.backing_off,
            UnitPhase::Assigned => &mut self.assigned,
            UnitPhase::Blocked | UnitPhase::Done | UnitPhase::Abandoned => return,
        };
        *counter = counter.saturating_add(tasks);
    }
}
