//! The machines of a fleet.

use super::disk::Disk;
use super::process::{AgentProcess, ControlProcess, GateProcess, Process};
use crate::clock::MachineClock;
use crate::cpu_quota::CpuQuota;
use crate::network::MachineId;
use std::ops::{Index, IndexMut};
use std::sync::Arc;
use streamusher_dataplane::control_plane::PrimaryDiscovery;
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::{Millis, Now};

/// Interval between two ticks of a process.
pub(crate) const TICK_MS: Millis = 25;

/// The component that runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// A member of the control plane.
    Control,
    /// A gate.
    Gate,
    /// A worker and its agent.
    Agent,
}

impl Role {
    /// First part of a machine's name. Agents send their names, so they are part of the recorded digests.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Role::Control => "control",
            Role::Gate => "gate",
            Role::Agent => "agent",
        }
    }
}

/// An emulated machine and its state.
pub(crate) struct Machine {
    pub(crate) id: MachineId,
    /// The component that runs on the machine.
    pub(crate) role: Role,
    pub(crate) name: Arc<str>,
    /// Addresses at which other machines reach this one.
    pub(crate) address: CoreAddress,
    pub(crate) clock: MachineClock,
    pub(crate) process: Option<Process>,
    /// Error of the wall clock when the process started. From then on, the process derives the time of day
    /// from the steady clock.
    pub(crate) unix_error_at_start_ms: i64,
    /// Number of times the process has been started.
    pub(crate) boot: u64,
    pub(crate) frozen_until: Option<Millis>,
    pub(crate) cpu_quota: Option<CpuQuota>,
    /// Whether the machine is permanently removed.
    pub(crate) removed: bool,
    pub(crate) disk: Disk,
    /// Whether the machine is one of the initial members, which start with empty disks.
    pub(crate) bootstrap: bool,
}

impl Machine {
    /// Whether the process is running and not frozen.
    pub(crate) fn is_running(&self) -> bool {
        self.process.is_some() && self.frozen_until.is_none()
    }

    /// Whether the process is still the one that was started as number `boot`.
    pub(crate) fn is_boot(&self, boot: u64) -> bool {
        self.boot == boot && self.process.is_some()
    }

    /// Time at which the machine resumes, if it is frozen or has used up its CPU quota.
    pub(crate) fn wakes_at(&self, now: Millis) -> Option<Millis> {
        let thaws_at = self.frozen_until.filter(|until| *until > now);
        let quota = self.cpu_quota;
        thaws_at.or_else(|| quota.and_then(|quota| quota.resumes_at(self.id, now)))
    }

    /// The clock readings of the machine's process.
    pub(crate) fn read_clocks(&self, now: Millis) -> Now {
        let clock = MachineClock {
            unix_error_ms: self.unix_error_at_start_ms,
            ..self.clock
        };
        clock.read(now)
    }
}

/// All machines that have ever existed, indexed by id. Control machines that join later are at the end.
#[derive(Default)]
pub(crate) struct Machines {
    machines: Vec<Machine>,
}

impl Index<MachineId> for Machines {
    type Output = Machine;

    fn index(&self, machine: MachineId) -> &Machine {
        &self.machines[machine]
    }
}

impl IndexMut<MachineId> for Machines {
    fn index_mut(&mut self, machine: MachineId) -> &mut Machine {
        &mut self.machines[machine]
    }
}

impl Machines {
    pub(crate) fn add(&mut self, machine: Machine) {
        self.machines.push(machine);
    }

    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// All machine ids.
    pub(crate) fn ids(&self) -> std::ops::Range<MachineId> {
        0..self.machines.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter()
    }

    /// The machine that is reached at an address.
    pub(crate) fn at_address(&self, address: &str) -> Option<MachineId> {
        self.machines.iter().position(|machine| {
            &*machine.address.internal == address || &*machine.address.control == address
        })
    }

    /// Control machines that are not removed.
    pub(crate) fn control_machines(&self) -> Vec<MachineId> {
        let is_in_use = |id: &MachineId| {
            let machine = &self.machines[*id];
            machine.role == Role::Control && !machine.removed
        };
        self.ids().filter(is_in_use).collect()
    }

    pub(crate) fn control_mut(&mut self, machine: MachineId) -> Option<&mut ControlProcess> {
        self.machines[machine].process.as_mut()?.control_mut()
    }

    pub(crate) fn gate_mut(&mut self, machine: MachineId) -> Option<&mut GateProcess> {
        self.machines[machine].process.as_mut()?.gate_mut()
    }

    pub(crate) fn agent_mut(&mut self, machine: MachineId) -> Option<&mut AgentProcess> {
        self.machines[machine].process.as_mut()?.agent_mut()
    }

    pub(crate) fn discovery_mut(&mut self, machine: MachineId) -> Option<&mut PrimaryDiscovery> {
        self.machines[machine].process.as_mut()?.discovery_mut()
    }

    /// The machine that currently acts as primary.
    pub(crate) fn primary(&self, now: Millis) -> Option<MachineId> {
        let acts_as_primary = |id: &MachineId| {
            let machine = &self.machines[*id];
            let control = machine.process.as_ref().and_then(Process::control);
            control.is_some_and(|control| control.may_act(machine.read_clocks(now)))
        };
        self.control_machines().into_iter().find(acts_as_primary)
    }
}
