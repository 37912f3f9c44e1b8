//! Faults of gates and agents, and of all processes at once.

use super::machine::{freeze, isolate, resolve, take_all_down, take_down, Direction};
use crate::faults::{ControlTarget, DataPlaneFault, ManyTargets};
use crate::fleet::environment::Environment;
use crate::fleet::lifecycle::ProcessEnd;
use crate::fleet::state::FleetState;
use crate::network::MachineId;

pub(super) fn inject(state: &mut FleetState, fault: DataPlaneFault) {
    let env = &mut state.environment;
    let clients = &state.clients;
    match fault {
        DataPlaneFault::KillGate { gate, down_ms } => {
            let machine = env.gate_machine(gate);
            take_down(env, clients, machine, ProcessEnd::Killed, down_ms);
        }
        DataPlaneFault::FreezeGate { gate, for_ms } => {
            let machine = env.gate_machine(gate);
            freeze(env, machine, for_ms);
        }
        DataPlaneFault::IsolateGate { gate, for_ms } => {
            let machine = env.gate_machine(gate);
            let control_machines = env.machines.control_machines();
            isolate(env, machine, &control_machines, Direction::Both, for_ms);
        }
        DataPlaneFault::KillAgent { worker, down_ms } => {
            let machine = env.agent_machine(worker);
            take_down(env, clients, machine, ProcessEnd::Killed, down_ms);
        }
        DataPlaneFault::FreezeAgent { worker, for_ms } => {
            let machine = env.agent_machine(worker);
            freeze(env, machine, for_ms);
        }
        DataPlaneFault::IsolateAgent {
            worker,
            one_way,
            for_ms,
        } => {
            let machine = env.agent_machine(worker);
            let control_machines = env.machines.control_machines();
            let direction = Direction::from_one_way(one_way);
            isolate(env, machine, &control_machines, direction, for_ms);
        }
        DataPlaneFault::KillEverything { down_ms } => {
            take_all_down(env, clients, ProcessEnd::Killed, down_ms);
        }
        DataPlaneFault::TakeManyDown {
            targets,
            power_loss,
            down_ms,
        } => {
            let end = if power_loss {
                ProcessEnd::PowerLost
            } else {
                ProcessEnd::Killed
            };
            for machine in machines_of(env, targets) {
                take_down(env, clients, machine, end, down_ms);
            }
        }
    }
}

/// The machines whose processes go down at once. The primary is selected first among the control machines.
fn machines_of(env: &mut Environment, targets: ManyTargets) -> Vec<MachineId> {
    let primary = resolve(env, ControlTarget::Primary, None);
    let mut control_machines = env.machines.control_machines();
    control_machines.sort_by_key(|machine| *machine != primary);
    control_machines.truncate(targets.control_machines.of(control_machines.len()));
    let gates = 0..targets.gates.of(env.settings.gates);
    let agents = 0..targets.agents.of(env.settings.worker_count);
    let mut machines = control_machines;
    machines.extend(gates.map(|gate| env.gate_machine(gate)));
    machines.extend(agents.map(|agent| env.agent_machine(agent)));
    machines
}
