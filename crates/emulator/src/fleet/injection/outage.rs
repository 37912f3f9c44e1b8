//! Outages of control machines.

use super::machine::{resolve, take_all_down, take_down};
use super::FollowUp;
use crate::faults::{ControlOutage, ControlTarget};
use crate::fleet::disk::Disk;
use crate::fleet::environment::Environment;
use crate::fleet::event::{Event, FaultRecovery, RollingRestart};
use crate::fleet::lifecycle::{self, ProcessEnd};
use crate::fleet::reachability;
use crate::fleet::state::FleetState;
use crate::network::MachineId;
use streamusher_protocol::Millis;

pub(super) fn inject(
    state: &mut FleetState,
    fault: ControlOutage,
    acknowledged_by: Option<MachineId>,
) -> FollowUp {
    let env = &mut state.environment;
    let clients = &state.clients;
    match fault {
        ControlOutage::Kill { target, down_ms } => {
            let machine = resolve(env, target, acknowledged_by);
            take_down(env, clients, machine, ProcessEnd::Killed, down_ms);
        }
        ControlOutage::PowerLoss { target, down_ms } => {
            let machine = resolve(env, target, acknowledged_by);
            take_down(env, clients, machine, ProcessEnd::PowerLost, down_ms);
        }
        ControlOutage::Wipe { target, down_ms } => {
            let machine = resolve(env, target, acknowledged_by);
            take_down(env, clients, machine, ProcessEnd::PowerLost, down_ms);
            wipe(env, Some(machine));
        }
        ControlOutage::KillAll { down_ms } => {
            for machine in env.machines.control_machines() {
                take_down(env, clients, machine, ProcessEnd::Killed, down_ms);
            }
        }
        ControlOutage::PowerLossAll {
            down_ms,
            wipe: target,
        } => {
            let wiped = resolve_optional(env, target, acknowledged_by);
            for machine in env.machines.control_machines() {
                take_down(env, clients, machine, ProcessEnd::PowerLost, down_ms);
            }
            wipe(env, wiped);
        }
        ControlOutage::PowerLossEverywhere {
            down_ms,
            wipe: target,
        } => {
            let wiped = resolve_optional(env, target, acknowledged_by);
            take_all_down(env, clients, ProcessEnd::PowerLost, down_ms);
            wipe(env, wiped);
        }
        ControlOutage::Replace { target, after_ms } => {
            let machine = resolve(env, target, acknowledged_by);
            replace(env, machine, after_ms);
        }
        ControlOutage::RollingRestart { gap_ms } => return begin_rolling_restart(env, gap_ms),
    }
    FollowUp::None
}

fn resolve_optional(
    env: &mut Environment,
    target: Option<ControlTarget>,
    acknowledged_by: Option<MachineId>,
) -> Option<MachineId> {
    target.map(|target| resolve(env, target, acknowledged_by))
}

fn wipe(env: &mut Environment, machine: Option<MachineId>) {
    if let Some(machine) = machine {
        env.trace(|| format!("wipe {}", env.machines[machine].name));
        env.machines[machine].disk = Disk::default();
    }
}

fn replace(env: &mut Environment, machine: MachineId, after_ms: Millis) {
    lifecycle::end_process(env, machine, ProcessEnd::PowerLost);
    env.machines[machine].removed = true;
    reachability::on_machine_fault(env, machine);
    env.schedule_in(after_ms, Event::Recovery(FaultRecovery::AddControlMachine));
}

fn begin_rolling_restart(env: &Environment, gap_ms: Millis) -> FollowUp {
    let mut machines = env.machines.control_machines();
    let machine = machines.remove(0);
    FollowUp::BeginRollingRestart(RollingRestart {
        machine,
        remaining: machines,
        gap_ms,
    })
}
