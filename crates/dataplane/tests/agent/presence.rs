//! When an agent reports its worker as gone.

use super::simulation::{
    busy_heartbeat, commands, draining_heartbeat, heartbeat, response_to, running, settings, start,
    Simulation, HEARTBEAT_MS, LONGEST_GRANT_MS, LONGEST_HOLD_MS, SYNC_INTERVAL_MS,
};
use streamusher_dataplane::agent::{Agent, AgentAction, AgentEvent};
use streamusher_protocol::heartbeat::WorkerState;
use streamusher_protocol::internal::AgentCommands;
use streamusher_protocol::Millis;

#[test]
fn restarted_agent_rebuilds_its_state_from_the_heartbeat() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));
    simulation.agent = Agent::new(settings(), simulation.now);
    simulation.pending_syncs.clear();

    let response = simulation
        .heartbeat(busy_heartbeat(2, &[running(1, 1)]))
        .unwrap();

    assert_eq!(response.hold_ms, None);
    let report = simulation.newest_sync().worker.clone().unwrap();
    assert_eq!((report.running.len(), report.gone), (1, false));
    simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));
    let response = simulation
        .heartbeat(busy_heartbeat(3, &[running(1, 1)]))
        .unwrap();
    assert!(response.hold_ms.is_some() && response.start.is_empty());
}

#[test]
fn silent_worker_is_gone_once_its_hold_is_over_on_a_slow_clock() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    let response = simulation
        .heartbeat(busy_heartbeat(2, &[running(1, 1)]))
        .unwrap();
    let max_hold_duration_ms = response.hold_ms.unwrap() * 1_000 / 980 + 50;
    assert!(max_hold_duration_ms > HEARTBEAT_MS * 5 / 2);

    simulation.advance(max_hold_duration_ms);
    let before = simulation.agent.status(simulation.now).gone;
    simulation.fail_older_syncs();
    simulation.advance(50);

    assert!(!before);
    assert!(simulation.agent.status(simulation.now).gone);
    assert!(simulation.newest_sync().worker.as_ref().unwrap().gone);
}

#[test]
fn idle_silent_worker_is_gone_after_two_and_a_half_intervals() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));

    simulation.advance(HEARTBEAT_MS * 5 / 2);
    let before = simulation.agent.status(simulation.now).gone;
    simulation.advance(50);

    assert!(!before);
    assert!(simulation.agent.status(simulation.now).gone);
}

#[test]
fn silent_worker_with_an_offered_start_is_gone_after_that_hold() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    let received = simulation.now;
    simulation.advance(60);
    let sequence = simulation.pending_syncs.pop().unwrap();
    let commands_with_long_lease = AgentCommands {
        lease_ms: 60_000,
        ..commands(1, 2, &[start(1, 1)])
    };
    simulation.handle(AgentEvent::SyncResponse {
        sequence,
        commands: commands_with_long_lease,
    });

    simulation.now = received;
    simulation.advance(LONGEST_GRANT_MS * 1_000 / 980 + 50);
    let before = simulation.agent.status(simulation.now).gone;
    simulation.advance(50);

    assert!(!before);
    assert!(simulation.agent.status(simulation.now).gone);
}

#[test]
fn returning_worker_gets_no_starts_of_earlier_syncs() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.advance(60);
    let earlier_sequence = simulation.pending_syncs.pop().unwrap();
    simulation.advance(HEARTBEAT_MS * 5 / 2 + 50);
    assert!(simulation.agent.status(simulation.now).gone);

    // The response to an earlier sync was in transit while the worker was reported as gone.
    simulation.heartbeat(heartbeat(2));
    let late_commands = AgentCommands {
        lease_ms: 60_000,
        ..commands(1, 2, &[start(1, 1)])
    };
    let actions = simulation.handle(AgentEvent::SyncResponse {
        sequence: earlier_sequence,
        commands: late_commands,
    });

    assert!(!simulation.agent.status(simulation.now).gone);
    let answers = actions
        .iter()
        .filter(|action| matches!(action, AgentAction::Respond { .. }));
    assert_eq!(answers.count(), 0);
    assert_eq!(simulation.agent.status(simulation.now).offered, 0);
}

#[test]
fn returning_worker_gets_starts_of_later_syncs() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.advance(60);
    simulation.respond_to_sync(commands(1, 2, &[]));
    simulation.advance(HEARTBEAT_MS * 5 / 2);
    simulation.heartbeat(heartbeat(2));
    simulation.advance(60);
    simulation.respond_to_sync(commands(1, 3, &[]));
    simulation.heartbeat(heartbeat(3));

    simulation.advance(60);
    let actions = simulation.respond_to_sync(commands(1, 4, &[start(1, 2)]));

    assert_eq!(
        response_to(&actions, simulation.request_id())
            .unwrap()
            .start,
        [start(1, 2)]
    );
}

#[test]
fn deregistered_worker_without_runs_is_gone_at_once() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(draining_heartbeat(1));
    simulation.advance(60);

    let actions = simulation.deregister("i-1");
    simulation.advance(50);

    assert!(matches!(
        actions[0],
        AgentAction::AcknowledgeDeregistration { .. }
    ));
    assert!(simulation.newest_sync().worker.as_ref().unwrap().gone);
    simulation.heartbeat(heartbeat(2));
    assert!(simulation.agent.status(simulation.now).gone);
}

#[test]
fn deregistered_worker_with_runs_is_gone_once_its_hold_is_over() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    let response = simulation
        .heartbeat(busy_heartbeat(2, &[running(1, 1)]))
        .unwrap();
    let max_hold_duration_ms = response.hold_ms.unwrap() * 1_000 / 980 + 50;

    let actions = simulation.deregister("i-1");
    simulation.advance(max_hold_duration_ms);
    let before = simulation.newest_sync().worker.clone().unwrap();
    simulation.fail_older_syncs();
    simulation.advance(50);

    assert!(matches!(
        actions[0],
        AgentAction::AcknowledgeDeregistration { .. }
    ));
    assert_eq!(
        (before.gone, before.state, before.running.len()),
        (false, WorkerState::Draining, 1)
    );
    assert!(simulation.newest_sync().worker.as_ref().unwrap().gone);
}

#[test]
fn deregistered_worker_with_an_offered_start_is_gone_after_that_hold() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.advance(60);
    simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));
    assert_eq!(simulation.agent.status(simulation.now).offered, 1);

    simulation.deregister("i-1");

    assert!(!simulation.agent.status(simulation.now).gone);
    simulation.advance(LONGEST_GRANT_MS * 1_000 / 980 + 51);
    assert!(simulation.agent.status(simulation.now).gone);
}

#[test]
fn heartbeats_after_deregistration_are_ignored() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.heartbeat(busy_heartbeat(2, &[running(1, 1)]));
    simulation.deregister("i-1");

    let while_leaving = simulation
        .heartbeat(busy_heartbeat(3, &[running(1, 1)]))
        .unwrap();
    simulation.advance(LONGEST_GRANT_MS * 1_000 / 980 + 51);
    let late_response = simulation
        .heartbeat(busy_heartbeat(4, &[running(1, 1)]))
        .unwrap();

    assert_eq!((while_leaving.hold_ms, late_response.hold_ms), (None, None));
    assert!(simulation.agent.status(simulation.now).gone);
}

#[test]
fn deregistration_at_a_restarted_agent_waits_for_earlier_holds() {
    let mut simulation = Simulation::without_heartbeats();

    simulation.deregister("i-5");
    simulation.advance(50);
    let first = simulation.newest_sync().worker.clone().unwrap();
    simulation.fail_older_syncs();
    simulation.advance(LONGEST_GRANT_MS * 1_000 / 980 - 2 * SYNC_INTERVAL_MS);
    let before = simulation.agent.status(simulation.now).gone;
    simulation.advance(100);

    assert_eq!(
        (&*first.instance, first.gone, first.state),
        ("i-5", false, WorkerState::Draining)
    );
    assert!(!before);
    let report = simulation.newest_sync().worker.clone().unwrap();
    assert_eq!((&*report.instance, report.gone), ("i-5", true));
}

/// Fails if the worker of an agent that restarted at `restarted_at` counts as gone before the longest hold of
/// the agent's former process is over, or does not right after it.
fn assert_gone_after_earlier_holds(simulation: &mut Simulation, restarted_at: Millis) {
    simulation.now = restarted_at + LONGEST_HOLD_MS - 1;
    simulation.tick();
    assert!(!simulation.agent.status(simulation.now).gone);

    simulation.advance(50);
    assert!(simulation.agent.status(simulation.now).gone);
}

/// A heartbeat may arrive seconds late: one that a restarted agent receives first may have been sent before the
/// worker started the runs of a later one, under a hold of the agent's former process.
#[test]
fn idle_heartbeat_at_a_restarted_agent_does_not_end_earlier_holds() {
    let mut simulation = Simulation::start();
    let restarted_at = simulation.now;
    simulation.heartbeat(heartbeat(3));
    simulation.advance(50);
    simulation.heartbeat(heartbeat(4));

    simulation.deregister("i-1");

    assert_gone_after_earlier_holds(&mut simulation, restarted_at);
}

#[test]
fn silence_after_idle_heartbeats_at_a_restarted_agent_waits_for_earlier_holds() {
    let mut simulation = Simulation::start();
    let restarted_at = simulation.now;
    simulation.heartbeat(heartbeat(3));
    simulation.advance(50);
    simulation.heartbeat(heartbeat(4));

    assert_gone_after_earlier_holds(&mut simulation, restarted_at);
}

#[test]
fn new_instance_replaces_the_former_one() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(busy_heartbeat(7, &[running(1, 1)]));
    simulation.advance(60);

    simulation.heartbeat_of("i-2", heartbeat(1));
    let late_response = simulation
        .heartbeat_of("i-1", busy_heartbeat(8, &[running(1, 1)]))
        .unwrap();
    simulation.advance(50);

    assert_eq!(
        (late_response.hold_ms, late_response.start.len()),
        (None, 0)
    );
    let report = simulation.newest_sync().worker.clone().unwrap();
    assert_eq!(
        (&*report.instance, report.running.len(), report.gone),
        ("i-2", 0, false)
    );
}

#[test]
fn worker_without_heartbeats_to_a_restarted_agent_is_gone_after_earlier_holds() {
    let mut simulation = Simulation::without_heartbeats();

    simulation.advance(LONGEST_GRANT_MS * 1_000 / 980 + 50 - 2 * SYNC_INTERVAL_MS);
    let before = simulation.agent.status(simulation.now).gone;
    simulation.advance(50);

    assert!(!before);
    let report = simulation.newest_sync().worker.clone().unwrap();
    assert_eq!((&*report.instance, report.gone), ("i-1", true));
}

#[test]
fn silence_at_a_restarted_agent_waits_for_earlier_holds() {
    let mut simulation = Simulation::start();
    simulation.heartbeat(busy_heartbeat(3, &[running(1, 1)]));

    simulation.advance(LONGEST_GRANT_MS);
    let before = simulation.agent.status(simulation.now).gone;
    simulation.advance(300);

    assert!(!before);
    assert!(simulation.agent.status(simulation.now).gone);
}
