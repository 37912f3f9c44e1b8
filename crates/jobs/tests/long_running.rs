//! Long-running tasks: restarts and backoff.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{long_running_step, request, unit_id, Harness};
use rstest::rstest;
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::RunEnd;

#[rstest]
fn task_restarts_after_any_end(
    #[values(RunEnd::Done, RunEnd::Failed, RunEnd::Stopped, RunEnd::LeaseExpired)] end: RunEnd,
) {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![long_running_step(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    for number in 1..=20 {
        harness.advance(2_000);
        assert_eq!(harness.start_and_finish(&id, end).run, number);
    }
    assert_eq!(harness.status(1), Some(JobState::Running));
    harness.cancel(1);
    assert_eq!(harness.status(1), Some(JobState::Cancelled));
}

#[test]
fn backoff_grows_to_its_maximum() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![long_running_step(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    let mut measured_ms = Vec::new();
    for _ in 0..8 {
        harness.start_and_finish(&id, RunEnd::Failed);
        let is_ready = harness.ready_units.contains_key(&id);
        let backoff_ms = if is_ready {
            0
        } else {
            harness
                .table
                .time_to_next_timer(harness.now)
                .expect("a timer is set")
        };
        measured_ms.push(backoff_ms);
        if backoff_ms > 0 {
            harness.advance(backoff_ms - 1);
            assert!(harness.ready_ids().is_empty());
            harness.advance(1);
        }
    }
    assert_eq!(measured_ms, [0, 100, 200, 400, 800, 1_600, 2_000, 2_000]);
    let started = harness.start(&id);
    harness.advance(10_000);
    harness.finish(&started[0].run, RunEnd::Failed);
    assert_eq!(
        harness.ready_ids(),
        vec![id],
        "after a healthy run the first failure is not followed by a backoff"
    );
}

#[test]
fn cancelled_task_is_not_restarted_after_its_backoff() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![long_running_step(1)]));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Failed);
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Failed);
    harness.cancel(1);
    harness.advance(5_000);
    assert!(harness.ready_ids().is_empty());
}

/// A run of at least 10 s resets the count of consecutive failures, also when a takeover happens during the
/// run.
#[rstest]
#[case::healthy(9_500, true)]
#[case::short(1_000, false)]
fn time_before_a_takeover_counts_for_a_healthy_run(
    #[case] before_ms: u64,
    #[case] is_ready_without_backoff: bool,
) {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![long_running_step(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    harness.start_and_finish(&id, RunEnd::Failed);
    harness.start_and_finish(&id, RunEnd::Failed);
    harness.advance(100);
    let started = harness.start(&id);
    harness.advance(before_ms);

    harness = Harness::recovered_from(harness.now, harness.state);
    harness.advance(600);
    harness.finish(&started[0].run, RunEnd::Failed);
    assert_eq!(harness.ready_ids().contains(&id), is_ready_without_backoff);
}
