//! Responses wait for their commit and a valid lease.

use crate::fixture::{
    agent_response, agent_sync, client_request, client_response, events, is_response, now, primary,
    script_effects,
};
use streamusher_controlplane::driver::ControlOutcome;
use streamusher_protocol::internal::ClientMethod;
use streamusher_scheduler::SchedulerResponse;

#[test]
fn response_waits_for_commit_of_its_writes() {
    let mut machine = primary();
    script_effects(&["job/1"], vec![(1, client_response(200))]);

    assert!(machine
        .request(client_request(ClientMethod::Post))
        .is_empty());
    assert!(machine.tick().is_empty());
    let outcomes = machine.commit(1);

    assert!(matches!(&outcomes[..], [(1, outcome)] if is_response(outcome)));
}

#[test]
fn read_waits_for_commit_of_earlier_writes() {
    let mut machine = primary();
    script_effects(&["job/1"], vec![(1, client_response(200))]);
    script_effects(&[], vec![(2, client_response(200))]);
    machine.request(client_request(ClientMethod::Post));

    assert!(machine
        .request(client_request(ClientMethod::Get))
        .is_empty());
    let outcomes = machine.commit(1);

    assert_eq!(
        outcomes
            .iter()
            .map(|(request, _)| *request)
            .collect::<Vec<_>>(),
        [1, 2]
    );
}

#[test]
fn commit_releases_only_responses_up_to_its_sequence() {
    let mut machine = primary();
    script_effects(&["job/1"], vec![(1, client_response(200))]);
    script_effects(&["job/2"], vec![(2, client_response(200))]);
    machine.request(client_request(ClientMethod::Post));
    machine.request(client_request(ClientMethod::Post));

    let first = machine.commit(1);
    let second = machine.commit(2);

    assert!(matches!(&first[..], [(1, _)]));
    assert!(matches!(&second[..], [(2, _)]));
}

#[test]
fn read_is_released_at_once_when_all_is_committed() {
    let mut machine = primary();
    script_effects(&[], vec![(1, client_response(200))]);

    let outcomes = machine.request(client_request(ClientMethod::Get));

    assert!(matches!(&outcomes[..], [(1, outcome)] if is_response(outcome)));
}

#[test]
fn committed_response_waits_for_valid_lease() {
    let mut machine = primary();
    script_effects(&["job/1"], vec![(1, client_response(200))]);
    machine.request(client_request(ClientMethod::Post));
    machine.set_lease(false);

    assert!(machine.commit(1).is_empty());
    assert!(machine.tick().is_empty());
    machine.set_lease(true);
    let outcomes = machine.tick();

    assert!(matches!(&outcomes[..], [(1, outcome)] if is_response(outcome)));
}

#[test]
fn late_response_waits_for_commit_of_the_event_that_produced_it() {
    let mut machine = primary();
    script_effects(&[], Vec::new());
    machine.request(agent_sync());
    script_effects(&["worker/1"], vec![(1, agent_response(3))]);

    assert!(machine.tick().is_empty());
    let outcomes = machine.commit(1);

    assert!(matches!(&outcomes[..], [(1, outcome)] if is_response(outcome)));
}

#[test]
fn disconnected_caller_is_reported_to_scheduler_and_gets_no_response() {
    let mut machine = primary();
    script_effects(&["job/1"], vec![(1, client_response(200))]);
    machine.request(client_request(ClientMethod::Post));
    events();

    assert!(machine.driver.on_caller_disconnected(now(), 1).is_empty());
    assert_eq!(events(), ["abandoned 1"]);
    assert!(machine.commit(1).is_empty());
    assert!(machine.driver.on_caller_disconnected(now(), 1).is_empty());
    assert!(events().is_empty());
}

#[test]
fn response_to_unknown_request_is_dropped() {
    let mut machine = primary();
    script_effects(&[], vec![(99, client_response(200))]);

    assert!(machine.tick().is_empty());
}

#[test]
fn commands_to_agent_of_older_epoch_carry_the_view() {
    let mut machine = primary();
    script_effects(&[], vec![(1, agent_response(3))]);

    let outcomes = machine.request(agent_sync());

    let view = match &outcomes[..] {
        [(1, ControlOutcome::Response(SchedulerResponse::Agent(commands)))] => {
            commands.view.clone()
        }
        _ => None,
    };
    assert_eq!(view.map(|view| view.epoch), Some(3));
}
