//! Control machines: connects their processes to disks, the network and calls.

use super::disk::PendingWrite;
use super::environment::Environment;
use super::event::Event;
use super::rpc;
use super::rpc_message::{CallId, RpcOutcome};
use crate::network::MachineId;
use std::collections::VecDeque;
use std::sync::Arc;
use streamusher_controlplane::driver::{Action, ControlOutcome, ControlRequest, Recovery};
use streamusher_coordination::{DiskChange, Message};
use streamusher_protocol::Millis;
use streamusher_scheduler::SchedulerResponse;

/// Time until a full disk rejects a write.
const REJECTED_WRITE_MS: Millis = 20;
/// Longest time that the recovery of a scheduler takes.
const MAX_SCHEDULER_RECOVERY_MS: Millis = 150;
/// Largest random addition to the time of a sync.
const MAX_SYNC_JITTER_MS: Millis = 4;

/// Actions that a process has requested, in order.
pub(crate) struct PendingActions {
    machine: MachineId,
    actions: VecDeque<Action>,
}

/// The reason for which `perform` has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// All actions have been performed.
    Done,
    /// A change was acknowledged; further actions may remain.
    ChangeAcknowledged,
}

impl PendingActions {
    fn new(machine: MachineId, actions: Vec<Action>) -> PendingActions {
        PendingActions {
            machine,
            actions: actions.into(),
        }
    }

    /// The machine whose process requested the actions.
    pub(crate) fn machine(&self) -> MachineId {
        self.machine
    }
}

/// Runs the periodic tick of a process.
pub(crate) fn tick(env: &mut Environment, machine: MachineId) -> Option<PendingActions> {
    let now = env.clocks(machine);
    let actions = env.machines.control_mut(machine)?.tick(now);
    Some(PendingActions::new(machine, actions))
}

/// Whether a process that was asked to leave has left.
pub(crate) fn has_left(env: &mut Environment, machine: MachineId) -> bool {
    let now = env.clocks(machine);
    let control = env.machines.control_mut(machine);
    control.is_some_and(|control| control.has_left(now))
}

/// Asks a process to hand over and leave.
pub(crate) fn leave(env: &mut Environment, machine: MachineId) -> Option<PendingActions> {
    let now = env.clocks(machine);
    let actions = env.machines.control_mut(machine)?.leave(now);
    Some(PendingActions::new(machine, actions))
}

/// Handles a message from another control machine.
pub(crate) fn on_message(
    env: &mut Environment,
    machine: MachineId,
    sender: Arc<str>,
    message: Message,
) -> Option<PendingActions> {
    let now = env.clocks(machine);
    let caller = env.fenced_caller(machine);
    env.checker
        .on_control_message_received(env.now, caller, &message);
    let actions = env
        .machines
        .control_mut(machine)?
        .on_message(now, sender, message);
    Some(PendingActions::new(machine, actions))
}

/// Handles a call from another process.
pub(crate) fn on_call(
    env: &mut Environment,
    machine: MachineId,
    call: CallId,
    request: ControlRequest,
) -> Option<PendingActions> {
    let now = env.clocks(machine);
    let boot = env.machines[machine].boot;
    let (number, actions) = env
        .machines
        .control_mut(machine)?
        .on_call(now, call, request);
    rpc::on_accepted(env, call, boot, number);
    Some(PendingActions::new(machine, actions))
}

/// Handles the notification that a caller no longer waits for its call.
pub(crate) fn on_call_abandoned(
    env: &mut Environment,
    machine: MachineId,
    boot: u64,
    request: u64,
) -> Option<PendingActions> {
    if !env.machines[machine].is_boot(boot) {
        return None;
    }
    let now = env.clocks(machine);
    let actions = env
        .machines
        .control_mut(machine)?
        .on_call_abandoned(now, request);
    Some(PendingActions::new(machine, actions))
}

/// Handles the completed recovery of a new primary's scheduler.
pub(crate) fn on_scheduler_recovered(
    env: &mut Environment,
    machine: MachineId,
    boot: u64,
    recovery: Recovery,
) -> Option<PendingActions> {
    if !env.machines[machine].is_boot(boot) {
        return None;
    }
    let now = env.clocks(machine);
    let actions = env
        .machines
        .control_mut(machine)?
        .on_scheduler_recovered(now, recovery);
    Some(PendingActions::new(machine, actions))
}

/// Handles the completion of a write, which was synced or rejected.
pub(crate) fn on_persisted(
    env: &mut Environment,
    machine: MachineId,
    boot: u64,
    ticket: u64,
    failed: bool,
) -> Option<PendingActions> {
    if !env.machines[machine].is_boot(boot) {
        return None;
    }
    let disk = &mut env.machines[machine].disk;
    let pending = disk.pending.take()?;
    if pending.ticket != ticket {
        return None;
    }
    if !failed {
        disk.apply(&pending.change);
    }
    let now = env.clocks(machine);
    let actions = env
        .machines
        .control_mut(machine)?
        .on_persisted(now, ticket, failed);
    Some(PendingActions::new(machine, actions))
}

/// Performs actions until none remains, or until one has acknowledged a change.
pub(crate) fn perform(env: &mut Environment, pending: &mut PendingActions) -> Progress {
    let machine = pending.machine;
    while let Some(action) = pending.actions.pop_front() {
        match action {
            Action::Send { to, message } => send(env, machine, &to, message),
            Action::Persist { ticket, change } => persist(env, machine, ticket, change),
            Action::Recover(recovery) => begin_scheduler_recovery(env, machine, recovery),
            Action::Respond { request, outcome } => {
                if respond(env, machine, request, outcome) {
                    return Progress::ChangeAcknowledged;
                }
            }
        }
    }
    Progress::Done
}

fn send(env: &mut Environment, machine: MachineId, receiver: &str, message: Message) {
    let Some(receiver) = env.machines.at_address(receiver) else {
        return;
    };
    let caller = env.fenced_caller(machine);
    env.checker
        .on_control_message_sent(env.now, caller, &message);
    if env.network.draw_loss() {
        return;
    }
    let Some(delay_ms) = env.network.draw_delay(machine, receiver) else {
        return;
    };
    let sender = env.machines[machine].address.internal.clone();
    let arrival = Event::ControlMessage {
        receiver,
        sender,
        message,
    };
    env.schedule_in(delay_ms, arrival);
}

fn persist(env: &mut Environment, machine: MachineId, ticket: u64, change: DiskChange) {
    if let Some(digest) = &mut env.traffic_digest {
        digest.add_disk_change(env.now, machine, &change);
    }
    let sync_ms = env.settings.disk_sync_ms + env.random.between(0, MAX_SYNC_JITTER_MS);
    let boot = env.machines[machine].boot;
    let disk = &mut env.machines[machine].disk;
    let failed = disk.full;
    let duration_ms = if failed {
        REJECTED_WRITE_MS
    } else {
        sync_ms + disk.added_sync_ms
    };
    disk.pending = Some(PendingWrite { ticket, change });
    let persisted_at = disk.stalled_until.max(env.now) + duration_ms;
    let persisted = Event::Persisted {
        machine,
        boot,
        ticket,
        failed,
    };
    env.schedule_at(persisted_at, persisted);
}

/// Starts the recovery of a scheduler, which runs in the background and takes some time.
fn begin_scheduler_recovery(env: &mut Environment, machine: MachineId, recovery: Recovery) {
    let delay_ms = env.random.between(1, MAX_SCHEDULER_RECOVERY_MS);
    let recovered = Event::SchedulerRecovered {
        machine,
        boot: env.machines[machine].boot,
        recovery: Box::new(recovery),
    };
    env.schedule_in(delay_ms, recovered);
}

/// Sends a response; returns whether it acknowledges a change.
fn respond(
    env: &mut Environment,
    machine: MachineId,
    request: u64,
    outcome: ControlOutcome,
) -> bool {
    let Some(control) = env.machines.control_mut(machine) else {
        return false;
    };
    let Some(open) = control.take_request(request) else {
        return false;
    };
    let (outcome, status) = match outcome {
        ControlOutcome::Response(SchedulerResponse::Client(response)) => {
            let status = response.status;
            (RpcOutcome::Client(response), Some(status))
        }
        ControlOutcome::Response(SchedulerResponse::Operator(response)) => {
            let status = response.status;
            (RpcOutcome::Operator(response), Some(status))
        }
        ControlOutcome::Response(SchedulerResponse::Agent(commands)) => {
            (RpcOutcome::Agent(Arc::new(commands)), None)
        }
        ControlOutcome::NotPrimary(view) => (RpcOutcome::NotPrimary(view), None),
        ControlOutcome::Unknown => (RpcOutcome::Unknown, None),
    };
    rpc::respond(env, open.call, outcome);
    let is_success = status.is_some_and(|status| (200..300).contains(&status));
    is_success && open.acknowledges_change
}
