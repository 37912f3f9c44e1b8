//! Explanations for operators: the state of a job, and why its pending units have no worker.

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

/// Maximum number of runs, and of pending units, that are listed for a job. The rest is only counted.
const MAX_LISTED: usize = 50;

/// Explains the state of a job. The JSON keys are an interface for operator tools.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobExplanation {
    /// Identifier of the job.
    pub job: JobId,
    /// Queue that the job was submitted to.
    pub queue: Option<Arc<str>>,
    /// State of the job as clients see it.
    pub state: JobState,
    /// Decayed usage of the job's user; `None` if fair share is disabled.
    pub user: Option<UserUsage>,
    /// Runs that hold capacity of a worker; at most 50 are listed.
    pub runs: Vec<RunExplanation>,
    /// Number of runs that are not listed.
    pub more_runs: usize,
    /// Units that are ready and have no worker; at most 50 are listed.
    #[serde(rename = "waiting")]
    pub pending: Vec<PendingUnitExplanation>,
    /// Number of pending units that are not listed.
    #[serde(rename = "more_waiting")]
    pub more_pending: usize,
}

/// A run that holds capacity of a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunExplanation {
    /// Task that the run executes.
    pub task: TaskId,
    /// Number of the run among the runs of its task.
    pub run: u32,
    /// Worker whose capacity the run holds.
    pub worker: WorkerId,
    /// Whether the worker has reported the run as running.
    #[serde(rename = "begun")]
    pub running: bool,
    /// Whether the run is to be stopped.
    pub stopping: bool,
    /// Progress in percent, as last reported.
    pub percent: f64,
    /// Time in milliseconds since the start was commanded or, for a running run, since it was first reported.
    #[serde(rename = "for_ms")]
    pub elapsed_ms: Millis,
}

/// A unit that is ready and has no worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PendingUnitExplanation {
    /// Number of the iteration of the job.
    pub iteration: u32,
    /// Number of the step within the job.
    pub step: u32,
    /// Number of the task within the step; `None` for a whole step that is placed as a gang.
    pub index: Option<u32>,
    /// What the unit waits for, and for how long.
    #[serde(flatten)]
    pub waiting: WaitExplanation,
}

/// Explains the state of a job; `None` if the job is unknown.
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

/// Returns a user's decayed usage; `None` if fair share is disabled.
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
