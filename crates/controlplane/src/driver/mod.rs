//! The control machine as a pure state machine: it connects replication and scheduler, and decides when a
//! response may be released.
//!
//! A response depends on all batches appended up to the event that produced it. It is released once these
//! batches are committed and the primary's lease is valid at that moment. A primary that steps down earlier
//! responds [`ControlOutcome::Unknown`] if a change whose outcome the caller needs to know may still take
//! effect, and [`ControlOutcome::NotPrimary`] otherwise.

mod action;
mod in_flight;
mod recovery;
mod replication;
mod state_machine;

pub use crate::requests::{ControlOutcome, ControlRequest};
pub use action::Action;
pub use recovery::Recovery;
pub use replication::Replication;
pub use state_machine::StateMachine;

use crate::deferred::DeferredRequests;
use crate::pending_configurations::PendingConfigurations;
use in_flight::{CommittedResponse, InFlightRequests, RequestEffect, UncommittedResponse};
use streamusher_configuration::PublishedConfiguration;
use streamusher_coordination::{Coordinator, Input, Output};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::{
    Effects, Event, RecoverError, RequestId, Scheduler, SchedulerResponse, SchedulerSettings,
};

/// Configurations that were committed in one term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedConfigurations {
    /// The epoch in which this primary was elected.
    pub epoch: u64,
    /// The configurations, in version order.
    pub configurations: Vec<PublishedConfiguration>,
}

/// One control machine: replication, and the scheduler while this machine is the primary.
///
/// Each method takes the current time as an argument and returns the actions to perform.
pub struct Driver<R = Coordinator, S = Scheduler> {
    settings: SchedulerSettings,
    replication: R,
    scheduler: Option<S>,
    /// The epoch for which a scheduler is being recovered.
    recovering_epoch: Option<u64>,
    /// The epoch for which `scheduler` was recovered.
    scheduler_epoch: u64,
    next_request: RequestId,
    deferred: DeferredRequests,
    in_flight: InFlightRequests,
    pending_configurations: PendingConfigurations,
    actions: Vec<Action>,
}

impl<R: Replication, S: StateMachine> Driver<R, S> {
    /// Creates the driver of a machine that is not the primary.
    pub fn new(settings: SchedulerSettings, replication: R) -> Driver<R, S> {
        Driver {
            settings,
            replication,
            scheduler: None,
            recovering_epoch: None,
            scheduler_epoch: 0,
            next_request: 1,
            deferred: DeferredRequests::default(),
            in_flight: InFlightRequests::default(),
            pending_configurations: PendingConfigurations::default(),
            actions: Vec::new(),
        }
    }

    /// Accepts a request and assigns it a number. [`Action::Respond`] refers to that number; it may already
    /// be among the returned actions.
    pub fn on_request(&mut self, now: Now, request: ControlRequest) -> (RequestId, Vec<Action>) {
        let id = self.next_request;
        self.next_request += 1;
        if self.is_serving(now) {
            self.execute(now, id, request);
        } else if self.replication.is_becoming_primary() && self.deferred.has_capacity() {
            self.deferred.push(now.steady_ms, id, request);
        } else {
            self.respond_not_primary(now, id);
        }
        (id, self.take_actions())
    }

    /// Reports that the caller of a request has disconnected. A request that is still queued is not executed,
    /// and no response is sent.
    pub fn on_caller_disconnected(&mut self, now: Now, request: RequestId) -> Vec<Action> {
        self.deferred.remove(request);
        if self.in_flight.remove(request) {
            self.run_event(now, Event::RequestAbandoned { id: request }, None);
        }
        self.take_actions()
    }

    /// Passes an input to replication and processes the result.
    pub fn handle_input(&mut self, now: Now, input: Input) -> Vec<Action> {
        let outputs = self.replication.handle(now.steady_ms, input);
        self.apply_outputs(now, outputs);
        self.release_committed(now);
        self.process_deferred(now);
        self.take_actions()
    }

    /// Advances to the current time; expected to be called about every 20 ms.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        let outputs = self.replication.handle(now.steady_ms, Input::Tick);
        self.apply_outputs(now, outputs);
        if self.replication.may_act(now.steady_ms) {
            self.run_event(now, Event::Tick, None);
        }
        self.release_committed(now);
        self.process_deferred(now);
        self.take_actions()
    }

    /// Completes a recovery. The result is dropped if this machine has stepped down in the meantime.
    pub fn on_recovered(
        &mut self,
        now: Now,
        epoch: u64,
        scheduler: Result<S, RecoverError>,
    ) -> Vec<Action> {
        if self.recovering_epoch == Some(epoch) {
            self.recovering_epoch = None;
            match scheduler {
                Ok(mut scheduler) => {
                    scheduler.on_recovered(now);
                    self.start_scheduler(epoch, scheduler);
                }
                Err(error) => {
                    log::error!("epoch {epoch}: cannot recover the scheduler's state: {error}");
                }
            }
            self.release_committed(now);
        }
        self.process_deferred(now);
        self.take_actions()
    }

    /// The replication layer, for status reports.
    pub fn replication(&self) -> &R {
        &self.replication
    }

    /// The scheduler; `None` unless this machine is the primary and recovery has finished.
    pub fn scheduler(&self) -> Option<&S> {
        self.scheduler.as_ref()
    }

    /// The epoch in which this machine was elected; `None` while it may not act as primary.
    pub fn acting_epoch(&self, now: Millis) -> Option<u64> {
        let is_acting = self.scheduler.is_some() && self.replication.may_act(now);
        is_acting.then_some(self.scheduler_epoch)
    }

    /// Returns the configurations committed since the last call. They are retained while this machine may not
    /// act as primary.
    pub fn take_committed_configurations(
        &mut self,
        now: Millis,
    ) -> Option<CommittedConfigurations> {
        if !self.pending_configurations.has_committed() {
            return None;
        }
        let epoch = self.acting_epoch(now)?;
        let configurations = self.pending_configurations.take_committed();
        Some(CommittedConfigurations {
            epoch,
            configurations,
        })
    }

    /// Number of requests passed to the scheduler whose outcome is not released yet.
    pub fn in_flight_requests(&self) -> usize {
        self.in_flight.len()
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn is_serving(&self, now: Now) -> bool {
        self.scheduler.is_some() && self.may_respond(now.steady_ms)
    }

    /// Whether requests may be executed and responses released. Checked when a request arrives, and again
    /// when its response is released.
    fn may_respond(&self, now: Millis) -> bool {
        self.replication.may_act(now) || cfg!(feature = "mutant-release")
    }

    fn respond_not_primary(&mut self, now: Now, request: RequestId) {
        let outcome = ControlOutcome::NotPrimary(self.replication.view(now.steady_ms));
        self.actions.push(Action::Respond { request, outcome });
    }

    /// Executes the deferred requests once this machine acts as primary, and rejects expired ones.
    fn process_deferred(&mut self, now: Now) {
        loop {
            let becoming_primary = !self.is_serving(now) && self.replication.is_becoming_primary();
            let Some(deferred) = self.deferred.pop(now.steady_ms, becoming_primary) else {
                return;
            };
            if self.is_serving(now) && !deferred.is_expired(now.steady_ms) {
                self.execute(now, deferred.id, deferred.request);
            } else {
                self.respond_not_primary(now, deferred.id);
            }
        }
    }

    fn execute(&mut self, now: Now, id: RequestId, request: ControlRequest) {
        self.in_flight.insert(id, &request);
        let event = match request {
            ControlRequest::Client(request) => Event::ClientRequest { id, request },
            ControlRequest::Agent(sync) => Event::AgentSync { id, sync },
            ControlRequest::Operator(request) => Event::OperatorRequest { id, request },
        };
        self.run_event(now, event, Some(id));
    }

    /// Passes an event to the scheduler; `cause` is the request that the event originates from.
    fn run_event(&mut self, now: Now, event: Event, cause: Option<RequestId>) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let Effects { writes, responses } = scheduler.handle(now, event);
        let has_writes = !writes.is_empty();
        let mut outputs = Vec::new();
        if has_writes {
            outputs = self.replication.append(now.steady_ms, writes);
        }
        self.observe_configuration();
        let sequence = self.replication.last_appended();
        for pending in responses {
            self.in_flight.add_response(UncommittedResponse {
                request: pending.request,
                response: pending.response,
                sequence,
                has_own_writes: has_writes && cause == Some(pending.request),
            });
        }
        self.apply_outputs(now, outputs);
        self.release_committed(now);
    }

    /// Records the scheduler's newest configuration, with the newest batch as the one that it depends on.
    fn observe_configuration(&mut self) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let sequence = self.replication.last_appended();
        let version = scheduler.configuration_version();
        self.pending_configurations
            .observe(sequence, version, || scheduler.newest_configuration());
    }

    fn apply_outputs(&mut self, now: Now, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.actions.push(Action::Send { to, message }),
                Output::Persist { ticket, change } => {
                    self.actions.push(Action::Persist { ticket, change });
                }
                Output::Committed { .. } => self.release_committed(now),
                Output::Elected { epoch } => self.become_primary(now, epoch),
                Output::Deposed => self.step_down(now),
            }
        }
    }

    fn become_primary(&mut self, now: Now, epoch: u64) {
        self.step_down(now);
        log::info!("became primary in epoch {epoch}");
        self.recovering_epoch = Some(epoch);
        self.actions.push(Action::Recover(Recovery {
            epoch,
            now,
            settings: self.settings.clone(),
            state: self.replication.state(),
        }));
    }

    /// Starts to serve with a recovered scheduler. Nothing was appended since the election, as only the
    /// scheduler writes.
    fn start_scheduler(&mut self, epoch: u64, scheduler: S) {
        self.scheduler_epoch = epoch;
        self.scheduler = Some(scheduler);
        self.observe_configuration();
    }

    fn step_down(&mut self, now: Now) {
        self.recovering_epoch = None;
        if self.scheduler.take().is_some() {
            log::info!(
                "stepped down as primary; interrupting {} in-flight requests",
                self.in_flight.len()
            );
        }
        self.pending_configurations = PendingConfigurations::default();
        let view = self.replication.view(now.steady_ms);
        for interrupted in self.in_flight.interrupt_all() {
            let outcome = match interrupted.effect {
                RequestEffect::Mutating => ControlOutcome::Unknown,
                RequestEffect::ReadOnly | RequestEffect::Rejected => {
                    ControlOutcome::NotPrimary(view.clone())
                }
            };
            self.actions.push(Action::Respond {
                request: interrupted.request,
                outcome,
            });
        }
    }

    /// Releases the responses and configurations whose batches are committed.
    fn release_committed(&mut self, now: Now) {
        let has_pending =
            self.in_flight.has_responses() || self.pending_configurations.has_uncommitted();
        if !has_pending || !self.may_respond(now.steady_ms) {
            return;
        }
        let committed = self.replication.last_committed();
        self.pending_configurations.on_committed(committed);
        while let Some(committed_response) = self.in_flight.pop_committed(committed) {
            self.respond(now, committed_response);
        }
    }

    fn respond(&mut self, now: Now, committed: CommittedResponse) {
        let mut response = committed.response;
        if let SchedulerResponse::Agent(commands) = &mut response {
            // An agent that knows an older epoch may also know an outdated list of members.
            let is_behind = committed
                .agent_epoch
                .is_some_and(|epoch| epoch < commands.epoch);
            if is_behind && commands.view.is_none() {
                commands.view = Some(self.replication.view(now.steady_ms));
            }
        }
        self.actions.push(Action::Respond {
            request: committed.request,
            outcome: ControlOutcome::Response(response),
        });
    }
}

impl<S> Driver<Coordinator, S> {
    /// Replaces the seeds, for example after the settings file has changed.
    pub fn set_seeds(&mut self, seeds: Vec<CoreAddress>) {
        self.replication.set_seeds(seeds);
    }
}
