//! Simulated workers, following the operators' protocol: they send heartbeats, execute the commands in the
//! responses, and report the ends of runs.
//!
//! - `effect`: externally visible effects of workers, and their timers.
//! - `worker`: a worker, with its `heartbeat` schedule, its `lease`, its `run`s and its `run_history`.
//! - `gang`: runs that make progress only together.
//! - `executor`: starts, paces, stops and ends runs.

pub(crate) mod effect;
mod executor;
mod gang;
mod heartbeat;
mod lease;
mod run;
mod run_history;
pub(crate) mod worker;

use crate::limits::DeploymentLimits;
use crate::random::{Random, Stream};
use effect::{WorkerEffect, WorkerIndex, WorkerTimer};
use executor::{Executor, RunStart};
use heartbeat::{PROMPT_HEARTBEAT_MS, RESPONSE_TIMEOUT_MS};
use streamusher_protocol::heartbeat::{HeartbeatResponse, StartCommand, StopCommand, WorkerState};
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::Millis;
use worker::Worker;

pub(crate) use executor::Moment;

/// Maximum time that a worker takes to come up.
const MAX_STARTUP_MS: Millis = 200;

/// All workers of a fleet. Their effects are collected until `take_effects`.
pub(crate) struct SimulatedWorkers {
    executor: Executor,
}

impl SimulatedWorkers {
    /// Creates workers that are not up yet.
    pub(crate) fn new(
        workers: Vec<Worker>,
        limits: DeploymentLimits,
        seed: u64,
    ) -> SimulatedWorkers {
        let random = Random::new(seed, Stream::Workers);
        SimulatedWorkers {
            executor: Executor::new(workers, limits, random),
        }
    }

    /// Sets whether a repeated start of a run that has ended is reported as rejected or ignored.
    pub(crate) fn set_reports_repeated_starts(&mut self, reports: bool) {
        self.executor.reports_repeated_starts = reports;
    }

    /// All workers, by index.
    pub(crate) fn all(&self) -> &[Worker] {
        &self.executor.workers
    }

    /// Returns a worker by index.
    pub(crate) fn worker(&self, worker: WorkerIndex) -> &Worker {
        &self.executor.workers[worker]
    }

    /// Returns the effects since the last call.
    pub(crate) fn take_effects(&mut self) -> Vec<WorkerEffect> {
        std::mem::take(&mut self.executor.effects)
    }

    /// Starts a worker in a new incarnation.
    pub(crate) fn start_worker(&mut self, now: Millis, worker: WorkerIndex) {
        let executor = &mut self.executor;
        executor.workers[worker] = executor.workers[worker].restarted();
        let due = now + executor.random.between(0, MAX_STARTUP_MS);
        executor.plan_heartbeat(worker, due);
    }

    /// Crashes a worker without a deregistration.
    pub(crate) fn crash_worker(&mut self, moment: Moment<'_>, worker: WorkerIndex) {
        let state = &mut self.executor.workers[worker];
        if !state.up {
            return;
        }
        let running = std::mem::take(&mut state.running);
        state.up = false;
        let leased_until = state.lease.until();
        self.executor.effects.push(WorkerEffect::Crashed {
            worker,
            leased_until,
        });
        for run in running.keys() {
            self.executor
                .leave_gang(moment, worker, run, RunEnd::LeaseExpired);
        }
    }

    /// Drains a worker, which leaves after `after_ms`.
    pub(crate) fn drain_worker(&mut self, now: Millis, worker: WorkerIndex, after_ms: Millis) {
        let state = &mut self.executor.workers[worker];
        if !state.up || state.state == WorkerState::Draining {
            return;
        }
        let leaves_at = now + after_ms;
        state.state = WorkerState::Draining;
        state.leaves_at = Some(leaves_at);
        self.executor
            .set_timer(leaves_at, worker, WorkerTimer::Departure);
        if !self.executor.workers[worker]
            .heartbeats
            .report_after_response()
        {
            self.executor.plan_heartbeat(worker, now);
        }
    }

    /// Changes the speed factor of a worker; it makes no progress at 0.
    pub(crate) fn set_speed(&mut self, moment: Moment<'_>, worker: WorkerIndex, speed: f64) {
        self.executor.set_speed(moment, worker, speed);
    }

    /// Sets the share of started runs that fail at a worker.
    pub(crate) fn set_failure_rate(&mut self, worker: WorkerIndex, failure_rate: f64) {
        self.executor.workers[worker].health.failure_rate = failure_rate;
    }

    fn is_current(&self, worker: WorkerIndex, incarnation: u32) -> bool {
        let state = self.worker(worker);
        state.up && state.incarnation == incarnation
    }

    /// Handles a timer. Timers of earlier incarnations are ignored.
    pub(crate) fn on_timer(
        &mut self,
        moment: Moment<'_>,
        worker: WorkerIndex,
        incarnation: u32,
        timer: WorkerTimer,
    ) {
        if !self.is_current(worker, incarnation) {
            return;
        }
        match timer {
            WorkerTimer::HeartbeatDue { plan } => self.on_heartbeat_due(moment, worker, plan),
            WorkerTimer::ResponseTimeout { sequence } => {
                self.on_response_lost(worker, sequence, moment.now + PROMPT_HEARTBEAT_MS);
            }
            WorkerTimer::LeaseExpiry => self.on_lease_expiry(moment, worker),
            WorkerTimer::RunOutcome { run, plan } => {
                self.executor.on_run_outcome(moment, worker, &run, plan);
            }
            WorkerTimer::StopCompleted { run } => {
                self.executor.end(moment, worker, &run, RunEnd::Stopped);
            }
            WorkerTimer::GangTimeout { run } => self.executor.on_gang_timeout(moment, worker, &run),
            WorkerTimer::Departure => self.on_departure(worker),
        }
    }

    fn on_departure(&mut self, worker: WorkerIndex) {
        let instance = self.worker(worker).instance();
        let deregister = WorkerEffect::Deregister { worker, instance };
        self.executor.effects.push(deregister);
    }

    fn on_heartbeat_due(&mut self, moment: Moment<'_>, worker: WorkerIndex, plan: u64) {
        let executor = &mut self.executor;
        let state = &mut executor.workers[worker];
        let draining = state.state == WorkerState::Draining;
        let Some(sequence) = state.heartbeats.begin(moment.now, plan, draining) else {
            return;
        };
        let heartbeat = state.heartbeat(moment.now, moment.submitted_jobs, executor.limits.save_ms);
        let timeout_ms = state.kind.clock.true_span(RESPONSE_TIMEOUT_MS);
        executor.effects.push(WorkerEffect::SendHeartbeat {
            worker,
            heartbeat: Box::new(heartbeat),
        });
        let timer = WorkerTimer::ResponseTimeout { sequence };
        executor.set_timer(moment.now + timeout_ms + 1, worker, timer);
    }

    /// Handles a failed heartbeat: no agent accepted the connection, or the connection broke.
    pub(crate) fn on_heartbeat_failed(
        &mut self,
        now: Millis,
        worker: WorkerIndex,
        incarnation: u32,
        sequence: u64,
    ) {
        if self.is_current(worker, incarnation) {
            let retry_ms = self.executor.limits.refused_retry_ms;
            self.on_response_lost(worker, sequence, now + retry_ms);
        }
    }

    fn on_response_lost(&mut self, worker: WorkerIndex, sequence: u64, next_at: Millis) {
        let heartbeats = &mut self.executor.workers[worker].heartbeats;
        if heartbeats.take_awaited(sequence).is_some() {
            self.executor.plan_heartbeat(worker, next_at);
        }
    }

    /// Handles the response to a heartbeat.
    pub(crate) fn on_heartbeat_response(
        &mut self,
        moment: Moment<'_>,
        worker: WorkerIndex,
        incarnation: u32,
        sequence: u64,
        response: &HeartbeatResponse,
    ) {
        if !self.is_current(worker, incarnation) {
            return;
        }
        let state = &mut self.executor.workers[worker];
        let Some(awaited) = state.heartbeats.take_awaited(sequence) else {
            return;
        };
        if awaited.draining {
            let acknowledged = WorkerEffect::DrainAcknowledged { worker };
            self.executor.effects.push(acknowledged);
        }
        let state = &mut self.executor.workers[worker];
        if response.fence_token >= state.fence {
            state.fence = response.fence_token;
            self.follow_commands(moment, worker, awaited.sent_at, response);
        }
        let next_at = self.worker(worker).heartbeats.next_after_response(
            moment.now,
            awaited.sent_at,
            response.retry_after_ms,
            self.executor.limits.heartbeat_ms,
        );
        self.executor.plan_heartbeat(worker, next_at);
    }

    /// Executes the commands of a response: first acknowledgements, then the lease and stops, and starts only
    /// if the lease holds.
    fn follow_commands(
        &mut self,
        moment: Moment<'_>,
        worker: WorkerIndex,
        sent_at: Millis,
        response: &HeartbeatResponse,
    ) {
        if let Some(up_to) = response.last_seen {
            self.acknowledge_ends(worker, up_to);
        }
        if let Some(hold_ms) = response.hold_ms {
            self.extend_lease(moment.now, worker, sent_at, hold_ms);
        }
        for StopCommand { task, run } in &response.stop {
            let run = RunId {
                task: task.clone(),
                run: *run,
            };
            self.executor.stop(moment.now, worker, &run);
        }
        if response.hold_ms.is_none() || self.worker(worker).lease.until() <= moment.now {
            return;
        }
        for StartCommand {
            task,
            run,
            spec,
            checkpoint,
        } in &response.start
        {
            let run = RunId {
                task: task.clone(),
                run: *run,
            };
            let start = RunStart {
                run: &run,
                spec,
                checkpoint,
            };
            self.executor.start(moment, worker, start);
        }
    }

    fn acknowledge_ends(&mut self, worker: WorkerIndex, up_to: u64) {
        let executor = &mut self.executor;
        executor.workers[worker].history.acknowledge(up_to);
        executor
            .effects
            .push(WorkerEffect::EndsAcknowledged { worker, up_to });
    }

    /// Extends the lease, counted from the sending of the heartbeat by the worker's own clock.
    fn extend_lease(&mut self, now: Millis, worker: WorkerIndex, sent_at: Millis, hold_ms: Millis) {
        let hold_ms = hold_ms.min(self.executor.limits.hold_max_ms);
        let state = &mut self.executor.workers[worker];
        let until = sent_at + state.kind.clock.true_span(hold_ms);
        if state.lease.extend(now, until) {
            self.executor
                .set_timer(until, worker, WorkerTimer::LeaseExpiry);
            let extended = WorkerEffect::LeaseExtended { worker, until };
            self.executor.effects.push(extended);
        }
    }

    fn on_lease_expiry(&mut self, moment: Moment<'_>, worker: WorkerIndex) {
        let state = &mut self.executor.workers[worker];
        if !state.lease.expire(moment.now) {
            return;
        }
        let runs: Vec<RunId> = state.running.keys().cloned().collect();
        let expired = WorkerEffect::LeaseExpired { worker };
        self.executor.effects.push(expired);
        for run in runs {
            self.executor
                .end(moment, worker, &run, RunEnd::LeaseExpired);
        }
    }
}
