//! Commands: which ones the agent sends to the worker, how often, and which ones it rejects by their epoch.

use super::simulation::{
    busy_heartbeat, commands, draining_heartbeat, finished_run, heartbeat, response_to, running,
    start, stop, task, Simulation,
};
use rstest::rstest;
use streamusher_protocol::heartbeat::{Heartbeat, WorkerState};
use streamusher_protocol::internal::AgentCommands;
use streamusher_protocol::task::RunId;

#[test]
fn sent_start_is_reported_as_offered_until_the_next_heartbeat() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));

    simulation.advance(50);
    let offered = simulation.newest_sync().worker.clone().unwrap().offered;
    simulation.heartbeat(busy_heartbeat(2, &[running(1, 1)]));
    simulation.advance(50);

    assert_eq!(
        offered,
        [RunId {
            task: task(1),
            run: 1
        }]
    );
    let report = simulation.newest_sync().worker.clone().unwrap();
    assert_eq!(
        (report.offered.len(), report.running.len(), report.sequence),
        (0, 1, 2)
    );
}

#[test]
fn start_is_sent_again_after_a_lost_response() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));
    simulation.now += 100;

    let response = simulation.heartbeat(heartbeat(2)).unwrap();

    assert_eq!(response.start, [start(1, 1)]);
}

#[rstest]
#[case::running(busy_heartbeat(2, &[running(1, 1)]))]
#[case::finished_run(Heartbeat {
    finished: vec![finished_run(1, 1, 1)], running: vec![running(9, 1)], ..heartbeat(2) })]
fn start_that_the_worker_has_is_not_sent_again(
    #[case] next: streamusher_protocol::heartbeat::Heartbeat,
) {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));
    simulation.now += 100;

    let response = simulation.heartbeat(next).unwrap();

    assert!(response.start.is_empty());
}

#[test]
fn draining_worker_is_answered_at_once_without_starts() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.now += 50;
    simulation.respond_to_sync(commands(1, 2, &[]));
    simulation.now += 50;
    simulation.tick();
    simulation.respond_to_sync(commands(1, 3, &[start(1, 1)]));
    simulation.now += 50;

    let response = simulation.heartbeat(draining_heartbeat(2)).unwrap();

    assert!(response.start.is_empty());
    let report = simulation.newest_sync().worker.clone().unwrap();
    assert_eq!(report.state, WorkerState::Draining);
    assert_eq!(report.remaining_ms, Some(9_000));
}

#[test]
fn late_commands_start_nothing_on_a_draining_worker() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.advance(60);
    simulation.heartbeat(draining_heartbeat(2));

    simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));
    let response = simulation.heartbeat(draining_heartbeat(3)).unwrap();

    assert!(response.start.is_empty());
}

#[test]
fn commands_of_an_earlier_epoch_change_neither_lease_nor_commands() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(busy_heartbeat(1, &[running(1, 1)]));
    simulation.advance(50);
    simulation.respond_to_sync(AgentCommands {
        lease_ms: 1_000,
        ..commands(3, 1, &[])
    });
    simulation.advance(50);
    let lease_before = simulation.agent.status(simulation.now).lease_left_ms;

    simulation.respond_to_sync(AgentCommands {
        lease_ms: 60_000,
        ..commands(2, 9, &[start(1, 1)])
    });

    let status = simulation.agent.status(simulation.now);
    assert_eq!(
        (status.epoch, status.revision, status.lease_left_ms),
        (3, 1, lease_before)
    );
    let response = simulation
        .heartbeat(busy_heartbeat(2, &[running(2, 1)]))
        .unwrap();
    assert_eq!((response.fence_token, response.start.len()), (3, 0));
}

#[test]
fn older_revision_of_the_same_epoch_extends_the_lease_only() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));
    simulation.advance(60);
    simulation.respond_to_sync(commands(1, 5, &[]));
    simulation.advance(60);

    simulation.respond_to_sync(commands(1, 4, &[start(1, 1)]));

    assert_eq!(simulation.agent.status(simulation.now).revision, 5);
    assert_eq!(simulation.heartbeat(heartbeat(2)), None);
}

#[test]
fn commands_for_another_instance_are_not_sent() {
    let mut simulation = Simulation::with_lease();
    simulation.tick();
    simulation.respond_to_sync(AgentCommands {
        instance: Some("i-0".into()),
        last_seen: 40,
        stop: vec![stop(2, 1)],
        ..commands(1, 2, &[start(1, 1)])
    });

    let response = simulation
        .heartbeat(busy_heartbeat(1, &[running(2, 1)]))
        .unwrap();

    assert_eq!(
        (
            response.start.len(),
            response.stop.len(),
            response.last_seen
        ),
        (0, 0, None)
    );
}

#[test]
fn stop_is_repeated_while_the_run_is_at_work() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(busy_heartbeat(1, &[running(1, 1)]));
    simulation.now += 50;
    simulation.respond_to_sync(AgentCommands {
        stop: vec![stop(1, 1)],
        last_seen: 3,
        ..commands(1, 2, &[])
    });

    let first = simulation
        .heartbeat(busy_heartbeat(2, &[running(1, 1)]))
        .unwrap();
    let second = simulation
        .heartbeat(busy_heartbeat(3, &[running(1, 1)]))
        .unwrap();
    let third = simulation.heartbeat(heartbeat(4));

    assert_eq!((first.stop.len(), second.stop.len()), (1, 1));
    assert_eq!(first.last_seen, Some(3));
    assert_eq!(third, None);
}

#[test]
fn stop_of_an_absent_run_is_sent_once() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));

    let actions = simulation.respond_to_sync(AgentCommands {
        stop: vec![stop(1, 1)],
        ..commands(1, 2, &[])
    });
    let first = response_to(&actions, simulation.request_id()).unwrap();
    simulation.now += 50;
    let second = simulation.heartbeat(heartbeat(2));

    assert_eq!(first.stop, [stop(1, 1)]);
    assert_eq!(second, None);
}
