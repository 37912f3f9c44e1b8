//! The state of one unit: a task, or all tasks of a gang.

use crate::backoff::RestartPolicy;
use crate::latency::{LatencyBreakdown, LatencyStage};
use crate::latency_account::LatencyAccount;
use crate::position::RunSlot;
use crate::run_result::RunResult;
use std::sync::Arc;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::{Millis, Now};

/// Workers that a unit avoids at most; more would leave too little choice in a small group.
const MAX_AVOIDED_WORKERS: usize = 4;
/// A run of a long-running task that lasted this long ends its row of failures.
const HEALTHY_RUN_MS: Millis = 10_000;

/// The phase of a unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum UnitPhase {
    /// Its step waits for other steps.
    #[default]
    Blocked,
    /// It waits for placement.
    Waiting,
    /// It waits for the end of the backoff before a restart.
    BackingOff {
        /// End of the backoff, by the steady clock.
        until_ms: Millis,
    },
    /// At least one of its tasks is assigned to a worker.
    Assigned,
    /// Its work is done.
    Done,
    /// Its job ended first.
    Abandoned,
}

/// A unit that is to run (again).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It is over: nothing of it runs again.
    Closed,
    /// It has no attempt left, which ends its job.
    AttemptsExhausted,
    /// It may run after a backoff.
    BackingOff {
        /// End of the backoff, by the steady clock.
        until_ms: Millis,
    },
    /// It may run now.
    Waiting,
}

/// What follows for a unit from the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterRun {
    /// Nothing: it was done before.
    AlreadyDone,
    /// It is done now.
    Done,
    /// It has no attempt left, which ends its job.
    AttemptsExhausted,
    /// It has to run again.
    RunAgain,
}

/// The state of a unit. Runs, attempts and checkpoints belong to the unit, so that the tasks of a gang share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnitState {
    /// Its phase.
    pub(crate) phase: UnitPhase,
    /// Number of the newest run; 0 before the first.
    pub(crate) run: u32,
    /// Failed attempts; of a long-running unit, those since its last healthy run.
    pub(crate) failed_attempts: u32,
    /// The newest run that counted as a failed attempt.
    pub(crate) last_failed_run: u32,
    /// Tasks of which the newest run is assigned.
    pub(crate) assigned_tasks: u32,
    /// When the newest run was assigned, in milliseconds since 1970: a steady clock ends with its primary.
    pub(crate) assigned_unix_ms: Millis,
    /// Where its time went.
    pub(crate) latency: LatencyAccount,
    /// The newest known checkpoint; empty for none.
    pub(crate) checkpoint: Arc<str>,
    /// The checkpoint that the newest run was started with.
    pub(crate) started_from: Arc<str>,
    /// Workers to avoid, the newest last.
    pub(crate) avoided_workers: Vec<WorkerId>,
}

impl UnitState {
    /// Lets the unit wait for placement, now or after a backoff. `chain` is the latency of the units before it.
    pub(crate) fn make_ready(
        &mut self,
        now_ms: Millis,
        restart: RestartPolicy,
        chain: &LatencyBreakdown,
    ) -> Readiness {
        if matches!(self.phase, UnitPhase::Done | UnitPhase::Abandoned) {
            return Readiness::Closed;
        }
        if restart.is_exhausted(self.failed_attempts) {
            return Readiness::AttemptsExhausted;
        }
        if self.phase == UnitPhase::Blocked {
            self.latency.start_after(now_ms, chain.clone());
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

    /// Ends the backoff that was planned until this time. False if the unit is in no such backoff.
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

    /// Begins the next run of the unit's tasks, from its newest checkpoint.
    pub(crate) fn assign(&mut self, now: Now, run: u32, tasks: u32) {
        self.run = run;
        self.phase = UnitPhase::Assigned;
        self.assigned_unix_ms = now.unix_ms;
        self.latency.set_run_timings(None);
        self.assigned_tasks = tasks;
        self.started_from = self.checkpoint.clone();
    }

    /// Takes the end of a run into account.
    pub(crate) fn on_run_over(
        &mut self,
        now: Now,
        slot: RunSlot,
        result: RunResult,
        worker: Option<&WorkerId>,
        restart: RestartPolicy,
    ) -> AfterRun {
        if self.phase == UnitPhase::Done {
            return AfterRun::AlreadyDone;
        }
        let is_long_running = restart == RestartPolicy::Unlimited;
        if result == RunResult::Succeeded && !is_long_running {
            self.latency.add_successful_run(now.steady_ms);
            return AfterRun::Done;
        }
        let ran_ms = now.unix_ms.saturating_sub(self.assigned_unix_ms);
        if is_long_running && ran_ms >= HEALTHY_RUN_MS {
            self.failed_attempts = 0;
        }
        self.latency
            .add_elapsed(now.steady_ms, result.stage_before_rerun());
        if result != RunResult::Failed {
            return AfterRun::RunAgain;
        }
        if let Some(worker) = worker {
            self.avoid(worker);
        }
        self.count_failure(slot);
        if restart.is_exhausted(self.failed_attempts) {
            AfterRun::AttemptsExhausted
        } else {
            AfterRun::RunAgain
        }
    }

    /// Counts a failed attempt. The tasks of a gang share a run, which counts once; an earlier run is that of a single
    /// task.
    fn count_failure(&mut self, slot: RunSlot) {
        if slot == RunSlot::Newest {
            if self.last_failed_run == self.run {
                return;
            }
            self.last_failed_run = self.run;
        }
        self.failed_attempts = self.failed_attempts.saturating_add(1);
    }

    /// Adds a worker to avoid, in place of the oldest one. False if it is avoided already.
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
