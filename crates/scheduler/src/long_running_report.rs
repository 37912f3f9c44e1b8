//! Log lines of long-running jobs with tasks that are not at work, and what those tasks wait for.
//!
//! Such a job never completes, so that it has no latency breakdown: without these lines nothing tells that it runs at a
//! part of its width. One line holds all jobs, as lines of one call site are limited.

use crate::cluster_state::ClusterState;
use crate::run_timeouts::{has_started_up, is_heartbeat_overdue};
use crate::runs::ActiveRun;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_jobs::LongRunningTasks;
use streamusher_placement::{WaitExplanation, WaitReason};
use streamusher_protocol::task::JobId;
use streamusher_protocol::unit::{StepId, UnitId};
use streamusher_protocol::{Millis, Now};

/// Precedes the JSON of a list of [`LongRunningShortfall`] in a log line. Tools parse the line.
pub const LONG_RUNNING_SHORTFALL_PREFIX: &str = "long-running tasks not at work: ";

/// Between two reports.
const REPORT_INTERVAL_MS: Millis = 2_000;
/// A job is reported while less than this share of its tasks is at work.
const MIN_RUNNING_FRACTION: f64 = 0.9;
/// A job is not reported in its first moments: its tasks start up.
const STARTUP_GRACE_MS: Millis = 2_000;
/// Pending units of a job that are explained; the others are counted.
const MAX_EXPLAINED_UNITS: usize = 16;
/// Jobs in one line: those with the smallest share of tasks at work.
const MAX_REPORTED_JOBS: usize = 10;

/// A long-running job of which tasks are not at work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LongRunningShortfall {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: Arc<str>,
    /// Time since it was submitted or due, in milliseconds.
    pub age_ms: Millis,
    /// Its tasks.
    pub tasks: u32,
    /// Tasks that are at work, at workers that are heard.
    #[serde(rename = "at_work")]
    pub running: u32,
    /// Tasks that are at work by the last report of a worker that is not heard now.
    #[serde(rename = "unheard")]
    pub unresponsive: u32,
    /// Tasks whose start was commanded and that have not started up yet.
    pub starting: u32,
    /// Tasks whose run is to be stopped.
    pub stopping: u32,
    /// Tasks that wait for the end of the backoff before a restart.
    pub backing_off: u32,
    /// Tasks that wait for placement.
    pub pending: u32,
    /// Pending units that were explained, by their reason.
    pub reasons: BTreeMap<WaitReason, u32>,
    /// The explanation of the one among these that has waited longest.
    pub longest_wait: Option<WaitExplanation>,
}

/// When the next report is due.
#[derive(Debug, Default)]
pub(crate) struct LongRunningReport {
    next_at: Millis,
}

impl LongRunningReport {
    /// Logs the long-running jobs with tasks that are not at work, where a report is due.
    pub(crate) fn log_if_due(&mut self, state: &ClusterState, now: Now) {
        if now.steady_ms < self.next_at {
            return;
        }
        self.next_at = now.steady_ms.saturating_add(REPORT_INTERVAL_MS);
        let mut shortfalls: Vec<LongRunningShortfall> = state
            .jobs
            .long_running_tasks()
            .iter()
            .filter_map(|tasks| reported_shortfall(state, now, tasks))
            .collect();
        if shortfalls.is_empty() {
            return;
        }
        shortfalls.sort_by(|a, b| a.running_fraction().total_cmp(&b.running_fraction()));
        shortfalls.truncate(MAX_REPORTED_JOBS);
        match serde_json::to_string(&shortfalls) {
            Ok(json) => log::info!("{LONG_RUNNING_SHORTFALL_PREFIX}{json}"),
            Err(error) => {
                log::warn!("the report of long-running tasks cannot be encoded: {error}");
            }
        }
    }
}

/// The shortfall of a job that is to be reported.
fn reported_shortfall(
    state: &ClusterState,
    now: Now,
    tasks: &LongRunningTasks,
) -> Option<LongRunningShortfall> {
    let age_ms = now.unix_ms.saturating_sub(tasks.due_unix_ms);
    if age_ms < STARTUP_GRACE_MS {
        return None;
    }
    let shortfall = shortfall(state, now.steady_ms, age_ms, tasks);
    (shortfall.running_fraction() < MIN_RUNNING_FRACTION).then_some(shortfall)
}

fn shortfall(
    state: &ClusterState,
    now: Millis,
    age_ms: Millis,
    tasks: &LongRunningTasks,
) -> LongRunningShortfall {
    let mut shortfall = LongRunningShortfall {
        job: tasks.job.clone(),
        queue: tasks.queue.clone(),
        age_ms,
        tasks: tasks.tasks,
        running: 0,
        unresponsive: 0,
        starting: 0,
        stopping: 0,
        backing_off: tasks.backing_off,
        pending: tasks.pending,
        reasons: BTreeMap::new(),
        longest_wait: None,
    };
    for (_, run) in state.runs.of_job(&tasks.job) {
        if run.profile.long_running {
            *shortfall.counter_for(state, now, run) += 1;
        }
    }
    for explanation in explained_units(state, now, &tasks.job) {
        shortfall.add_pending(explanation);
    }
    shortfall
}

fn explained_units<'a>(
    state: &'a ClusterState,
    now: Millis,
    job: &'a JobId,
) -> impl Iterator<Item = WaitExplanation> + 'a {
    let first = UnitId {
        step: StepId {
            job: job.clone(),
            iteration: 0,
            step: 0,
        },
        index: None,
    };
    state
        .pending_units
        .range(first..)
        .take_while(move |(id, _)| id.step.job == *job)
        .filter(|(_, unit)| unit.long_running)
        .take(MAX_EXPLAINED_UNITS)
        .filter_map(move |(id, _)| state.placement.explain(now, id))
}

impl LongRunningShortfall {
    /// Share of the tasks that is at work.
    pub fn running_fraction(&self) -> f64 {
        f64::from(self.running) / f64::from(self.tasks.max(1))
    }

    fn counter_for(&mut self, state: &ClusterState, now: Millis, run: &ActiveRun) -> &mut u32 {
        if run.is_stopping() {
            &mut self.stopping
        } else if !has_started_up(run) {
            &mut self.starting
        } else if is_heartbeat_overdue(state, now, &run.worker) {
            &mut self.unresponsive
        } else {
            &mut self.running
        }
    }

    fn add_pending(&mut self, explanation: WaitExplanation) {
        *self.reasons.entry(explanation.reason).or_insert(0) += 1;
        let longest_ms = self.longest_wait.map_or(0, |longest| longest.waited_ms);
        if self.longest_wait.is_none() || explanation.waited_ms > longest_ms {
            self.longest_wait = Some(explanation);
        }
    }
}
