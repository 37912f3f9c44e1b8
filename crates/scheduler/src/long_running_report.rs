//! Log lines about long-running jobs with tasks that are not running, and the reasons why those tasks wait.
//!
//! A long-running job never completes, so it has no latency breakdown. Without these lines nothing shows that
//! it runs with only a part of its tasks. One line contains all jobs, because the number of lines from one
//! call site is limited.

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

/// Prefix of the log line, followed by a JSON list of [`LongRunningShortfall`]. Tools parse the line.
pub const LONG_RUNNING_SHORTFALL_PREFIX: &str = "long-running tasks not at work: ";

/// Interval between two reports.
const REPORT_INTERVAL_MS: Millis = 2_000;
/// A job is reported while less than this fraction of its tasks is running.
const MIN_RUNNING_FRACTION: f64 = 0.9;
/// Time after submission during which a job is not reported, because its tasks are starting.
const STARTUP_GRACE_MS: Millis = 2_000;
/// Maximum number of pending units per job that are explained. The others are only counted.
const MAX_EXPLAINED_UNITS: usize = 16;
/// Maximum number of jobs in one line. Those with the smallest fraction of running tasks are reported.
const MAX_REPORTED_JOBS: usize = 10;

/// A long-running job with tasks that are not running.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LongRunningShortfall {
    /// Identifier of the job.
    pub job: JobId,
    /// Queue that the job was submitted to.
    pub queue: Arc<str>,
    /// Time since the job was submitted or due, in milliseconds.
    pub age_ms: Millis,
    /// Number of the job's tasks.
    pub tasks: u32,
    /// Tasks that are running on responsive workers.
    #[serde(rename = "at_work")]
    pub running: u32,
    /// Tasks that were running according to the last report of a worker that is now unresponsive.
    #[serde(rename = "unheard")]
    pub unresponsive: u32,
    /// Tasks whose start has been commanded and that have not finished starting up.
    pub starting: u32,
    /// Tasks whose run is to be stopped.
    pub stopping: u32,
    /// Tasks in the backoff before a restart.
    pub backing_off: u32,
    /// Tasks that wait for placement.
    pub pending: u32,
    /// Number of explained pending units for each wait reason.
    pub reasons: BTreeMap<WaitReason, u32>,
    /// Explanation of the longest wait among the explained pending units.
    pub longest_wait: Option<WaitExplanation>,
}

/// Schedules the periodic report.
#[derive(Debug, Default)]
pub(crate) struct LongRunningReport {
    next_at: Millis,
}

impl LongRunningReport {
    /// Logs the long-running jobs with tasks that are not running, if a report is due.
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

/// Returns the shortfall of a job that must be reported.
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
    /// Fraction of the job's tasks that are running on responsive workers.
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
