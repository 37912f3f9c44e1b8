//! Explanations for operators: where a job stands, and why its pending units have no worker.

use crate::cluster_state::ClusterState;
use crate::runs::RunPhase;
use serde::Serialize;
use std::sync::Arc;
use streamusher_fair_share::UserUsage;
use streamusher_placement::WaitExplanation;
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::unit::{StepId, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// Runs and pending units of a job that are listed; the rest is counted.
const MAX_LISTED: usize = 50;

/// Where a job stands. The JSON keys are an interface of operators' tools.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobExplanation {
    /// The job.
    pub job: JobId,
    /// The queue that it was submitted to.
    pub queue: Option<Arc<str>>,
    /// Its state.
    pub state: JobState,
    /// Its user's decayed usage; none where fair share is switched off.
    pub user: Option<UserUsage>,
    /// Runs that hold capacity of a worker.
    pub runs: Vec<RunExplanation>,
    /// Number of runs that are not listed.
    pub more_runs: usize,
    /// Units that are ready and have no worker.
    #[serde(rename = "waiting")]
    pub pending: Vec<PendingUnitExplanation>,
    /// Number of pending units that are not listed.
    #[serde(rename = "more_waiting")]
    pub more_pending: usize,
}

/// A run that holds capacity of a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunExplanation {
    /// Its task.
    pub task: TaskId,
    /// Its number.
    pub run: u32,
    /// Its worker.
    pub worker: WorkerId,
    /// The worker has reported it as running.
    #[serde(rename = "begun")]
    pub running: bool,
    /// It is to be stopped.
    pub stopping: bool,
    /// Progress in percent.
    pub percent: f64,
    /// Time since its start was commanded or, once it runs, since it was first reported, in milliseconds.
    #[serde(rename = "for_ms")]
    pub elapsed_ms: Millis,
}

/// A unit that is ready and has no worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PendingUnitExplanation {
    /// The iteration of the job.
    pub iteration: u32,
    /// The step.
    pub step: u32,
    /// The task; none for a whole step as a gang.
    pub index: Option<u32>,
    /// What it waits for, and for how long.
    #[serde(flatten)]
    pub waiting: WaitExplanation,
}

/// Where a job stands; none if it is not known.
pub(crate) fn explain_job(state: &ClusterState, now: Millis, id: &JobId) -> Option<JobExplanation> {
    let job_state = state.jobs.status(id)?;
    let mut runs = explain_runs(state, now, id);
    let mut pending = explain_pending(state, now, id);
    let more_runs = runs.len().saturating_sub(MAX_LISTED);
    let more_pending = pending.len().saturating_sub(MAX_LISTED);
    runs.truncate(MAX_LISTED);
    pending.truncate(MAX_LISTED);
    let user = state.user_of(id);
    Some(JobExplanation {
        job: id.clone(),
        queue: state.jobs.queue_of(id),
        state: job_state,
        user: user.and_then(|user| explain_user(state, now, &user)),
        runs,
        more_runs,
        pending,
        more_pending,
    })
}

/// A user's decayed usage; none where fair share is switched off.
pub(crate) fn explain_user(
    state: &ClusterState,
    now: Millis,
    user: &Arc<str>,
) -> Option<UserUsage> {
    let fair_share = state.fair_share.as_ref()?;
    Some(fair_share.usage_of(now, user))
}

fn explain_runs(state: &ClusterState, now: Millis, id: &JobId) -> Vec<RunExplanation> {
    state
        .runs
        .of_job(id)
        .map(|(run_id, run)| RunExplanation {
            task: run_id.task.clone(),
            run: run_id.run,
            worker: run.worker.clone(),
            running: run.phase == RunPhase::Running,
            stopping: run.is_stopping(),
            percent: run.percent,
            elapsed_ms: run.phase_duration_ms(now),
        })
        .collect()
}

fn explain_pending(state: &ClusterState, now: Millis, id: &JobId) -> Vec<PendingUnitExplanation> {
    let first = UnitId {
        step: StepId {
            job: id.clone(),
            iteration: 0,
            step: 0,
        },
        index: None,
    };
    state
        .pending_units
        .range(first..)
        .take_while(|(unit, _)| unit.step.job == *id)
        .filter_map(|(unit, _)| {
            Some(PendingUnitExplanation {
                iteration: unit.step.iteration,
                step: unit.step.step,
                index: unit.index,
                waiting: state.placement.explain(now, unit)?,
            })
        })
        .collect()
}
