//! State of a unit: a single task, or all tasks of a gang.

use crate::backoff::RestartPolicy;
use crate::latency::{LatencyBreakdown, LatencyStage};
use crate::latency_account::LatencyAccount;
use crate::position::RunSlot;
use crate::run_result::RunResult;
use std::sync::Arc;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::{Millis, Now};

/// Limit of avoided workers per unit. A longer list would leave too few workers in a small group.
const MAX_AVOIDED_WORKERS: usize = 4;
/// A run of a long-running task that lasts at least this long resets its count of consecutive failures.
const HEALTHY_RUN_MS: Millis = 10_000;

/// Phase of a unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum UnitPhase {
    /// The unit's step waits for other steps.
    #[default]
    Blocked,
    /// The unit waits for placement.
    Waiting,
    /// The unit waits for the end of the backoff before a restart.
    BackingOff {
        /// End of the backoff, on the steady clock.
        until_ms: Millis,
    },
    /// At least one of the unit's tasks is assigned to a worker.
    Assigned,
    /// The unit's work is done.
    Done,
    /// The job ended before the unit was done.
    Abandoned,
}

/// Result of making a unit ready to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// The unit is done or abandoned and does not run again.
    Closed,
    /// The unit has no attempt left, which fails its job.
    AttemptsExhausted,
    /// The unit may run after a backoff.
    BackingOff {
        /// End of the backoff, on the steady clock.
        until_ms: Millis,
    },
    /// The unit may run now.
    Waiting,
}

/// Consequence of the end of a run for its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnitOutcome {
    /// The unit was done before; nothing follows.
    AlreadyDone,
    /// The unit is done now.
    Done,
    /// The unit has no attempt left, which fails its job.
    AttemptsExhausted,
    /// The unit has to run again.
    RunAgain,
}

/// State of a unit. Runs, attempts and checkpoints belong to the unit; the tasks of a gang share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnitState {
    pub(crate) phase: UnitPhase,
    /// Number of the newest run; 0 before the first run.
    pub(crate) run: u32,
    /// Number of failed attempts. For a long-running unit, only those since its last healthy run.
    pub(crate) failed_attempts: u32,
    /// The newest run that was counted as a failed attempt.
    pub(crate) last_failed_run: u32,
    /// Number of tasks whose newest run is assigned.
    pub(crate) assigned_tasks: u32,
    /// Time at which the newest run was assigned, in milliseconds since 1970. The steady clock is not used
    /// because it does not outlive its primary.
    pub(crate) assigned_unix_ms: Millis,
    /// Time spent by the unit, by latency stage.
    pub(crate) latency: LatencyAccount,
    /// Newest known checkpoint; empty if there is none.
    pub(crate) checkpoint: Arc<str>,
    /// Checkpoint from which the newest run was started.
    pub(crate) started_from: Arc<str>,
    /// Workers to avoid, the newest last.
    pub(crate) avoided_workers: Vec<WorkerId>,
}

impl UnitState {
    /// Makes the unit wait for placement, at once or after a backoff. `preceding` is the latency of the chain
    /// of units that ran before it.
    pub(crate) fn make_ready(
        &mut self,
        now_ms: Millis,
        restart: RestartPolicy,
        preceding: &LatencyBreakdown,
    ) -> Readiness {
        if matches!(self.phase, UnitPhase::Done | UnitPhase::Abandoned) {
            return Readiness::Closed;
        }
        if restart.is_exhausted(self.failed_attempts) {
            return Readiness::AttemptsExhausted;
        }
        if self.phase == UnitPhase::Blocked {
            self.latency.start_after(now_ms, preceding.clone());
        }
        let backoff_ms = restart.backoff_ms(self.failed_attempts);
        if backoff_ms > 0 {
            let until_ms = now_ms.saturating_add(backoff_ms);
            self.phase = UnitPhase::BackingOff { until_ms };
            return Readiness::BackingOff { until_ms };
        }
        self.phase = UnitPhase::Waiting;
        Readiness::Waiting
    }

    /// Ends the backoff that was set to end at `planned_ms`. Returns false if the unit is not in that
    /// backoff.
    pub(crate) fn end_backoff(&mut self, now_ms: Millis, planned_ms: Millis) -> bool {
        let planned = UnitPhase::BackingOff {
            until_ms: planned_ms,
        };
        if self.phase != planned {
            return false;
        }
        self.latency.add_elapsed(now_ms, LatencyStage::BackedOff);
        self.phase = UnitPhase::Waiting;
        true
    }

    /// Starts the next run of the unit's tasks, from its newest checkpoint.
    pub(crate) fn assign(&mut self, now: Now, run: u32, tasks: u32) {
        self.run = run;
        self.phase = UnitPhase::Assigned;
        self.assigned_unix_ms = now.unix_ms;
        self.latency.set_run_timings(None);
        self.assigned_tasks = tasks;
        self.started_from = self.checkpoint.clone();
    }

    /// Updates the unit after the end of a run.
    pub(crate) fn on_run_over(
        &mut self,
        now: Now,
        slot: RunSlot,
        result: RunResult,
        worker: Option<&WorkerId>,
        restart: RestartPolicy,
    ) -> UnitOutcome {
        if self.phase == UnitPhase::Done {
            return UnitOutcome::AlreadyDone;
        }
        let is_long_running = restart == RestartPolicy::Unlimited;
        if result == RunResult::Succeeded && !is_long_running {
            self.latency.add_successful_run(now.steady_ms);
            return UnitOutcome::Done;
        }
        let ran_ms = now.unix_ms.saturating_sub(self.assigned_unix_ms);
        if is_long_running && ran_ms >= HEALTHY_RUN_MS {
            self.failed_attempts = 0;
        }
        self.latency
            .add_elapsed(now.steady_ms, result.stage_before_rerun());
        if result != RunResult::Failed {
            return UnitOutcome::RunAgain;
        }
        if let Some(worker) = worker {
            self.avoid(worker);
        }
        self.count_failure(slot);
        if restart.is_exhausted(self.failed_attempts) {
            UnitOutcome::AttemptsExhausted
        } else {
            UnitOutcome::RunAgain
        }
    }

    /// Counts a failed attempt. The tasks of a gang share a run, so several failures of the newest run count
    /// once. Failures of an earlier run need no such check, because only single tasks have an earlier run.
    fn count_failure(&mut self, slot: RunSlot) {
        if slot == RunSlot::Newest {
            if self.last_failed_run == self.run {
                return;
            }
            self.last_failed_run = self.run;
        }
        self.failed_attempts = self.failed_attempts.saturating_add(1);
    }

    /// Adds a worker to avoid; at the limit, the oldest one is removed. Returns false if the worker is
    /// avoided already.
    pub(crate) fn avoid(&mut self, worker: &WorkerId) -> bool {
        if self.avoided_workers.contains(worker) {
            return false;
        }
        if self.avoided_workers.len() >= MAX_AVOIDED_WORKERS {
            self.avoided_workers.remove(0);
        }
        self.avoided_workers.push(worker.clone());
        true
    }
}
