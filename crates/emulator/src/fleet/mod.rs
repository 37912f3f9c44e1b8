//! The fleet: machines with the real state machines, joined by emulated networks, disks and clocks.
//!
//! - `event`: what can happen.
//! - [`machine`]: machines and their processes.
//! - `calls`: calls between processes, with their losses and time-outs.
//! - `core`, `agent`, `gate`: the three roles.
//! - `client`, `operator`: who uses the fleet.
//! - `troubles`: what faults do.
//! - `touch`: which machines are in touch.
//! - `plant`: the workers' side.
//! - [`traffic`]: a digest of all that is sent and stored.

mod agent;
mod calls;
mod client;
mod core;
mod event;
mod finder;
mod gate;
mod heals;
mod jobs;
pub mod machine;
mod operator;
mod plant;
pub mod setup;
mod touch;
pub mod traffic;
mod troubles;

use crate::bounds::Bounds;
use crate::catalog::Catalog;
use crate::checker::{Checker, Violation};
use crate::faults::Schedule;
use crate::network::{MachineId, Network};
use crate::plant::worker::Worker;
use crate::plant::Plant;
use crate::queue::EventQueue;
use crate::random::Random;
use crate::workload::Workload;
use crate::worth::{self, LastingSample};
use event::Event;
use machine::{Machine, Role};
use setup::Setup;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// How often rules of time are checked.
const CHECK_EVERY_MS: Millis = 200;

/// A fleet at work.
pub struct Fleet {
    /// True time.
    pub now: Millis,
    /// What it is.
    pub setup: Setup,
    /// The rules.
    pub checker: Checker,
    /// The workers.
    pub plant: Plant,
    /// What clients hand in.
    pub catalog: Catalog,
    /// The network.
    pub network: Network,
    /// All machines that ever were.
    pub machines: Vec<Machine>,
    /// Prints what happens.
    pub verbose: bool,
    pub(crate) queue: EventQueue<Event>,
    pub(crate) random: Random,
    pub(crate) calls: BTreeMap<u64, calls::OpenCall>,
    pub(crate) next_call: u64,
    pub(crate) clients: client::Clients,
    pub(crate) operator: operator::Operator,
    pub(crate) schedule: Schedule,
    pub(crate) touch: touch::Touch,
    pub(crate) armed: Vec<crate::faults::Fault>,
    pub(crate) end: Millis,
    /// What its clients hand in, where that is not the ordinary traffic.
    pub workload: Option<Arc<Workload>>,
    /// How much of each lasting job was at work, seen now and then.
    pub samples: Vec<LastingSample>,
    next_sample: Millis,
    /// A digest of all that is sent and stored, where one is wanted; set it before the first event.
    pub traffic: Option<traffic::TrafficDigest>,
}

impl Fleet {
    /// A fleet that is about to start.
    pub fn new(setup: Setup, schedule: Schedule) -> Fleet {
        let workers = setup.workers();
        Fleet::with(setup, schedule, workers, None)
    }

    /// A fleet that is about to start, with the workers and the traffic of a workload.
    pub fn with_workload(setup: Setup, schedule: Schedule, workload: Arc<Workload>) -> Fleet {
        let workers = workload.workers(&mut Random::new(setup.seed, 4));
        let bounds = Bounds {
            far_x: workload.far_x,
            ..setup.bounds
        };
        let setup = Setup {
            worker_count: workers.len(),
            bounds,
            ..setup
        };
        Fleet::with(setup, schedule, workers, Some(workload))
    }

    fn with(
        setup: Setup,
        schedule: Schedule,
        workers: Vec<Worker>,
        workload: Option<Arc<Workload>>,
    ) -> Fleet {
        let seed = setup.seed;
        let plant = Plant::new(workers, setup.bounds, seed);
        let end = setup.traffic_until + setup.bounds.finish_ms + client::FINAL_TRIES_MS + 500;
        let mut fleet = Fleet {
            now: 0,
            checker: Checker::new(setup.bounds),
            plant,
            catalog: Catalog::default(),
            network: Network::new(seed),
            machines: Vec::new(),
            verbose: false,
            queue: EventQueue::default(),
            random: Random::new(seed, 1),
            calls: BTreeMap::new(),
            next_call: 1,
            clients: client::Clients::default(),
            operator: operator::Operator::default(),
            touch: touch::Touch::default(),
            armed: Vec::new(),
            end,
            schedule,
            setup,
            workload,
            samples: Vec::new(),
            next_sample: 0,
            traffic: None,
        };
        fleet.checker.clocks_jump = fleet.schedule.jumps_clocks();
        fleet.plant.lists_repeated_starts = fleet.random.chance(0.5);
        fleet.build();
        fleet
    }

    fn build(&mut self) {
        for index in 0..self.setup.cores {
            self.add_machine(Role::Core, index);
        }
        for index in 0..self.setup.gates {
            self.add_machine(Role::Gate, index);
        }
        for index in 0..self.setup.worker_count {
            self.add_machine(Role::Agent, index);
        }
        for machine in 0..self.machines.len() {
            let at = self.random.between(0, 300);
            self.queue.push(at, Event::Start { machine });
        }
        for worker in 0..self.setup.worker_count {
            self.queue.push(500, Event::WorkerStart { worker });
        }
        for (index, planned) in self.schedule.faults.iter().enumerate() {
            self.queue.push(planned.at, Event::Fault(index));
        }
        self.queue.push(CHECK_EVERY_MS, Event::Check);
        self.plan_traffic();
        self.plan_operator();
    }

    /// Plays to the end of the day, or to the first breach.
    pub fn run(&mut self) -> &[Violation] {
        self.run_until(self.end);
        if self.checker.violations().is_empty() {
            self.checker.check_refused(self.now);
        }
        self.checker.violations()
    }

    /// Plays until a time, or to the first breach.
    pub fn run_until(&mut self, until: Millis) {
        while self.checker.violations().is_empty() {
            let Some((at, event)) = self.queue.pop(until) else {
                break;
            };
            self.now = at;
            self.step(event);
        }
        self.now = self.now.max(until.min(self.end));
    }

    fn step(&mut self, event: Event) {
        if let Some(machine) = event.machine() {
            if let Some(thaw) = self.machines[machine]
                .frozen_until
                .filter(|thaw| *thaw > self.now)
            {
                self.queue.push(thaw, event);
                return;
            }
        }
        self.dispatch(event);
        self.drain_plant();
    }

    fn dispatch(&mut self, event: Event) {
        self.digest_event(&event);
        match event {
            Event::Start { machine } => self.start_process(machine),
            Event::Tick { machine, boot } => self.tick(machine, boot),
            Event::Wake { machine, boot } => self.agent_woken(machine, boot),
            Event::Persisted {
                machine,
                boot,
                ticket,
                failed,
            } => self.persisted(machine, boot, ticket, failed),
            Event::Recovered {
                machine,
                boot,
                recovery,
            } => self.recovered(machine, boot, *recovery),
            Event::Core { to, from, message } => self.core_received(to, from, message),
            Event::Request { call, to, asked } => self.request_arrives(call, to, asked),
            Event::LateCopy { call, to, asked } => self.late_copy_arrives(call, to, asked),
            Event::Response { call, outcome } => self.response_arrives(call, outcome),
            Event::CallTimeout { call } => self.call_timed_out(call),
            Event::Abandoned {
                machine,
                boot,
                request,
            } => self.core_abandoned(machine, boot, request),
            Event::Heartbeat {
                machine,
                worker,
                life,
                heartbeat,
            } => {
                self.heartbeat_arrives(machine, worker, life, *heartbeat);
            }
            Event::HeartbeatAnswer {
                worker,
                life,
                sequence,
                answer,
            } => {
                let now = self.now;
                self.plant
                    .answered(now, &self.catalog, worker, life, sequence, &answer);
            }
            Event::HeartbeatFailed {
                worker,
                life,
                sequence,
            } => {
                self.plant
                    .heartbeat_failed(self.now, worker, life, sequence);
            }
            Event::Deregister {
                machine,
                worker,
                life,
                instance,
            } => {
                self.deregister_arrives(machine, worker, life, instance);
            }
            Event::WorkerGone { worker, life } => self.worker_gone(worker, life),
            Event::WorkerTimer {
                worker,
                life,
                timer,
            } => {
                self.plant
                    .fire(self.now, &self.catalog, worker, life, timer);
            }
            Event::WorkerStart { worker } => self.worker_start(worker),
            Event::Client(event) => self.client_event(event),
            Event::Operator(event) => self.operator_event(event),
            Event::Fault(index) => self.fault_due(index),
            Event::Heal(heal) => self.heal(heal),
            Event::Check => self.check(),
        }
    }

    fn check(&mut self) {
        let calm_since = self.calm_since();
        let contact = self.setup.bounds.contact_ms;
        let calm = calm_since.is_some_and(|since| self.now >= since + contact);
        self.checker
            .check_idle(self.now, &self.catalog, &self.plant.workers, calm);
        self.checker
            .check_acknowledgements(self.now, calm_since.map(|since| since + contact));
        if calm {
            self.checker.check_cancelled(self.now);
        }
        if self.now >= self.next_sample {
            self.next_sample = self.now + worth::LASTING_EVERY_MS;
            self.samples.extend(worth::sample_lasting(self));
        }
        self.queue.push(self.now + CHECK_EVERY_MS, Event::Check);
    }

    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.verbose {
            println!("{:>6} {}", self.now, text());
        }
    }

    pub(crate) fn is_running(&self, machine: MachineId) -> bool {
        let state = &self.machines[machine];
        state.process.is_some() && state.frozen_until.is_none()
    }
}
