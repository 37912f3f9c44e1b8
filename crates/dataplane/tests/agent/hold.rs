//! Holds: how much of its lease an agent grants to its worker.

use super::simulation::{
    busy_heartbeat, commands, heartbeat, running, start, Simulation, LEASE_LEFT_MS, LEASE_MS,
    LONGEST_GRANT_MS,
};
use streamusher_protocol::heartbeat::HeartbeatResponse;
use streamusher_protocol::internal::AgentCommands;

#[test]
fn heartbeat_without_a_lease_is_answered_at_once_without_a_hold() {
    let mut simulation = Simulation::start();

    let response = simulation
        .heartbeat(busy_heartbeat(1, &[running(1, 1)]))
        .unwrap();

    assert_eq!(
        response,
        HeartbeatResponse {
            retry_after_ms: Some(300),
            ..HeartbeatResponse::default()
        }
    );
}

#[test]
fn hold_is_the_remaining_lease_less_three_percent() {
    let mut simulation = Simulation::with_lease();
    simulation.now += 1_000;

    let response = simulation
        .heartbeat(busy_heartbeat(1, &[running(1, 1)]))
        .unwrap();

    assert_eq!(response.hold_ms, Some((LEASE_LEFT_MS - 1_000) * 97 / 100));
    assert_eq!(response.fence_token, 1);
    assert!(response.retry_after_ms.unwrap() <= 100);
}

#[test]
fn hold_is_capped_at_a_restart_and_a_failover() {
    let mut simulation = Simulation::with_lease();
    simulation.tick();
    simulation.respond_to_sync(AgentCommands {
        lease_ms: 60_000,
        ..commands(1, 2, &[])
    });

    let response = simulation
        .heartbeat(busy_heartbeat(1, &[running(1, 1)]))
        .unwrap();

    assert_eq!(response.hold_ms, Some(LONGEST_GRANT_MS));
}

#[test]
fn expired_lease_grants_no_hold_and_no_starts() {
    let mut simulation = Simulation::with_lease();
    simulation.advance(50);
    simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));
    simulation.now += LEASE_MS;

    let response = simulation
        .heartbeat(busy_heartbeat(1, &[running(2, 1)]))
        .unwrap();

    assert_eq!(
        (
            response.hold_ms,
            response.start.len(),
            response.retry_after_ms
        ),
        (None, 0, Some(300))
    );
}

#[test]
fn lease_counts_from_the_sending_of_the_sync() {
    let mut simulation = Simulation::start();
    simulation.heartbeat(heartbeat(0));
    simulation.now += LEASE_MS - 100;
    simulation.respond_to_sync(commands(1, 1, &[start(1, 1)]));

    let response = simulation
        .heartbeat(busy_heartbeat(1, &[running(2, 1)]))
        .unwrap();

    assert_eq!((response.hold_ms, response.start.len()), (Some(97), 0));
}
