//! The ends of troubles.

use super::event::Event;
use super::machine::Role;
use super::Fleet;
use crate::network::MachineId;
use streamusher_protocol::Millis;

/// Between the ends of two processes that are told to end in turn.
const ROLL_PAUSE_MS: Millis = 300;

/// The end of a trouble.
#[derive(Debug)]
pub(crate) enum Heal {
    Thaw(MachineId),
    Ways(Vec<(MachineId, MachineId)>, Vec<MachineId>),
    Disk(MachineId),
    Clock(MachineId, i64),
    Loss,
    Links(MachineId),
    Worker(usize),
    Grey(usize),
    /// A core machine is told to end, as one of several in turn.
    Leave(MachineId, Vec<MachineId>, Millis),
    /// Whether it has ended.
    Left(MachineId, Vec<MachineId>, Millis),
    Back(MachineId),
    NewCore,
}

impl Fleet {
    pub(crate) fn heal(&mut self, heal: Heal) {
        self.trace(|| format!("heal {heal:?}"));
        match heal {
            Heal::Thaw(machine) => {
                if self.machines[machine]
                    .frozen_until
                    .is_some_and(|until| until <= self.now)
                {
                    self.machines[machine].frozen_until = None;
                    self.trouble(machine);
                }
            }
            Heal::Ways(ways, machines) => {
                for (from, to) in ways {
                    self.network.join(from, to);
                }
                for machine in machines {
                    self.trouble_ends(machine);
                }
            }
            Heal::Disk(machine) => {
                let disk = &mut self.machines[machine].disk;
                disk.slow_ms = 0;
                disk.full = false;
                self.trouble_ends(machine);
                self.core_slowed(false);
            }
            Heal::Clock(machine, by_ms) => {
                self.machines[machine].clock.unix_error -= by_ms;
                self.trouble(machine);
            }
            Heal::Loss => {
                self.network.loss = 0.0;
                self.core_slowed(false);
            }
            Heal::Links(machine) => {
                self.network.set_slow(machine, 0);
                self.trouble_ends(machine);
                self.core_slowed(false);
            }
            Heal::Worker(worker) => {
                self.worker_trouble(worker, -1);
                self.plant.set_speed(self.now, &self.catalog, worker, 1.0);
            }
            Heal::Grey(worker) => {
                self.worker_trouble(worker, -1);
                self.plant.workers[worker].health.failing = 0.0;
            }
            other => self.heal_core(other),
        }
    }

    fn heal_core(&mut self, heal: Heal) {
        match heal {
            Heal::Leave(machine, rest, gap_ms) => {
                self.trouble(machine);
                self.core_leave(machine);
                self.queue.push(
                    self.now + ROLL_PAUSE_MS,
                    Event::Heal(Heal::Left(machine, rest, gap_ms)),
                );
            }
            Heal::Left(machine, rest, gap_ms) if self.machines[machine].process.is_some() => {
                self.queue.push(
                    self.now + ROLL_PAUSE_MS,
                    Event::Heal(Heal::Left(machine, rest, gap_ms)),
                );
            }
            Heal::Left(machine, mut rest, gap_ms) => {
                self.heal_core(Heal::Back(machine));
                if !rest.is_empty() {
                    let next = rest.remove(0);
                    self.queue.push(
                        self.now + gap_ms,
                        Event::Heal(Heal::Leave(next, rest, gap_ms)),
                    );
                }
            }
            Heal::Back(machine) => {
                self.start_process(machine);
                self.trouble(machine);
            }
            Heal::NewCore => {
                let index = self
                    .machines
                    .iter()
                    .filter(|m| m.role == Role::Core)
                    .count();
                let machine = self.add_machine(Role::Core, index);
                self.start_process(machine);
                self.trouble(machine);
            }
            _ => {}
        }
    }
}
