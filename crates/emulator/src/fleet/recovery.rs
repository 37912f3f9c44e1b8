//! Recovery from faults.

use super::environment::Environment;
use super::event::{Event, FaultRecovery, RollingRestart};
use super::lifecycle;
use super::machine::Role;
use super::reachability;
use super::state::FleetState;
use crate::network::{Link, MachineId};
use streamusher_protocol::Millis;

/// Interval between two checks of whether a process that was asked to leave has left.
const LEAVE_CHECK_INTERVAL_MS: Millis = 300;

/// Recovers from a fault, or takes a step of a rolling restart. For `FaultRecovery::Leave`, this only
/// schedules the check of whether the machine has left; the caller asks the machine to leave.
pub(crate) fn recover(state: &mut FleetState, recovery: FaultRecovery) {
    let env = &mut state.environment;
    match recovery {
        FaultRecovery::Thaw { machine } => thaw(env, machine),
        FaultRecovery::UnblockLinks { links, machine } => unblock_links(env, &links, machine),
        FaultRecovery::RepairDisk { machine } => repair_disk(env, machine),
        FaultRecovery::StepClockBack { machine, by_ms } => {
            env.machines[machine].clock.unix_error_ms -= by_ms;
            reachability::on_machine_fault(env, machine);
        }
        FaultRecovery::EndMessageLoss => {
            env.network.loss_rate = 0.0;
            env.fault_history.end_control_slowdown(env.now);
        }
        FaultRecovery::RestoreLinkSpeed { machine } => {
            env.network.set_added_delay(machine, 0);
            reachability::end_machine_fault(env, machine);
            env.fault_history.end_control_slowdown(env.now);
        }
        FaultRecovery::RestoreWorkerSpeed { worker } => {
            env.fault_history.end_worker_fault(env.now, worker);
            state.workers.set_speed(env.moment(), worker, 1.0);
        }
        FaultRecovery::EndRunFailures { worker } => {
            env.fault_history.end_worker_fault(env.now, worker);
            state.workers.set_failure_rate(worker, 0.0);
        }
        FaultRecovery::Leave(restart) => schedule_leave_check(env, restart),
        FaultRecovery::RestartIfLeft(restart) => restart_if_left(env, restart),
        FaultRecovery::Restart { machine } => self::restart(env, machine),
        FaultRecovery::AddControlMachine => add_control_machine(env),
    }
}

fn thaw(env: &mut Environment, machine: MachineId) {
    let now = env.now;
    let state = &mut env.machines[machine];
    if state.frozen_until.is_some_and(|until| until <= now) {
        state.frozen_until = None;
        reachability::on_machine_fault(env, machine);
    }
}

fn unblock_links(env: &mut Environment, links: &[Link], machine: MachineId) {
    for link in links {
        env.network.unblock(*link);
    }
    reachability::end_machine_fault(env, machine);
}

fn repair_disk(env: &mut Environment, machine: MachineId) {
    let disk = &mut env.machines[machine].disk;
    disk.added_sync_ms = 0;
    disk.full = false;
    reachability::end_machine_fault(env, machine);
    env.fault_history.end_control_slowdown(env.now);
}

/// Schedules the check of whether a machine has left after it was asked to leave, as a step of a rolling
/// restart.
pub(crate) fn schedule_leave_check(env: &mut Environment, restart: RollingRestart) {
    let check = FaultRecovery::RestartIfLeft(restart);
    env.schedule_in(LEAVE_CHECK_INTERVAL_MS, Event::Recovery(check));
}

fn restart_if_left(env: &mut Environment, rolling: RollingRestart) {
    if env.machines[rolling.machine].process.is_some() {
        schedule_leave_check(env, rolling);
        return;
    }
    restart(env, rolling.machine);
    let RollingRestart {
        mut remaining,
        gap_ms,
        ..
    } = rolling;
    if remaining.is_empty() {
        return;
    }
    let next = RollingRestart {
        machine: remaining.remove(0),
        remaining,
        gap_ms,
    };
    env.schedule_in(gap_ms, Event::Recovery(FaultRecovery::Leave(next)));
}

fn restart(env: &mut Environment, machine: MachineId) {
    lifecycle::start_process(env, machine);
    reachability::on_machine_fault(env, machine);
}

fn add_control_machine(env: &mut Environment) {
    let is_control = env
        .machines
        .iter()
        .filter(|machine| machine.role == Role::Control);
    let index = is_control.count();
    let machine = lifecycle::add_machine(env, Role::Control, index);
    restart(env, machine);
}
