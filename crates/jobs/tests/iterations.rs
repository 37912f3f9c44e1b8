//! Release of the iterations of timed jobs.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{job_id, request, step, unit_id, Harness, START};
use streamusher_protocol::job::{JobRequest, JobState};
use streamusher_protocol::task::RunEnd;

#[test]
fn iteration_is_released_at_its_due_time() {
    let mut harness = Harness::new();
    let start_at_ms = START.unix_ms + 1_000;
    let timed = JobRequest {
        repeat_count: 2,
        start_at_ms,
        interval_ms: 500,
        ..request(vec![step(1)])
    };
    harness.submit(1, timed);
    assert!(harness.ready_ids().is_empty());
    assert_eq!(harness.table.time_to_next_timer(harness.now), Some(1_000));
    harness.advance(999);
    assert!(harness.ready_ids().is_empty());
    harness.advance(1);
    assert_eq!(harness.ready_ids(), vec![unit_id(1, 0, 0, Some(0))]);
    harness.advance(499);
    assert_eq!(harness.ready_ids().len(), 1);
    harness.advance(1);
    assert_eq!(
        harness.ready_ids(),
        vec![unit_id(1, 0, 0, Some(0)), unit_id(1, 1, 0, Some(0))]
    );
    harness.start_and_finish(&unit_id(1, 1, 0, Some(0)), RunEnd::Done);
    assert_eq!(harness.status(1), Some(JobState::Running));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Done);
    assert_eq!(harness.status(1), Some(JobState::Succeeded));
}

#[test]
fn job_runs_until_its_last_iteration() {
    let mut harness = Harness::new();
    let timed = JobRequest {
        repeat_count: 2,
        start_at_ms: START.unix_ms,
        interval_ms: 60_000,
        ..request(vec![step(1)])
    };
    harness.submit(1, timed);
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Done);
    assert_eq!(harness.status(1), Some(JobState::Running));
    assert_eq!(
        harness.stored_keys(),
        vec![format!("job/{}", job_id(1))],
        "the records of the iteration's tasks are removed"
    );
    let mut recovered = harness.recovered();
    assert!(recovered.ready_ids().is_empty());
    assert_eq!(recovered.status(1), Some(JobState::Running));
    recovered.advance(60_000);
    assert_eq!(recovered.ready_ids(), vec![unit_id(1, 1, 0, Some(0))]);
}

#[test]
fn started_iteration_survives_a_system_clock_set_back() {
    let mut harness = Harness::new();
    let start_at_ms = START.unix_ms + 1_000;
    let timed = JobRequest {
        repeat_count: 3,
        start_at_ms,
        interval_ms: 500,
        ..request(vec![step(1)])
    };
    harness.submit(1, timed);
    harness.advance(1_500);
    harness.start(&unit_id(1, 1, 0, Some(0)));
    harness.now.unix_ms -= 5_000;
    let mut recovered = harness.recovered();
    assert_eq!(recovered.table.assigned_runs().len(), 1);
    assert_eq!(
        recovered.ready_ids(),
        vec![unit_id(1, 0, 0, Some(0))],
        "an iteration before a started one was released too"
    );
    recovered.advance(5_499);
    assert_eq!(recovered.ready_ids().len(), 1);
    recovered.advance(1);
    assert_eq!(
        recovered.ready_ids().len(),
        2,
        "the third iteration is released at its due time"
    );
}

#[test]
fn single_iteration_waits_for_its_start_time() {
    let mut harness = Harness::new();
    harness.submit(
        1,
        JobRequest {
            start_at_ms: START.unix_ms + 10,
            ..request(vec![step(1)])
        },
    );
    harness.advance(9);
    assert!(harness.ready_ids().is_empty());
    harness.advance(1);
    assert_eq!(harness.ready_ids().len(), 1);
}

#[test]
fn overdue_iterations_are_released_within_the_task_limit() {
    let mut harness = Harness::new();
    let overdue = JobRequest {
        repeat_count: 100,
        interval_ms: 1,
        ..request(vec![step(4_000)])
    };
    harness.submit(1, overdue);
    assert_eq!(harness.ready_ids().len(), 8_000);
    for index in 0..4_000 {
        harness.start_and_finish(&unit_id(1, 0, 0, Some(index)), RunEnd::Done);
    }
    harness.advance(0);
    assert_eq!(harness.ready_ids().len(), 8_000);
    assert!(harness.ready_units.contains_key(&unit_id(1, 2, 0, Some(0))));
    let recovered = harness.recovered();
    assert_eq!(recovered.ready_units, harness.ready_units);
}
