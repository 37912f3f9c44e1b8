//! Machines and their processes.

use super::agent::AgentProcess;
use super::core::CoreProcess;
use super::event::Event;
use super::gate::GateProcess;
use super::Fleet;
use crate::clock::MachineClock;
use crate::network::MachineId;
use std::sync::Arc;
use streamusher_coordination::{DiskChange, DiskImage};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::{Millis, Now};

/// How often a process is told the time.
pub(crate) const TICK_MS: Millis = 25;

/// What runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A core machine.
    Core,
    /// A front machine.
    Gate,
    /// The machine of a worker.
    Agent,
}

/// A core machine's disk. At most one change is under way.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    pub(crate) image: DiskImage,
    pub(crate) pending: Option<(u64, DiskChange)>,
    pub(crate) slow_ms: Millis,
    pub(crate) stalled_until: Millis,
    pub(crate) full: bool,
}

impl Disk {
    /// A change is on disk as a whole.
    pub(crate) fn apply(&mut self, change: &DiskChange) {
        if let Some(witness) = &change.witness {
            self.image.witness = Some(witness.clone());
        }
        if let Some(position) = change.position {
            self.image.position = position;
        }
        if change.replace_all {
            self.image.state.clear();
        }
        for write in &change.writes {
            match &write.value {
                Some(value) => self.image.state.insert(write.key.clone(), value.clone()),
                None => self.image.state.remove(&write.key),
            };
        }
    }
}

/// A process at work.
pub(crate) enum Process {
    Core(Box<CoreProcess>),
    Gate(Box<GateProcess>),
    Agent(Box<AgentProcess>),
}

/// A machine.
pub struct Machine {
    /// What runs there.
    pub role: Role,
    /// Its place among those of its role.
    pub index: usize,
    /// Its name.
    pub name: Arc<str>,
    /// Where others reach it.
    pub address: CoreAddress,
    pub(crate) clock: MachineClock,
    pub(crate) process: Option<Process>,
    /// How far the time of day was off when the process started: it counts on from there by the steady clock.
    pub(crate) unix_error_at_start: i64,
    /// Counts the starts of its process.
    pub(crate) boot: u64,
    pub(crate) frozen_until: Option<Millis>,
    /// It never comes back.
    pub(crate) removed: bool,
    pub(crate) disk: Disk,
    /// The system's first start, on an empty disk.
    pub(crate) bootstrap: bool,
}

impl Fleet {
    pub(crate) fn add_machine(&mut self, role: Role, index: usize) -> MachineId {
        let id = self.machines.len();
        let name: Arc<str> = format!("{role:?}-{index}").to_lowercase().into();
        let address = CoreAddress {
            internal: format!("10.0.0.{id}:7000").into(),
            control: format!("10.0.0.{id}:8000").into(),
        };
        let unix_error = self.random.between(0, 40) as i64 - 20;
        let clock = MachineClock {
            steady_offset: self.random.between(1_000, 1_000_000),
            unix_error,
        };
        self.machines.push(Machine {
            role,
            index,
            name,
            address,
            clock,
            process: None,
            unix_error_at_start: unix_error,
            boot: 0,
            frozen_until: None,
            removed: false,
            disk: Disk::default(),
            bootstrap: role == Role::Core && index < self.setup.cores,
        });
        id
    }

    /// What a machine's process takes the time to be.
    pub(crate) fn clocks(&self, machine: MachineId) -> Now {
        let state = &self.machines[machine];
        let clock = MachineClock {
            unix_error: state.unix_error_at_start,
            ..state.clock
        };
        clock.read(self.now)
    }

    pub(crate) fn start_process(&mut self, machine: MachineId) {
        if self.machines[machine].removed || self.machines[machine].process.is_some() {
            return;
        }
        self.machines[machine].boot += 1;
        self.machines[machine].unix_error_at_start = self.machines[machine].clock.unix_error;
        let boot = self.machines[machine].boot;
        let role = self.machines[machine].role;
        self.trace(|| format!("start {}", self.machines[machine].name));
        let process = match role {
            Role::Core => Process::Core(Box::new(self.new_core(machine))),
            Role::Gate => Process::Gate(Box::new(self.new_gate(machine))),
            Role::Agent => Process::Agent(Box::new(self.new_agent(machine))),
        };
        self.machines[machine].process = Some(process);
        self.queue.push(self.now, Event::Tick { machine, boot });
    }

    pub(crate) fn tick(&mut self, machine: MachineId, boot: u64) {
        if self.machines[machine].boot != boot || self.machines[machine].process.is_none() {
            return;
        }
        match self.machines[machine].role {
            Role::Core => self.core_tick(machine),
            Role::Gate => self.gate_tick(machine),
            Role::Agent => self.agent_tick(machine),
        }
        let late = self.random.between(0, 3);
        self.queue
            .push(self.now + TICK_MS + late, Event::Tick { machine, boot });
    }

    /// A process ends without a word. With `power` lost, what was not synced may be lost, and nobody is told.
    pub(crate) fn kill(&mut self, machine: MachineId, power: bool) {
        if self.machines[machine].process.take().is_none() {
            return;
        }
        self.trace(|| {
            format!(
                "kill {}{}",
                self.machines[machine].name,
                if power { " (power)" } else { "" }
            )
        });
        self.machines[machine].frozen_until = None;
        if let Some((_, change)) = self.machines[machine].disk.pending.take() {
            if self.random.chance(0.5) {
                self.machines[machine].disk.apply(&change);
            }
        }
        self.break_calls(machine, power);
    }

    /// The machine that is reached at an address.
    pub(crate) fn machine_at(&self, address: &str) -> Option<MachineId> {
        let is_it = |m: &Machine| &*m.address.internal == address || &*m.address.control == address;
        self.machines.iter().position(is_it)
    }

    /// Core machines that were not removed.
    pub(crate) fn cores(&self) -> Vec<MachineId> {
        let in_use = |(_, m): &(usize, &Machine)| m.role == Role::Core && !m.removed;
        self.machines
            .iter()
            .enumerate()
            .filter(in_use)
            .map(|(id, _)| id)
            .collect()
    }

    pub(crate) fn gate_machine(&self, index: usize) -> MachineId {
        self.setup.cores + index % self.setup.gates
    }

    pub(crate) fn agent_machine(&self, worker: usize) -> MachineId {
        self.setup.cores + self.setup.gates + worker % self.setup.worker_count
    }
}
