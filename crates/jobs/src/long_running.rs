//! How many tasks of a long-running job are assigned to workers, for the report of those that are not at work.

use crate::job::Job;
use crate::unit::UnitPhase;
use std::sync::Arc;
use streamusher_protocol::task::JobId;
use streamusher_protocol::Millis;

/// The tasks of a job's long-running steps, by their phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongRunningTasks {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: Arc<str>,
    /// When the job was submitted or, if that was later, due; in milliseconds since 1970.
    pub due_unix_ms: Millis,
    /// All tasks of released iterations.
    pub tasks: u32,
    /// Tasks that wait for placement.
    pub pending: u32,
    /// Tasks that wait for the end of the backoff before a restart.
    pub backing_off: u32,
    /// Tasks that are assigned to a worker.
    pub assigned: u32,
}

/// The long-running tasks of an open job; none if it has no such step.
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
        for (step, content) in (0..).zip(&iteration.steps) {
            if !job.plan.is_long_running(step) {
                continue;
            }
            for index in content.unit_indexes() {
                let tasks = content.tasks_of(index).len().try_into().unwrap_or(u32::MAX);
                counts.add(content.unit(index)?.phase, tasks);
            }
        }
    }
    (counts.tasks > 0).then_some(counts)
}

impl LongRunningTasks {
    fn add(&mut self, phase: UnitPhase, tasks: u32) {
        self.tasks = self.tasks.saturating_add(tasks);
        let of_phase = match phase {
            UnitPhase::Waiting => &mut self.pending,
            UnitPhase::BackingOff { .. } => &mut self.backing_off,
            UnitPhase::Assigned => &mut self.assigned,
            UnitPhase::Blocked | UnitPhase::Done | UnitPhase::Abandoned => return,
        };
        *of_phase = of_phase.saturating_add(tasks);
    }
}
