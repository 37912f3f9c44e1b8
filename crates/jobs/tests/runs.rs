//! Start and end of runs: run numbers, failed attempts and avoided workers.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{assignment, policy, request, run_id, step, task_id, unit_id, Harness};
use rstest::rstest;
use streamusher_jobs::QueuePolicy;
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::RunEnd;

#[test]
fn started_run_is_recorded() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    let started = harness.start(&unit_id(1, 0, 0, Some(0)));
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].run, run_id(task_id(1, 0, 0, 0), 1));
    assert_eq!(
        (
            &*started[0].worker,
            &*started[0].spec,
            &*started[0].checkpoint
        ),
        ("w0", "scan 7", "")
    );
    assert!(
        harness
            .state
            .contains_key(&*format!("task/{}", task_id(1, 0, 0, 0))),
        "the record is written before the run starts"
    );
    assert!(harness.table.is_current(&started[0].run));
    let second_start = harness.table.start_unit(
        harness.now,
        &unit_id(1, 0, 0, Some(0)),
        &[assignment(task_id(1, 0, 0, 0), "w9")],
    );
    assert!(second_start.is_empty(), "a task has at most one run");
}

#[test]
fn wrong_assignment_starts_nothing() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2)]));
    let id = unit_id(1, 0, 0, Some(0));
    let (own, other) = (
        assignment(task_id(1, 0, 0, 0), "w0"),
        assignment(task_id(1, 0, 0, 1), "w1"),
    );
    assert!(harness.table.start_unit(harness.now, &id, &[]).is_empty());
    assert!(harness
        .table
        .start_unit(harness.now, &id, std::slice::from_ref(&other))
        .is_empty());
    assert!(harness
        .table
        .start_unit(harness.now, &id, &[own.clone(), other])
        .is_empty());
    assert!(harness
        .table
        .start_unit(
            harness.now,
            &unit_id(1, 0, 0, None),
            std::slice::from_ref(&own)
        )
        .is_empty());
    assert!(harness
        .table
        .start_unit(
            harness.now,
            &unit_id(1, 0, 9, Some(0)),
            std::slice::from_ref(&own)
        )
        .is_empty());
    assert!(harness
        .table
        .start_unit(
            harness.now,
            &unit_id(2, 0, 0, Some(0)),
            std::slice::from_ref(&own)
        )
        .is_empty());
    assert_eq!(harness.table.start_unit(harness.now, &id, &[own]).len(), 1);
}

#[rstest]
fn interrupted_run_is_not_a_failed_attempt(
    #[values(
        RunEnd::Stopped,
        RunEnd::LeaseExpired,
        RunEnd::GangBroken,
        RunEnd::GangIncomplete,
        RunEnd::Rejected
    )]
    end: RunEnd,
) {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    for number in 1..=5 {
        let ended = harness.start_and_finish(&id, end);
        assert_eq!(ended.run, number, "run numbers increase");
    }
    assert_eq!(harness.status(1), Some(JobState::Running));
    assert_eq!(harness.ready_ids(), vec![id]);
}

#[test]
fn exhausted_attempts_fail_the_job() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(3)]));
    let other = harness.start(&unit_id(1, 0, 0, Some(1)));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Failed);
    assert_eq!(harness.status(1), Some(JobState::Running));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Failed);
    assert_eq!(harness.status(1), Some(JobState::Failed));
    assert!(harness.ready_ids().is_empty());
    assert_eq!(
        harness.last_changes.runs_to_stop,
        vec![other[0].run.clone()]
    );
    assert!(harness.finish(&other[0].run, RunEnd::Done));
    assert_eq!(
        harness.status(1),
        Some(JobState::Failed),
        "a final state never changes"
    );
}

#[test]
fn end_of_a_superseded_run_is_ignored() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    let first = harness.start(&unit_id(1, 0, 0, Some(0)));
    harness.lose(&first[0].run);
    let second = harness.start(&unit_id(1, 0, 0, Some(0)));
    assert!(!harness.finish(&first[0].run, RunEnd::Done));
    assert!(harness.last_changes.writes.is_empty());
    assert_eq!(harness.status(1), Some(JobState::Running));
    assert!(!harness.table.is_current(&first[0].run));
    assert!(harness.table.is_current(&second[0].run));
    assert!(!harness.finish(&run_id(task_id(7, 0, 0, 0), 1), RunEnd::Done));
    assert!(!harness.finish(
        &run_id(task_id(1, 4_000_000_000, 70, 4_000_000_000), 1),
        RunEnd::Done
    ));
}

#[test]
fn repeated_end_is_ignored() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2)]));
    let ended = harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Failed);
    assert!(!harness.finish(&ended, RunEnd::Failed));
    assert_eq!(harness.status(1), Some(JobState::Running));
    assert_eq!(harness.ready_ids().len(), 2);
}

#[test]
fn run_numbers_are_never_reused() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    let first = harness.start(&id);
    harness.lose(&first[0].run);
    let second = harness.start(&id);
    harness.table.on_run_withdrawn(harness.now, &second[0].run);
    harness.take_changes();
    let mut recovered = harness.recovered();
    assert_eq!(recovered.start(&id)[0].run.run, 3);
}

#[test]
fn workers_of_failed_and_stalled_runs_are_avoided() {
    let mut harness = Harness::new();
    let many_attempts = QueuePolicy {
        max_attempts: 9,
        ..policy("scans")
    };
    harness.submit_with(1, request(vec![step(1)]), &many_attempts);
    let id = unit_id(1, 0, 0, Some(0));
    for worker in ["a", "b", "c", "d", "e"] {
        let started =
            harness
                .table
                .start_unit(harness.now, &id, &[assignment(task_id(1, 0, 0, 0), worker)]);
        if worker == "b" {
            harness.table.on_run_stalled(&started[0].run);
            harness
                .table
                .on_run_finished(harness.now, &started[0].run, RunEnd::Stopped, "");
        } else {
            harness
                .table
                .on_run_finished(harness.now, &started[0].run, RunEnd::Failed, "");
        }
    }
    harness.ready_units.clear();
    harness.take_changes();
    let avoided: Vec<&str> = harness.ready_units[&id]
        .avoid
        .iter()
        .map(|worker| &**worker)
        .collect();
    assert_eq!(avoided, ["b", "c", "d", "e"]);
    assert_eq!(harness.recovered().ready_units, harness.ready_units);
}

#[test]
fn repeated_failures_at_one_worker_keep_the_others_avoided() {
    let mut harness = Harness::new();
    let many_attempts = QueuePolicy {
        max_attempts: 9,
        ..policy("scans")
    };
    harness.submit_with(1, request(vec![step(1)]), &many_attempts);
    let id = unit_id(1, 0, 0, Some(0));
    for worker in ["a", "b", "b", "b", "b"] {
        let started =
            harness
                .table
                .start_unit(harness.now, &id, &[assignment(task_id(1, 0, 0, 0), worker)]);
        assert!(harness
            .table
            .on_run_finished(harness.now, &started[0].run, RunEnd::Failed, ""));
    }
    harness.ready_units.clear();
    harness.take_changes();
    let avoided: Vec<&str> = harness.ready_units[&id]
        .avoid
        .iter()
        .map(|worker| &**worker)
        .collect();
    assert_eq!(avoided, ["a", "b"]);
}

#[test]
fn lowered_attempt_limit_fails_a_waiting_task() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2)]));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Failed);
    harness.table.apply_configuration(&|_| {
        Some(QueuePolicy {
            max_attempts: 1,
            ..policy("scans")
        })
    });
    harness.take_changes();
    assert_eq!(harness.status(1), Some(JobState::Failed));
    assert!(harness.ready_ids().is_empty());
}

#[test]
fn lowered_attempt_limit_does_not_fail_a_running_task() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Failed);
    let second = harness.start(&unit_id(1, 0, 0, Some(0)));
    harness.table.apply_configuration(&|_| {
        Some(QueuePolicy {
            max_attempts: 1,
            ..policy("scans")
        })
    });
    harness.take_changes();
    assert_eq!(harness.status(1), Some(JobState::Running));
    harness.finish(&second[0].run, RunEnd::Done);
    assert_eq!(harness.status(1), Some(JobState::Succeeded));
}
