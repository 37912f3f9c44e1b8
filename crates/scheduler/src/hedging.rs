//! Hedging: speculative second runs of hedged tasks.
//!
//! A hedged task may have two concurrent runs, and the first one to finish counts. The second run uses only
//! free capacity, so it does not delay other tasks. It is requested as soon as the first run is expected to
//! finish late: its worker or agent is unresponsive, it has not started, it has stalled, or its worker is
//! slow.

use crate::cluster_state::ClusterState;
use crate::runs::{ActiveRun, RunPhase, MIN_PERCENT_TO_EXTRAPOLATE};
use crate::worker_liveness::{heartbeat_age_ms, HEARTBEAT_TIMEOUT_MS};
use streamusher_placement::Mechanism;
use streamusher_protocol::Millis;

/// A run usually starts within 0.1 s of its command, and within 0.6 s when many are started at once.
const START_TIMEOUT_MS: Millis = 800;
/// Minimum time without progress after which a run counts as stalled. At three progress reports per second, a
/// run without progress for this long is not merely slow.
const MIN_STALL_TIMEOUT_MS: Millis = 900;
/// Worker speeds differ by a quarter and estimates are rough. A worker counts as slow from this factor on.
const SLOW_FACTOR: f64 = 2.0;
/// Time that a second run needs in addition to the task's work: until it is commanded and has started.
const SECOND_RUN_START_DELAY_MS: f64 = 200.0;

/// Requests a speculative second run for each hedged run that is expected to finish late, once per run.
pub(crate) fn request_second_runs(state: &mut ClusterState, now: Millis) {
    if !state.settings.policy.is_enabled(Mechanism::Hedging) {
        return;
    }
    let late = state.runs.ids_where(|run| {
        run.profile.may_hedge && !run.is_stopping() && is_expected_late(state, now, run)
    });
    for id in late {
        if let Some(run) = state.runs.get_mut(&id) {
            run.profile.may_hedge = false;
        }
        if state.jobs.hedge(&id) {
            log::debug!(
                "run {} of task {} is expected to finish late; requesting a speculative second run",
                id.run,
                id.task
            );
        }
    }
}

fn is_expected_late(state: &ClusterState, now: Millis, run: &ActiveRun) -> bool {
    let is_terminated = state
        .workers
        .get(&run.worker)
        .is_none_or(|worker| worker.terminated);
    let heartbeat_age_ms = heartbeat_age_ms(&state.workers, &state.agents, now, &run.worker);
    let phase_age_ms = run.phase_duration_ms(now);
    if is_terminated || heartbeat_age_ms > HEARTBEAT_TIMEOUT_MS {
        // A new primary must have received reports from all agents before it considers a run late.
        return phase_age_ms > HEARTBEAT_TIMEOUT_MS;
    }
    match run.phase {
        RunPhase::Starting => phase_age_ms > START_TIMEOUT_MS,
        RunPhase::Running => has_stalled(now, run) || is_slow(state, now, run),
    }
}

fn has_stalled(now: Millis, run: &ActiveRun) -> bool {
    run.stalled_ms(now) > MIN_STALL_TIMEOUT_MS.max(run.max_ms_per_percent())
}

/// Whether a worker of usual speed would finish the task sooner even if it started it now.
fn is_slow(state: &ClusterState, now: Millis, run: &ActiveRun) -> bool {
    if run.percent < MIN_PERCENT_TO_EXTRAPOLATE {
        return false;
    }
    let slowness = state.placement.worker_slowness(now, &run.worker);
    let ran_ms = run.phase_duration_ms(now) as f64;
    let total_ms = ran_ms * 100.0 / run.percent;
    slowness >= SLOW_FACTOR && total_ms - ran_ms > total_ms / slowness + SECOND_RUN_START_DELAY_MS
}
