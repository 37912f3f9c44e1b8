//! The response to a worker's heartbeat: the hold that it grants, its commands, and when the next heartbeat
//! is due.

use super::commands::CurrentCommands;
use super::hold;
use super::worker::Worker;
use super::AgentSettings;
use streamusher_protocol::heartbeat::{HeartbeatResponse, StartCommand, StopCommand};
use streamusher_protocol::Millis;

/// Shortest hold with which start commands are sent: with a shorter one, the run's lease would expire before
/// the next heartbeat.
const MIN_HOLD_FOR_START_MS: Millis = 500;

/// Longest time after receipt of a heartbeat for which its response may carry start commands. A worker
/// discards a response that arrives more than a second after its heartbeat; the rest of the second allows for
/// network delay.
const MAX_START_DELAY_MS: Millis = 900;

/// Maximum number of start commands in one response: even with the longest specs, they stay well below the
/// limit of 4 MiB for a response.
const MAX_STARTS: usize = 400;

/// Delay until the next heartbeat while runs are executing or were just started: commands and the reports of
/// finished runs wait for that heartbeat.
const BUSY_RETRY_MS: Millis = 20;

/// Delay until the next heartbeat after a long poll without commands: the long poll itself is the waiting
/// time.
const IDLE_RETRY_MS: Millis = 20;

/// Delay until the next heartbeat while the worker has no lease, or while a draining worker has no runs.
const NO_CONTACT_RETRY_MS: Millis = 300;

/// Whether a response may carry start commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartCommands {
    Include,
    Withhold,
}

/// Whether a response sent now would carry any command.
pub(super) fn has_commands(
    settings: &AgentSettings,
    commands: &CurrentCommands,
    worker: &Worker,
    now: Millis,
) -> bool {
    let hold_ms = grantable_hold_ms(settings, worker).unwrap_or(0);
    let has_starts = may_start(worker, hold_ms, now)
        && commands
            .starts(&worker.instance)
            .iter()
            .any(|command| worker.needs_start(command));
    let has_stops = || {
        commands
            .stops(&worker.instance)
            .iter()
            .any(|command| worker.needs_stop(command))
    };
    has_starts || has_stops()
}

/// Builds the response to the worker's newest heartbeat and records in `worker` which hold and commands it
/// carries.
pub(super) fn respond(
    settings: &AgentSettings,
    commands: &CurrentCommands,
    worker: &mut Worker,
    now: Millis,
    start_commands: StartCommands,
) -> HeartbeatResponse {
    let grantable_ms = grantable_hold_ms(settings, worker);
    let starts_allowed = start_commands == StartCommands::Include
        && may_start(worker, grantable_ms.unwrap_or(0), now);
    let start = if starts_allowed {
        needed_starts(commands, worker)
    } else {
        Vec::new()
    };
    let stop = needed_stops(commands, worker);
    let has_runs = !start.is_empty() || !worker.heartbeat.running.is_empty();
    let hold_ms = grantable_ms.filter(|_| has_runs);
    worker.on_commands_sent(&start, &stop);
    if let Some(hold_ms) = hold_ms {
        worker.on_hold_granted(hold_ms);
    }
    HeartbeatResponse {
        hold_ms,
        last_seen: commands.last_seen(&worker.instance),
        fence_token: commands.epoch(),
        retry_after_ms: Some(retry_after_ms(worker, now, !start.is_empty())),
        start,
        stop,
    }
}

/// Builds the response to a heartbeat that is not the newest or not from the current worker: without hold and
/// commands.
pub(super) fn respond_superseded(commands: &CurrentCommands) -> HeartbeatResponse {
    HeartbeatResponse {
        fence_token: commands.epoch(),
        ..HeartbeatResponse::default()
    }
}

/// The hold that a response to the newest heartbeat may grant; `None` if the lease does not suffice for any.
/// The worker counts the hold from when it sent that heartbeat, which is before the agent received it.
fn grantable_hold_ms(settings: &AgentSettings, worker: &Worker) -> Option<Millis> {
    let lease_left_ms = worker.lease_until().saturating_sub(worker.received_at);
    let hold_ms = hold::grantable_ms(lease_left_ms).min(settings.max_granted_hold_ms());
    Some(hold_ms).filter(|hold_ms| *hold_ms > 0)
}

fn may_start(worker: &Worker, hold_ms: Millis, now: Millis) -> bool {
    let is_in_time = now.saturating_sub(worker.received_at) <= MAX_START_DELAY_MS;
    worker.is_ready() && is_in_time && hold_ms >= MIN_HOLD_FOR_START_MS
}

fn needed_starts(commands: &CurrentCommands, worker: &Worker) -> Vec<StartCommand> {
    commands
        .starts(&worker.instance)
        .iter()
        .filter(|command| worker.needs_start(command))
        .take(MAX_STARTS)
        .cloned()
        .collect()
}

fn needed_stops(commands: &CurrentCommands, worker: &Worker) -> Vec<StopCommand> {
    commands
        .stops(&worker.instance)
        .iter()
        .filter(|command| worker.needs_stop(command))
        .cloned()
        .collect()
}

fn retry_after_ms(worker: &Worker, now: Millis, has_starts: bool) -> Millis {
    if worker.lease_until() <= now {
        return NO_CONTACT_RETRY_MS;
    }
    if has_starts || !worker.heartbeat.running.is_empty() {
        return BUSY_RETRY_MS;
    }
    if worker.is_draining() {
        return NO_CONTACT_RETRY_MS;
    }
    IDLE_RETRY_MS
}
