//! Which machines are in touch: rules with a bound of time hold for these only.

use super::machine::Role;
use super::Fleet;
use crate::network::MachineId;
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// When machines, workers and the core were troubled last.
#[derive(Debug, Default)]
pub(crate) struct Touch {
    machines: BTreeMap<MachineId, Trouble>,
    workers: BTreeMap<usize, Trouble>,
    core_event: Millis,
    /// Most of the core was lost by the last event.
    most_lost: bool,
    /// More core machines than tolerated have been lost at once, and not all have been back for long since.
    overlapped: bool,
    core_slowed: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    ongoing: u32,
    last: Millis,
}

impl Fleet {
    /// Something happens to a machine.
    pub(crate) fn trouble(&mut self, machine: MachineId) {
        let now = self.now;
        self.touch.machines.entry(machine).or_default().last = now;
        if self.machines[machine].role == Role::Core {
            let was_lost = self.touch.most_lost
                && now < self.touch.core_event + 2 * self.setup.bounds.contact_ms;
            self.touch.core_event = now;
            self.touch.most_lost = was_lost || !self.core_has_majority();
            let rest_is_over = now >= self.touch.core_event + self.setup.bounds.recovery_ms;
            let still = self.touch.overlapped && !rest_is_over;
            self.touch.overlapped =
                self.schedule.overlaps && (still || self.lost_cores() > self.setup.tolerance);
        }
    }

    /// Core machines that count as lost: troubled now, or so shortly before that they may lack something.
    fn lost_cores(&self) -> usize {
        let catch_up = self.setup.bounds.catch_up_ms;
        let is_lost = |id: &MachineId| {
            let trouble = self.touch.machines.get(id).copied().unwrap_or_default();
            let is_recent = trouble.last > 0 && self.now < trouble.last + catch_up;
            let is_down = !self.is_running(*id) && !self.machines[*id].removed;
            is_down || trouble.ongoing > 0 || is_recent
        };
        let machines = 0..self.machines.len();
        machines
            .filter(|id| self.machines[*id].role == Role::Core)
            .filter(is_lost)
            .count()
    }

    /// Whether any core machine is troubled now.
    fn is_any_core_troubled(&self) -> bool {
        let trouble = |id: &MachineId| self.touch.machines.get(id).copied().unwrap_or_default();
        self.cores()
            .iter()
            .any(|id| !self.is_running(*id) || trouble(id).ongoing > 0)
    }

    /// A trouble of a machine begins, and lasts.
    pub(crate) fn trouble_begins(&mut self, machine: MachineId) {
        self.trouble(machine);
        self.touch.machines.entry(machine).or_default().ongoing += 1;
    }

    /// It ends.
    pub(crate) fn trouble_ends(&mut self, machine: MachineId) {
        self.trouble(machine);
        let trouble = self.touch.machines.entry(machine).or_default();
        trouble.ongoing = trouble.ongoing.saturating_sub(1);
    }

    /// A core machine, its disk or a link of it is slowed; all core machines are concerned.
    pub(crate) fn core_slowed(&mut self, begins: bool) {
        self.touch.core_event = self.now;
        match begins {
            true => self.touch.core_slowed += 1,
            false => self.touch.core_slowed = self.touch.core_slowed.saturating_sub(1),
        }
    }

    /// Something happens to a worker, now and perhaps until it is ended.
    pub(crate) fn worker_trouble(&mut self, worker: usize, change: i32) {
        let trouble = self.touch.workers.entry(worker).or_default();
        trouble.last = self.now;
        trouble.ongoing = trouble.ongoing.saturating_add_signed(change);
    }

    /// Core machines that run, are awake, and reach more than half of the core both ways.
    fn connected_core(&self) -> Vec<MachineId> {
        let cores = self.cores();
        let running: Vec<MachineId> = cores
            .iter()
            .copied()
            .filter(|id| self.is_running(*id))
            .collect();
        let both =
            |a: MachineId, b: MachineId| self.network.is_open(a, b) && self.network.is_open(b, a);
        let reaches = |id: &MachineId| running.iter().filter(|other| both(*id, **other)).count();
        running
            .iter()
            .copied()
            .filter(|id| reaches(id) * 2 > cores.len())
            .collect()
    }

    fn core_has_majority(&self) -> bool {
        self.connected_core().len() * 2 > self.cores().len()
    }

    /// Since when the core has been without events; none while it is not connected or is slowed.
    fn core_quiet_since(&self) -> Option<Millis> {
        if self.touch.core_slowed > 0 || !self.core_has_majority() {
            return None;
        }
        if self.touch.overlapped && self.is_any_core_troubled() {
            return None;
        }
        let added = match () {
            () if self.touch.overlapped => self.setup.bounds.recovery_ms,
            () if self.touch.most_lost => self.setup.bounds.contact_ms,
            () => 0,
        };
        Some(self.touch.core_event + added)
    }

    fn machine_quiet_since(&self, machine: MachineId) -> Option<Millis> {
        if !self.is_running(machine) {
            return None;
        }
        let both =
            |a: MachineId, b: MachineId| self.network.is_open(a, b) && self.network.is_open(b, a);
        if !self
            .connected_core()
            .into_iter()
            .all(|core| both(machine, core))
        {
            return None;
        }
        let trouble = self
            .touch
            .machines
            .get(&machine)
            .copied()
            .unwrap_or_default();
        (trouble.ongoing == 0).then_some(trouble.last)
    }

    /// Whether a machine is in touch now.
    pub(crate) fn in_touch(&self, machine: MachineId) -> bool {
        let since = self
            .core_quiet_since()
            .zip(self.machine_quiet_since(machine));
        since.is_some_and(|(core, own)| self.now >= core.max(own) + self.setup.bounds.contact_ms)
    }

    /// Since when nothing at all has been troubled. Core machines that are down do not count if most run.
    pub(crate) fn calm_since(&self) -> Option<Millis> {
        let mut since = self.core_quiet_since()?;
        for (id, machine) in self.machines.iter().enumerate() {
            if machine.removed || machine.role == Role::Core {
                continue;
            }
            since = since.max(self.machine_quiet_since(id)?);
        }
        for trouble in self.touch.workers.values() {
            if trouble.ongoing > 0 {
                return None;
            }
            since = since.max(trouble.last);
        }
        Some(since)
    }
}
