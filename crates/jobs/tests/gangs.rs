//! Gangs: all tasks start together and share the run number, the checkpoint and the attempts.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{assignment, gang_step, job_id, request, step_after, task_id, unit_id, Harness};
use streamusher_jobs::StartedRun;
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::unit::UnitId;

/// Submits a gang of three tasks and returns its identifier.
fn submitted_gang() -> (Harness, UnitId) {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![gang_step(3)]));
    (harness, unit_id(1, 0, 0, None))
}

fn run_of(started: &[StartedRun], index: usize) -> &RunId {
    &started[index].run
}

#[test]
fn tasks_of_a_gang_share_run_number_and_checkpoint() {
    let (mut harness, id) = submitted_gang();
    assert_eq!(harness.ready_units[&id].tasks.len(), 3);
    let started = harness.start(&id);
    assert_eq!(started.len(), 3);
    assert!(started
        .iter()
        .all(|start| start.run.run == 1 && start.checkpoint.is_empty()));
    harness.table.on_checkpoint(run_of(&started, 1), "c1");
    harness.table.on_checkpoint(run_of(&started, 0), "c2");
    harness.table.on_checkpoint(run_of(&started, 1), "c1");
    for start in &started {
        harness.lose(&start.run);
    }
    let restarted = harness.start(&id);
    assert!(restarted.iter().all(|start| start.run.run == 2));
    assert!(
        restarted.iter().all(|start| &*start.checkpoint == "c2"),
        "a repeated report of an older checkpoint does not replace the newest one"
    );
}

#[test]
fn incomplete_assignment_starts_nothing() {
    let (mut harness, id) = submitted_gang();
    let assign = |index| assignment(task_id(1, 0, 0, index), "w");
    assert!(harness
        .table
        .start_unit(harness.now, &id, &[assign(0), assign(1)])
        .is_empty());
    assert!(harness
        .table
        .start_unit(harness.now, &id, &[assign(0), assign(1), assign(1)])
        .is_empty());
    assert!(harness
        .table
        .start_unit(harness.now, &unit_id(1, 0, 0, Some(0)), &[assign(0)])
        .is_empty());
    assert_eq!(
        harness
            .table
            .start_unit(harness.now, &id, &[assign(2), assign(1), assign(0)])
            .len(),
        3
    );
}

#[test]
fn first_success_completes_the_gang_without_stops() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![gang_step(3), step_after(1, &[0])]));
    let started = harness.start(&unit_id(1, 0, 0, None));
    assert!(harness.finish(run_of(&started, 1), RunEnd::Done));
    assert_eq!(harness.ready_ids(), vec![unit_id(1, 0, 1, Some(0))]);
    assert!(harness.stopped_runs.is_empty());
    assert!(!harness.table.is_current(run_of(&started, 0)));
    let left = harness.table.assigned_runs();
    assert_eq!(left.len(), 2);
    assert!(left.iter().all(|run| run.stopping && run.gang));
    assert_eq!(harness.recovered().table.assigned_runs(), left);
    harness.finish(run_of(&started, 0), RunEnd::Failed);
    harness.lose(run_of(&started, 2));
    assert!(harness.table.assigned_runs().is_empty());
    assert_eq!(harness.ready_ids(), vec![unit_id(1, 0, 1, Some(0))]);
}

#[test]
fn first_success_in_the_last_step_completes_the_job() {
    let (mut harness, id) = submitted_gang();
    let started = harness.start(&id);
    harness.finish(run_of(&started, 2), RunEnd::Done);
    assert_eq!(harness.status(1), Some(JobState::Succeeded));
    assert_eq!(harness.recovered().status(1), Some(JobState::Succeeded));
    assert_eq!(
        harness.recovered().table.assigned_runs(),
        harness.table.assigned_runs()
    );
    harness.finish(run_of(&started, 0), RunEnd::Done);
    harness.finish(run_of(&started, 1), RunEnd::Done);
    assert_eq!(harness.stored_keys(), vec![format!("job/{}", job_id(1))]);
}

#[test]
fn unsuccessful_end_stops_the_other_tasks() {
    let (mut harness, id) = submitted_gang();
    let started = harness.start(&id);
    harness.finish(run_of(&started, 0), RunEnd::GangBroken);
    assert_eq!(
        harness.last_changes.runs_to_stop,
        vec![run_of(&started, 1).clone(), run_of(&started, 2).clone()]
    );
    assert!(!harness.table.is_current(run_of(&started, 1)));
    assert!(harness.ready_ids().is_empty());
    let mut recovered = harness.recovered();
    assert!(recovered.ready_ids().is_empty());
    assert_eq!(
        recovered.table.assigned_runs(),
        harness.table.assigned_runs()
    );
    assert!(recovered
        .table
        .assigned_runs()
        .iter()
        .all(|run| run.stopping));
    for harness in [&mut harness, &mut recovered] {
        harness.finish(run_of(&started, 1), RunEnd::Stopped);
        assert!(
            harness.ready_ids().is_empty(),
            "the gang restarts only after the end of its last task"
        );
        harness
            .table
            .on_run_withdrawn(harness.now, run_of(&started, 2));
        harness.take_changes();
        assert_eq!(harness.ready_ids(), vec![id.clone()]);
        assert_eq!(harness.start(&id)[0].run.run, 2);
    }
}

#[test]
fn failures_in_one_run_of_a_gang_count_once() {
    let (mut harness, id) = submitted_gang();
    let started = harness.start(&id);
    for start in &started {
        assert!(harness.finish(&start.run, RunEnd::Failed));
    }
    assert_eq!(harness.status(1), Some(JobState::Running));
    assert_eq!(harness.ready_ids(), vec![id.clone()]);
    let mut recovered = harness.recovered();
    for harness in [&mut harness, &mut recovered] {
        let second = harness.start(&id);
        harness.finish(run_of(&second, 1), RunEnd::Failed);
        assert_eq!(harness.status(1), Some(JobState::Failed));
        assert!(harness.stopped_runs.contains(run_of(&second, 0)));
    }
}

#[test]
fn failure_reported_last_counts() {
    let (mut harness, id) = submitted_gang();
    for _ in 0..2 {
        let started = harness.start(&id);
        harness.finish(run_of(&started, 0), RunEnd::GangBroken);
        harness.finish(run_of(&started, 1), RunEnd::GangBroken);
        assert_ne!(harness.status(1), Some(JobState::Failed));
        harness.finish(run_of(&started, 2), RunEnd::Failed);
    }
    assert_eq!(harness.status(1), Some(JobState::Failed));
}

#[test]
fn failures_before_and_after_a_recovery_count_once() {
    let (mut harness, id) = submitted_gang();
    let started = harness.start(&id);
    harness.finish(run_of(&started, 0), RunEnd::Failed);
    let mut recovered = harness.recovered();
    recovered.finish(run_of(&started, 1), RunEnd::Failed);
    assert_eq!(recovered.status(1), Some(JobState::Running));
    recovered.finish(run_of(&started, 2), RunEnd::Stopped);
    assert_eq!(recovered.ready_ids(), vec![id]);
}

#[test]
fn success_completes_a_broken_gang() {
    let (mut harness, id) = submitted_gang();
    let started = harness.start(&id);
    harness.lose(run_of(&started, 0));
    harness.finish(run_of(&started, 1), RunEnd::Done);
    assert_eq!(harness.status(1), Some(JobState::Succeeded));
}

#[test]
fn long_running_gang_restarts_together() {
    let mut harness = Harness::new();
    harness.submit(
        1,
        request(vec![StepRequest {
            long_running: true,
            ..gang_step(2)
        }]),
    );
    let id = unit_id(1, 0, 0, None);
    let started = harness.start(&id);
    harness.finish(run_of(&started, 0), RunEnd::Done);
    assert_eq!(
        harness.last_changes.runs_to_stop,
        vec![run_of(&started, 1).clone()]
    );
    harness.finish(run_of(&started, 1), RunEnd::Stopped);
    assert_eq!(harness.ready_ids(), vec![id]);
}

#[test]
fn recovered_tasks_keep_the_checkpoint_of_their_start() {
    let (mut harness, id) = submitted_gang();
    let first = harness.start(&id);
    for start in &first {
        harness.finish_with_checkpoint(&start.run, RunEnd::Stopped, "c1");
    }
    let second = harness.start(&id);
    harness.table.on_checkpoint(run_of(&second, 0), "c2");
    let mut recovered = harness.recovered();
    recovered.table.on_checkpoint(run_of(&second, 0), "c2");
    for harness in [&harness, &recovered] {
        assert!(harness
            .table
            .assigned_runs()
            .iter()
            .all(|run| &*run.checkpoint == "c1" && &*run.spec == "scan 7"));
    }
}
