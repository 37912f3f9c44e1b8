//! What a day's jobs earn: objectives, lateness and worth as the deployments' pages define them, by what really ended when.

use crate::catalog::{KnownJob, Submission};
use crate::checker::tasks::TaskRecord;
use crate::clock::UNIX_START;
use crate::fleet::Fleet;
use crate::workload::{Class, Workload};
use std::collections::BTreeMap;
use streamusher_protocol::task::{JobId, RunEnd, TaskId};
use streamusher_protocol::Millis;

/// How often a lasting job earns for the share of its tasks that are at work.
pub const LASTING_EVERY_MS: Millis = 2_000;
/// A lasting job owes nothing for its first moments.
const LASTING_FROM_MS: Millis = 2_000;
/// Up to so many times its objective a job counts as late, then as failed.
const LATE_TIMES: f64 = 3.0;
/// A job's worth by its work: this part is fixed, and the whole is at most so many times that of a mean job.
const FIXED_PART: f64 = 0.3;
const MOST_WORTH: f64 = 4.0;
/// A step wider than this share of its service's room runs in waves.
const SHARE_OF_WAVE: f64 = 0.25;
/// A failing run ends after this part of its work.
const FAILS_AFTER: f64 = 0.5;
/// Windows of the day of which the worst two are looked at.
const WINDOW_MS: Millis = 2_000;
const WORST_WINDOWS: usize = 2;
/// Parts of a day's figure: the whole day, the worst windows, the worst class.
const WEIGHTS: [f64; 3] = [0.6, 0.25, 0.15];

/// How much of a lasting job was at work.
#[derive(Clone, Debug)]
pub struct LastingSample {
    /// The job.
    pub job: JobId,
    /// When.
    pub at: Millis,
    /// The share of its tasks.
    pub share: f64,
}

/// Worth that was earned of what was owed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ratio {
    /// Earned.
    pub earned: f64,
    /// Owed.
    pub owed: f64,
}

impl Ratio {
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

/// What a day earned.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Over the whole day.
    pub whole: Ratio,
    /// By class, in the workload's order.
    pub classes: Vec<Ratio>,
    windows: BTreeMap<Millis, Ratio>,
}

impl Account {
    /// Mean of the worst windows.
    pub fn worst_windows(&self) -> f64 {
        let mut values: Vec<f64> = self.windows.values().map(Ratio::value).collect();
        values.sort_by(f64::total_cmp);
        values.truncate(WORST_WINDOWS);
        values.iter().sum::<f64>() / values.len().max(1) as f64
    }

    /// The day's figure: whole day, worst windows and worst class, weighted.
    pub fn figure(&self) -> f64 {
        let worst_class = self.classes.iter().map(Ratio::value).fold(1.0, f64::min);
        let parts = [self.whole.value(), self.worst_windows(), worst_class];
        parts
            .iter()
            .zip(WEIGHTS)
            .map(|(part, weight)| part * weight)
            .sum()
    }

    fn add(&mut self, class: usize, at: Millis, earned: f64, owed: f64) {
        self.whole.add(earned, owed);
        self.classes[class].add(earned, owed);
        self.windows
            .entry(at / WINDOW_MS)
            .or_default()
            .add(earned, owed);
    }
}

/// What the day of a fleet with a workload has earned.
pub fn account(fleet: &Fleet) -> Account {
    let Some(workload) = &fleet.workload else {
        return Account::default();
    };
    let mut account = Account {
        classes: vec![Ratio::default(); workload.classes.len()],
        ..Account::default()
    };
    let of_workload = fleet
        .catalog
        .jobs()
        .filter_map(|(id, job)| Some((id, job, job.submission?)));
    let jobs: Vec<(&JobId, &KnownJob, Submission)> = of_workload.collect();
    let means = mean_work(workload, &jobs);
    for (id, job, submission) in jobs {
        let class = &workload.classes[submission.class];
        if class.traits.lasting {
            continue;
        }
        let worth = class.worth * by_work(work_of(job), means[submission.class]);
        let times = job.request.repeat_count.max(1);
        for iteration in 0..times {
            let due = due_at(job, submission, iteration);
            let objective = objective_ms(workload, class, job);
            let took =
                ended_at(fleet, id, job, iteration).map(|end| end.saturating_sub(due) as f64);
            let owed = worth / f64::from(times);
            account.add(
                submission.class,
                due,
                owed * part_earned(class, took, objective),
                owed,
            );
        }
    }
    for sample in &fleet.samples {
        let Some(submission) = fleet
            .catalog
            .job(&sample.job)
            .and_then(|job| job.submission)
        else {
            continue;
        };
        let worth = workload.classes[submission.class].worth;
        account.add(submission.class, sample.at, worth * sample.share, worth);
    }
    account
}

/// How much of each lasting job is at work now.
pub(crate) fn sample_lasting(fleet: &Fleet) -> Vec<LastingSample> {
    if fleet.workload.is_none() || fleet.now > fleet.setup.traffic_until {
        return Vec::new();
    }
    let is_at_work = |task: &TaskId| {
        fleet
            .checker
            .tasks
            .get(task)
            .is_some_and(|record| !record.live.is_empty())
    };
    let sample = |id: &JobId, job: &KnownJob| {
        let count = job
            .request
            .steps
            .first()
            .filter(|step| step.long_running)?
            .count;
        let tasks = (0..count).map(|index| TaskId {
            job: id.clone(),
            iteration: 0,
            step: 0,
            index,
        });
        let at_work = tasks.filter(is_at_work).count();
        let share = at_work as f64 / f64::from(count.max(1));
        let owes = job
            .submission
            .is_some_and(|submission| fleet.now >= submission.at + LASTING_FROM_MS);
        owes.then(|| LastingSample {
            job: id.clone(),
            at: fleet.now,
            share,
        })
    };
    fleet
        .catalog
        .jobs()
        .filter_map(|(id, job)| sample(id, job))
        .collect()
}

fn part_earned(class: &Class, took: Option<f64>, objective: f64) -> f64 {
    match took {
        Some(took) if took <= objective => 1.0,
        Some(took) if took <= LATE_TIMES * objective => class.late_part,
        _ => 0.0,
    }
}

fn due_at(job: &KnownJob, submission: Submission, iteration: u32) -> Millis {
    let due = job.request.start_at_ms + u64::from(iteration) * job.request.interval_ms;
    due.saturating_sub(UNIX_START).max(submission.at)
}

/// When the last task of an iteration ended well.
fn ended_at(fleet: &Fleet, id: &JobId, job: &KnownJob, iteration: u32) -> Option<Millis> {
    let mut last = 0;
    for (step, request) in job.request.steps.iter().enumerate() {
        let tasks = (0..request.count)
            .map(|index| TaskId {
                job: id.clone(),
                iteration,
                step: step as u32,
                index,
            })
            .map(|task| fleet.checker.tasks.get(&task).and_then(done_at));
        let ends: Vec<Option<Millis>> = tasks.collect();
        let step_end = if request.gang {
            ends.iter().copied().flatten().min()
        } else {
            all_done(&ends)
        };
        last = last.max(step_end?);
    }
    Some(last)
}

fn all_done(ends: &[Option<Millis>]) -> Option<Millis> {
    ends.iter()
        .copied()
        .try_fold(0, |last: Millis, end| Some(last.max(end?)))
}

fn done_at(record: &TaskRecord) -> Option<Millis> {
    record
        .ends
        .iter()
        .filter(|end| end.how == RunEnd::Done)
        .map(|end| end.at)
        .min()
}

/// `stretch` times the longest chain of work, with runs that fail through their own fault and waves of wide steps, and the
/// target latency.
fn objective_ms(workload: &Workload, class: &Class, job: &KnownJob) -> f64 {
    let room = workload.cpu_of(class.service);
    let steps = job.request.steps.iter().enumerate();
    let chain = steps.map(|(step, request)| {
        let longest = (0..request.count)
            .map(|index| longest_ms(job, step as u32, index))
            .fold(0.0, f64::max);
        let asked = request.resources.cpu as f64 * f64::from(request.count);
        let waves = (asked / (room * SHARE_OF_WAVE).max(1.0)).ceil().max(1.0);
        longest * waves
    });
    let chain: f64 = chain.sum();
    class.stretch * chain + class.target_latency_ms as f64
}

fn longest_ms(job: &KnownJob, step: u32, index: u32) -> f64 {
    let work = job.work_of(step, index) as f64;
    if job.failing_once.contains(&(step, index)) {
        work * (1.0 + FAILS_AFTER)
    } else {
        work
    }
}

/// A job's work, in core-milliseconds.
fn work_of(job: &KnownJob) -> f64 {
    let steps = job.request.steps.iter().enumerate();
    steps
        .map(|(step, request)| {
            let own = (0..request.count).map(|index| job.work_of(step as u32, index) as f64);
            own.sum::<f64>() * request.resources.cpu as f64
        })
        .sum()
}

fn mean_work(workload: &Workload, jobs: &[(&JobId, &KnownJob, Submission)]) -> Vec<f64> {
    let of_class = |class: usize| {
        let works: Vec<f64> = jobs
            .iter()
            .filter(|(_, _, s)| s.class == class)
            .map(|(_, job, _)| work_of(job))
            .collect();
        works.iter().sum::<f64>() / works.len().max(1) as f64
    };
    (0..workload.classes.len()).map(of_class).collect()
}

fn by_work(work: f64, mean: f64) -> f64 {
    (FIXED_PART + (1.0 - FIXED_PART) * work / mean.max(1.0)).min(MOST_WORTH)
}
