//! Operators, which send configurations, change them concurrently, send invalid changes, and retry requests
//! without a definite response.

use super::configuration_changes::{first_configuration, ChangeDraft, ChangeGenerator};
use super::environment::Environment;
use super::event::{Event, OperatorEvent};
use super::rpc;
use super::rpc_message::{Caller, RpcOutcome, RpcRequest};
use crate::checker::SentChange;
use crate::network::MachineId;
use crate::workload::Workload;
use std::sync::Arc;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_protocol::config::Configuration;
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;
use streamusher_scheduler::{OperatorRequest, OperatorRequestKind, OperatorResponse};

/// Time-out of an operator's request.
const RESPONSE_TIMEOUT_MS: Millis = 1_000;
const FIRST_RETRY_PAUSE_MS: Millis = 50;
const MAX_RETRY_PAUSE_MS: Millis = 800;
const MAX_PAUSE_DOUBLINGS: u32 = 5;
/// Number of redirects that an operator follows before it pauses.
const MAX_REDIRECTS: u32 = 2;
/// Interval between two reads of the configuration.
const READ_INTERVAL_MS: Millis = 350;
/// True time at which the first configuration is sent.
const FIRST_CONFIGURATION_AT_MS: Millis = 600;
/// Time before the end of the simulation after which the final read is no longer retried.
const FINAL_READ_MARGIN_MS: Millis = 600;
const MIN_COPY_DELAY_MS: Millis = 100;

/// A request of an operator, and whether it has had a definite response.
#[derive(Clone, Debug)]
struct PendingRequest {
    kind: OperatorRequestKind,
    /// Number under which the checker records the change; `None` for a read.
    change: Option<usize>,
    /// Whether the request reads the configuration at the end of the simulation.
    is_final_read: bool,
    base: Option<u64>,
    body: Arc<str>,
    result: Option<Arc<Configuration>>,
    attempts: u32,
    redirects: u32,
    done: bool,
}

impl PendingRequest {
    fn read(is_final_read: bool) -> PendingRequest {
        PendingRequest {
            kind: OperatorRequestKind::Read,
            change: None,
            is_final_read,
            base: None,
            body: "".into(),
            result: None,
            attempts: 0,
            redirects: 0,
            done: false,
        }
    }

    fn change(draft: ChangeDraft, number: usize) -> PendingRequest {
        PendingRequest {
            kind: draft.kind,
            change: Some(number),
            base: Some(draft.base),
            body: draft.body.into(),
            result: draft.result,
            ..PendingRequest::read(false)
        }
    }

    fn is_for(&self, draft: &ChangeDraft) -> bool {
        self.base == Some(draft.base) && *self.body == *draft.body
    }
}

/// Delay of request copies: the longest delay, and the true time until which copies are sent.
#[derive(Clone, Copy, Debug)]
struct CopyDelay {
    max_delay_ms: Millis,
    until: Millis,
}

/// All operators of a fleet.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    /// The newest configuration that was acknowledged or read.
    known: Option<Arc<Configuration>>,
    requests: Vec<PendingRequest>,
    changes: ChangeGenerator,
    copy_delay: Option<CopyDelay>,
    workload: Option<Arc<Workload>>,
}

impl Operators {
    pub(crate) fn new(workload: Option<Arc<Workload>>) -> Operators {
        Operators {
            workload,
            ..Operators::default()
        }
    }

    /// Schedules the first configuration, and reads until the end of the simulation.
    pub(crate) fn schedule_initial_requests(env: &mut Environment) {
        let first = OperatorEvent::FirstConfiguration;
        env.schedule_at(FIRST_CONFIGURATION_AT_MS, Event::Operator(first));
        let ends_at = env.settings.final_queries_at();
        let final_read = OperatorEvent::Read { is_final: true };
        env.schedule_at(ends_at, Event::Operator(final_read));
        let mut due = FIRST_CONFIGURATION_AT_MS;
        while due < ends_at {
            let read = OperatorEvent::Read { is_final: false };
            env.schedule_at(due, Event::Operator(read));
            due += READ_INTERVAL_MS;
        }
    }

    /// Prefixes of all queues that operators have added.
    pub(crate) fn added_queues(&self) -> &[Arc<str>] {
        self.changes.added_queues()
    }

    /// Handles a scheduled event.
    pub(crate) fn on_event(&mut self, env: &mut Environment, event: &OperatorEvent) {
        match event {
            OperatorEvent::FirstConfiguration => {
                let first = first_configuration(self.workload.as_deref());
                self.send_change(env, first);
            }
            OperatorEvent::Read { is_final } => self.read(env, *is_final),
            OperatorEvent::Retry { request } => self.send(env, *request, None),
            OperatorEvent::Change => self.change(env, None),
        }
    }

    /// Makes one random change of the newest known configuration.
    pub(crate) fn change(&mut self, env: &mut Environment, version_step: Option<u64>) {
        let Some(known) = self.known.clone() else {
            return;
        };
        let draft = self.changes.change(&mut env.random, &known, version_step);
        self.send_change(env, draft);
    }

    /// Makes two changes of the same version, possibly with the same new version number.
    pub(crate) fn race(&mut self, env: &mut Environment) {
        let version_step = env.random.chance(0.5).then_some(1);
        self.change(env, version_step);
        self.change(env, version_step);
    }

    /// Sends a change together with a second change that builds on it; the second one is sent first.
    pub(crate) fn change_chain(&mut self, env: &mut Environment) {
        let Some(known) = self.known.clone() else {
            return;
        };
        let (first, second) = self.changes.chain(&mut env.random, &known);
        self.send_change(env, second);
        self.send_change(env, first);
    }

    /// Sends an invalid change.
    pub(crate) fn invalid_change(&mut self, env: &mut Environment) {
        let Some(known) = self.known.clone() else {
            return;
        };
        let draft = ChangeGenerator::invalid(&mut env.random, &known);
        self.send_change(env, draft);
    }

    /// Sends a delayed copy of each request for some time.
    pub(crate) fn delay_copies(&mut self, now: Millis, max_delay_ms: Millis, for_ms: Millis) {
        self.copy_delay = Some(CopyDelay {
            max_delay_ms,
            until: now + for_ms,
        });
    }

    fn send_change(&mut self, env: &mut Environment, draft: ChangeDraft) {
        // A change with the same base and body is the same request, regardless of which operator sends it.
        if self.requests.iter().any(|request| request.is_for(&draft)) {
            return;
        }
        let sent = SentChange {
            base: draft.base,
            result: draft.result.clone(),
        };
        let number = env.checker.on_change_sent(env.now, sent);
        env.trace(|| {
            format!(
                "operator: {:?} {number} of version {}: {}",
                draft.kind, draft.base, draft.body
            )
        });
        self.start_request(env, PendingRequest::change(draft, number));
    }

    fn read(&mut self, env: &mut Environment, is_final: bool) {
        self.start_request(env, PendingRequest::read(is_final));
    }

    fn start_request(&mut self, env: &mut Environment, request: PendingRequest) {
        self.requests.push(request);
        self.send(env, self.requests.len() - 1, None);
    }

    /// Sends a request to `receiver`, or to a random control machine.
    fn send(&mut self, env: &mut Environment, request: usize, receiver: Option<MachineId>) {
        let control_machines = env.machines.control_machines();
        let any = control_machines[env.random.below(control_machines.len())];
        let state = &mut self.requests[request];
        if state.done {
            return;
        }
        state.attempts += 1;
        let message = OperatorRequest {
            kind: state.kind,
            base: state.base,
            body: state.body.clone(),
        };
        let message = RpcRequest::primary(ControlRequest::Operator(message));
        let receiver = receiver.unwrap_or(any);
        if let Some(delay) = self.copy_delay.filter(|delay| env.now < delay.until) {
            let delay_ms = env.random.between(MIN_COPY_DELAY_MS, delay.max_delay_ms);
            rpc::send_delayed_copy(env, receiver, message.clone(), delay_ms);
        }
        let caller = Caller::Operator {
            request,
            sent_at: env.now,
        };
        rpc::call(env, caller, receiver, message, RESPONSE_TIMEOUT_MS);
    }

    /// Handles the outcome of a call.
    pub(crate) fn on_call_returned(
        &mut self,
        env: &mut Environment,
        request: usize,
        sent_at: Millis,
        outcome: RpcOutcome,
    ) {
        if self.requests[request].done {
            return;
        }
        match outcome {
            RpcOutcome::Operator(response) if response.status < 500 => {
                self.on_response(env, request, sent_at, &response);
            }
            RpcOutcome::NotPrimary(view) => self.on_redirect(env, request, view.primary.as_ref()),
            _ => self.retry(env, request),
        }
    }

    fn on_redirect(
        &mut self,
        env: &mut Environment,
        request: usize,
        primary: Option<&CoreAddress>,
    ) {
        let receiver = primary.and_then(|address| env.machines.at_address(&address.control));
        let state = &mut self.requests[request];
        if receiver.is_some() && state.redirects < MAX_REDIRECTS {
            state.redirects += 1;
            self.send(env, request, receiver);
        } else {
            self.retry(env, request);
        }
    }

    fn retry(&mut self, env: &mut Environment, request: usize) {
        let state = &mut self.requests[request];
        state.redirects = 0;
        if state.is_final_read && env.now > env.ends_at.saturating_sub(FINAL_READ_MARGIN_MS) {
            state.done = true;
            env.checker.on_configuration_unreadable(env.now);
            return;
        }
        let doublings = state.attempts.min(MAX_PAUSE_DOUBLINGS);
        let pause_ms = (FIRST_RETRY_PAUSE_MS << doublings).min(MAX_RETRY_PAUSE_MS);
        let event = OperatorEvent::Retry { request };
        env.schedule_in(pause_ms, Event::Operator(event));
    }

    fn on_response(
        &mut self,
        env: &mut Environment,
        request: usize,
        sent_at: Millis,
        response: &OperatorResponse,
    ) {
        let state = &mut self.requests[request];
        env.trace(|| {
            format!(
                "operator: {:?} {:?} response: {} {}",
                state.kind, state.change, response.status, response.body
            )
        });
        let Some(change) = state.change else {
            self.on_read_response(env, request, sent_at, response);
            return;
        };
        state.done = true;
        let result = state.result.clone();
        env.checker
            .on_change_response(env.now, change, response.status);
        match (response.status, result) {
            (200, Some(result)) => self.update_known(result),
            (409 | 412, _) => self.read(env, false),
            _ => {}
        }
    }

    fn on_read_response(
        &mut self,
        env: &mut Environment,
        request: usize,
        sent_at: Millis,
        response: &OperatorResponse,
    ) {
        if response.status != 200 {
            self.retry(env, request);
            return;
        }
        self.requests[request].done = true;
        env.checker
            .on_configuration_read(env.now, sent_at, &response.body);
        if let Ok(read) = serde_json::from_str::<Configuration>(&response.body) {
            self.update_known(Arc::new(read));
        }
    }

    fn update_known(&mut self, configuration: Arc<Configuration>) {
        let known_version = self.known.as_ref().map_or(0, |known| known.version);
        if configuration.version > known_version {
            self.known = Some(configuration);
        }
    }
}
