//! What the troubles of a schedule do.

use super::client::ClientEvent;
use super::event::Event;
use super::heals::Heal;
use super::machine::Role;
use super::Fleet;
use crate::faults::{Core, Fault, Schedule};
use crate::network::MachineId;
use streamusher_protocol::Millis;

impl Schedule {
    /// Whether some time of day jumps.
    pub(crate) fn jumps_clocks(&self) -> bool {
        self.faults
            .iter()
            .any(|planned| matches!(planned.fault, Fault::StepCoreClock { .. }))
    }
}

impl Fleet {
    pub(crate) fn fault_due(&mut self, index: usize) {
        let fault = self.schedule.faults[index].fault.clone();
        self.trace(|| format!("fault {fault:?}"));
        self.strike(fault, None);
    }

    /// A machine has acknowledged something: what was to happen right then happens to it.
    pub(crate) fn acknowledged(&mut self, machine: MachineId) {
        for fault in std::mem::take(&mut self.armed) {
            self.trace(|| format!("fault {fault:?} after an acknowledgement"));
            self.strike(fault, Some(machine));
        }
    }

    fn meant(&mut self, core: Core, acknowledged: Option<MachineId>) -> MachineId {
        match (core, acknowledged) {
            (Core::Primary, Some(machine)) => machine,
            _ => self.core_meant(core),
        }
    }

    fn strike(&mut self, fault: Fault, at: Option<MachineId>) {
        match fault {
            Fault::KillCore { .. }
            | Fault::PowerCore { .. }
            | Fault::WipeCore { .. }
            | Fault::KillAllCore { .. }
            | Fault::PowerAllCore { .. }
            | Fault::PowerEverything { .. }
            | Fault::ReplaceCore { .. }
            | Fault::RollCore { .. } => self.strike_processes(fault, at),
            Fault::FreezeCore { .. }
            | Fault::CutCore { .. }
            | Fault::CutCoreWholly { .. }
            | Fault::CutHalves { .. }
            | Fault::SlowDisk { .. }
            | Fault::StallDisk { .. }
            | Fault::FullDisk { .. }
            | Fault::StepCoreClock { .. }
            | Fault::LoseMessages { .. }
            | Fault::SlowLinks { .. } => self.strike_core(fault, at),
            Fault::AfterAcknowledgement(fault) => self.armed.push(*fault),
            other => self.strike_others(other),
        }
    }

    fn strike_processes(&mut self, fault: Fault, at: Option<MachineId>) {
        match fault {
            Fault::KillCore { core, down_ms } => {
                let machine = self.meant(core, at);
                self.kill_for(machine, false, down_ms);
            }
            Fault::PowerCore { core, down_ms } => {
                let machine = self.meant(core, at);
                self.kill_for(machine, true, down_ms);
            }
            Fault::WipeCore { core, down_ms } => {
                let machine = self.meant(core, at);
                self.kill_for(machine, true, down_ms);
                self.wipe(machine);
            }
            Fault::KillAllCore { down_ms } => {
                for machine in self.cores() {
                    self.kill_for(machine, false, down_ms);
                }
            }
            Fault::PowerAllCore { down_ms, wipe } => {
                let wiped = wipe.map(|core| self.meant(core, at));
                for machine in self.cores() {
                    self.kill_for(machine, true, down_ms);
                }
                if let Some(machine) = wiped {
                    self.wipe(machine);
                }
            }
            Fault::PowerEverything { down_ms, wipe } => {
                let wiped = wipe.map(|core| self.meant(core, at));
                for machine in 0..self.machines.len() {
                    if !self.machines[machine].removed {
                        self.kill_for(machine, true, down_ms);
                    }
                }
                if let Some(machine) = wiped {
                    self.wipe(machine);
                }
            }
            Fault::ReplaceCore { core, after_ms } => {
                let machine = self.meant(core, at);
                self.kill(machine, true);
                self.machines[machine].removed = true;
                self.trouble(machine);
                self.queue
                    .push(self.now + after_ms, Event::Heal(Heal::NewCore));
            }
            Fault::RollCore { gap_ms } => {
                let mut cores = self.cores();
                let first = cores.remove(0);
                self.heal(Heal::Leave(first, cores, gap_ms));
            }
            _ => {}
        }
    }

    fn wipe(&mut self, machine: MachineId) {
        self.trace(|| format!("wipe {}", self.machines[machine].name));
        self.machines[machine].disk = Default::default();
    }

    /// Kills a process; it starts again after a time.
    fn kill_for(&mut self, machine: MachineId, power: bool, down_ms: Millis) {
        if self.machines[machine].role == Role::Gate {
            self.break_clients(machine);
        }
        self.kill(machine, power);
        self.trouble(machine);
        self.queue
            .push(self.now + down_ms, Event::Heal(Heal::Back(machine)));
    }

    fn freeze(&mut self, machine: MachineId, for_ms: Millis) {
        if self.machines[machine].process.is_none() {
            return;
        }
        let until = self.now + for_ms;
        let frozen = self.machines[machine].frozen_until.unwrap_or(0).max(until);
        self.machines[machine].frozen_until = Some(frozen);
        self.trouble(machine);
        self.queue.push(until, Event::Heal(Heal::Thaw(machine)));
    }

    /// Shuts ways between a machine and others; `from` says whether those from it, `to` whether those to it.
    fn cut(&mut self, machine: MachineId, others: &[MachineId], one_way: bool, for_ms: Millis) {
        let mut ways = Vec::new();
        for other in others.iter().filter(|other| **other != machine) {
            ways.push((machine, *other));
            if !one_way {
                ways.push((*other, machine));
            }
        }
        for (from, to) in &ways {
            self.network.cut(*from, *to);
        }
        self.trouble_begins(machine);
        self.queue.push(
            self.now + for_ms,
            Event::Heal(Heal::Ways(ways, vec![machine])),
        );
    }

    fn strike_core(&mut self, fault: Fault, at: Option<MachineId>) {
        let now = self.now;
        match fault {
            Fault::FreezeCore { core, for_ms } => {
                let machine = self.meant(core, at);
                self.freeze(machine, for_ms);
            }
            Fault::CutCore {
                core,
                one_way,
                for_ms,
            } => {
                let machine = self.meant(core, at);
                let cores = self.cores();
                self.cut(machine, &cores, one_way, for_ms);
            }
            Fault::CutCoreWholly { core, for_ms } => {
                let machine = self.meant(core, at);
                let all: Vec<MachineId> = (0..self.machines.len()).collect();
                self.cut(machine, &all, false, for_ms);
            }
            Fault::CutHalves { for_ms } => self.cut_halves(for_ms),
            Fault::SlowDisk {
                core,
                by_ms,
                for_ms,
            } => {
                let machine = self.meant(core, at);
                self.machines[machine].disk.slow_ms = by_ms;
                self.disk_troubled(machine, for_ms);
            }
            Fault::StallDisk { core, for_ms } => {
                let machine = self.meant(core, at);
                self.machines[machine].disk.stalled_until = now + for_ms;
                self.disk_troubled(machine, for_ms);
            }
            Fault::FullDisk { core, for_ms } => {
                let machine = self.meant(core, at);
                self.machines[machine].disk.full = true;
                self.disk_troubled(machine, for_ms);
            }
            Fault::StepCoreClock {
                core,
                by_ms,
                for_ms,
            } => {
                let machine = self.meant(core, at);
                self.machines[machine].clock.unix_error += by_ms;
                self.trouble(machine);
                self.queue
                    .push(now + for_ms, Event::Heal(Heal::Clock(machine, by_ms)));
            }
            Fault::LoseMessages { share, for_ms } => {
                self.network.loss = share;
                self.core_slowed(true);
                self.queue.push(now + for_ms, Event::Heal(Heal::Loss));
            }
            Fault::SlowLinks {
                core,
                by_ms,
                for_ms,
            } => {
                let machine = self.meant(core, at);
                self.network.set_slow(machine, by_ms);
                self.trouble_begins(machine);
                self.core_slowed(true);
                self.queue
                    .push(now + for_ms, Event::Heal(Heal::Links(machine)));
            }
            _ => {}
        }
    }

    /// The primary is in the smaller half.
    fn cut_halves(&mut self, for_ms: Millis) {
        let primary = self.core_meant(Core::Primary);
        let cores = self.cores();
        let others = cores.iter().copied().filter(|machine| *machine != primary);
        let half: Vec<MachineId> = std::iter::once(primary)
            .chain(others)
            .take(cores.len() / 2)
            .collect();
        let rest: Vec<MachineId> = cores
            .iter()
            .copied()
            .filter(|machine| !half.contains(machine))
            .collect();
        for machine in half {
            self.cut(machine, &rest, false, for_ms);
        }
        for machine in rest {
            self.trouble(machine);
        }
    }

    fn disk_troubled(&mut self, machine: MachineId, for_ms: Millis) {
        self.trouble_begins(machine);
        self.core_slowed(true);
        self.queue
            .push(self.now + for_ms, Event::Heal(Heal::Disk(machine)));
    }

    fn strike_others(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::KillGate { gate, down_ms } => {
                self.kill_for(self.gate_machine(gate), false, down_ms)
            }
            Fault::FreezeGate { gate, for_ms } => self.freeze(self.gate_machine(gate), for_ms),
            Fault::CutGate { gate, for_ms } => {
                let cores = self.cores();
                self.cut(self.gate_machine(gate), &cores, false, for_ms);
            }
            Fault::KillAgent { worker, down_ms } => {
                self.kill_for(self.agent_machine(worker), false, down_ms)
            }
            Fault::FreezeAgent { worker, for_ms } => {
                self.freeze(self.agent_machine(worker), for_ms)
            }
            Fault::CutAgent {
                worker,
                one_way,
                for_ms,
            } => {
                let cores = self.cores();
                self.cut(self.agent_machine(worker), &cores, one_way, for_ms);
            }
            Fault::KillEverything { down_ms } => {
                for machine in 0..self.machines.len() {
                    if !self.machines[machine].removed {
                        self.kill_for(machine, false, down_ms);
                    }
                }
            }
            Fault::Burst { jobs } => self.many_jobs(jobs, false),
            Fault::Poison { jobs } => self.many_jobs(jobs, true),
            Fault::Cancels { jobs } => self.cancel_some(jobs),
            Fault::Change => self.change_configuration(None),
            Fault::Race => self.race(),
            Fault::ManyChanges { count, gap_ms } => self.many_changes(count, gap_ms),
            Fault::Chain => self.chain(),
            Fault::HoldUpOrders { most_ms, for_ms } => {
                self.operator.held_up = Some((most_ms, now + for_ms));
            }
            Fault::BadChange => self.bad_change(),
            Fault::LoseAnswers { for_ms } => self.operator.answers_lost_until = now + for_ms,
            other => self.strike_worker(other),
        }
    }

    fn many_jobs(&mut self, jobs: usize, poison: bool) {
        for index in 0..jobs {
            let at = self.now + 10 * index as Millis;
            self.queue
                .push(at, Event::Client(ClientEvent::New { poison }));
        }
    }

    fn strike_worker(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::CrashWorker { worker, back_ms } => {
                self.worker_trouble(worker, 0);
                self.plant.crash_worker(now, &self.catalog, worker);
                if let Some(back) = back_ms {
                    self.queue.push(now + back, Event::WorkerStart { worker });
                }
            }
            Fault::SlowWorker {
                worker,
                speed,
                for_ms,
            } => {
                self.worker_trouble(worker, 1);
                self.plant.set_speed(now, &self.catalog, worker, speed);
                self.queue
                    .push(now + for_ms, Event::Heal(Heal::Worker(worker)));
            }
            Fault::GreyWorker {
                worker,
                share,
                for_ms,
            } => {
                self.worker_trouble(worker, 1);
                self.plant.workers[worker].health.failing = share;
                self.queue
                    .push(now + for_ms, Event::Heal(Heal::Grey(worker)));
            }
            Fault::DrainWorker {
                worker,
                after_ms,
                back_ms,
            } => {
                self.worker_trouble(worker, 0);
                self.plant.drain_worker(now, worker, after_ms);
                // It has ended by then, whether its deregistration was acknowledged or not.
                self.queue.push(
                    now + after_ms + 2_500 + back_ms,
                    Event::WorkerStart { worker },
                );
            }
            _ => {}
        }
    }
}
