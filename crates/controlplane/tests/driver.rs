//! The rule of release: nothing leaves before its commit or without a lease, and what is cut short is told honestly.

use rstest::rstest;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
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

/// What the replication under the driver says.
#[derive(Default)]
struct Script {
    lease: bool,
    opening: bool,
    appended: u64,
    committed: u64,
    epoch: u64,
    outputs: Vec<Output>,
    after_append: Vec<Output>,
    state: StateMap,
}

#[derive(Clone, Default)]
struct Scripted(Rc<RefCell<Script>>);

impl Replication for Scripted {
    fn handle(&mut self, _now: Millis, _input: Input) -> Vec<Output> {
        std::mem::take(&mut self.0.borrow_mut().outputs)
    }

    fn append(&mut self, _now: Millis, _writes: Vec<Write>) -> Vec<Output> {
        let mut script = self.0.borrow_mut();
        script.appended += 1;
        std::mem::take(&mut script.after_append)
    }

    fn may_act(&self, _now: Millis) -> bool {
        self.0.borrow().lease
    }

    fn is_becoming_primary(&self) -> bool {
        self.0.borrow().opening
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

fn address() -> CoreAddress {
    CoreAddress {
        internal: "10.0.0.1:7380".into(),
        control: "10.0.0.1:8144".into(),
    }
}

thread_local! {
    /// Effects of the next events, and the events that came.
    static EFFECTS: RefCell<VecDeque<Effects>> = RefCell::default();
    static EVENTS: RefCell<Vec<String>> = RefCell::default();
}

struct Machine;

impl StateMachine for Machine {
    fn recover(
        _: &SchedulerSettings,
        epoch: u64,
        _: Now,
        state: StateMap,
    ) -> Result<Self, RecoverError> {
        record(format!("recover {epoch} {}", state.len()));
        Ok(Machine)
    }

    fn handle(&mut self, _now: Now, event: Event) -> Effects {
        record(match event {
            Event::ClientRequest { id: request, .. } => format!("client {request}"),
            Event::AgentSync { id: request, .. } => format!("agent {request}"),
            Event::OperatorRequest { id: request, .. } => format!("operator {request}"),
            Event::RequestAbandoned { id: request } => format!("abandoned {request}"),
            Event::Tick => "tick".to_owned(),
        });
        EFFECTS
            .with(|effects| effects.borrow_mut().pop_front())
            .unwrap_or_default()
    }
}

fn record(event: String) {
    EVENTS.with(|events| events.borrow_mut().push(event));
}

fn events() -> Vec<String> {
    EVENTS.with(|events| std::mem::take(&mut *events.borrow_mut()))
}

fn next_effects(writes: &[&str], replies: Vec<(RequestId, SchedulerResponse)>) {
    let writes = writes.iter().map(|key| Write::set(*key, "1")).collect();
    let responses = replies
        .into_iter()
        .map(|(request, response)| PendingResponse { request, response })
        .collect();
    EFFECTS.with(|effects| {
        effects
            .borrow_mut()
            .push_back(Effects { writes, responses })
    });
}

struct Fixture {
    script: Scripted,
    driver: Driver<Scripted, Machine>,
}

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        limits: SchedulerLimits::default(),
        random_seed: 1,
        fair_share: None,
        policy: streamusher_scheduler::Policy::default(),
    }
}

fn now() -> Now {
    Now {
        steady_ms: 1_000,
        unix_ms: 1_000_000,
    }
}

fn idle() -> Fixture {
    EFFECTS.with(|effects| effects.borrow_mut().clear());
    events();
    let script = Scripted::default();
    let driver = Driver::new(settings(), script.clone());
    Fixture { script, driver }
}

/// The primary of epoch 3, with a lease.
fn primary() -> Fixture {
    let mut fixture = idle();
    fixture.script.0.borrow_mut().lease = true;
    fixture.script.0.borrow_mut().epoch = 3;
    assert!(fixture.told(Output::Elected { epoch: 3 }).is_empty());
    fixture
}

impl Fixture {
    /// An input that brings an output.
    fn told(&mut self, output: Output) -> Vec<(RequestId, ControlOutcome)> {
        let (answers, recoveries) = self.told_without_recovery(output);
        recoveries
            .into_iter()
            .for_each(|recovery| assert!(self.recover(recovery).is_empty()));
        answers
    }

    /// The same, with the recoveries that are to be run.
    fn told_without_recovery(
        &mut self,
        output: Output,
    ) -> (Vec<(RequestId, ControlOutcome)>, Vec<Recovery>) {
        self.script.0.borrow_mut().outputs.push(output);
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
        (answers(others), recoveries.collect())
    }

    fn recover(&mut self, recovery: Recovery) -> Vec<(RequestId, ControlOutcome)> {
        let epoch = recovery.epoch;
        answers(self.driver.on_recovered(now(), epoch, recovery.run()))
    }

    fn commit(&mut self, sequence: u64) -> Vec<(RequestId, ControlOutcome)> {
        self.script.0.borrow_mut().committed = sequence;
        self.told(Output::Committed { sequence })
    }

    fn set_lease(&mut self, lease: bool) {
        self.script.0.borrow_mut().lease = lease;
    }

    fn call(&mut self, call: ControlRequest) -> Vec<(RequestId, ControlOutcome)> {
        answers(self.driver.on_request(now(), call).1)
    }

    fn tick(&mut self) -> Vec<(RequestId, ControlOutcome)> {
        self.tick_at(now())
    }

    fn tick_at(&mut self, now: Now) -> Vec<(RequestId, ControlOutcome)> {
        answers(self.driver.tick(now))
    }

    fn set_opening(&mut self, opening: bool) {
        self.script.0.borrow_mut().opening = opening;
    }
}

fn answers(actions: Vec<Action>) -> Vec<(RequestId, ControlOutcome)> {
    let answer = |action| match action {
        Action::Respond { request, outcome } => Some((request, outcome)),
        _ => None,
    };
    actions.into_iter().filter_map(answer).collect()
}

fn client(method: ClientMethod) -> ControlRequest {
    let (host, path, body): (Arc<str>, Arc<str>, Arc<str>) = ("h".into(), "/q/1".into(), "".into());
    ControlRequest::Client(ClientRequest {
        method,
        host,
        path,
        body,
        configuration_version: 0,
    })
}

fn agent() -> ControlRequest {
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

fn operator(kind: OperatorRequestKind) -> ControlRequest {
    ControlRequest::Operator(OperatorRequest {
        kind,
        base: Some(0),
        body: "{}".into(),
    })
}

fn client_reply(status: u16) -> SchedulerResponse {
    SchedulerResponse::Client(ClientResponse {
        status,
        body: "".into(),
        retry_after_ms: None,
    })
}

fn operator_reply(status: u16) -> SchedulerResponse {
    SchedulerResponse::Operator(OperatorResponse {
        status,
        body: "".into(),
    })
}

fn agent_reply(epoch: u64) -> SchedulerResponse {
    SchedulerResponse::Agent(AgentCommands {
        epoch,
        ..Default::default()
    })
}

fn is_reply(answer: &ControlOutcome) -> bool {
    matches!(answer, ControlOutcome::Response(_))
}

#[rstest]
#[case(client(ClientMethod::Post))]
#[case(agent())]
#[case(operator(OperatorRequestKind::Replace))]
fn given_no_primary_when_called_then_it_says_so_at_once(#[case] call: ControlRequest) {
    let mut fixture = idle();

    let answers = fixture.call(call);

    assert!(
        matches!(&answers[..], [(1, ControlOutcome::NotPrimary(view))] if view.primary == Some(address()))
    );
    assert!(events().is_empty());
}

#[test]
fn given_a_primary_without_a_lease_when_called_then_nothing_is_done() {
    let mut fixture = primary();
    events();
    fixture.set_lease(false);

    let answers = fixture.call(client(ClientMethod::Post));

    assert!(matches!(&answers[..], [(1, ControlOutcome::NotPrimary(_))]));
    assert!(events().is_empty());
}

#[test]
fn given_an_election_then_the_scheduler_recovers_from_the_replicated_state() {
    let mut fixture = idle();
    fixture
        .script
        .0
        .borrow_mut()
        .state
        .insert("job/1".into(), "{}".into());

    fixture.told(Output::Elected { epoch: 4 });

    assert_eq!(events(), ["recover 4 1"]);
}

#[test]
fn given_an_election_when_the_scheduler_is_not_recovered_yet_then_calls_are_refused_and_nothing_is_done(
) {
    let mut fixture = idle();
    fixture.script.0.borrow_mut().lease = true;
    let (_, mut recoveries) = fixture.told_without_recovery(Output::Elected { epoch: 3 });
    let recovery = recoveries.pop().expect("a recovery");
    for call in [
        client(ClientMethod::Post),
        agent(),
        operator(OperatorRequestKind::Read),
    ] {
        let answers = fixture.call(call);
        assert!(
            matches!(answers[..], [(_, ControlOutcome::NotPrimary(_))]),
            "{answers:?}"
        );
    }
    assert!(fixture.tick().is_empty());
    assert_eq!(events(), [] as [&str; 0]);

    fixture.recover(recovery);
    fixture.call(client(ClientMethod::Get));
    assert_eq!(events(), ["recover 3 0", "client 4"]);
}

/// Elected, with its scheduler recovered, and its first batch on the way to the replicas.
fn opening() -> Fixture {
    let mut fixture = idle();
    fixture.set_opening(true);
    fixture.told(Output::Elected { epoch: 3 });
    events();
    fixture
}

#[test]
fn given_an_elected_machine_when_called_before_it_may_act_then_the_calls_are_carried_out_in_order_once_it_acts(
) {
    let mut fixture = opening();
    for call in [
        agent(),
        client(ClientMethod::Post),
        operator(OperatorRequestKind::Read),
    ] {
        assert!(fixture.call(call).is_empty());
    }
    assert!(fixture.tick().is_empty());
    assert_eq!(events(), [] as [&str; 0]);

    fixture.set_lease(true);
    fixture.set_opening(false);
    next_effects(&[], vec![(1, agent_reply(3))]);
    let answers = fixture.commit(0);
    assert!(
        matches!(&answers[..], [(1, ControlOutcome::Response(_))]),
        "{answers:?}"
    );
    assert_eq!(events(), ["agent 1", "client 2", "operator 3"]);
}

#[rstest]
#[case::another_is_elected(false, 0)]
#[case::its_batch_is_not_committed_in_time(true, 1_000)]
fn given_calls_that_came_early_when_the_machine_does_not_act_then_they_are_refused_and_nothing_is_done(
    #[case] opening: bool,
    #[case] later_ms: Millis,
) {
    let mut fixture = opening_with_a_call();
    fixture.set_opening(opening);
    let later = Now {
        steady_ms: now().steady_ms + later_ms,
        unix_ms: now().unix_ms + later_ms,
    };
    let answers = fixture.tick_at(later);
    assert!(
        matches!(&answers[..], [(1, ControlOutcome::NotPrimary(_))]),
        "{answers:?}"
    );
    assert_eq!(events(), [] as [&str; 0]);
    fixture.set_lease(true);
    assert!(fixture.tick().is_empty());
    assert_eq!(events(), ["tick"]);
}

fn opening_with_a_call() -> Fixture {
    let mut fixture = opening();
    assert!(fixture.call(client(ClientMethod::Post)).is_empty());
    fixture
}

#[test]
fn given_more_early_calls_than_may_wait_when_one_more_comes_then_it_is_refused_at_once() {
    const MOST_CALLS: usize = 4_096;
    let mut fixture = opening();
    (0..MOST_CALLS).for_each(|_| assert!(fixture.call(client(ClientMethod::Get)).is_empty()));
    let answers = fixture.call(client(ClientMethod::Get));
    assert!(
        matches!(answers[..], [(_, ControlOutcome::NotPrimary(_))]),
        "{answers:?}"
    );
}

#[test]
fn given_a_call_that_came_early_when_its_caller_leaves_then_it_is_not_carried_out() {
    let mut fixture = opening_with_a_call();
    assert!(answers(fixture.driver.on_caller_disconnected(now(), 1)).is_empty());
    fixture.set_lease(true);
    fixture.set_opening(false);
    assert!(fixture.tick().is_empty());
    assert_eq!(events(), ["tick"]);
}

#[test]
fn given_a_recovery_that_ends_after_the_office_was_left_then_it_counts_no_more() {
    let mut fixture = idle();
    fixture.script.0.borrow_mut().lease = true;
    let (_, mut first) = fixture.told_without_recovery(Output::Elected { epoch: 3 });
    fixture.told(Output::Deposed);
    fixture.recover(first.pop().expect("a recovery"));
    let answers = fixture.call(client(ClientMethod::Post));
    assert!(
        matches!(answers[..], [(_, ControlOutcome::NotPrimary(_))]),
        "{answers:?}"
    );

    let (_, mut second) = fixture.told_without_recovery(Output::Elected { epoch: 5 });
    let (_, mut third) = fixture.told_without_recovery(Output::Elected { epoch: 7 });
    fixture.recover(second.pop().expect("a recovery"));
    let answers = fixture.call(client(ClientMethod::Post));
    assert!(
        matches!(answers[..], [(_, ControlOutcome::NotPrimary(_))]),
        "the scheduler of an earlier office: {answers:?}"
    );
    fixture.recover(third.pop().expect("a recovery"));
    assert_eq!(events(), ["recover 3 0", "recover 5 0", "recover 7 0"]);
}

#[test]
fn given_writes_when_they_are_not_committed_then_the_reply_waits_for_the_commit() {
    let mut fixture = primary();
    next_effects(&["job/1"], vec![(1, client_reply(200))]);

    assert!(fixture.call(client(ClientMethod::Post)).is_empty());
    assert!(fixture.tick().is_empty());
    let answers = fixture.commit(1);

    assert!(matches!(&answers[..], [(1, answer)] if is_reply(answer)));
}

#[test]
fn given_an_uncommitted_write_when_another_caller_reads_then_its_reply_waits_as_well() {
    let mut fixture = primary();
    next_effects(&["job/1"], vec![(1, client_reply(200))]);
    next_effects(&[], vec![(2, client_reply(200))]);
    fixture.call(client(ClientMethod::Post));

    assert!(fixture.call(client(ClientMethod::Get)).is_empty());
    let answers = fixture.commit(1);

    assert_eq!(
        answers
            .iter()
            .map(|(request, _)| *request)
            .collect::<Vec<_>>(),
        [1, 2]
    );
}

#[test]
fn given_two_appends_when_the_first_is_committed_then_only_its_reply_leaves() {
    let mut fixture = primary();
    next_effects(&["job/1"], vec![(1, client_reply(200))]);
    next_effects(&["job/2"], vec![(2, client_reply(200))]);
    fixture.call(client(ClientMethod::Post));
    fixture.call(client(ClientMethod::Post));

    let first = fixture.commit(1);
    let second = fixture.commit(2);

    assert!(matches!(&first[..], [(1, _)]));
    assert!(matches!(&second[..], [(2, _)]));
}

#[test]
fn given_everything_committed_when_a_caller_reads_then_the_reply_leaves_at_once() {
    let mut fixture = primary();
    next_effects(&[], vec![(1, client_reply(200))]);

    let answers = fixture.call(client(ClientMethod::Get));

    assert!(matches!(&answers[..], [(1, answer)] if is_reply(answer)));
}

#[test]
fn given_a_commit_without_a_lease_then_the_reply_waits_until_the_lease_is_back() {
    let mut fixture = primary();
    next_effects(&["job/1"], vec![(1, client_reply(200))]);
    fixture.call(client(ClientMethod::Post));
    fixture.set_lease(false);

    assert!(fixture.commit(1).is_empty());
    assert!(fixture.tick().is_empty());
    fixture.set_lease(true);
    let answers = fixture.tick();

    assert!(matches!(&answers[..], [(1, answer)] if is_reply(answer)));
}

#[test]
fn given_a_held_call_when_its_reply_comes_with_a_later_event_then_it_rests_on_that_events_writes() {
    let mut fixture = primary();
    next_effects(&[], Vec::new());
    fixture.call(agent());
    next_effects(&["worker/1"], vec![(1, agent_reply(3))]);

    assert!(fixture.tick().is_empty());
    let answers = fixture.commit(1);

    assert!(matches!(&answers[..], [(1, answer)] if is_reply(answer)));
}

#[rstest]
#[case::accepted(client(ClientMethod::Post), client_reply(200))]
#[case::cancelled(client(ClientMethod::Delete), client_reply(200))]
#[case::replaced(operator(OperatorRequestKind::Replace), operator_reply(200))]
#[case::updated(operator(OperatorRequestKind::Update), operator_reply(200))]
#[case::refused_with_writes(client(ClientMethod::Post), client_reply(429))]
fn given_a_change_that_is_not_committed_when_deposed_then_its_outcome_is_unknown(
    #[case] call: ControlRequest,
    #[case] reply: SchedulerResponse,
) {
    let mut fixture = primary();
    next_effects(&["key"], vec![(1, reply)]);
    fixture.call(call);

    let answers = fixture.told(Output::Deposed);

    assert!(matches!(&answers[..], [(1, ControlOutcome::Unknown)]));
}

#[test]
fn given_a_repeated_change_that_wrote_nothing_itself_when_deposed_then_its_outcome_is_unknown() {
    let mut fixture = primary();
    next_effects(&["job/1"], vec![(1, client_reply(200))]);
    next_effects(&[], vec![(2, client_reply(200))]);
    fixture.call(client(ClientMethod::Post));
    fixture.call(client(ClientMethod::Post));

    let answers = fixture.told(Output::Deposed);

    assert!(matches!(
        &answers[..],
        [(1, ControlOutcome::Unknown), (2, ControlOutcome::Unknown)]
    ));
}

#[test]
fn given_a_change_without_a_reply_when_deposed_then_its_outcome_is_unknown() {
    let mut fixture = primary();
    fixture.call(client(ClientMethod::Post));

    let answers = fixture.told(Output::Deposed);

    assert!(matches!(&answers[..], [(1, ControlOutcome::Unknown)]));
}

#[rstest]
#[case::read(client(ClientMethod::Get), Some(client_reply(200)))]
#[case::refused(client(ClientMethod::Post), Some(client_reply(429)))]
#[case::lost_race(operator(OperatorRequestKind::Replace), Some(operator_reply(412)))]
#[case::configuration_read(operator(OperatorRequestKind::Read), Some(operator_reply(200)))]
#[case::report(agent(), Some(agent_reply(3)))]
#[case::held_report(agent(), None)]
fn given_a_call_that_changed_nothing_when_deposed_then_it_is_told_that_nothing_was_done(
    #[case] call: ControlRequest,
    #[case] reply: Option<SchedulerResponse>,
) {
    let mut fixture = primary();
    next_effects(&["other"], Vec::new());
    fixture.tick();
    next_effects(&[], reply.into_iter().map(|reply| (1, reply)).collect());
    assert!(fixture.call(call).is_empty());

    let answers = fixture.told(Output::Deposed);

    assert!(matches!(&answers[..], [(1, ControlOutcome::NotPrimary(_))]));
}

#[test]
fn given_a_deposed_primary_when_it_is_elected_again_then_no_old_reply_leaves() {
    let mut fixture = primary();
    next_effects(&["job/1"], vec![(1, client_reply(200))]);
    fixture.call(client(ClientMethod::Post));
    fixture.told(Output::Deposed);
    fixture.told(Output::Elected { epoch: 5 });

    assert!(fixture.commit(1).is_empty());
    assert_eq!(fixture.driver.in_flight_requests(), 0);
}

#[test]
fn given_a_deposal_by_the_append_itself_then_the_change_is_unknown_and_no_reply_leaves() {
    let mut fixture = primary();
    fixture
        .script
        .0
        .borrow_mut()
        .after_append
        .push(Output::Deposed);
    next_effects(&["job/1"], vec![(1, client_reply(200))]);

    let answers = fixture.call(client(ClientMethod::Post));

    assert!(matches!(&answers[..], [(1, ControlOutcome::Unknown)]));
}

#[test]
fn given_a_caller_that_left_then_the_scheduler_is_told_and_no_answer_is_made() {
    let mut fixture = primary();
    next_effects(&["job/1"], vec![(1, client_reply(200))]);
    fixture.call(client(ClientMethod::Post));
    events();

    assert!(fixture.driver.on_caller_disconnected(now(), 1).is_empty());
    assert_eq!(events(), ["abandoned 1"]);
    assert!(fixture.commit(1).is_empty());
    assert!(fixture.driver.on_caller_disconnected(now(), 1).is_empty());
    assert!(events().is_empty());
}

#[test]
fn given_a_reply_to_an_unknown_call_then_it_is_dropped() {
    let mut fixture = primary();
    next_effects(&[], vec![(99, client_reply(200))]);

    assert!(fixture.tick().is_empty());
}

#[test]
fn given_no_lease_then_the_scheduler_is_not_told_the_time() {
    let mut fixture = primary();
    events();
    fixture.set_lease(false);
    fixture.tick();
    assert!(events().is_empty());

    fixture.set_lease(true);
    fixture.tick();

    assert_eq!(events(), ["tick"]);
}

#[test]
fn given_an_agent_of_an_older_epoch_then_its_orders_carry_the_view() {
    let mut fixture = primary();
    next_effects(&[], vec![(1, agent_reply(3))]);

    let answers = fixture.call(agent());

    let view = match &answers[..] {
        [(1, ControlOutcome::Response(SchedulerResponse::Agent(orders)))] => orders.view.clone(),
        _ => None,
    };
    assert_eq!(view.map(|view| view.epoch), Some(3));
}
