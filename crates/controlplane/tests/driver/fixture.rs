//! A driver on top of a scripted replication, with a state machine that records its events.

use std::cell::{RefCell, RefMut};
use std::collections::VecDeque;
use std::rc::Rc;
use streamusher_controlplane::driver::{
    Action, ControlOutcome, ControlRequest, Driver, Recovery, Replication, StateMachine,
};
use streamusher_coordination::{Input, Output, StateMap};
use streamusher_protocol::internal::{
    AgentCommands, AgentSync, ClientMethod, ClientRequest, ClientResponse, ClusterView, CoreAddress,
};
use streamusher_protocol::store::Write;
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::{
    Effects, Event, OperatorRequest, OperatorRequestKind, OperatorResponse, PendingResponse,
    RecoverError, RequestId, SchedulerLimits, SchedulerResponse, SchedulerSettings,
};

/// The values that the scripted replication returns to the driver.
#[derive(Default)]
pub(crate) struct ReplicationScript {
    pub(crate) has_lease: bool,
    pub(crate) becoming_primary: bool,
    pub(crate) appended: u64,
    pub(crate) committed: u64,
    pub(crate) epoch: u64,
    pub(crate) outputs: Vec<Output>,
    pub(crate) outputs_of_append: Vec<Output>,
    pub(crate) state: StateMap,
}

#[derive(Clone, Default)]
pub(crate) struct ScriptedReplication(Rc<RefCell<ReplicationScript>>);

impl Replication for ScriptedReplication {
    fn handle(&mut self, _now: Millis, _input: Input) -> Vec<Output> {
        std::mem::take(&mut self.0.borrow_mut().outputs)
    }

    fn append(&mut self, _now: Millis, _writes: Vec<Write>) -> Vec<Output> {
        let mut script = self.0.borrow_mut();
        script.appended += 1;
        std::mem::take(&mut script.outputs_of_append)
    }

    fn may_act(&self, _now: Millis) -> bool {
        self.0.borrow().has_lease
    }

    fn is_becoming_primary(&self) -> bool {
        self.0.borrow().becoming_primary
    }

    fn last_appended(&self) -> u64 {
        self.0.borrow().appended
    }

    fn last_committed(&self) -> u64 {
        self.0.borrow().committed
    }

    fn state(&self) -> StateMap {
        self.0.borrow().state.clone()
    }

    fn view(&self, _now: Millis) -> ClusterView {
        ClusterView {
            epoch: self.0.borrow().epoch,
            primary: Some(address()),
            members: vec![address()],
        }
    }
}

pub(crate) fn address() -> CoreAddress {
    CoreAddress {
        internal: "10.0.0.1:7380".into(),
        control: "10.0.0.1:8144".into(),
    }
}

thread_local! {
    /// The effects that the next events return, and the events recorded so far.
    static EFFECTS: RefCell<VecDeque<Effects>> = RefCell::default();
    static EVENTS: RefCell<Vec<String>> = RefCell::default();
}

pub(crate) struct RecordingStateMachine;

impl StateMachine for RecordingStateMachine {
    fn recover(
        _: &SchedulerSettings,
        epoch: u64,
        _: Now,
        state: StateMap,
    ) -> Result<Self, RecoverError> {
        record(format!("recover {epoch} {}", state.len()));
        Ok(RecordingStateMachine)
    }

    fn handle(&mut self, _now: Now, event: Event) -> Effects {
        record(match event {
            Event::ClientRequest { id, .. } => format!("client {id}"),
            Event::AgentSync { id, .. } => format!("agent {id}"),
            Event::OperatorRequest { id, .. } => format!("operator {id}"),
            Event::RequestAbandoned { id } => format!("abandoned {id}"),
            Event::Tick => "tick".to_owned(),
        });
        EFFECTS
            .with(|effects| effects.borrow_mut().pop_front())
            .unwrap_or_default()
    }
}

pub(crate) fn record(event: String) {
    EVENTS.with(|events| events.borrow_mut().push(event));
}

pub(crate) fn events() -> Vec<String> {
    EVENTS.with(|events| std::mem::take(&mut *events.borrow_mut()))
}

pub(crate) fn script_effects(writes: &[&str], responses: Vec<(RequestId, SchedulerResponse)>) {
    let writes = writes.iter().map(|key| Write::set(*key, "1")).collect();
    let responses = responses
        .into_iter()
        .map(|(request, response)| PendingResponse { request, response })
        .collect();
    let scripted = Effects { writes, responses };
    EFFECTS.with(|effects| effects.borrow_mut().push_back(scripted));
}

pub(crate) struct TestMachine {
    script: ScriptedReplication,
    pub(crate) driver: Driver<ScriptedReplication, RecordingStateMachine>,
}

pub(crate) fn settings() -> SchedulerSettings {
    SchedulerSettings {
        limits: SchedulerLimits::default(),
        random_seed: 1,
        fair_share: None,
        policy: streamusher_scheduler::Policy::default(),
    }
}

pub(crate) fn now() -> Now {
    Now {
        steady_ms: 1_000,
        unix_ms: 1_000_000,
    }
}

pub(crate) fn replica() -> TestMachine {
    EFFECTS.with(|effects| effects.borrow_mut().clear());
    events();
    let script = ScriptedReplication::default();
    let driver = Driver::new(settings(), script.clone());
    TestMachine { script, driver }
}

/// Creates the primary of epoch 3, with a valid lease.
pub(crate) fn primary() -> TestMachine {
    let mut machine = replica();
    machine.set_lease(true);
    machine.script().epoch = 3;
    assert!(machine
        .apply_output(Output::Elected { epoch: 3 })
        .is_empty());
    machine
}

impl TestMachine {
    /// Borrows the script of the replication, to change it.
    pub(crate) fn script(&self) -> RefMut<'_, ReplicationScript> {
        self.script.0.borrow_mut()
    }

    /// Handles an input for which the replication returns `output`, and runs the recoveries that it causes.
    pub(crate) fn apply_output(&mut self, output: Output) -> Vec<(RequestId, ControlOutcome)> {
        let (outcomes, recoveries) = self.apply_output_without_recovery(output);
        for recovery in recoveries {
            assert!(self.recover(recovery).is_empty());
        }
        outcomes
    }

    /// Handles an input for which the replication returns `output`. Returns the recoveries that it causes
    /// instead of running them.
    pub(crate) fn apply_output_without_recovery(
        &mut self,
        output: Output,
    ) -> (Vec<(RequestId, ControlOutcome)>, Vec<Recovery>) {
        self.script().outputs.push(output);
        let actions = self
            .driver
            .handle_input(now(), Input::Persisted { ticket: 1 });
        let (recoveries, others): (Vec<Action>, Vec<Action>) = actions
            .into_iter()
            .partition(|action| matches!(action, Action::Recover(_)));
        let recoveries = recoveries.into_iter().filter_map(|action| match action {
            Action::Recover(recovery) => Some(recovery),
            _ => None,
        });
        (outcomes(others), recoveries.collect())
    }

    pub(crate) fn recover(&mut self, recovery: Recovery) -> Vec<(RequestId, ControlOutcome)> {
        let epoch = recovery.epoch;
        outcomes(self.driver.on_recovered(now(), epoch, recovery.run()))
    }

    pub(crate) fn commit(&mut self, sequence: u64) -> Vec<(RequestId, ControlOutcome)> {
        self.script().committed = sequence;
        self.apply_output(Output::Committed { sequence })
    }

    pub(crate) fn set_lease(&mut self, has_lease: bool) {
        self.script().has_lease = has_lease;
    }

    pub(crate) fn request(&mut self, request: ControlRequest) -> Vec<(RequestId, ControlOutcome)> {
        outcomes(self.driver.on_request(now(), request).1)
    }

    pub(crate) fn tick(&mut self) -> Vec<(RequestId, ControlOutcome)> {
        self.tick_at(now())
    }

    pub(crate) fn tick_at(&mut self, now: Now) -> Vec<(RequestId, ControlOutcome)> {
        outcomes(self.driver.tick(now))
    }

    pub(crate) fn set_becoming_primary(&mut self, becoming_primary: bool) {
        self.script().becoming_primary = becoming_primary;
    }
}

pub(crate) fn outcomes(actions: Vec<Action>) -> Vec<(RequestId, ControlOutcome)> {
    let outcome = |action| match action {
        Action::Respond { request, outcome } => Some((request, outcome)),
        _ => None,
    };
    actions.into_iter().filter_map(outcome).collect()
}

pub(crate) fn client_request(method: ClientMethod) -> ControlRequest {
    ControlRequest::Client(ClientRequest {
        method,
        host: "h".into(),
        path: "/q/1".into(),
        body: "".into(),
        configuration_version: 0,
    })
}

pub(crate) fn agent_sync() -> ControlRequest {
    ControlRequest::Agent(AgentSync {
        agent: "side-1".into(),
        boot: 1,
        sequence: 1,
        epoch: 2,
        revision: 0,
        wait_ms: 500,
        worker: None,
    })
}

pub(crate) fn operator_request(kind: OperatorRequestKind) -> ControlRequest {
    ControlRequest::Operator(OperatorRequest {
        kind,
        base: Some(0),
        body: "{}".into(),
    })
}

pub(crate) fn client_response(status: u16) -> SchedulerResponse {
    SchedulerResponse::Client(ClientResponse {
        status,
        body: "".into(),
        retry_after_ms: None,
    })
}

pub(crate) fn operator_response(status: u16) -> SchedulerResponse {
    SchedulerResponse::Operator(OperatorResponse {
        status,
        body: "".into(),
    })
}

pub(crate) fn agent_response(epoch: u64) -> SchedulerResponse {
    SchedulerResponse::Agent(AgentCommands {
        epoch,
        ..Default::default()
    })
}

pub(crate) fn is_response(outcome: &ControlOutcome) -> bool {
    matches!(outcome, ControlOutcome::Response(_))
}

/// Creates a machine that is elected and has recovered its scheduler, but whose first batch is not committed
/// yet.
pub(crate) fn becoming_primary() -> TestMachine {
    let mut machine = replica();
    machine.set_becoming_primary(true);
    machine.apply_output(Output::Elected { epoch: 3 });
    events();
    machine
}

pub(crate) fn becoming_primary_with_request() -> TestMachine {
    let mut machine = becoming_primary();
    assert!(machine
        .request(client_request(ClientMethod::Post))
        .is_empty());
    machine
}
