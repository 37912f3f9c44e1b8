//! Faults of gates and agents, and the end of all processes at once.

use super::machine::{freeze, isolate, take_all_down, take_down, Direction};
use crate::faults::DataPlaneFault;
use crate::fleet::lifecycle::ProcessEnd;
use crate::fleet::state::FleetState;

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
    }
}
