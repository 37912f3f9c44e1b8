//! Reachability of machines. Guarantees with a deadline hold only for reachable machines.
//!
//! A machine is reachable if it and the control plane have been without faults for `contact_ms`.

use super::environment::Environment;
use super::machine::{Machine, Role};
use crate::network::MachineId;
use streamusher_protocol::Millis;

/// Records that a fault of a machine begins or ends, or that an instantaneous one occurs.
pub(crate) fn on_machine_fault(env: &mut Environment, machine: MachineId) {
    let now = env.now;
    env.fault_history.machine_mut(machine).last_at = now;
    if env.machines[machine].role == Role::Control {
        on_control_fault(env);
    }
}

fn on_control_fault(env: &mut Environment) {
    let now = env.now;
    let limits = env.settings.limits;
    let history = &mut env.fault_history;
    let last_event_at = std::mem::replace(&mut history.last_control_event_at, now);
    let was_lost_lately = history.majority_lost && now < last_event_at + 2 * limits.contact_ms;
    let majority_lost = was_lost_lately || !control_has_majority(env);
    env.fault_history.majority_lost = majority_lost;
    let has_recovered = now >= last_event_at + limits.recovery_ms;
    let still_overlapped = env.fault_history.overlapped && !has_recovered;
    let exceeds_tolerance = lost_control_machines(env) > env.settings.tolerance;
    env.fault_history.overlapped = env.allows_overlaps && (still_overlapped || exceeds_tolerance);
}

/// Records the start of a lasting fault of a machine.
pub(crate) fn begin_machine_fault(env: &mut Environment, machine: MachineId) {
    on_machine_fault(env, machine);
    env.fault_history.machine_mut(machine).ongoing += 1;
}

/// Records the end of a lasting fault of a machine.
pub(crate) fn end_machine_fault(env: &mut Environment, machine: MachineId) {
    on_machine_fault(env, machine);
    let record = env.fault_history.machine_mut(machine);
    record.ongoing = record.ongoing.saturating_sub(1);
}

/// Number of control machines that count as lost: faulty now, or so recently that they may not have caught
/// up.
fn lost_control_machines(env: &Environment) -> usize {
    let catch_up_ms = env.settings.limits.catch_up_ms;
    let is_lost = |id: &MachineId| {
        let machine = &env.machines[*id];
        let record = env.fault_history.machine(*id);
        let is_recent = record.last_at > 0 && env.now < record.last_at + catch_up_ms;
        let is_down = !machine.is_running() && !machine.removed;
        is_down || record.ongoing > 0 || is_recent
    };
    let is_control = |id: &MachineId| env.machines[*id].role == Role::Control;
    env.machines
        .ids()
        .filter(is_control)
        .filter(is_lost)
        .count()
}

/// Whether any control machine has a fault in progress.
fn is_any_control_faulty(env: &Environment) -> bool {
    let is_faulty = |id: &MachineId| {
        !env.machines[*id].is_running() || env.fault_history.machine(*id).ongoing > 0
    };
    env.machines.control_machines().iter().any(is_faulty)
}

/// Control machines that run, are not frozen, and reach more than half of the control plane in both
/// directions.
fn connected_control_machines(env: &Environment) -> Vec<MachineId> {
    let all = env.machines.control_machines();
    let is_running = |id: &MachineId| env.machines[*id].is_running();
    let running: Vec<MachineId> = all.iter().copied().filter(is_running).collect();
    let reaches_majority = |id: &MachineId| {
        let reached = running
            .iter()
            .filter(|other| env.network.is_open_both_ways(*id, **other));
        reached.count() * 2 > all.len()
    };
    running.iter().copied().filter(reaches_majority).collect()
}

fn control_has_majority(env: &Environment) -> bool {
    let connected = connected_control_machines(env).len();
    connected * 2 > env.machines.control_machines().len()
}

/// Time since which the control plane has been without faults; `None` while it has no connected majority or
/// is slowed.
fn control_fault_free_since(env: &Environment) -> Option<Millis> {
    let history = &env.fault_history;
    if history.is_control_slowed() || !control_has_majority(env) {
        return None;
    }
    if history.overlapped && is_any_control_faulty(env) {
        return None;
    }
    let recovery_ms = if history.overlapped {
        env.settings.limits.recovery_ms
    } else if history.majority_lost {
        env.settings.limits.contact_ms
    } else {
        0
    };
    Some(history.last_control_event_at + recovery_ms)
}

/// Time since which a machine has been without faults; `None` while it is not running or does not reach the
/// control plane.
fn machine_fault_free_since(env: &Environment, machine: MachineId) -> Option<Millis> {
    if !env.machines[machine].is_running() {
        return None;
    }
    let connected = connected_control_machines(env);
    let reaches = |control: MachineId| env.network.is_open_both_ways(machine, control);
    if !connected.into_iter().all(reaches) {
        return None;
    }
    let record = env.fault_history.machine(machine);
    (record.ongoing == 0).then_some(record.last_at)
}

/// Whether a machine is reachable now.
pub(crate) fn is_reachable(env: &Environment, machine: MachineId) -> bool {
    let control_since = control_fault_free_since(env);
    let machine_since = machine_fault_free_since(env, machine);
    let (Some(control_since), Some(machine_since)) = (control_since, machine_since) else {
        return false;
    };
    env.now >= control_since.max(machine_since) + env.settings.limits.contact_ms
}

/// Time since which the whole fleet has been without faults. Control machines that are down do not count
/// while a majority runs.
pub(crate) fn fault_free_since(env: &Environment) -> Option<Millis> {
    let mut since = control_fault_free_since(env)?;
    let counts = |machine: &Machine| !machine.removed && machine.role != Role::Control;
    for id in env.machines.ids().filter(|id| counts(&env.machines[*id])) {
        since = since.max(machine_fault_free_since(env, id)?);
    }
    for record in env.fault_history.workers() {
        if record.ongoing > 0 {
            return None;
        }
        since = since.max(record.last_at);
    }
    Some(since)
}
