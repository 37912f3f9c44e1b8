//! The value that the jobs of a workload earn: objectives, lateness and value as the deployments' pages define them, by what
//! really ended when. Prices are left out.

use crate::cast::index_u32;
use crate::checker::{Checker, TaskRecord};
use crate::clock::UNIX_START_MS;
use crate::submitted_jobs::{Submission, SubmittedJob, SubmittedJobs};
use crate::workload::{Class, Workload};
use std::collections::BTreeMap;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// How often a long-running job earns value for the share of its tasks that run.
pub(crate) const SAMPLE_INTERVAL_MS: Millis = 2_000;
/// A long-running job owes nothing for its first moments.
const LONG_RUNNING_GRACE_MS: Millis = 2_000;
/// Up to so many times its objective a job counts as late, then as failed.
const LATE_FACTOR: f64 = 3.0;
/// This part of a job's value does not depend on its work.
const FIXED_PART: f64 = 0.3;
/// A job's value is at most so many times that of a mean job of its class.
const MAX_VALUE_FACTOR: f64 = 4.0;
/// A step wider than this share of its service's capacity runs in waves.
const WAVE_SHARE: f64 = 0.25;
/// A failing run ends after this part of its work.
const FAILS_AFTER: f64 = 0.5;
const WINDOW_MS: Millis = 2_000;
/// How many of the worst windows count.
const WORST_WINDOWS: usize = 2;
/// Weights of the parts of the score.
const WHOLE_WEIGHT: f64 = 0.6;
const WORST_WINDOWS_WEIGHT: f64 = 0.25;
const WORST_CLASS_WEIGHT: f64 = 0.15;

/// How much of a long-running job ran at a moment.
#[derive(Clone, Debug)]
pub(crate) struct LongRunningSample {
    job: JobId,
    taken_at: Millis,
    /// The share of its tasks.
    share: f64,
}

/// Value that was earned of what was owed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ValueRatio {
    /// Earned value.
    pub earned: f64,
    /// Owed value.
    pub owed: f64,
}

impl ValueRatio {
    fn add(&mut self, earned: f64, owed: f64) {
        self.earned += earned;
        self.owed += owed;
    }

    /// Earned over owed; 1 where nothing is owed.
    pub fn value(&self) -> f64 {
        if self.owed > 0.0 {
            self.earned / self.owed
        } else {
            1.0
        }
    }
}

/// The value that a simulation has earned.
#[derive(Clone, Debug, Default)]
pub struct EarnedValue {
    /// Over the whole time.
    pub whole: ValueRatio,
    /// By class, in the workload's order.
    pub classes: Vec<ValueRatio>,
    /// By the number of the window in which a job was due.
    windows: BTreeMap<u64, ValueRatio>,
}

impl EarnedValue {
    /// The mean of the worst windows.
    pub fn worst_windows(&self) -> f64 {
        let mut values: Vec<f64> = self.windows.values().map(ValueRatio::value).collect();
        values.sort_by(f64::total_cmp);
        values.truncate(WORST_WINDOWS);
        values.iter().sum::<f64>() / values.len().max(1) as f64
    }

    /// The weighted sum of the whole time, the worst windows and the worst class.
    pub fn score(&self) -> f64 {
        let worst_class = self
            .classes
            .iter()
            .map(ValueRatio::value)
            .fold(1.0, f64::min);
        let parts = [
            self.whole.value() * WHOLE_WEIGHT,
            self.worst_windows() * WORST_WINDOWS_WEIGHT,
            worst_class * WORST_CLASS_WEIGHT,
        ];
        parts.iter().sum()
    }

    fn add(&mut self, class: usize, due: Millis, earned: f64, owed: f64) {
        self.whole.add(earned, owed);
        self.classes[class].add(earned, owed);
        let window = self.windows.entry(due / WINDOW_MS).or_default();
        window.add(earned, owed);
    }
}

/// A job of a workload.
struct WorkloadJob<'a> {
    id: &'a JobId,
    job: &'a SubmittedJob,
    submission: Submission,
}

/// The value that the jobs of a workload have earned.
pub(crate) fn earned_value(
    workload: &Workload,
    submitted_jobs: &SubmittedJobs,
    checker: &Checker,
    samples: &[LongRunningSample],
) -> EarnedValue {
    let mut earned = EarnedValue {
        classes: vec![ValueRatio::default(); workload.classes.len()],
        ..EarnedValue::default()
    };
    let jobs = workload_jobs(submitted_jobs);
    let mean_work = mean_work_by_class(workload, &jobs);
    for job in &jobs {
        let class = &workload.classes[job.submission.class];
        if !class.traits.long_running {
            let mean_work = mean_work[job.submission.class];
            add_job(&mut earned, workload, checker, job, mean_work);
        }
    }
    for sample in samples {
        let job = submitted_jobs.job(&sample.job);
        if let Some(submission) = job.and_then(|job| job.submission) {
            let owed = workload.classes[submission.class].value;
            earned.add(submission.class, sample.taken_at, owed * sample.share, owed);
        }
    }
    earned
}

fn workload_jobs(submitted_jobs: &SubmittedJobs) -> Vec<WorkloadJob<'_>> {
    let mut jobs = Vec::new();
    for (id, job) in submitted_jobs.jobs() {
        if let Some(submission) = job.submission {
            jobs.push(WorkloadJob {
                id,
                job,
                submission,
            });
        }
    }
    jobs
}

/// Adds each iteration of a job.
fn add_job(
    earned: &mut EarnedValue,
    workload: &Workload,
    checker: &Checker,
    job: &WorkloadJob<'_>,
    mean_work: f64,
) {
    let class = &workload.classes[job.submission.class];
    let value = class.value * value_factor(total_work(job.job), mean_work);
    let iterations = job.job.iterations();
    let objective_ms = objective_ms(workload, class, job.job);
    for iteration in 0..iterations {
        let due = due_at(job, iteration);
        let ended_at = ended_at(checker, job, iteration);
        let took_ms = ended_at.map(|ended_at| ended_at.saturating_sub(due) as f64);
        let owed = value / f64::from(iterations);
        let part = earned_part(class, took_ms, objective_ms);
        earned.add(job.submission.class, due, owed * part, owed);
    }
}

/// How much of each long-running job runs now.
pub(crate) fn sample_long_running(
    now: Millis,
    submitted_jobs: &SubmittedJobs,
    checker: &Checker,
) -> Vec<LongRunningSample> {
    let mut samples = Vec::new();
    for (id, job) in submitted_jobs.jobs() {
        let owes = job
            .submission
            .is_some_and(|submission| now >= submission.sent_at + LONG_RUNNING_GRACE_MS);
        let first = job.request.steps.first();
        let Some(step) = first.filter(|step| owes && step.long_running) else {
            continue;
        };
        let is_running = |task: &TaskId| checker.task(task).is_some_and(TaskRecord::is_running);
        let running = job.tasks_of_step(id, 0, 0).filter(is_running).count();
        samples.push(LongRunningSample {
            job: id.clone(),
            taken_at: now,
            share: running as f64 / f64::from(step.count.max(1)),
        });
    }
    samples
}

fn earned_part(class: &Class, took_ms: Option<f64>, objective_ms: f64) -> f64 {
    match took_ms {
        Some(took_ms) if took_ms <= objective_ms => 1.0,
        Some(took_ms) if took_ms <= LATE_FACTOR * objective_ms => class.late_part,
        _ => 0.0,
    }
}

fn due_at(job: &WorkloadJob<'_>, iteration: u32) -> Millis {
    let due = job.job.due_unix_ms(iteration).saturating_sub(UNIX_START_MS);
    due.max(job.submission.sent_at)
}

/// When the last step of an iteration was done.
fn ended_at(checker: &Checker, job: &WorkloadJob<'_>, iteration: u32) -> Option<Millis> {
    let mut last = 0;
    for (step, request) in job.job.request.steps.iter().enumerate() {
        let tasks = job.job.tasks_of_step(job.id, iteration, index_u32(step));
        let mut ends = tasks.map(|task| checker.task(&task).and_then(TaskRecord::done_at));
        let step_ended_at = if request.gang {
            ends.flatten().min()
        } else {
            ends.try_fold(0, |last: Millis, end| Some(last.max(end?)))
        };
        last = last.max(step_ended_at?);
    }
    Some(last)
}

/// `stretch` times the longest chain of work, with runs that fail through their own fault and waves of wide steps, and the
/// target latency.
fn objective_ms(workload: &Workload, class: &Class, job: &SubmittedJob) -> f64 {
    let capacity = workload.cpu_of(class.service);
    let wave = (capacity * WAVE_SHARE).max(1.0);
    let steps = job.request.steps.iter().enumerate();
    let chain_ms = steps.map(|(step, request)| {
        let tasks = 0..request.count;
        let longest_ms = tasks
            .map(|index| time_with_failure_ms(job, index_u32(step), index))
            .fold(0.0, f64::max);
        let requested = request.resources.cpu as f64 * f64::from(request.count);
        let waves = (requested / wave).ceil().max(1.0);
        longest_ms * waves
    });
    let chain_ms: f64 = chain_ms.sum();
    class.stretch * chain_ms + class.target_latency_ms as f64
}

fn time_with_failure_ms(job: &SubmittedJob, step: u32, index: u32) -> f64 {
    let work_ms = job.task_work_ms(step, index) as f64;
    if job.failing_once.contains(&(step, index)) {
        work_ms * (1.0 + FAILS_AFTER)
    } else {
        work_ms
    }
}

/// A job's work, in thousandths of a core times milliseconds.
fn total_work(job: &SubmittedJob) -> f64 {
    let steps = job.request.steps.iter().enumerate();
    let work = steps.map(|(step, request)| {
        let tasks = 0..request.count;
        let work_ms = tasks.map(|index| job.task_work_ms(index_u32(step), index) as f64);
        work_ms.sum::<f64>() * request.resources.cpu as f64
    });
    work.sum()
}

fn mean_work_by_class(workload: &Workload, jobs: &[WorkloadJob<'_>]) -> Vec<f64> {
    let mean = |class: usize| {
        let of_class = jobs.iter().filter(|job| job.submission.class == class);
        let work: Vec<f64> = of_class.map(|job| total_work(job.job)).collect();
        work.iter().sum::<f64>() / work.len().max(1) as f64
    };
    (0..workload.classes.len()).map(mean).collect()
}

fn value_factor(work: f64, mean_work: f64) -> f64 {
    let factor = FIXED_PART + (1.0 - FIXED_PART) * work / mean_work.max(1.0);
    factor.min(MAX_VALUE_FACTOR)
}
