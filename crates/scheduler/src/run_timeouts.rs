//! Stops runs that must be rescheduled: they have stalled, have not started in time, or would outlast their
//! worker.

use crate::cluster_state::ClusterState;
use crate::runs::{ActiveRun, RunPhase};
use crate::worker_liveness::{heartbeat_age_ms, HEARTBEAT_TIMEOUT_MS};
use crate::workers::Responsiveness;
use streamusher_placement::Mechanism;
use streamusher_protocol::task::RunId;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Minimum time without progress after which a run counts as stalled; the run's estimate may allow more.
/// Progress is reported three times per second.
const MIN_STALL_TIMEOUT_MS: Millis = 1_500;
/// Progress from which on a long-running task counts as started up; it reports no further progress. Rounding
/// may leave it slightly below 100.
const STARTED_UP_PERCENT: f64 = 95.0;
/// Time after which the start command of an unstarted run is withdrawn. Agents forward commands within a
/// second.
const START_TIMEOUT_MS: Millis = 2_000;
/// Minimum time between the expected end of a run and the departure of its draining worker.
const DRAIN_MARGIN_MS: Millis = 300;

/// Stops stalled runs. While a worker is unresponsive, the progress of its runs is unknown, so that time does
/// not count as stalled.
pub(crate) fn check_stalled(state: &mut ClusterState, now: Millis) {
    exclude_time_without_heartbeats(state, now);
    let stalled = state.runs.ids_where(|run| is_stalled(state, now, run));
    for id in stalled {
        on_run_stalled(state, now, &id);
    }
}

fn exclude_time_without_heartbeats(state: &mut ClusterState, now: Millis) {
    let affected: Vec<RunId> = state
        .workers
        .iter()
        .filter(|(id, _)| is_heartbeat_overdue(state, now, id))
        .flat_map(|(id, _)| state.runs.ids_at_worker(id))
        .collect();
    for id in affected {
        if let Some(run) = state.runs.get_mut(&id) {
            run.progressed_at = now;
        }
    }
}

/// Whether the worker's last heartbeat is so old that the state of its runs is unknown.
pub(crate) fn is_heartbeat_overdue(state: &ClusterState, now: Millis, worker: &WorkerId) -> bool {
    heartbeat_age_ms(&state.workers, &state.agents, now, worker) > HEARTBEAT_TIMEOUT_MS
}

fn is_stalled(state: &ClusterState, now: Millis, run: &ActiveRun) -> bool {
    if !state.settings.policy.is_enabled(Mechanism::StallDetection) {
        return false;
    }
    let may_stall = run.phase == RunPhase::Running
        && !run.is_stopping()
        && !is_heartbeat_overdue(state, now, &run.worker);
    may_stall && !has_started_up(run) && run.stalled_ms(now) > stall_timeout_ms(state, run)
}

/// Whether a long-running task has finished starting up.
pub(crate) fn has_started_up(run: &ActiveRun) -> bool {
    let runs = run.phase == RunPhase::Running;
    runs && run.profile.long_running && run.percent >= STARTED_UP_PERCENT
}

/// Maximum time without progress: derived from the estimate, plus the time that passes before the first
/// progress.
fn stall_timeout_ms(state: &ClusterState, run: &ActiveRun) -> Millis {
    let limits = &state.settings.limits;
    let gang_ms = if run.profile.in_gang {
        limits.gang_timeout_ms
    } else {
        0
    };
    let restore_ms = if run.checkpoint.is_empty() {
        0
    } else {
        limits.checkpoint_restore_ms
    };
    MIN_STALL_TIMEOUT_MS.max(run.max_ms_per_percent()) + gang_ms + restore_ms
}

fn on_run_stalled(state: &mut ClusterState, now: Millis, id: &RunId) {
    if let Some(run) = state.runs.get(id) {
        log::warn!(
            "run {} of task {} stalled at worker {}; stopping it to reschedule",
            id.run,
            id.task,
            run.worker
        );
        state.placement.on_run_stalled(now, &run.worker);
    }
    state.jobs.on_run_stalled(id);
    state.stop_run(id);
}

/// Withdraws the start commands of runs that have not started in time or whose worker is unresponsive. Such a
/// run is rescheduled as soon as the agent confirms that it will not start there. While the agent itself is
/// unresponsive the command is not withdrawn, because the run may have started.
pub(crate) fn check_unstarted(state: &mut ClusterState, now: Millis) {
    let unstarted = state.runs.ids_where(|run| {
        run.phase == RunPhase::Starting && !run.is_stopping() && is_start_overdue(state, now, run)
    });
    for id in unstarted {
        log::debug!(
            "run {} of task {} has not started; withdrawing its start command",
            id.run,
            id.task
        );
        state.stop_run(&id);
    }
}

fn is_start_overdue(state: &ClusterState, now: Millis, run: &ActiveRun) -> bool {
    let Some(worker) = state.workers.get(&run.worker) else {
        return false;
    };
    match worker.responsiveness {
        Responsiveness::AgentUnresponsive => false,
        Responsiveness::WorkerUnresponsive => true,
        Responsiveness::Responsive => {
            worker.terminated || now > run.phase_started_at + START_TIMEOUT_MS
        }
    }
}

/// Stops runs that would outlast their draining worker, so that they are rescheduled.
pub(crate) fn check_draining(state: &mut ClusterState, now: Millis) {
    if !state.settings.policy.is_enabled(Mechanism::Migration) {
        return;
    }
    let outlasting = state
        .runs
        .ids_where(|run| !run.is_stopping() && outlasts_worker(state, now, run));
    for id in outlasting {
        log::info!(
            "run {} of task {} would outlast its draining worker; stopping it to reschedule",
            id.run,
            id.task
        );
        state.stop_run(&id);
    }
}

fn outlasts_worker(state: &ClusterState, now: Millis, run: &ActiveRun) -> bool {
    let worker = state.workers.get(&run.worker);
    let Some(leaves_at) = worker.and_then(|worker| worker.leaves_at) else {
        return false;
    };
    run.profile.long_running || now + run.expected_remaining_ms(now) + DRAIN_MARGIN_MS > leaves_at
}
