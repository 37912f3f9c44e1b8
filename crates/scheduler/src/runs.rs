//! Runs that hold capacity of a worker: from the start command to the proof that they are over.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::task::{JobId, RunId, TaskId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Progress from which on the remaining time is extrapolated from it; below, the estimate is the better guide.
pub(crate) const MIN_PERCENT_TO_EXTRAPOLATE: f64 = 8.0;
/// Progress is reported in percent: a slow run may take this many hundredths of its estimate for one percent.
const SLOW_RUN_HUNDREDTHS_PER_PERCENT: Millis = 12;

/// How far a run is known to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start command is issued; the worker has not reported the run yet.
    Starting,
    /// The worker has reported the run as running.
    Running,
}

/// What is known of a run from its unit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunProfile {
    /// Estimated duration; 0 where there is none.
    pub(crate) estimated_ms: Millis,
    pub(crate) long_running: bool,
    pub(crate) in_gang: bool,
    /// A speculative second run may be requested; each run requests one at most.
    pub(crate) may_hedge: bool,
}

/// A run that holds capacity of a worker.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) worker: WorkerId,
    pub(crate) phase: RunPhase,
    /// Sent to the worker with the start command.
    pub(crate) spec: Arc<str>,
    /// The checkpoint to continue from; empty for none. Sent with the start command.
    pub(crate) checkpoint: Arc<str>,
    pub(crate) profile: RunProfile,
    /// Set once the run is to be stopped: the agent's commands from this revision on no longer contain its start.
    pub(crate) stop_revision: Option<u64>,
    /// When the phase began.
    pub(crate) phase_began_at: Millis,
    pub(crate) percent: f64,
    /// When `percent` last rose, or the time up to which nothing could be known of it.
    pub(crate) progressed_at: Millis,
    /// Consecutive reports that should have contained the run and did not.
    pub(crate) missed_reports: u8,
}

impl ActiveRun {
    /// A run whose start command is issued now.
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
            phase_began_at: now,
            percent: 0.0,
            progressed_at: now,
            missed_reports: 0,
        }
    }

    /// The time up to now does not count: no agent could read a command in it.
    pub(crate) fn reset_timers(&mut self, now: Millis) {
        self.phase_began_at = now;
        self.progressed_at = now;
    }

    /// Whether the run is to be stopped.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_revision.is_some()
    }

    /// Time since the phase began.
    pub(crate) fn phase_duration_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.phase_began_at)
    }

    /// Time without progress.
    pub(crate) fn stalled_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.progressed_at)
    }

    /// Longest time that a slow run may take for one percent.
    pub(crate) fn max_ms_per_percent(&self) -> Millis {
        self.profile.estimated_ms * SLOW_RUN_HUNDREDTHS_PER_PERCENT / 100
    }

    /// Takes note that the worker has reported the run as running.
    pub(crate) fn on_reported_running(&mut self, now: Millis) {
        self.missed_reports = 0;
        if self.phase == RunPhase::Starting {
            self.phase = RunPhase::Running;
            self.phase_began_at = now;
            self.progressed_at = now;
        }
    }

    /// Expected time until the run ends: extrapolated from its progress, or from its estimate while progress is small.
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

/// All active runs, by identifier and by worker.
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

    /// Restarts the clocks of all runs ([`ActiveRun::reset_timers`]).
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

    /// The runs at a worker.
    pub(crate) fn at_worker(
        &self,
        worker: &WorkerId,
    ) -> impl Iterator<Item = (&RunId, &ActiveRun)> {
        let ids = self.by_worker.get(worker).into_iter().flatten();
        ids.filter_map(|id| Some((id, self.runs.get(id)?)))
    }

    /// Identifiers of the runs at a worker.
    pub(crate) fn ids_at_worker(&self, worker: &WorkerId) -> Vec<RunId> {
        let ids = self.by_worker.get(worker);
        ids.into_iter().flatten().cloned().collect()
    }

    /// The run of a task at a worker.
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

    /// The runs of a job.
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

    /// Identifiers of the runs that a condition holds for, in order.
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
