//! Builds a fleet: its machines, and the events that are scheduled at the start.

use super::clients::{Clients, FINAL_QUERIES_MS};
use super::environment::Environment;
use super::event::Event;
use super::fault_history::FaultHistory;
use super::lifecycle;
use super::machine::{Machines, Role};
use super::operators::Operators;
use super::rpc_message::OpenCalls;
use super::settings::FleetSettings;
use super::state::FleetState;
use super::traffic;
use crate::checker::Checker;
use crate::event_queue::EventQueue;
use crate::faults::FaultSchedule;
use crate::network::Network;
use crate::random::{Random, Stream};
use crate::submitted_jobs::SubmittedJobs;
use crate::workers::worker::Worker;
use crate::workers::SimulatedWorkers;
use crate::workload::Workload;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Interval between two checks of guarantees with a deadline.
pub(crate) const CHECK_INTERVAL_MS: Millis = 200;
/// Time within which all processes start.
const MAX_PROCESS_START_MS: Millis = 300;
/// True time at which workers first start.
const WORKERS_START_AT_MS: Millis = 500;
/// Time from the last query of a client to the end of the simulation.
const END_MARGIN_MS: Millis = 500;
/// Probability that workers report repeated starts of runs that have ended.
const REPEATED_STARTS_REPORTED_PROBABILITY: f64 = 0.5;

/// Builds a fleet before its start. The order in which values are drawn and events are scheduled determines
/// which simulation a seed gives.
pub(crate) fn build(
    settings: FleetSettings,
    schedule: &FaultSchedule,
    workers: Vec<Worker>,
    workload: Option<&Arc<Workload>>,
) -> FleetState {
    let mut env = environment(settings, schedule);
    let mut workers = SimulatedWorkers::new(workers, settings.limits, settings.seed);
    let reports_repeated_starts = env.random.chance(REPEATED_STARTS_REPORTED_PROBABILITY);
    workers.set_reports_repeated_starts(reports_repeated_starts);
    add_machines(&mut env);
    schedule_initial_events(&mut env, schedule);
    match workload {
        Some(workload) => traffic::schedule_workload(&mut env, workload),
        None => traffic::schedule_regular_traffic(&mut env),
    }
    Operators::schedule_initial_requests(&mut env);
    FleetState {
        environment: env,
        clients: Clients::new(workload.cloned()),
        operators: Operators::new(workload.cloned()),
        workers,
    }
}

fn add_machines(env: &mut Environment) {
    let roles = [
        (Role::Control, env.settings.control_machines),
        (Role::Gate, env.settings.gates),
        (Role::Agent, env.settings.worker_count),
    ];
    for (role, count) in roles {
        for index in 0..count {
            lifecycle::add_machine(env, role, index);
        }
    }
}

fn schedule_initial_events(env: &mut Environment, schedule: &FaultSchedule) {
    for machine in env.machines.ids() {
        let due = env.random.between(0, MAX_PROCESS_START_MS);
        env.schedule_at(due, Event::Start { machine });
    }
    for worker in 0..env.settings.worker_count {
        env.schedule_at(WORKERS_START_AT_MS, Event::WorkerStart { worker });
    }
    for (index, planned) in schedule.faults.iter().enumerate() {
        env.schedule_at(planned.due, Event::Fault { index });
    }
    env.schedule_at(CHECK_INTERVAL_MS, Event::Check);
}

fn environment(settings: FleetSettings, schedule: &FaultSchedule) -> Environment {
    let seed = settings.seed;
    Environment {
        now: 0,
        ends_at: settings.final_queries_at() + FINAL_QUERIES_MS + END_MARGIN_MS,
        settings,
        queue: EventQueue::default(),
        random: Random::new(seed, Stream::Fleet),
        network: Network::new(seed),
        machines: Machines::default(),
        open_calls: OpenCalls::default(),
        operator_responses_lost_until: 0,
        fault_history: FaultHistory::default(),
        allows_overlaps: schedule.allows_overlaps,
        checker: Checker::new(settings.limits, schedule.steps_clocks(), settings.lease_ms),
        submitted_jobs: SubmittedJobs::default(),
        traffic_digest: None,
        verbose: false,
    }
}
