//! The outcomes of requests in flight when the primary steps down.

use crate::fixture::{
    agent_response, agent_sync, client_request, client_response, operator_request,
    operator_response, primary, script_effects,
};
use rstest::rstest;
use streamusher_controlplane::driver::{ControlOutcome, ControlRequest};
use streamusher_coordination::Output;
use streamusher_protocol::internal::ClientMethod;
use streamusher_scheduler::{OperatorRequestKind, SchedulerResponse};

#[rstest]
#[case::accepted(client_request(ClientMethod::Post), client_response(200))]
#[case::cancelled(client_request(ClientMethod::Delete), client_response(200))]
#[case::replaced(operator_request(OperatorRequestKind::Replace), operator_response(200))]
#[case::updated(operator_request(OperatorRequestKind::Update), operator_response(200))]
#[case::rejected_with_writes(client_request(ClientMethod::Post), client_response(429))]
fn uncommitted_change_has_unknown_outcome(
    #[case] request: ControlRequest,
    #[case] response: SchedulerResponse,
) {
    let mut machine = primary();
    script_effects(&["key"], vec![(1, response)]);
    machine.request(request);

    let outcomes = machine.apply_output(Output::Deposed);

    assert!(matches!(&outcomes[..], [(1, ControlOutcome::Unknown)]));
}

#[test]
fn repeated_change_without_own_writes_has_unknown_outcome() {
    let mut machine = primary();
    script_effects(&["job/1"], vec![(1, client_response(200))]);
    script_effects(&[], vec![(2, client_response(200))]);
    machine.request(client_request(ClientMethod::Post));
    machine.request(client_request(ClientMethod::Post));

    let outcomes = machine.apply_output(Output::Deposed);

    assert!(matches!(
        &outcomes[..],
        [(1, ControlOutcome::Unknown), (2, ControlOutcome::Unknown)]
    ));
}

#[test]
fn change_without_response_has_unknown_outcome() {
    let mut machine = primary();
    machine.request(client_request(ClientMethod::Post));

    let outcomes = machine.apply_output(Output::Deposed);

    assert!(matches!(&outcomes[..], [(1, ControlOutcome::Unknown)]));
}

#[rstest]
#[case::read(client_request(ClientMethod::Get), Some(client_response(200)))]
#[case::rejected(client_request(ClientMethod::Post), Some(client_response(429)))]
#[case::version_conflict(
    operator_request(OperatorRequestKind::Replace),
    Some(operator_response(412))
)]
#[case::configuration_read(
    operator_request(OperatorRequestKind::Read),
    Some(operator_response(200))
)]
#[case::agent_sync(agent_sync(), Some(agent_response(3)))]
#[case::waiting_agent_sync(agent_sync(), None)]
fn request_without_effect_is_answered_with_not_primary(
    #[case] request: ControlRequest,
    #[case] response: Option<SchedulerResponse>,
) {
    let mut machine = primary();
    script_effects(&["other"], Vec::new());
    machine.tick();
    script_effects(
        &[],
        response.into_iter().map(|response| (1, response)).collect(),
    );
    assert!(machine.request(request).is_empty());

    let outcomes = machine.apply_output(Output::Deposed);

    assert!(matches!(
        &outcomes[..],
        [(1, ControlOutcome::NotPrimary(_))]
    ));
}

#[test]
fn reelected_primary_releases_no_former_response() {
    let mut machine = primary();
    script_effects(&["job/1"], vec![(1, client_response(200))]);
    machine.request(client_request(ClientMethod::Post));
    machine.apply_output(Output::Deposed);
    machine.apply_output(Output::Elected { epoch: 5 });

    assert!(machine.commit(1).is_empty());
    assert_eq!(machine.driver.in_flight_requests(), 0);
}

#[test]
fn stepping_down_during_append_makes_outcome_unknown() {
    let mut machine = primary();
    machine.script().outputs_of_append.push(Output::Deposed);
    script_effects(&["job/1"], vec![(1, client_response(200))]);

    let outcomes = machine.request(client_request(ClientMethod::Post));

    assert!(matches!(&outcomes[..], [(1, ControlOutcome::Unknown)]));
}
