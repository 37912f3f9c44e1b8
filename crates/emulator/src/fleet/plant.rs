//! The workers' side: what they do goes to their agents and to the checker.

use super::event::Event;
use super::Fleet;
use crate::checker::WorkerView;
use crate::plant::{PlantOutput, WorkerIndex};
use streamusher_protocol::Millis;

/// A message inside a machine.
const LOCAL_MS: Millis = 1;
/// After its deregistration a worker ends even if nobody acknowledges it.
const ENDS_REGARDLESS_MS: Millis = 2_000;

impl Fleet {
    /// Passes on what workers did.
    pub(crate) fn drain_plant(&mut self) {
        while self.plant.has_output() {
            for output in self.plant.take_output() {
                self.plant_did(output);
            }
        }
    }

    fn plant_did(&mut self, output: PlantOutput) {
        let now = self.now;
        match output {
            PlantOutput::Timer {
                at,
                worker,
                life,
                timer,
            } => {
                self.queue.push(
                    at,
                    Event::WorkerTimer {
                        worker,
                        life,
                        timer,
                    },
                );
            }
            PlantOutput::Heartbeat { worker, heartbeat } => {
                let machine = self.agent_machine(worker);
                let life = self.plant.workers[worker].life;
                self.queue.push(
                    now + LOCAL_MS,
                    Event::Heartbeat {
                        machine,
                        worker,
                        life,
                        heartbeat,
                    },
                );
            }
            PlantOutput::Deregister { worker, instance } => {
                let machine = self.agent_machine(worker);
                let life = self.plant.workers[worker].life;
                self.queue.push(
                    now + LOCAL_MS,
                    Event::Deregister {
                        machine,
                        worker,
                        life,
                        instance,
                    },
                );
                self.queue
                    .push(now + ENDS_REGARDLESS_MS, Event::WorkerGone { worker, life });
            }
            PlantOutput::Started {
                worker,
                run,
                spec,
                checkpoint,
                used,
            } => {
                self.trace(|| {
                    format!(
                        "worker {worker} starts {} run {} {checkpoint}",
                        run.task, run.run
                    )
                });
                let in_touch = self.in_touch(self.agent_machine(worker));
                let state = &self.plant.workers[worker];
                let view = WorkerView {
                    index: worker,
                    life: state.life,
                    kind: &state.kind,
                    used,
                    in_touch,
                };
                if let Some(job) = self.catalog.job(&run.task.job) {
                    self.checker
                        .effect_seen(now, &job.host, &job.prefix, &state.kind.service);
                }
                self.checker
                    .started(now, &self.catalog, view, &run, &spec, &checkpoint);
            }
            PlantOutput::Ended {
                worker,
                run,
                how,
                number,
            } => {
                self.trace(|| {
                    format!(
                        "worker {worker} ends {} run {} {how:?} as {number}",
                        run.task, run.run
                    )
                });
                let calm_since = self.calm_since();
                let in_touch = self.in_touch(self.agent_machine(worker));
                let state = &self.plant.workers[worker];
                let used = state.used();
                let view = WorkerView {
                    index: worker,
                    life: state.life,
                    kind: &state.kind,
                    used,
                    in_touch,
                };
                self.checker.ended(now, view, &run, how, number, calm_since);
            }
            PlantOutput::Noted { worker, up_to } => {
                let life = self.plant.workers[worker].life;
                self.checker.noted(now, &self.catalog, worker, life, up_to);
            }
            PlantOutput::HoldOver { worker } => {
                self.trace(|| format!("worker {worker}: its hold is over"));
                self.checker
                    .hold_over(worker, self.plant.workers[worker].life);
            }
            PlantOutput::Down { worker, held_until } => {
                self.trace(|| format!("worker {worker} is down"));
                self.checker
                    .worker_down(worker, self.plant.workers[worker].life, held_until);
            }
            PlantOutput::DrainAcknowledged { worker } => {
                if self.in_touch(self.agent_machine(worker)) {
                    self.checker
                        .drain_acknowledged(now, worker, self.plant.workers[worker].life);
                }
            }
        }
    }

    pub(crate) fn worker_start(&mut self, worker: WorkerIndex) {
        if self.plant.workers[worker].up {
            return;
        }
        self.plant.start_worker(self.now, worker);
    }

    /// A worker ends after its deregistration, acknowledged or not.
    pub(crate) fn worker_gone(&mut self, worker: WorkerIndex, life: u32) {
        let state = &self.plant.workers[worker];
        if state.up && state.life == life {
            self.plant.crash_worker(self.now, &self.catalog, worker);
        }
    }
}
