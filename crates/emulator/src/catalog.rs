//! What the emulated clients hand in, and how long its tasks really take.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::unit::StepId;
use streamusher_protocol::Millis;

/// One job, as its client knows it.
#[derive(Clone, Debug)]
pub struct KnownJob {
    /// What was handed in.
    pub request: Arc<JobRequest>,
    /// Host header of its queue.
    pub host: Arc<str>,
    /// Path prefix of its queue.
    pub prefix: Arc<str>,
    /// The work of a task of each step, on a sound worker near its data.
    pub work_ms: Vec<Millis>,
    /// The same of each task by itself, where tasks of a step differ.
    pub work_of_tasks: Vec<Vec<Millis>>,
    /// Each task fails in its first runs, so many times; `u32::MAX` for always.
    pub own_failures: u32,
    /// Tasks that fail in their first run, by step and index.
    pub failing_once: BTreeSet<(u32, u32)>,
    /// Where it belongs to a workload: how.
    pub submission: Option<Submission>,
}

/// How a job of a workload was handed in.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Its class.
    pub class: usize,
    /// When it was sent first.
    pub at: Millis,
}

impl KnownJob {
    /// The work of a task, in milliseconds.
    pub fn work_of(&self, step: u32, index: u32) -> Millis {
        let own = self
            .work_of_tasks
            .get(step as usize)
            .and_then(|tasks| tasks.get(index as usize));
        own.or_else(|| self.work_ms.get(step as usize))
            .copied()
            .unwrap_or(0)
    }
}

/// All jobs of a day.
#[derive(Debug, Default)]
pub struct Catalog {
    jobs: BTreeMap<JobId, KnownJob>,
}

impl Catalog {
    /// Adds a job.
    pub fn add(&mut self, id: JobId, job: KnownJob) {
        self.jobs.insert(id, job);
    }

    /// A job.
    pub fn job(&self, id: &JobId) -> Option<&KnownJob> {
        self.jobs.get(id)
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &KnownJob)> {
        self.jobs.iter()
    }

    /// The step of a task, if a client handed in such a task.
    pub fn step(&self, task: &TaskId) -> Option<&StepRequest> {
        let job = self.jobs.get(&task.job)?;
        let step = job.request.steps.get(task.step as usize)?;
        let times = job.request.repeat_count.max(1);
        (task.index < step.count && task.iteration < times).then_some(step)
    }

    /// A task's work.
    pub fn work_ms(&self, task: &TaskId) -> Millis {
        self.jobs
            .get(&task.job)
            .map_or(0, |job| job.work_of(task.step, task.index))
    }

    /// Whether a run of a task fails through the task's own fault.
    pub fn fails(&self, task: &TaskId, run: u32) -> bool {
        let fails = |job: &KnownJob| {
            run <= job.own_failures
                || run == 1 && job.failing_once.contains(&(task.step, task.index))
        };
        self.jobs.get(&task.job).is_some_and(fails)
    }

    /// The name under which checkpoints of a task, or of its gang, are known.
    pub fn checkpoint_owner(&self, task: &TaskId) -> String {
        let gang = self.step(task).is_some_and(|step| step.gang);
        let step = StepId::of_task(task);
        let index = if gang {
            String::from("gang")
        } else {
            task.index.to_string()
        };
        format!("{}.{}.{}.{index}", step.job, step.iteration, step.step)
    }

    /// A checkpoint's text.
    pub fn checkpoint(&self, task: &TaskId, progress_ms: Millis) -> Arc<str> {
        format!("{}@{progress_ms}", self.checkpoint_owner(task)).into()
    }

    /// The progress that a checkpoint holds, if it is one of this task or its gang.
    pub fn progress_of(&self, task: &TaskId, checkpoint: &str) -> Option<Millis> {
        let (owner, progress) = checkpoint.split_once('@')?;
        let belongs = owner == self.checkpoint_owner(task);
        belongs.then(|| progress.parse().ok()).flatten()
    }
}
