//! When an agent sends syncs, and how it handles their responses.

use super::simulation::{
    busy_heartbeat, commands, draining_heartbeat, finished_run, heartbeat, running, start, task,
    Simulation,
};
use streamusher_dataplane::agent::AgentEvent;
use streamusher_protocol::heartbeat::{Heartbeat, RunningTask};

#[test]
fn first_tick_syncs_without_a_worker() {
    let mut simulation = Simulation::start();

    simulation.tick();

    let sync = simulation.newest_sync();
    assert_eq!(
        (sync.sequence, sync.boot, sync.revision, sync.worker.clone()),
        (1, 7, 0, None)
    );
}

#[test]
fn withdrawn_start_is_reported_while_another_sync_waits() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(busy_heartbeat(1, &[running(9, 1)]));
    simulation.respond_to_sync(commands(1, 2, &[start(1, 1)]));
    simulation.advance(100);
    simulation.heartbeat(draining_heartbeat(2));
    simulation.advance(100);
    let older = simulation.pending_syncs.remove(0);
    let before = simulation.newest_sync().sequence;
    assert!(older < before && simulation.pending_syncs.contains(&before));

    simulation.handle(AgentEvent::SyncResponse {
        sequence: older,
        commands: commands(1, 3, &[]),
    });

    let sync = simulation.newest_sync();
    assert_eq!((sync.sequence, sync.revision), (before + 1, 3));
    assert!(sync.worker.as_ref().unwrap().offered.is_empty());
}

#[test]
fn checkpoints_are_reported_within_400_ms() {
    let mut simulation = Simulation::with_lease();

    simulation.heartbeat(busy_heartbeat(
        1,
        &[RunningTask {
            task: task(1),
            run: 1,
            checkpoint: "saved".into(),
            percent: 50.0,
        }],
    ));
    simulation.advance(50);

    assert!(simulation.newest_sync().wait_ms <= 400);
}

#[test]
fn progress_alone_begins_no_second_sync() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(busy_heartbeat(1, &[running(1, 1)]));
    simulation.advance(60);
    let before = simulation.syncs.len();

    simulation.heartbeat(busy_heartbeat(
        2,
        &[RunningTask {
            task: task(1),
            run: 1,
            checkpoint: "".into(),
            percent: 60.0,
        }],
    ));
    simulation.advance(300);

    assert_eq!(simulation.syncs.len(), before);
}

#[test]
fn ended_run_is_reported_by_a_second_sync_at_once() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(busy_heartbeat(1, &[running(1, 1)]));
    simulation.advance(100);
    let before = simulation.newest_sync().sequence;

    let finished = vec![finished_run(1, 1, 1)];
    simulation.heartbeat(Heartbeat {
        finished,
        ..heartbeat(2)
    });

    let sync = simulation.newest_sync();
    assert_eq!(sync.sequence, before + 1);
    assert_eq!(sync.worker.as_ref().unwrap().finished.len(), 1);
}

#[test]
fn at_most_67_syncs_in_a_second() {
    let mut simulation = Simulation::with_lease();
    let before = simulation.syncs.len();

    for sequence in 1..=200_u32 {
        simulation.heartbeat(busy_heartbeat(u64::from(sequence), &[running(sequence, 1)]));
        simulation.advance(5);
        while simulation.pending_syncs.len() > 1 {
            let sequence = simulation.pending_syncs.remove(0);
            let commands = commands(1, 2, &[]);
            simulation.handle(AgentEvent::SyncResponse { sequence, commands });
        }
    }

    assert!(
        simulation.syncs.len() - before <= 67,
        "{}",
        simulation.syncs.len() - before
    );
}

#[test]
fn failed_syncs_back_off_to_200_ms_and_report_again() {
    let mut simulation = Simulation::start();
    simulation.heartbeat(busy_heartbeat(1, &[running(1, 1)]));
    let mut pauses = Vec::new();

    for _ in 0..5 {
        let failed_at = simulation.now;
        simulation.fail_sync();
        let next = simulation.agent.next_wakeup().unwrap();
        pauses.push(next - failed_at);
        simulation.advance(next - failed_at);
    }

    assert_eq!(pauses, [50, 100, 200, 200, 200]);
    assert!(simulation.newest_sync().worker.is_some());
}

#[test]
fn at_most_three_syncs_in_flight() {
    let mut simulation = Simulation::with_lease();

    for sequence in 1..=20_u32 {
        simulation.heartbeat(busy_heartbeat(u64::from(sequence), &[running(sequence, 1)]));
        simulation.advance(60);
    }

    assert_eq!(simulation.agent.status(simulation.now).syncs_in_flight, 3);
}

#[test]
fn tick_at_the_wakeup_leaves_nothing_due() {
    let mut simulation = Simulation::with_lease();
    simulation.heartbeat(heartbeat(1));

    for _ in 0..200 {
        simulation.now = simulation
            .agent
            .next_wakeup()
            .map_or(simulation.now + 50, |at| at.max(simulation.now));
        simulation.tick();
        if simulation.pending_syncs.len() > 1 {
            simulation.fail_sync();
        }
        assert!(simulation
            .agent
            .next_wakeup()
            .is_none_or(|at| at > simulation.now));
    }
}

#[test]
fn responses_to_unknown_syncs_are_ignored() {
    let mut simulation = Simulation::start();

    simulation.handle(AgentEvent::SyncResponse {
        sequence: 77,
        commands: commands(9, 1, &[]),
    });
    simulation.handle(AgentEvent::SyncFailed { sequence: 78 });

    assert_eq!(simulation.agent.status(simulation.now).lease_left_ms, 0);
}
