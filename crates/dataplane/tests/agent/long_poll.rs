//! Heartbeats as long polls: when they are answered, and the responses to late ones.

use super::simulation::{
    busy_heartbeat, commands, heartbeat, response_to, running, start, Simulation,
};
use streamusher_dataplane::agent::{AgentAction, AgentEvent};
use streamusher_protocol::heartbeat::HeartbeatResponse;

#[test]
fn idle_heartbeat_waits_650_ms() {
    let mut simulation = Simulation::with_lease();

    assert_eq!(simulation.heartbeat(heartbeat(1)), None);
    let before = simulation.advance(649);
    let after = simulation.advance(1);

    assert_eq!(response_to(&before, simulation.request_id()), None);
    let response = response_to(&after, simulation.request_id()).unwrap();
    assert_eq!(
        (response.hold_ms, response.retry_after_ms),
        (None, Some(20))
    );
}

#[test]
fn starts_end_the_long_poll_at_once() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.advance(100);

    let actions = simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));

    let response = response_to(&actions, simulation.request_id()).unwrap();
    assert_eq!(response.start, [start(1, 1)]);
    assert!(response.hold_ms.unwrap() >= 500);
}

#[test]
fn response_later_than_900_ms_carries_no_starts() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.now += 901;

    let actions = simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));

    let response = response_to(&actions, simulation.request_id()).unwrap();
    assert!(response.start.is_empty());
}

#[test]
fn stale_heartbeat_changes_nothing() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(busy_heartbeat(5, &[running(1, 1)]));
    simulation.advance(60);

    let response = simulation.heartbeat(heartbeat(4)).unwrap();
    simulation.advance(700);

    assert_eq!(
        response,
        HeartbeatResponse {
            fence_token: 1,
            ..HeartbeatResponse::default()
        }
    );
    assert_eq!(simulation.agent.status(simulation.now).running, 1);
}

#[test]
fn newer_heartbeat_supersedes_the_long_poll() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    let first = simulation.request_id();

    let actions = simulation.handle(AgentEvent::Heartbeat {
        request_id: 99,
        instance: "i-1".into(),
        heartbeat: heartbeat(2),
    });

    assert_eq!(response_to(&actions, first).unwrap().start, []);
    assert_eq!(response_to(&actions, 99), None);
}

#[test]
fn shutdown_answers_the_long_poll_without_starts() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));

    let actions = simulation.agent.shut_down(simulation.now);

    assert!(
        matches!(&actions[..], [AgentAction::Respond { response, .. }] if response.start.is_empty())
    );
    assert!(simulation.agent.shut_down(simulation.now).is_empty());
}
