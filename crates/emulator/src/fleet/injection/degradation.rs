//! Disturbances of control machines that keep running.

use super::machine::{freeze, isolate, resolve, Direction};
use crate::faults::{ControlDegradation, ControlTarget};
use crate::fleet::disk::Disk;
use crate::fleet::environment::Environment;
use crate::fleet::event::{Event, FaultRecovery};
use crate::fleet::reachability;
use crate::network::MachineId;
use streamusher_protocol::Millis;

pub(super) fn inject(
    env: &mut Environment,
    fault: ControlDegradation,
    acknowledged_by: Option<MachineId>,
) {
    match fault {
        ControlDegradation::Freeze { target, for_ms } => {
            let machine = resolve(env, target, acknowledged_by);
            freeze(env, machine, for_ms);
        }
        ControlDegradation::Isolate {
            target,
            one_way,
            for_ms,
        } => {
            let machine = resolve(env, target, acknowledged_by);
            let others = env.machines.control_machines();
            isolate(
                env,
                machine,
                &others,
                Direction::from_one_way(one_way),
                for_ms,
            );
        }
        ControlDegradation::IsolateFromAll { target, for_ms } => {
            let machine = resolve(env, target, acknowledged_by);
            let others: Vec<MachineId> = env.machines.ids().collect();
            isolate(env, machine, &others, Direction::Both, for_ms);
        }
        ControlDegradation::Partition { for_ms } => partition(env, for_ms),
        ControlDegradation::SlowDisk {
            target,
            by_ms,
            for_ms,
        } => {
            begin_disk_fault(env, target, acknowledged_by, for_ms).added_sync_ms = by_ms;
        }
        ControlDegradation::StallDisk { target, for_ms } => {
            let until = env.now + for_ms;
            begin_disk_fault(env, target, acknowledged_by, for_ms).stalled_until = until;
        }
        ControlDegradation::FullDisk { target, for_ms } => {
            begin_disk_fault(env, target, acknowledged_by, for_ms).full = true;
        }
        ControlDegradation::StepClock {
            target,
            by_ms,
            for_ms,
        } => {
            let machine = resolve(env, target, acknowledged_by);
            step_clock(env, machine, by_ms, for_ms);
        }
        ControlDegradation::DropMessages { share, for_ms } => drop_messages(env, share, for_ms),
        ControlDegradation::SlowLinks {
            target,
            by_ms,
            for_ms,
        } => {
            let machine = resolve(env, target, acknowledged_by);
            slow_links(env, machine, by_ms, for_ms);
        }
    }
}

/// Partitions the control plane into two halves, with the primary in the smaller one.
fn partition(env: &mut Environment, for_ms: Millis) {
    let primary = resolve(env, ControlTarget::Primary, None);
    let all = env.machines.control_machines();
    let others = all.iter().copied().filter(|machine| *machine != primary);
    let primary_first = std::iter::once(primary).chain(others);
    let smaller: Vec<MachineId> = primary_first.take(all.len() / 2).collect();
    let larger = all
        .iter()
        .copied()
        .filter(|machine| !smaller.contains(machine));
    let larger: Vec<MachineId> = larger.collect();
    for machine in smaller {
        isolate(env, machine, &larger, Direction::Both, for_ms);
    }
    for machine in larger {
        reachability::on_machine_fault(env, machine);
    }
}

/// Schedules the end of a disk fault, and returns the disk for the caller to modify.
fn begin_disk_fault(
    env: &mut Environment,
    target: ControlTarget,
    acknowledged_by: Option<MachineId>,
    for_ms: Millis,
) -> &mut Disk {
    let machine = resolve(env, target, acknowledged_by);
    reachability::begin_machine_fault(env, machine);
    env.fault_history.begin_control_slowdown(env.now);
    env.schedule_in(
        for_ms,
        Event::Recovery(FaultRecovery::RepairDisk { machine }),
    );
    &mut env.machines[machine].disk
}

fn step_clock(env: &mut Environment, machine: MachineId, by_ms: i64, for_ms: Millis) {
    env.machines[machine].clock.unix_error_ms += by_ms;
    reachability::on_machine_fault(env, machine);
    let recovery = FaultRecovery::StepClockBack { machine, by_ms };
    env.schedule_in(for_ms, Event::Recovery(recovery));
}

fn drop_messages(env: &mut Environment, share: f64, for_ms: Millis) {
    env.network.loss_rate = share;
    env.fault_history.begin_control_slowdown(env.now);
    env.schedule_in(for_ms, Event::Recovery(FaultRecovery::EndMessageLoss));
}

fn slow_links(env: &mut Environment, machine: MachineId, by_ms: Millis, for_ms: Millis) {
    env.network.set_added_delay(machine, by_ms);
    reachability::begin_machine_fault(env, machine);
    env.fault_history.begin_control_slowdown(env.now);
    let recovery = FaultRecovery::RestoreLinkSpeed { machine };
    env.schedule_in(for_ms, Event::Recovery(recovery));
}
