//! Jobs submitted by emulated clients, with the actual work of their tasks.

use crate::cast::index_u32;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::unit::StepId;
use streamusher_protocol::Millis;

/// A job as known to its client.
#[derive(Clone, Debug)]
pub struct SubmittedJob {
    /// Request as submitted.
    pub request: Arc<JobRequest>,
    /// Host header of the queue.
    pub host: Arc<str>,
    /// Path prefix of the queue.
    pub prefix: Arc<str>,
    /// Work per task of each step, on a healthy worker near its data.
    pub step_work_ms: Vec<Millis>,
    /// Work of each task, by step and index, if the tasks of a step differ; otherwise empty.
    pub task_work_ms: Vec<Vec<Millis>>,
    /// Number of initial runs of each task that fail through the task's own fault; `u32::MAX` for all.
    pub failing_runs: u32,
    /// Tasks whose first run fails, by step and index.
    pub failing_once: BTreeSet<(u32, u32)>,
    /// Submission of the job; `None` if it does not belong to a workload.
    pub submission: Option<Submission>,
}

/// Submission time and class of a job of a workload.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Index of the class in the workload.
    pub class: usize,
    /// Time of the first submission attempt, in true time.
    pub sent_at: Millis,
}

impl SubmittedJob {
    /// Work of a task, in milliseconds.
    pub fn task_work_ms(&self, step: u32, index: u32) -> Millis {
        let tasks = self.task_work_ms.get(step as usize);
        let own = tasks.and_then(|tasks| tasks.get(index as usize));
        let work_ms = own.or_else(|| self.step_work_ms.get(step as usize));
        work_ms.copied().unwrap_or(0)
    }

    /// Whether the job's tasks run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.request.steps.iter().any(|step| step.long_running)
    }

    /// Number of iterations: 1 unless the job is timed.
    pub fn iterations(&self) -> u32 {
        self.request.repeat_count.max(1)
    }

    /// All tasks of the job.
    pub(crate) fn tasks<'a>(&'a self, id: &'a JobId) -> impl Iterator<Item = TaskId> + 'a {
        let iterations = 0..self.iterations();
        iterations.flat_map(move |iteration| {
            let steps = 0..index_u32(self.request.steps.len());
            steps.flat_map(move |step| self.tasks_of_step(id, iteration, step))
        })
    }

    /// Tasks of a step in an iteration; empty if there is no such step.
    pub(crate) fn tasks_of_step(
        &self,
        id: &JobId,
        iteration: u32,
        step: u32,
    ) -> impl Iterator<Item = TaskId> {
        let request = self.request.steps.get(step as usize);
        let count = request.map_or(0, |request| request.count);
        let job = id.clone();
        (0..count).map(move |index| TaskId {
            job: job.clone(),
            iteration,
            step,
            index,
        })
    }

    /// Requested start time of an iteration, in Unix milliseconds.
    pub(crate) fn due_unix_ms(&self, iteration: u32) -> Millis {
        self.request.start_at_ms + u64::from(iteration) * self.request.interval_ms
    }
}

/// All jobs submitted in a simulation.
#[derive(Debug, Default)]
pub struct SubmittedJobs {
    jobs: BTreeMap<JobId, SubmittedJob>,
}

impl SubmittedJobs {
    /// Adds a job under its id.
    pub fn add(&mut self, id: JobId, job: SubmittedJob) {
        self.jobs.insert(id, job);
    }

    /// Returns a job by id.
    pub fn job(&self, id: &JobId) -> Option<&SubmittedJob> {
        self.jobs.get(id)
    }

    /// All jobs with their ids.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &SubmittedJob)> {
        self.jobs.iter()
    }

    /// Returns the step of a task; `None` if no client submitted such a task.
    pub fn step(&self, task: &TaskId) -> Option<&StepRequest> {
        let job = self.jobs.get(&task.job)?;
        let step = job.request.steps.get(task.step as usize)?;
        let exists = task.index < step.count && task.iteration < job.iterations();
        exists.then_some(step)
    }

    /// Tasks of the gang of a task, or the task alone if it has no gang.
    pub(crate) fn gang_members(&self, task: &TaskId) -> impl Iterator<Item = TaskId> {
        let gang = self.step(task).filter(|step| step.gang);
        let indexes = match gang {
            Some(step) => 0..step.count,
            None => task.index..task.index + 1,
        };
        let task = task.clone();
        indexes.map(move |index| TaskId {
            index,
            ..task.clone()
        })
    }

    /// Work of a task, in milliseconds.
    pub fn work_ms(&self, task: &TaskId) -> Millis {
        let job = self.jobs.get(&task.job);
        job.map_or(0, |job| job.task_work_ms(task.step, task.index))
    }

    /// Whether a run of a task fails through the task's own fault.
    pub fn fails(&self, task: &TaskId, run: u32) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let fails_first_run = job.failing_once.contains(&(task.step, task.index));
        run <= job.failing_runs || run == 1 && fails_first_run
    }

    /// Prefix of the checkpoints of a task or of its gang.
    fn checkpoint_owner(&self, task: &TaskId) -> String {
        let in_gang = self.step(task).is_some_and(|step| step.gang);
        let step = StepId::of_task(task);
        let index = if in_gang {
            String::from("gang")
        } else {
            task.index.to_string()
        };
        format!("{}.{}.{}.{index}", step.job, step.iteration, step.step)
    }

    /// Encoded checkpoint of a task with this progress.
    pub fn checkpoint(&self, task: &TaskId, progress_ms: Millis) -> Arc<str> {
        format!("{}@{progress_ms}", self.checkpoint_owner(task)).into()
    }

    /// Progress in a checkpoint; `None` if it belongs neither to the task nor to its gang.
    pub fn progress_of(&self, task: &TaskId, checkpoint: &str) -> Option<Millis> {
        let (owner, progress_ms) = checkpoint.split_once('@')?;
        if owner != self.checkpoint_owner(task) {
            return None;
        }
        progress_ms.parse().ok()
    }
}
