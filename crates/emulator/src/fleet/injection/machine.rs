//! Operations on machines that several kinds of faults share.

use crate::faults::ControlTarget;
use crate::fleet::clients::Clients;
use crate::fleet::environment::Environment;
use crate::fleet::event::{Event, FaultRecovery};
use crate::fleet::lifecycle::{self, ProcessEnd};
use crate::fleet::machine::Role;
use crate::fleet::reachability;
use crate::network::{Link, MachineId};
use streamusher_protocol::Millis;

/// The links of a machine that are blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// Links from the machine to others.
    Outbound,
    /// Links in both directions.
    Both,
}

impl Direction {
    pub(super) fn from_one_way(one_way: bool) -> Direction {
        if one_way {
            Direction::Outbound
        } else {
            Direction::Both
        }
    }
}

/// Returns the machine that a target selects. `acknowledged_by`, if set, takes the place of the primary.
pub(super) fn resolve(
    env: &mut Environment,
    target: ControlTarget,
    acknowledged_by: Option<MachineId>,
) -> MachineId {
    let control_machines = env.machines.control_machines();
    match target {
        ControlTarget::Index(index) => control_machines[index % control_machines.len()],
        ControlTarget::Primary => {
            let primary = acknowledged_by.or_else(|| env.machines.primary(env.now));
            primary.unwrap_or_else(|| control_machines[env.random.below(control_machines.len())])
        }
    }
}

/// Ends the process of a machine, and schedules its restart.
pub(super) fn take_down(
    env: &mut Environment,
    clients: &Clients,
    machine: MachineId,
    end: ProcessEnd,
    down_ms: Millis,
) {
    if env.machines[machine].role == Role::Gate {
        clients.on_gate_ended(env, machine);
    }
    lifecycle::end_process(env, machine, end);
    reachability::on_machine_fault(env, machine);
    env.schedule_in(down_ms, Event::Recovery(FaultRecovery::Restart { machine }));
}

/// Takes down all machines that are not removed.
pub(super) fn take_all_down(
    env: &mut Environment,
    clients: &Clients,
    end: ProcessEnd,
    down_ms: Millis,
) {
    for machine in env.machines.ids() {
        if !env.machines[machine].removed {
            take_down(env, clients, machine, end, down_ms);
        }
    }
}

/// Freezes a machine, unless its process is down.
pub(super) fn freeze(env: &mut Environment, machine: MachineId, for_ms: Millis) {
    let until = env.now + for_ms;
    let state = &mut env.machines[machine];
    if state.process.is_none() {
        return;
    }
    let frozen_until = state.frozen_until.unwrap_or(0).max(until);
    state.frozen_until = Some(frozen_until);
    reachability::on_machine_fault(env, machine);
    env.schedule_at(until, Event::Recovery(FaultRecovery::Thaw { machine }));
}

/// Blocks links between a machine and others.
pub(super) fn isolate(
    env: &mut Environment,
    machine: MachineId,
    others: &[MachineId],
    direction: Direction,
    for_ms: Millis,
) {
    let mut links = Vec::new();
    for other in others.iter().copied().filter(|other| *other != machine) {
        links.push(Link {
            sender: machine,
            receiver: other,
        });
        if direction == Direction::Both {
            links.push(Link {
                sender: other,
                receiver: machine,
            });
        }
    }
    for link in &links {
        env.network.block(*link);
    }
    reachability::begin_machine_fault(env, machine);
    let recovery = FaultRecovery::UnblockLinks { links, machine };
    env.schedule_in(for_ms, Event::Recovery(recovery));
}
