//! Active runs, which hold capacity of a worker from the start command until they are proven to be over.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::task::{JobId, RunId, TaskId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Progress from which on the remaining time is extrapolated. Below it, the estimate is more accurate.
pub(crate) const MIN_PERCENT_TO_EXTRAPOLATE: f64 = 8.0;
/// Progress is reported in percent. A slow run may take this many hundredths of its estimate for one percent.
const SLOW_RUN_HUNDREDTHS_PER_PERCENT: Millis = 12;

/// The phase of a run, as far as the primary knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start command has been issued, and the worker has not reported the run yet.
    Starting,
    /// The worker has reported the run as running.
    Running,
}

/// Properties of a run that derive from its unit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunProfile {
    /// Estimated duration; 0 if there is no estimate.
    pub(crate) estimated_ms: Millis,
    pub(crate) long_running: bool,
    pub(crate) in_gang: bool,
    /// Whether a speculative second run may be requested. Each run requests at most one.
    pub(crate) may_hedge: bool,
}

/// A run that holds capacity of a worker.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) worker: WorkerId,
    pub(crate) phase: RunPhase,
    /// Task specification, sent to the worker with the start command.
    pub(crate) spec: Arc<str>,
    /// Checkpoint to continue from, sent with the start command; empty if there is none.
    pub(crate) checkpoint: Arc<str>,
    pub(crate) profile: RunProfile,
    /// Set once the run is to be stopped. From this revision on, the agent's commands no longer contain the
    /// run's start.
    pub(crate) stop_revision: Option<u64>,
    /// Time at which the current phase began.
    pub(crate) phase_started_at: Millis,
    pub(crate) percent: f64,
    /// Time at which `percent` last rose, or up to which the progress could not be known.
    pub(crate) progressed_at: Millis,
    /// Number of consecutive reports that should have contained the run and did not.
    pub(crate) missed_reports: u8,
}

impl ActiveRun {
    /// Creates a run whose start command is issued at `now`.
    pub(crate) fn starting(
        now: Millis,
        worker: WorkerId,
        spec: Arc<str>,
        checkpoint: Arc<str>,
        profile: RunProfile,
    ) -> ActiveRun {
        ActiveRun {
            worker,
            phase: RunPhase::Starting,
            spec,
            checkpoint,
            profile,
            stop_revision: None,
            phase_started_at: now,
            percent: 0.0,
            progressed_at: now,
            missed_reports: 0,
        }
    }

    /// Excludes the time before `now` from all time-outs, because no agent could read a command during it.
    pub(crate) fn reset_timers(&mut self, now: Millis) {
        self.phase_started_at = now;
        self.progressed_at = now;
    }

    /// Whether the run is to be stopped.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_revision.is_some()
    }

    /// Time since the current phase began.
    pub(crate) fn phase_duration_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.phase_started_at)
    }

    /// Time without progress.
    pub(crate) fn stalled_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.progressed_at)
    }

    /// Maximum time that a slow run may take for one percent of progress.
    pub(crate) fn max_ms_per_percent(&self) -> Millis {
        self.profile.estimated_ms * SLOW_RUN_HUNDREDTHS_PER_PERCENT / 100
    }

    /// Records that the worker has reported the run as running.
    pub(crate) fn on_reported_running(&mut self, now: Millis) {
        self.missed_reports = 0;
        if self.phase == RunPhase::Starting {
            self.phase = RunPhase::Running;
            self.phase_started_at = now;
            self.progressed_at = now;
        }
    }

    /// Expected time until the run ends: extrapolated from its progress, or based on the estimate while
    /// progress is small.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "`as` saturates, and fractions of a millisecond do not matter"
    )]
    pub(crate) fn expected_remaining_ms(&self, now: Millis) -> Millis {
        let ran_ms = self.phase_duration_ms(now);
        if self.percent < MIN_PERCENT_TO_EXTRAPOLATE {
            return self.profile.estimated_ms.saturating_sub(ran_ms);
        }
        let remaining = ran_ms as f64 * (100.0 - self.percent).max(0.0) / self.percent;
        remaining as Millis
    }
}

/// All active runs, indexed by identifier and by worker.
#[derive(Default)]
pub(crate) struct RunTable {
    runs: BTreeMap<RunId, ActiveRun>,
    by_worker: BTreeMap<WorkerId, BTreeSet<RunId>>,
}

impl RunTable {
    pub(crate) fn insert(&mut self, id: RunId, run: ActiveRun) {
        self.by_worker
            .entry(run.worker.clone())
            .or_default()
            .insert(id.clone());
        self.runs.insert(id, run);
    }

    /// Resets the timers of all runs; see [`ActiveRun::reset_timers`].
    pub(crate) fn reset_timers(&mut self, now: Millis) {
        for run in self.runs.values_mut() {
            run.reset_timers(now);
        }
    }

    pub(crate) fn get(&self, id: &RunId) -> Option<&ActiveRun> {
        self.runs.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &RunId) -> Option<&mut ActiveRun> {
        self.runs.get_mut(id)
    }

    pub(crate) fn remove(&mut self, id: &RunId) -> Option<ActiveRun> {
        let run = self.runs.remove(id)?;
        if let Some(ids) = self.by_worker.get_mut(&run.worker) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_worker.remove(&run.worker);
            }
        }
        Some(run)
    }

    /// Iterates over the runs at a worker.
    pub(crate) fn at_worker(
        &self,
        worker: &WorkerId,
    ) -> impl Iterator<Item = (&RunId, &ActiveRun)> {
        let ids = self.by_worker.get(worker).into_iter().flatten();
        ids.filter_map(|id| Some((id, self.runs.get(id)?)))
    }

    /// Returns the identifiers of the runs at a worker.
    pub(crate) fn ids_at_worker(&self, worker: &WorkerId) -> Vec<RunId> {
        let ids = self.by_worker.get(worker);
        ids.into_iter().flatten().cloned().collect()
    }

    /// Returns the run of a task at a worker.
    pub(crate) fn find_at_worker(&self, task: &TaskId, worker: &WorkerId) -> Option<RunId> {
        let run_of_task = |run| RunId {
            task: task.clone(),
            run,
        };
        self.runs
            .range(run_of_task(0)..=run_of_task(u32::MAX))
            .find(|(_, run)| run.worker == *worker)
            .map(|(id, _)| id.clone())
    }

    /// Iterates over the runs of a job.
    pub(crate) fn of_job(&self, job: &JobId) -> impl Iterator<Item = (&RunId, &ActiveRun)> {
        let first_task = TaskId {
            job: job.clone(),
            iteration: 0,
            step: 0,
            index: 0,
        };
        let first_run = RunId {
            task: first_task,
            run: 0,
        };
        let job = job.clone();
        self.runs
            .range(first_run..)
            .take_while(move |(id, _)| id.task.job == job)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RunId, &ActiveRun)> {
        self.runs.iter()
    }

    /// Returns the identifiers of the runs that satisfy a condition, in order.
    pub(crate) fn ids_where(&self, mut condition: impl FnMut(&ActiveRun) -> bool) -> Vec<RunId> {
        self.iter()
            .filter(|(_, run)| condition(run))
            .map(|(id, _)| id.clone())
            .collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }
}
