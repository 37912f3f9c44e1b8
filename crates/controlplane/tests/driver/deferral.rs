//! Requests that arrive between the election and the time from which the machine may act as primary.

use crate::fixture::{
    agent_response, agent_sync, becoming_primary, becoming_primary_with_request, client_request,
    events, now, operator_request, outcomes, script_effects,
};
use rstest::rstest;
use streamusher_controlplane::driver::ControlOutcome;
use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::OperatorRequestKind;

#[test]
fn deferred_requests_are_executed_in_order_once_primary_acts() {
    let mut machine = becoming_primary();
    for request in [
        agent_sync(),
        client_request(ClientMethod::Post),
        operator_request(OperatorRequestKind::Read),
    ] {
        assert!(machine.request(request).is_empty());
    }
    assert!(machine.tick().is_empty());
    assert_eq!(events(), [] as [&str; 0]);

    machine.set_lease(true);
    machine.set_becoming_primary(false);
    script_effects(&[], vec![(1, agent_response(3))]);
    let outcomes = machine.commit(0);
    assert!(
        matches!(&outcomes[..], [(1, ControlOutcome::Response(_))]),
        "{outcomes:?}"
    );
    assert_eq!(events(), ["agent 1", "client 2", "operator 3"]);
}

#[rstest]
#[case::another_machine_is_elected(false, 0)]
#[case::deadline_passes(true, 1_000)]
fn deferred_requests_are_rejected_if_machine_does_not_act(
    #[case] becoming_primary: bool,
    #[case] later_ms: Millis,
) {
    let mut machine = becoming_primary_with_request();
    machine.set_becoming_primary(becoming_primary);
    let later = Now {
        steady_ms: now().steady_ms + later_ms,
        unix_ms: now().unix_ms + later_ms,
    };
    let outcomes = machine.tick_at(later);
    assert!(
        matches!(&outcomes[..], [(1, ControlOutcome::NotPrimary(_))]),
        "{outcomes:?}"
    );
    assert_eq!(events(), [] as [&str; 0]);
    machine.set_lease(true);
    assert!(machine.tick().is_empty());
    assert_eq!(events(), ["tick"]);
}

#[test]
fn request_is_rejected_at_once_when_queue_is_full() {
    const MAX_REQUESTS: usize = 4_096;
    let mut machine = becoming_primary();
    for _ in 0..MAX_REQUESTS {
        assert!(machine
            .request(client_request(ClientMethod::Get))
            .is_empty());
    }
    let outcomes = machine.request(client_request(ClientMethod::Get));
    assert!(
        matches!(outcomes[..], [(_, ControlOutcome::NotPrimary(_))]),
        "{outcomes:?}"
    );
}

#[test]
fn deferred_request_of_disconnected_caller_is_not_executed() {
    let mut machine = becoming_primary_with_request();
    assert!(outcomes(machine.driver.on_caller_disconnected(now(), 1)).is_empty());
    machine.set_lease(true);
    machine.set_becoming_primary(false);
    assert!(machine.tick().is_empty());
    assert_eq!(events(), ["tick"]);
}
