//! The event loop of a fleet.

use super::agent;
use super::builder::{self, CHECK_INTERVAL_MS};
use super::control::{self, PendingActions, Progress};
use super::discovery;
use super::event::{Event, FaultRecovery, RollingRestart};
use super::gate;
use super::injection::{self, FollowUp};
use super::lifecycle::{self, ProcessEnd};
use super::machine::Role;
use super::reachability;
use super::recovery;
use super::rpc::{self, ReturnedCall};
use super::rpc_message::Caller;
use super::settings::FleetSettings;
use super::state::FleetState;
use super::traffic_digest::TrafficDigest;
use super::worker_effects;
use crate::checker::{Checker, Violation};
use crate::faults::{Fault, FaultSchedule};
use crate::limits::DeploymentLimits;
use crate::network::MachineId;
use crate::random::{Random, Stream};
use crate::submitted_jobs::SubmittedJobs;
use crate::value::{self, EarnedValue, LongRunningSample};
use crate::workers::worker::Worker;
use crate::workload::Workload;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// A fleet, and its simulation from start to end.
pub struct Fleet {
    state: FleetState,
    schedule: FaultSchedule,
    /// Faults that are injected after the next acknowledged change.
    armed_faults: Vec<Fault>,
    workload: Option<Arc<Workload>>,
    samples: Vec<LongRunningSample>,
    next_sample_at: Millis,
}

impl Fleet {
    /// Creates a fleet with the regular workers and traffic.
    pub fn new(settings: FleetSettings, schedule: FaultSchedule) -> Fleet {
        Fleet::build(settings, schedule, settings.workers(), None)
    }

    /// Creates a fleet with the workers and the traffic of a workload.
    pub fn with_workload(
        settings: FleetSettings,
        schedule: FaultSchedule,
        workload: Arc<Workload>,
    ) -> Fleet {
        let mut random = Random::new(settings.seed, Stream::WorkerKinds);
        let workers = workload.workers(&mut random);
        let settings = FleetSettings {
            worker_count: workers.len(),
            limits: DeploymentLimits {
                far_x: workload.far_x,
                ..settings.limits
            },
            ..settings
        };
        Fleet::build(settings, schedule, workers, Some(workload))
    }

    fn build(
        settings: FleetSettings,
        schedule: FaultSchedule,
        workers: Vec<Worker>,
        workload: Option<Arc<Workload>>,
    ) -> Fleet {
        Fleet {
            state: builder::build(settings, &schedule, workers, workload.as_ref()),
            schedule,
            armed_faults: Vec::new(),
            workload,
            samples: Vec::new(),
            next_sample_at: 0,
        }
    }

    /// Prints all further events.
    pub fn print_events(&mut self) {
        self.state.environment.verbose = true;
    }

    /// Enables the digest of everything that is sent and stored. To be called before the first event.
    pub fn keep_traffic_digest(&mut self) {
        self.state.environment.traffic_digest = Some(TrafficDigest::default());
    }

    /// The digest of everything that was sent and stored; `None` if it was not enabled.
    pub fn traffic_digest(&self) -> Option<&TrafficDigest> {
        self.state.environment.traffic_digest.as_ref()
    }

    /// Sizes and limits of the fleet.
    pub fn settings(&self) -> &FleetSettings {
        &self.state.environment.settings
    }

    /// The jobs that clients have submitted so far.
    pub fn submitted_jobs(&self) -> &SubmittedJobs {
        &self.state.environment.submitted_jobs
    }

    /// The newest epoch that any control machine knows, or 0 if no control process is running.
    pub fn newest_epoch(&self) -> u64 {
        let env = &self.state.environment;
        let epochs = env.machines.ids().filter_map(|machine| {
            let control = env.machines[machine].process.as_ref()?.control()?;
            Some(control.view(env.clocks(machine)).epoch)
        });
        epochs.max().unwrap_or(0)
    }

    /// The observations and violations recorded so far.
    pub fn checker(&self) -> &Checker {
        &self.state.environment.checker
    }

    /// The value that the jobs of the workload have earned; zero without a workload.
    pub fn earned_value(&self) -> EarnedValue {
        let Some(workload) = &self.workload else {
            return EarnedValue::default();
        };
        value::earned_value(
            workload,
            self.submitted_jobs(),
            self.checker(),
            &self.samples,
        )
    }

    /// Runs the simulation to its end, or to the first violation. Returns the violations.
    pub fn simulate(&mut self) -> &[Violation] {
        let ends_at = self.state.environment.ends_at;
        while self.checker().violations().is_empty() {
            let env = &mut self.state.environment;
            let Some((due, event)) = env.queue.pop(ends_at) else {
                break;
            };
            env.now = due;
            self.step(event);
        }
        let env = &mut self.state.environment;
        env.now = env.now.max(ends_at);
        if env.checker.violations().is_empty() {
            env.checker.check_rejected_jobs(env.now);
        }
        self.checker().violations()
    }

    fn step(&mut self, event: Event) {
        let env = &mut self.state.environment;
        let wakes_at = event
            .machine()
            .and_then(|machine| env.machines[machine].wakes_at(env.now));
        if let Some(wakes_at) = wakes_at {
            env.schedule_at(wakes_at, event);
            return;
        }
        if let Some(digest) = &mut env.traffic_digest {
            digest.add_event(env.now, &event);
        }
        self.dispatch(event);
        worker_effects::apply_all(&mut self.state.environment, &mut self.state.workers);
    }

    fn dispatch(&mut self, event: Event) {
        let FleetState {
            environment: env,
            clients,
            operators,
            workers,
        } = &mut self.state;
        match event {
            Event::Client(event) => clients.on_event(env, operators.added_queues(), event),
            Event::Operator(event) => operators.on_event(env, &event),
            Event::WorkerStart { worker } => worker_effects::start_worker(env, workers, worker),
            Event::WorkerLeaves {
                worker,
                incarnation,
            } => worker_effects::on_worker_leaves(env, workers, worker, incarnation),
            Event::WorkerTimer {
                worker,
                incarnation,
                timer,
            } => workers.on_timer(env.moment(), worker, incarnation, timer),
            Event::HeartbeatResponse {
                worker,
                incarnation,
                sequence,
                response,
            } => workers.on_heartbeat_response(
                env.moment(),
                worker,
                incarnation,
                sequence,
                &response,
            ),
            Event::HeartbeatFailed {
                worker,
                incarnation,
                sequence,
            } => workers.on_heartbeat_failed(env.now, worker, incarnation, sequence),
            Event::Fault { index } => self.inject_planned(index),
            Event::Recovery(recovery) => self.recover(recovery),
            Event::Check => self.check(),
            other => self.dispatch_to_machine(other),
        }
    }

    /// Dispatches events of machine processes and of the calls between them.
    fn dispatch_to_machine(&mut self, event: Event) {
        let env = &mut self.state.environment;
        match event {
            Event::Start { machine } => lifecycle::start_process(env, machine),
            Event::Tick { machine, boot } => self.tick(machine, boot),
            Event::AgentWakeup { machine, boot } => agent::on_wakeup(env, machine, boot),
            Event::Heartbeat {
                machine,
                worker,
                incarnation,
                heartbeat,
            } => agent::on_heartbeat(env, machine, worker, incarnation, *heartbeat),
            Event::Deregister {
                machine,
                worker,
                incarnation,
                instance,
            } => agent::on_deregistration(env, machine, worker, incarnation, instance),
            Event::CallReturns { call, outcome } => {
                if let Some(returned) = rpc::on_call_returns(env, call, outcome) {
                    self.on_call_returned(returned);
                }
            }
            Event::CallTimeout { call } => {
                if let Some(returned) = rpc::on_call_timeout(env, call) {
                    self.on_call_timed_out(returned);
                }
            }
            other => self.dispatch_to_control(other),
        }
    }

    /// Dispatches events of control machine processes.
    fn dispatch_to_control(&mut self, event: Event) {
        let env = &mut self.state.environment;
        let pending = match event {
            Event::Persisted {
                machine,
                boot,
                ticket,
                failed,
            } => control::on_persisted(env, machine, boot, ticket, failed),
            Event::SchedulerRecovered {
                machine,
                boot,
                recovery,
            } => control::on_scheduler_recovered(env, machine, boot, *recovery),
            Event::ControlMessage {
                receiver,
                sender,
                message,
            } => control::on_message(env, receiver, sender, message),
            Event::CallArrives {
                call,
                receiver,
                request,
            } => rpc::on_call_arrives(env, call, receiver, request)
                .and_then(|request| control::on_call(env, receiver, call, request)),
            Event::CallCopyArrives {
                call,
                receiver,
                request,
            } => rpc::on_copy_arrives(env, receiver, request)
                .and_then(|request| control::on_call(env, receiver, call, request)),
            Event::CallAbandoned {
                machine,
                boot,
                request,
            } => control::on_call_abandoned(env, machine, boot, request),
            _ => None,
        };
        self.perform(pending);
    }

    /// Performs the actions that a control machine's process has requested. Faults deferred until an
    /// acknowledged change are injected right after it, before the remaining actions.
    fn perform(&mut self, pending: Option<PendingActions>) {
        let Some(mut pending) = pending else {
            return;
        };
        while control::perform(&mut self.state.environment, &mut pending)
            == Progress::ChangeAcknowledged
        {
            for fault in std::mem::take(&mut self.armed_faults) {
                self.inject(fault, Some(pending.machine()));
            }
        }
    }

    fn tick(&mut self, machine: MachineId, boot: u64) {
        let env = &mut self.state.environment;
        if !env.machines[machine].is_boot(boot) {
            return;
        }
        match env.machines[machine].role {
            Role::Control => self.tick_control(machine),
            Role::Gate => discovery::probe(env, machine),
            Role::Agent => agent::tick(env, machine),
        }
        lifecycle::schedule_tick(&mut self.state.environment, machine, boot);
    }

    fn tick_control(&mut self, machine: MachineId) {
        let env = &mut self.state.environment;
        let pending = control::tick(env, machine);
        let has_left = control::has_left(env, machine);
        self.perform(pending);
        if has_left {
            lifecycle::end_process(&mut self.state.environment, machine, ProcessEnd::Killed);
        }
    }

    fn on_call_timed_out(&mut self, returned: ReturnedCall) {
        let caller = returned.caller.clone();
        let receiver = returned.receiver;
        let accepted = returned.accepted;
        self.on_call_returned(returned);
        rpc::abandon(&mut self.state.environment, &caller, receiver, accepted);
    }

    /// Passes the outcome of a call to its caller, unless the caller was restarted in the meantime.
    fn on_call_returned(&mut self, returned: ReturnedCall) {
        let env = &mut self.state.environment;
        let ReturnedCall {
            receiver, outcome, ..
        } = returned;
        match returned.caller {
            Caller::Agent {
                machine,
                boot,
                sequence,
            } if env.machines[machine].is_boot(boot) => {
                agent::on_call_returned(env, machine, receiver, sequence, outcome);
            }
            Caller::Gate {
                machine,
                boot,
                client_request,
            } if env.machines[machine].is_boot(boot) => {
                gate::on_call_returned(env, machine, receiver, client_request, outcome);
            }
            Caller::Discovery { machine, boot } if env.machines[machine].is_boot(boot) => {
                discovery::on_probe_returned(env, machine, receiver, &outcome);
            }
            Caller::Operator { request, sent_at } => {
                self.state
                    .operators
                    .on_call_returned(env, request, sent_at, outcome);
            }
            Caller::Agent { .. } | Caller::Gate { .. } | Caller::Discovery { .. } => {}
        }
    }

    fn inject_planned(&mut self, index: usize) {
        let fault = self.schedule.faults[index].fault.clone();
        self.inject(fault, None);
    }

    fn inject(&mut self, fault: Fault, acknowledged_by: Option<MachineId>) {
        self.state.environment.trace(|| format!("fault {fault}"));
        match injection::inject(&mut self.state, fault, acknowledged_by) {
            FollowUp::None => {}
            FollowUp::Arm(fault) => self.armed_faults.push(fault),
            FollowUp::BeginRollingRestart(restart) => self.recover(FaultRecovery::Leave(restart)),
        }
    }

    fn recover(&mut self, recovery: FaultRecovery) {
        self.state
            .environment
            .trace(|| format!("recovery {recovery:?}"));
        match recovery {
            FaultRecovery::Leave(restart) => self.ask_to_leave(restart),
            other => recovery::recover(&mut self.state, other),
        }
    }

    fn ask_to_leave(&mut self, restart: RollingRestart) {
        let env = &mut self.state.environment;
        reachability::on_machine_fault(env, restart.machine);
        let pending = control::leave(env, restart.machine);
        self.perform(pending);
        recovery::schedule_leave_check(&mut self.state.environment, restart);
    }

    /// Checks guarantees with a deadline.
    fn check(&mut self) {
        let env = &mut self.state.environment;
        let contact_ms = env.settings.limits.contact_ms;
        let stable_since = reachability::fault_free_since(env).map(|since| since + contact_ms);
        let is_stable = stable_since.is_some_and(|since| env.now >= since);
        let workers = self.state.workers.all();
        env.checker
            .check_idle_jobs(env.now, &env.submitted_jobs, workers, is_stable);
        env.checker.check_acknowledgements(env.now, stable_since);
        if is_stable {
            env.checker.check_cancelled_jobs(env.now);
        }
        if env.now >= self.next_sample_at {
            self.next_sample_at = env.now + value::SAMPLE_INTERVAL_MS;
            if self.workload.is_some() && env.now <= env.settings.traffic_ends_at {
                let samples =
                    value::sample_long_running(env.now, &env.submitted_jobs, &env.checker);
                self.samples.extend(samples);
            }
        }
        env.schedule_in(CHECK_INTERVAL_MS, Event::Check);
    }
}
