//! Operations that a machine does not perform without a lease.

use crate::fixture::{
    address, agent_sync, client_request, events, operator_request, primary, replica,
};
use rstest::rstest;
use streamusher_controlplane::driver::{ControlOutcome, ControlRequest};
use streamusher_protocol::internal::ClientMethod;
use streamusher_scheduler::OperatorRequestKind;

#[rstest]
#[case(client_request(ClientMethod::Post))]
#[case(agent_sync())]
#[case(operator_request(OperatorRequestKind::Replace))]
fn replica_rejects_requests_at_once(#[case] request: ControlRequest) {
    let mut machine = replica();

    let outcomes = machine.request(request);

    assert!(
        matches!(&outcomes[..], [(1, ControlOutcome::NotPrimary(view))] if view.primary == Some(address()))
    );
    assert!(events().is_empty());
}

#[test]
fn primary_without_lease_executes_nothing() {
    let mut machine = primary();
    events();
    machine.set_lease(false);

    let outcomes = machine.request(client_request(ClientMethod::Post));

    assert!(matches!(
        &outcomes[..],
        [(1, ControlOutcome::NotPrimary(_))]
    ));
    assert!(events().is_empty());
}

#[test]
fn scheduler_is_not_ticked_without_lease() {
    let mut machine = primary();
    events();
    machine.set_lease(false);
    machine.tick();
    assert!(events().is_empty());

    machine.set_lease(true);
    machine.tick();

    assert_eq!(events(), ["tick"]);
}
