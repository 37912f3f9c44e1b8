//! Order in which the steps of a job run, and the order and slack of their units.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{request, step, step_after, task_id, unit_id, Harness, START};
use rstest::rstest;
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::RunEnd;

#[test]
fn step_waits_for_all_tasks_of_its_dependency() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2), step_after(1, &[0])]));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Done);
    assert_eq!(harness.ready_ids(), vec![unit_id(1, 0, 0, Some(1))]);
    harness.start_and_finish(&unit_id(1, 0, 0, Some(1)), RunEnd::Done);
    assert_eq!(harness.ready_ids(), vec![unit_id(1, 0, 1, Some(0))]);
    assert_eq!(harness.status(1), Some(JobState::Running));
    harness.start_and_finish(&unit_id(1, 0, 1, Some(0)), RunEnd::Done);
    assert_eq!(harness.status(1), Some(JobState::Succeeded));
}

#[test]
fn duplicate_dependencies_count_once() {
    let mut harness = Harness::new();
    harness.submit(
        1,
        request(vec![step(1), step(1), step_after(1, &[0, 0, 1])]),
    );
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Done);
    assert!(!harness.ready_units.contains_key(&unit_id(1, 0, 2, Some(0))));
    harness.start_and_finish(&unit_id(1, 0, 1, Some(0)), RunEnd::Done);
    assert!(harness.ready_units.contains_key(&unit_id(1, 0, 2, Some(0))));
}

#[test]
fn earlier_jobs_and_their_later_steps_come_first() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1), step_after(1, &[0])]));
    harness.advance(5);
    harness.submit(2, request(vec![step(1)]));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Done);
    let older = &harness.ready_units[&unit_id(1, 0, 1, Some(0))];
    let newer = &harness.ready_units[&unit_id(2, 0, 0, Some(0))];
    assert_eq!(older.order, START.unix_ms + 800);
    assert!(older.order < newer.order);
}

#[test]
fn write_batch_holds_only_what_changed() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(200)]));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(7)), RunEnd::Done);
    assert_eq!(harness.last_changes.writes.len(), 1);
    assert_eq!(
        harness.last_changes.writes[0].key.to_string(),
        format!("task/{}", task_id(1, 0, 0, 7))
    );
}

#[rstest]
#[case::one_step(&[4_000], 0, 800 + 6_000)]
#[case::first_of_two(&[3_000, 1_000], 0, (800 + 6_000) * 3 / 4)]
#[case::second_of_two(&[3_000, 1_000], 1, (800 + 6_000) / 4)]
#[case::no_estimate(&[0], 0, 800)]
fn slack_is_shared_by_estimated_work(
    #[case] estimates_ms: &[u64],
    #[case] checked_step: u32,
    #[case] slack_ms: u64,
) {
    let mut harness = Harness::new();
    let steps = (0_u32..).zip(estimates_ms).map(|(index, &estimated_ms)| {
        let previous: Vec<u32> = index.checked_sub(1).into_iter().collect();
        StepRequest {
            estimated_ms,
            ..step_after(1, &previous)
        }
    });
    harness.submit(1, request(steps.collect()));
    for earlier in 0..checked_step {
        harness.start_and_finish(&unit_id(1, 0, earlier, Some(0)), RunEnd::Done);
    }
    assert_eq!(
        harness.ready_units[&unit_id(1, 0, checked_step, Some(0))].slack_ms,
        slack_ms
    );
}
