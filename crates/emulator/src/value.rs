//! Value that the jobs of a workload earn. Objectives, lateness and value follow the definitions of the
//! deployments' pages and are computed from the actual end times of the jobs. Prices are not included.

use crate::cast::index_u32;
use crate::checker::{Checker, TaskRecord};
use crate::clock::UNIX_START_MS;
use crate::submitted_jobs::{Submission, SubmittedJob, SubmittedJobs};
use crate::workload::{Class, Workload};
use std::collections::BTreeMap;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// Interval at which a long-running job earns value in proportion to the share of its tasks that are running.
pub(crate) const SAMPLE_INTERVAL_MS: Millis = 2_000;
/// No value is owed for a long-running job within this time after its submission.
const LONG_RUNNING_GRACE_MS: Millis = 2_000;
/// A job that takes longer than its objective is late up to this multiple of the objective, and failed beyond
/// it.
const LATE_FACTOR: f64 = 3.0;
/// Fraction of a job's value that does not depend on its amount of work.
const FIXED_PART: f64 = 0.3;
/// Upper bound of a job's value, as a multiple of the value of a mean job of its class.
const MAX_VALUE_FACTOR: f64 = 4.0;
/// A step that requests more than this share of its service's capacity runs in several waves.
const WAVE_SHARE: f64 = 0.25;
/// Fraction of its work after which a failing run ends.
const FAILS_AFTER: f64 = 0.5;
const WINDOW_MS: Millis = 2_000;
/// Number of windows that enter the score: those with the lowest value ratio.
const WORST_WINDOWS: usize = 2;
/// Weights of the components of the score.
const WHOLE_WEIGHT: f64 = 0.6;
const WORST_WINDOWS_WEIGHT: f64 = 0.25;
const WORST_CLASS_WEIGHT: f64 = 0.15;

/// Share of a long-running job's tasks that were running at a sampling time.
#[derive(Clone, Debug)]
pub(crate) struct LongRunningSample {
    job: JobId,
    taken_at: Millis,
    /// Running tasks divided by requested tasks.
    share: f64,
}

/// Earned value compared with owed value.
#[derive(Clone, Copy, Debug, Default)]
pub struct ValueRatio {
    /// Sum of the value earned.
    pub earned: f64,
    /// Sum of the value that would be earned if every objective were met.
    pub owed: f64,
}

impl ValueRatio {
    fn add(&mut self, earned: f64, owed: f64) {
        self.earned += earned;
        self.owed += owed;
    }

    /// Earned divided by owed value; 1 if nothing is owed.
    pub fn value(&self) -> f64 {
        if self.owed > 0.0 {
            self.earned / self.owed
        } else {
            1.0
        }
    }
}

/// Value earned in one simulation.
#[derive(Clone, Debug, Default)]
pub struct EarnedValue {
    /// Over the whole simulation.
    pub whole: ValueRatio,
    /// Per class, in the order of the workload's classes.
    pub classes: Vec<ValueRatio>,
    /// Per window, keyed by the due time divided by the window length.
    windows: BTreeMap<u64, ValueRatio>,
}

impl EarnedValue {
    /// Mean value ratio of the windows with the lowest ratios.
    pub fn worst_windows(&self) -> f64 {
        let mut values: Vec<f64> = self.windows.values().map(ValueRatio::value).collect();
        values.sort_by(f64::total_cmp);
        values.truncate(WORST_WINDOWS);
        values.iter().sum::<f64>() / values.len().max(1) as f64
    }

    /// Weighted sum of the value ratios of the whole simulation, the worst windows and the worst class.
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

/// A submitted job that belongs to a class of the workload.
struct WorkloadJob<'a> {
    id: &'a JobId,
    job: &'a SubmittedJob,
    submission: Submission,
}

/// Computes the value earned by all jobs of a workload.
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

/// Adds the owed and the earned value of every iteration of a job.
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

/// Samples the share of running tasks of every long-running job whose grace period is over.
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

/// Time at which the last step of an iteration was done; `None` if a step is not done.
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

/// Objective of a job: the class's `stretch` times the sum over its steps of the longest task's work, plus
/// the target latency. Work includes the repetition after a scheduled failure and the number of waves of wide
/// steps.
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

/// Work of a job, in milliseconds times thousandths of a core.
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
