//! Answers to operators: why a job stands where it does, and what a user has lately used.

use crate::runs::Phase;
use crate::scheduler::Scheduler;
use serde::Serialize;
use std::sync::Arc;
use streamusher_fair_share::UserUsage;
use streamusher_placement::WaitExplanation;
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::unit::{StepId, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// Runs and waiting units of a job that are listed; the rest is counted.
const MOST_LISTED: usize = 50;

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobExplanation {
    /// The job.
    pub job: JobId,
    /// The queue that it was handed to.
    pub queue: Option<Arc<str>>,
    /// Its state.
    pub state: JobState,
    /// What its user has lately used, where debts order work.
    pub user: Option<UserUsage>,
    /// Runs that take room.
    pub runs: Vec<JobRun>,
    /// Runs that are not listed.
    pub more_runs: usize,
    /// Units whose turn has come and that have no worker.
    pub waiting: Vec<JobUnit>,
    /// Units that are not listed.
    pub more_waiting: usize,
}

/// A run that takes room.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobRun {
    /// Its task.
    pub task: TaskId,
    /// Its number.
    pub run: u32,
    /// Where it sits.
    pub worker: WorkerId,
    /// It was seen at work there.
    pub begun: bool,
    /// It is told to stop.
    pub stopping: bool,
    /// How much of its work it has done.
    pub percent: f64,
    /// For how long it has been ordered or, once seen, at work, in milliseconds.
    pub for_ms: Millis,
}

/// A unit that waits.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobUnit {
    /// Which of the job's times.
    pub iteration: u32,
    /// Which of its steps.
    pub step: u32,
    /// The task; none for the whole step as a gang.
    pub index: Option<u32>,
    /// Why, and for how long.
    #[serde(flatten)]
    pub waiting: WaitExplanation,
}

impl Scheduler {
    /// Where a job stands; none if it is not known.
    pub fn explain_job(&self, now: Millis, id: &JobId) -> Option<JobExplanation> {
        let state = self.jobs.status(id)?;
        let mut runs: Vec<JobRun> = self.runs_of(now, id);
        let mut waiting: Vec<JobUnit> = self.units_of(now, id);
        let (all_runs, all_waiting) = (runs.len(), waiting.len());
        runs.truncate(MOST_LISTED);
        waiting.truncate(MOST_LISTED);
        Some(JobExplanation {
            job: id.clone(),
            queue: self.jobs.queue_of(id),
            state,
            user: self
                .user_of(id)
                .and_then(|user| self.explain_user(now, &user)),
            more_runs: all_runs - runs.len(),
            more_waiting: all_waiting - waiting.len(),
            runs,
            waiting,
        })
    }

    /// What a user has lately used; none where debts are switched off.
    pub fn explain_user(&self, now: Millis, user: &Arc<str>) -> Option<UserUsage> {
        self.share_debt.as_ref().map(|debt| debt.show(now, user))
    }

    fn runs_of(&self, now: Millis, id: &JobId) -> Vec<JobRun> {
        let runs = self.runs.of_job(id);
        let shown = runs.map(|(run_id, run)| JobRun {
            task: run_id.task.clone(),
            run: run_id.run,
            worker: run.worker.clone(),
            begun: run.phase == Phase::Running,
            stopping: run.stopping,
            percent: run.percent,
            for_ms: now.saturating_sub(run.since),
        });
        shown.collect()
    }

    fn units_of(&self, now: Millis, id: &JobId) -> Vec<JobUnit> {
        let first = UnitId {
            step: StepId {
                job: id.clone(),
                iteration: 0,
                step: 0,
            },
            index: None,
        };
        let units = self
            .waiting
            .range(first..)
            .take_while(|(unit, _)| unit.step.job == *id);
        let explained = units.filter_map(|(unit, _)| {
            let (iteration, step, index) = (unit.step.iteration, unit.step.step, unit.index);
            let waiting = self.placement.explain(now, unit)?;
            Some(JobUnit {
                iteration,
                step,
                index,
                waiting,
            })
        });
        explained.collect()
    }
}
