//! Leases: which responses of the primary let an agent extend the runs of its worker. The primary counts a
//! lease for the worker that a sync reports, so the agent grants holds to that worker alone.

use super::simulation::{
    busy_heartbeat, commands, heartbeat, running, settings, Simulation, LEASE_MS,
};
use streamusher_dataplane::agent::Agent;
use streamusher_protocol::internal::AgentCommands;

/// The first sync of a restarted agent reports no worker, so the primary counts no lease for it: its runs are
/// started elsewhere while this agent still extends them.
#[test]
fn sync_without_a_worker_grants_no_hold() {
    let mut simulation = Simulation::start();
    simulation.tick();
    simulation.respond_to_sync(commands(1, 1, &[]));

    let response = simulation
        .heartbeat(busy_heartbeat(1, &[running(1, 1)]))
        .unwrap();

    assert_eq!(response.hold_ms, None);
    assert_eq!(simulation.agent.status(simulation.now).lease_left_ms, 0);
}

#[test]
fn hold_follows_the_first_sync_that_reports_the_worker() {
    let mut simulation = Simulation::start();
    simulation.tick();
    simulation.respond_to_sync(commands(1, 1, &[]));
    simulation.advance(50);
    simulation.heartbeat(busy_heartbeat(1, &[running(1, 1)]));
    simulation.respond_to_sync(commands(1, 2, &[]));

    let response = simulation
        .heartbeat(busy_heartbeat(2, &[running(1, 1)]))
        .unwrap();

    assert_eq!(response.hold_ms, Some(LEASE_MS * 97 / 100));
}

#[test]
fn lease_of_a_worker_is_not_passed_on_to_the_one_that_replaces_it() {
    let mut simulation = Simulation::with_lease();
    assert!(simulation.agent.status(simulation.now).lease_left_ms > 0);

    let response = simulation
        .heartbeat_of("i-2", busy_heartbeat(1, &[running(1, 1)]))
        .unwrap();

    assert_eq!(response.hold_ms, None);
}

#[test]
fn late_response_to_a_sync_of_a_former_worker_grants_no_hold() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat_of("i-2", busy_heartbeat(1, &[running(1, 1)]));
    let former = simulation.pending_syncs.remove(0);
    simulation.handle(streamusher_dataplane::agent::AgentEvent::SyncResponse {
        sequence: former,
        commands: commands(1, 2, &[]),
    });

    let response = simulation
        .heartbeat_of("i-2", busy_heartbeat(2, &[running(1, 1)]))
        .unwrap();

    assert_eq!(response.hold_ms, None);
}

/// An earlier version of the primary grants a lease also where it ignores the report, because another worker
/// has replaced the reported one.
#[test]
fn commands_for_another_worker_grant_no_hold() {
    let mut simulation = Simulation::start();
    simulation.heartbeat(busy_heartbeat(1, &[running(1, 1)]));
    simulation.respond_to_sync(AgentCommands {
        instance: Some("i-9".into()),
        ..commands(1, 1, &[])
    });

    let response = simulation
        .heartbeat(busy_heartbeat(2, &[running(1, 1)]))
        .unwrap();

    assert_eq!(response.hold_ms, None);
}

#[test]
fn lease_does_not_survive_a_restart_of_the_agent() {
    let mut simulation = Simulation::with_lease();
    simulation.agent = Agent::new(settings(), simulation.now);
    simulation.pending_syncs.clear();
    simulation.tick();
    simulation.respond_to_sync(commands(1, 1, &[]));

    let response = simulation
        .heartbeat(busy_heartbeat(2, &[running(1, 1)]))
        .unwrap();

    assert_eq!(response.hold_ms, None);
}

#[test]
fn idle_heartbeat_waits_for_the_lease_while_the_primary_answers() {
    let mut simulation = Simulation::start();
    simulation.tick();
    simulation.respond_to_sync(commands(1, 1, &[]));

    assert_eq!(simulation.heartbeat(heartbeat(1)), None);
}

#[test]
fn idle_heartbeat_is_answered_at_once_while_syncs_fail() {
    let mut simulation = Simulation::start();
    simulation.tick();
    simulation.fail_sync();

    let response = simulation.heartbeat(heartbeat(1)).unwrap();

    assert_eq!(response.retry_after_ms, Some(300));
}
