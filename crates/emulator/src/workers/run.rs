//! Run of a task at a worker: its progress, its checkpoints and its end.

use crate::cast::whole;
use crate::submitted_jobs::SubmittedJobs;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::{RunId, TaskId};
use streamusher_protocol::Millis;

/// Fraction of its remaining work after which a failing run fails.
pub(crate) const FAILS_AFTER: f64 = 0.5;
/// Work after which a failing long-running task fails.
const LONG_RUNNING_FAILS_AFTER_MS: f64 = 3_000.0;

/// Parameters of a new run.
#[derive(Clone, Debug)]
pub(crate) struct RunPlan {
    /// Checkpoint to restore; empty if the run starts from the beginning.
    pub(crate) checkpoint: Arc<str>,
    /// Time that restoring the checkpoint takes.
    pub(crate) restore_ms: Millis,
    /// Whether the run fails.
    pub(crate) fails: bool,
}

/// Expected end of a run if its rate does not change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedEnd {
    /// Time of the end, in true time.
    pub(crate) due: Millis,
    /// Whether the run fails at that time.
    pub(crate) fails: bool,
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunPhase {
    Working,
    Stopping,
}

/// A run in progress. Work is measured in milliseconds on a healthy worker near the data.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    /// Resources allocated to the run.
    pub(crate) resources: Resources,
    phase: RunPhase,
    /// Whether the run is a member of a gang.
    pub(crate) in_gang: bool,
    /// Checkpoint from which the run was started; may be empty.
    checkpoint: Arc<str>,
    writes_checkpoints: bool,
    long_running: bool,
    total_work_ms: f64,
    /// Amount of work that a heartbeat reports as 100%: the work at the start for long-running tasks, the
    /// total work for others.
    reported_work_ms: f64,
    restored_work_ms: f64,
    /// Work done until `updated_at`.
    done_work_ms: f64,
    updated_at: Millis,
    /// Work done per millisecond.
    rate: f64,
    fails_at_work_ms: Option<f64>,
    /// Number of the current plan of the run's end; timers of earlier plans are ignored.
    plan: u64,
}

impl ActiveRun {
    /// Creates a run that starts now and makes no progress until its rate is set.
    pub(crate) fn new(
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        run: &RunId,
        plan: RunPlan,
    ) -> ActiveRun {
        let step = submitted_jobs.step(&run.task);
        let long_running = step.is_some_and(|step| step.long_running);
        let work_ms = submitted_jobs.work_ms(&run.task) as f64;
        let restored = submitted_jobs.progress_of(&run.task, &plan.checkpoint);
        let restored_work_ms = restored.unwrap_or(0) as f64;
        let fails_after_ms = if long_running {
            LONG_RUNNING_FAILS_AFTER_MS
        } else {
            (work_ms - restored_work_ms).max(0.0) * FAILS_AFTER
        };
        ActiveRun {
            resources: step.map(|step| step.resources).unwrap_or_default(),
            phase: RunPhase::Working,
            in_gang: step.is_some_and(|step| step.gang),
            checkpoint: plan.checkpoint,
            writes_checkpoints: step.is_some_and(|step| step.checkpoints),
            long_running,
            total_work_ms: if long_running { f64::MAX } else { work_ms },
            reported_work_ms: work_ms,
            restored_work_ms,
            done_work_ms: restored_work_ms,
            updated_at: now + plan.restore_ms,
            rate: 0.0,
            fails_at_work_ms: plan.fails.then_some(restored_work_ms + fails_after_ms),
            plan: 0,
        }
    }

    /// Whether the run is being stopped.
    pub(crate) fn is_stopping(&self) -> bool {
        self.phase == RunPhase::Stopping
    }

    /// Starts to stop the run, which makes no further progress.
    pub(crate) fn begin_stop(&mut self, now: Millis) {
        self.set_rate(now, 0.0);
        self.phase = RunPhase::Stopping;
    }

    fn work_done_ms(&self, now: Millis) -> f64 {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        (self.done_work_ms + elapsed_ms * self.rate).min(self.total_work_ms)
    }

    /// Progress as reported in heartbeats, in whole percent.
    pub(crate) fn percent(&self, now: Millis) -> f64 {
        if self.reported_work_ms <= 0.0 {
            return 0.0;
        }
        let percent = self.work_done_ms(now) / self.reported_work_ms * 100.0;
        percent.floor().min(100.0)
    }

    /// Latest periodic checkpoint; one is written after every `save_ms` of work.
    pub(crate) fn last_checkpoint(
        &self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        task: &TaskId,
        save_ms: Millis,
    ) -> Arc<str> {
        if !self.writes_checkpoints {
            return "".into();
        }
        let interval_ms = save_ms.max(1) as f64;
        let gained_ms = self.work_done_ms(now) - self.restored_work_ms;
        let checkpointed_ms =
            self.restored_work_ms + (gained_ms / interval_ms).floor() * interval_ms;
        match whole(checkpointed_ms) {
            0 => self.checkpoint.clone(),
            progress_ms => submitted_jobs.checkpoint(task, progress_ms),
        }
    }

    /// Checkpoint written when the run is stopped.
    pub(crate) fn checkpoint_at_stop(
        &self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        task: &TaskId,
    ) -> Arc<str> {
        match whole(self.work_done_ms(now)) {
            progress_ms if self.writes_checkpoints && progress_ms > 0 => {
                submitted_jobs.checkpoint(task, progress_ms)
            }
            _ => self.checkpoint.clone(),
        }
    }

    /// Expected end of the run at its current rate; `None` if it does not end.
    pub(crate) fn expected_end(&self) -> Option<ExpectedEnd> {
        let fails = self.fails_at_work_ms.is_some();
        if self.rate <= 0.0 || self.long_running && !fails {
            return None;
        }
        let goal_ms = self.fails_at_work_ms.unwrap_or(self.total_work_ms);
        let remaining_ms = (goal_ms - self.done_work_ms).max(0.0);
        let span_ms = whole((remaining_ms / self.rate).ceil());
        Some(ExpectedEnd {
            due: self.updated_at + span_ms,
            fails,
        })
    }

    /// Whether a plan of the run's end is still the current one.
    pub(crate) fn follows_plan(&self, plan: u64) -> bool {
        self.plan == plan && !self.is_stopping()
    }

    /// Changes the rate, unless the run is being stopped, and plans the end anew. Returns the number of the
    /// plan.
    pub(crate) fn set_rate(&mut self, now: Millis, rate: f64) -> Option<u64> {
        if self.is_stopping() {
            return None;
        }
        self.done_work_ms = self.work_done_ms(now);
        self.updated_at = self.updated_at.max(now);
        self.rate = rate;
        self.plan += 1;
        Some(self.plan)
    }
}
