//! Connects simulated workers to their agents and to the checker.

use super::agent::LOCAL_DELAY_MS;
use super::environment::Environment;
use super::event::Event;
use super::reachability;
use crate::checker::{EndedRun, StartedRun, WorkerView};
use crate::workers::effect::{WorkerEffect, WorkerIndex};
use crate::workers::worker::Worker;
use crate::workers::SimulatedWorkers;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Time after its deregistration at which a worker leaves even without an acknowledgement.
const UNACKNOWLEDGED_LEAVE_DELAY_MS: Millis = 2_000;

/// Applies the effects that the workers have produced.
pub(crate) fn apply_all(env: &mut Environment, workers: &mut SimulatedWorkers) {
    for effect in workers.take_effects() {
        apply(env, workers, effect);
    }
}

fn apply(env: &mut Environment, workers: &SimulatedWorkers, effect: WorkerEffect) {
    match effect {
        WorkerEffect::SetTimer {
            due,
            worker,
            incarnation,
            timer,
        } => {
            let event = Event::WorkerTimer {
                worker,
                incarnation,
                timer,
            };
            env.schedule_at(due, event);
        }
        WorkerEffect::SendHeartbeat { worker, heartbeat } => {
            let event = Event::Heartbeat {
                machine: env.agent_machine(worker),
                worker,
                incarnation: workers.worker(worker).incarnation,
                heartbeat,
            };
            env.schedule_in(LOCAL_DELAY_MS, event);
        }
        WorkerEffect::Deregister { worker, instance } => {
            deregister(env, workers.worker(worker), instance);
        }
        other => observe(env, workers, other),
    }
}

fn deregister(env: &mut Environment, worker: &Worker, instance: Arc<str>) {
    let incarnation = worker.incarnation;
    let event = Event::Deregister {
        machine: env.agent_machine(worker.index),
        worker: worker.index,
        incarnation,
        instance,
    };
    env.schedule_in(LOCAL_DELAY_MS, event);
    let leaves = Event::WorkerLeaves {
        worker: worker.index,
        incarnation,
    };
    env.schedule_in(UNACKNOWLEDGED_LEAVE_DELAY_MS, leaves);
}

/// Reports an effect of a worker to the checker.
fn observe(env: &mut Environment, workers: &SimulatedWorkers, effect: WorkerEffect) {
    let now = env.now;
    let incarnation = |worker: WorkerIndex| workers.worker(worker).incarnation;
    match effect {
        WorkerEffect::RunStarted {
            worker,
            run,
            spec,
            checkpoint,
            used,
        } => {
            let started = StartedRun {
                run: &run,
                spec: &spec,
                checkpoint: &checkpoint,
            };
            on_run_started(env, workers.worker(worker), started, used);
        }
        WorkerEffect::RunEnded {
            worker,
            run,
            outcome,
            number,
        } => {
            let ended = EndedRun {
                run: &run,
                outcome,
                number,
            };
            on_run_ended(env, workers.worker(worker), ended);
        }
        WorkerEffect::EndsAcknowledged { worker, up_to } => {
            let jobs = &env.submitted_jobs;
            env.checker
                .on_ends_acknowledged(now, jobs, worker, incarnation(worker), up_to);
        }
        WorkerEffect::LeaseExtended { worker, until } => {
            check_lease(env, &workers.worker(worker).instance(), until);
        }
        WorkerEffect::LeaseExpired { worker } => {
            env.trace(|| format!("worker {worker}: lease expired"));
            env.checker.on_lease_expired(worker, incarnation(worker));
        }
        WorkerEffect::Crashed {
            worker,
            leased_until,
        } => {
            env.trace(|| format!("worker {worker} is down"));
            env.checker
                .on_worker_crashed(worker, incarnation(worker), leased_until);
        }
        WorkerEffect::DrainAcknowledged { worker } => {
            if reachability::is_reachable(env, env.agent_machine(worker)) {
                env.checker
                    .on_drain_acknowledged(now, worker, incarnation(worker));
            }
        }
        WorkerEffect::SetTimer { .. }
        | WorkerEffect::SendHeartbeat { .. }
        | WorkerEffect::Deregister { .. } => {}
    }
}

/// Compares the lease that a worker was granted with the lease that the primary counts for it. The primary
/// counts none for a worker that it does not know: it may have given the worker's runs to other workers.
fn check_lease(env: &mut Environment, instance: &Arc<str>, until: Millis) {
    let now = env.now;
    let Some(primary) = env.machines.primary(now) else {
        return;
    };
    let steady_ms = env.clocks(primary).steady_ms;
    let control = env.machines.control_mut(primary);
    let Some(scheduler) = control.and_then(|control| control.scheduler()) else {
        return;
    };
    let status = scheduler.worker_status(steady_ms, instance);
    let counted_ms = status.map_or(0, |status| status.lease_remaining_ms);
    env.checker
        .on_lease_extended(now, instance, until, now + counted_ms);
}

fn on_run_started(
    env: &mut Environment,
    worker: &Worker,
    started: StartedRun<'_>,
    used: Resources,
) {
    let StartedRun {
        run, checkpoint, ..
    } = started;
    env.trace(|| {
        format!(
            "worker {} starts {} run {} {checkpoint}",
            worker.index, run.task, run.run
        )
    });
    let view = view(env, worker, used);
    env.checker
        .on_run_started(env.now, &env.submitted_jobs, view, started);
}

fn on_run_ended(env: &mut Environment, worker: &Worker, ended: EndedRun<'_>) {
    let EndedRun {
        run,
        outcome,
        number,
    } = ended;
    env.trace(|| {
        format!(
            "worker {} ends {} run {} {outcome:?} as {number}",
            worker.index, run.task, run.run
        )
    });
    let fault_free_since = reachability::fault_free_since(env);
    let view = view(env, worker, worker.used());
    env.checker
        .on_run_ended(env.now, view, ended, fault_free_since);
}

fn view<'a>(env: &Environment, worker: &'a Worker, used: Resources) -> WorkerView<'a> {
    WorkerView {
        index: worker.index,
        incarnation: worker.incarnation,
        kind: &worker.kind,
        used,
        is_reachable: reachability::is_reachable(env, env.agent_machine(worker.index)),
    }
}

/// Starts a worker, unless it is already up.
pub(crate) fn start_worker(env: &Environment, workers: &mut SimulatedWorkers, worker: WorkerIndex) {
    if !workers.worker(worker).up {
        workers.start_worker(env.now, worker);
    }
}

/// Ends a worker after its deregistration, whether or not that was acknowledged.
pub(crate) fn on_worker_leaves(
    env: &Environment,
    workers: &mut SimulatedWorkers,
    worker: WorkerIndex,
    incarnation: u32,
) {
    let state = workers.worker(worker);
    if state.up && state.incarnation == incarnation {
        workers.crash_worker(env.moment(), worker);
    }
}
