//! Speculative second runs of hedged tasks. The first run to succeed counts.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{gang_step, hedged_step, request, step, unit_id, Harness};
use rstest::rstest;
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::{RunEnd, RunId};

/// Creates a job whose only task has a run and a second run that waits for placement.
fn task_with_waiting_second_run() -> (Harness, RunId) {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![hedged_step(1)]));
    let first = harness.start(&unit_id(1, 0, 0, Some(0)))[0].run.clone();
    assert!(harness.table.hedge(&first));
    harness.take_changes();
    (harness, first)
}

/// Creates a job whose only task has two started runs.
fn task_with_two_runs() -> (Harness, RunId, RunId) {
    let (mut harness, first) = task_with_waiting_second_run();
    let second = harness.start(&unit_id(1, 0, 0, Some(0)))[0].run.clone();
    (harness, first, second)
}

#[test]
fn second_run_waits_for_another_worker() {
    let (harness, first) = task_with_waiting_second_run();
    let waiting = &harness.ready_units[&unit_id(1, 0, 0, Some(0))];
    assert!(waiting.speculative && waiting.hedged);
    assert_eq!(waiting.avoid, ["w0".into()]);
    assert!(harness.table.is_current(&first));
}

#[rstest]
#[case::not_hedged(step(1))]
#[case::gang(StepRequest { hedged: true, ..gang_step(2) })]
#[case::long_running(StepRequest { long_running: true, ..hedged_step(1) })]
fn unsuitable_steps_are_not_hedged(#[case] step: StepRequest) {
    let index = if step.gang { None } else { Some(0) };
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step]));
    let first = harness.start(&unit_id(1, 0, 0, index))[0].run.clone();
    assert!(!harness.table.hedge(&first));
    harness.take_changes();
    assert!(harness.ready_ids().is_empty());
}

#[test]
fn third_run_is_rejected() {
    let (mut harness, first, second) = task_with_two_runs();
    assert!(!harness.table.hedge(&first) && !harness.table.hedge(&second));
}

#[rstest]
#[case::earlier_run(true)]
#[case::newer_run(false)]
fn first_success_stops_the_other_run(#[case] earlier: bool) {
    let (mut harness, first, second) = task_with_two_runs();
    let (winner, loser) = if earlier {
        (&first, &second)
    } else {
        (&second, &first)
    };

    assert!(harness.finish(winner, RunEnd::Done));

    assert_eq!(harness.status(1), Some(JobState::Succeeded));
    assert_eq!(
        harness.last_changes.runs_to_stop,
        std::slice::from_ref(loser)
    );
    assert!(!harness.table.is_current(loser));
    assert!(
        harness.finish(loser, RunEnd::Stopped),
        "the capacity of a stopped run stays allocated until the run is over"
    );
    assert_eq!(harness.status(1), Some(JobState::Succeeded));
}

#[test]
fn success_revokes_the_waiting_second_run() {
    let (mut harness, first) = task_with_waiting_second_run();
    assert!(harness.finish(&first, RunEnd::Done));
    assert!(harness.ready_ids().is_empty());
    assert_eq!(harness.status(1), Some(JobState::Succeeded));
}

#[rstest]
#[case(RunEnd::Failed)]
#[case(RunEnd::LeaseExpired)]
#[case(RunEnd::Stopped)]
fn waiting_second_run_becomes_the_only_one(#[case] end: RunEnd) {
    let (mut harness, first) = task_with_waiting_second_run();
    assert!(harness.finish(&first, end));
    let waiting = &harness.ready_units[&unit_id(1, 0, 0, Some(0))];
    assert!(
        !waiting.speculative,
        "the only run of a task is not speculative"
    );
}

#[test]
fn lost_second_run_is_replaced() {
    let (mut harness, first, second) = task_with_two_runs();
    harness.lose(&second);
    assert!(harness.ready_units[&unit_id(1, 0, 0, Some(0))].speculative);
    assert!(harness.finish(&first, RunEnd::Done));
    assert_eq!(harness.status(1), Some(JobState::Succeeded));
}

#[test]
fn failures_of_both_runs_count() {
    let (mut harness, first, second) = task_with_two_runs();
    assert!(harness.finish(&first, RunEnd::Failed));
    assert_eq!(harness.status(1), Some(JobState::Running));
    assert!(harness.finish(&second, RunEnd::Failed));
    assert_eq!(harness.status(1), Some(JobState::Failed));
    assert!(harness.ready_ids().is_empty());
}

#[test]
fn cancellation_stops_both_runs() {
    let (mut harness, first, second) = task_with_two_runs();
    harness.cancel(1);
    assert_eq!(harness.last_changes.runs_to_stop, [first, second]);
}

#[test]
fn both_runs_survive_a_recovery() {
    let (harness, first, second) = task_with_two_runs();
    let mut recovered = harness.recovered();

    let assigned: Vec<RunId> = recovered
        .table
        .assigned_runs()
        .into_iter()
        .map(|run| run.run)
        .collect();
    assert_eq!(assigned, [first.clone(), second.clone()]);
    assert!(recovered.ready_ids().is_empty());

    assert!(recovered.finish(&first, RunEnd::Done));
    assert_eq!(recovered.last_changes.runs_to_stop, [second]);
}

#[test]
fn waiting_second_run_survives_a_recovery() {
    let (harness, first) = task_with_waiting_second_run();
    let recovered = harness.recovered();
    assert!(recovered.ready_units[&unit_id(1, 0, 0, Some(0))].speculative);
    assert_eq!(recovered.table.assigned_runs()[0].run, first);
}

#[test]
fn task_records_are_removed_with_the_last_run() {
    let (mut harness, first, second) = task_with_two_runs();
    harness.finish(&second, RunEnd::Done);
    assert!(
        harness
            .stored_keys()
            .iter()
            .any(|key| key.starts_with("task/")),
        "the record stays as long as a run occupies a worker"
    );
    harness.lose(&first);
    assert!(!harness
        .stored_keys()
        .iter()
        .any(|key| key.starts_with("task/")));
}
