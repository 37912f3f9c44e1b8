//! Recovery of the scheduler after an election.

use crate::fixture::{agent_sync, client_request, events, operator_request, replica};
use streamusher_controlplane::driver::ControlOutcome;
use streamusher_coordination::Output;
use streamusher_protocol::internal::ClientMethod;
use streamusher_scheduler::OperatorRequestKind;

#[test]
fn scheduler_recovers_from_replicated_state_after_election() {
    let mut machine = replica();
    machine.script().state.insert("job/1".into(), "{}".into());

    machine.apply_output(Output::Elected { epoch: 4 });

    assert_eq!(events(), ["recover 4 1"]);
}

#[test]
fn requests_are_rejected_until_scheduler_is_recovered() {
    let mut machine = replica();
    machine.set_lease(true);
    let (_, mut recoveries) = machine.apply_output_without_recovery(Output::Elected { epoch: 3 });
    let recovery = recoveries.pop().expect("a recovery");
    for request in [
        client_request(ClientMethod::Post),
        agent_sync(),
        operator_request(OperatorRequestKind::Read),
    ] {
        let outcomes = machine.request(request);
        assert!(
            matches!(outcomes[..], [(_, ControlOutcome::NotPrimary(_))]),
            "{outcomes:?}"
        );
    }
    assert!(machine.tick().is_empty());
    assert_eq!(events(), [] as [&str; 0]);

    machine.recover(recovery);
    machine.request(client_request(ClientMethod::Get));
    assert_eq!(events(), ["recover 3 0", "client 4"]);
}

#[test]
fn recovery_for_former_term_is_dropped() {
    let mut machine = replica();
    machine.set_lease(true);
    let (_, mut first) = machine.apply_output_without_recovery(Output::Elected { epoch: 3 });
    machine.apply_output(Output::Deposed);
    machine.recover(first.pop().expect("a recovery"));
    let outcomes = machine.request(client_request(ClientMethod::Post));
    assert!(
        matches!(outcomes[..], [(_, ControlOutcome::NotPrimary(_))]),
        "{outcomes:?}"
    );

    let (_, mut second) = machine.apply_output_without_recovery(Output::Elected { epoch: 5 });
    let (_, mut third) = machine.apply_output_without_recovery(Output::Elected { epoch: 7 });
    machine.recover(second.pop().expect("a recovery"));
    let outcomes = machine.request(client_request(ClientMethod::Post));
    assert!(
        matches!(outcomes[..], [(_, ControlOutcome::NotPrimary(_))]),
        "the scheduler of a former term: {outcomes:?}"
    );
    machine.recover(third.pop().expect("a recovery"));
    assert_eq!(events(), ["recover 3 0", "recover 5 0", "recover 7 0"]);
}
