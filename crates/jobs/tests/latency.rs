//! Latency breakdown of an iteration: each millisecond of the chain of units on which the end depended is in
//! exactly one stage.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{hedged_step, policy, request, step, step_after, unit_id, Harness, START};
use rstest::rstest;
use streamusher_jobs::{Completion, LatencyBreakdown, LatencyStage, RunTimings};
use streamusher_protocol::job::JobRequest;
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::unit::UnitId;
use streamusher_protocol::Millis;

/// Advances the time by the wait of a unit, accounts the wait to a stage and starts the unit.
fn wait_and_start(
    harness: &mut Harness,
    id: &UnitId,
    stage: LatencyStage,
    waited_ms: Millis,
) -> RunId {
    harness.advance(waited_ms);
    let mut waits = LatencyBreakdown::default();
    waits.add(stage, waited_ms);
    harness.table.record_wait(harness.now, id, &waits);
    harness.start(id)[0].run.clone()
}

/// Advances the time by the dispatch and the duration of a run, and finishes the run.
fn run_for(
    harness: &mut Harness,
    run: &RunId,
    dispatched_ms: Millis,
    ran_ms: Millis,
    slowness: f64,
    end: RunEnd,
) {
    harness.advance(dispatched_ms + ran_ms);
    harness
        .table
        .record_run_timings(run, RunTimings { ran_ms, slowness });
    assert!(harness.finish(run, end));
}

fn completion(harness: &Harness) -> Completion {
    assert_eq!(
        harness.last_changes.completions.len(),
        1,
        "{:?}",
        harness.last_changes.completions
    );
    harness.last_changes.completions[0].clone()
}

fn stages(completion: &Completion) -> Vec<(LatencyStage, Millis)> {
    completion.breakdown.stages().collect()
}

#[test]
fn breakdown_follows_the_chain_of_units_that_finished_last() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2), step_after(1, &[0])]));
    let fast = wait_and_start(
        &mut harness,
        &unit_id(1, 0, 0, Some(0)),
        LatencyStage::WaitedForCapacity,
        50,
    );
    let slow = wait_and_start(
        &mut harness,
        &unit_id(1, 0, 0, Some(1)),
        LatencyStage::WaitedWithCapacityFree,
        50,
    );
    run_for(&mut harness, &fast, 10, 100, 1.0, RunEnd::Done);
    run_for(&mut harness, &slow, 0, 240, 1.0, RunEnd::Done);
    assert!(harness.last_changes.completions.is_empty());
    let last = wait_and_start(
        &mut harness,
        &unit_id(1, 0, 1, Some(0)),
        LatencyStage::WaitedForReservation,
        30,
    );
    run_for(&mut harness, &last, 20, 300, 1.5, RunEnd::Done);

    let completion = completion(&harness);
    assert!(completion.succeeded);
    assert_eq!(completion.latency_ms, 50 + 50 + 350 + 30 + 320);
    assert_eq!(completion.breakdown.total_ms(), completion.latency_ms);
    let expected = vec![
        (LatencyStage::WaitedForReservation, 30),
        (LatencyStage::WaitedWithCapacityFree, 50),
        (LatencyStage::Dispatched, 110 + 20),
        (LatencyStage::Worked, 240 + 200),
        (LatencyStage::RanSlowly, 100),
        (LatencyStage::Unknown, 50),
    ];
    assert_eq!(stages(&completion), expected);
    assert_eq!(completion.objective_ms, 800 + 440 * 5 / 2);
    assert!(completion.met_objective());
}

#[rstest]
#[case::failed(RunEnd::Failed, LatencyStage::Failed)]
#[case::stopped(RunEnd::Stopped, LatencyStage::Stopped)]
#[case::lease_expired(RunEnd::LeaseExpired, LatencyStage::Lost)]
fn unsuccessful_run_is_accounted_by_its_end(#[case] end: RunEnd, #[case] stage: LatencyStage) {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    let first = wait_and_start(&mut harness, &id, LatencyStage::WaitedForCapacity, 100);
    run_for(&mut harness, &first, 50, 400, 1.0, end);
    let second = wait_and_start(&mut harness, &id, LatencyStage::WaitedForCapacity, 200);
    run_for(&mut harness, &second, 0, 900, 1.0, RunEnd::Done);

    let expected = vec![
        (LatencyStage::WaitedForCapacity, 300),
        (LatencyStage::Worked, 900),
        (stage, 450),
    ];
    let mut found = stages(&completion(&harness));
    found.sort();
    assert_eq!(found, expected);
}

#[test]
fn time_of_a_lost_run_counts_as_lost() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    let first = wait_and_start(&mut harness, &id, LatencyStage::WaitedForWorker, 10);
    harness.advance(700);
    harness.lose(&first);
    let second = wait_and_start(&mut harness, &id, LatencyStage::WaitedForWorker, 20);
    run_for(&mut harness, &second, 0, 100, 1.0, RunEnd::Done);
    let expected = vec![
        (LatencyStage::WaitedForWorker, 30),
        (LatencyStage::Worked, 100),
        (LatencyStage::Lost, 700),
    ];
    assert_eq!(stages(&completion(&harness)), expected);
}

#[test]
fn failed_job_has_one_completion() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2)]));
    let id = unit_id(1, 0, 0, Some(0));
    for _ in 0..policy("scans").max_attempts {
        let run = wait_and_start(&mut harness, &id, LatencyStage::WaitedForCapacity, 10);
        run_for(&mut harness, &run, 0, 300, 1.0, RunEnd::Failed);
    }
    let completion = completion(&harness);
    assert!(!completion.succeeded && !completion.met_objective());
    assert_eq!(
        stages(&completion),
        vec![
            (LatencyStage::WaitedForCapacity, 20),
            (LatencyStage::Failed, 600)
        ]
    );
}

#[test]
fn wait_of_a_speculative_run_is_accounted_to_the_earlier_run() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![hedged_step(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    let first = wait_and_start(&mut harness, &id, LatencyStage::WaitedForCapacity, 10);
    harness.advance(400);
    assert!(harness.table.hedge(&first));
    harness.take_changes();
    wait_and_start(&mut harness, &id, LatencyStage::WaitedForCapacity, 100);
    harness.advance(150);
    run_for(&mut harness, &first, 0, 50, 1.0, RunEnd::Done);
    let completion = completion(&harness);
    assert_eq!(completion.breakdown.total_ms(), 10 + 400 + 100 + 150 + 50);
    assert_eq!(completion.breakdown.in_stage(LatencyStage::Unknown), 0);
}

#[test]
fn time_before_a_recovery_is_unknown() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    let run = wait_and_start(
        &mut harness,
        &unit_id(1, 0, 0, Some(0)),
        LatencyStage::WaitedForCapacity,
        40,
    );
    harness.advance(3_000);
    let mut harness = harness.recovered();
    run_for(&mut harness, &run, 0, 200, 1.0, RunEnd::Done);
    let completion = completion(&harness);
    assert_eq!(
        stages(&completion),
        vec![(LatencyStage::Worked, 200), (LatencyStage::Unknown, 3_040)]
    );
    assert_eq!(completion.objective_ms, 800 + 900 * 5 / 2);
}

#[test]
fn latency_of_an_iteration_starts_at_its_due_time() {
    let mut harness = Harness::new();
    let due_unix_ms = START.unix_ms + 1_000;
    let repeated = JobRequest {
        start_at_ms: due_unix_ms,
        interval_ms: 5_000,
        repeat_count: 2,
        ..request(vec![step(1)])
    };
    harness.submit(1, repeated);
    for iteration in 0..2 {
        harness.advance(due_unix_ms + 5_000 * u64::from(iteration) - harness.now.unix_ms);
        let id = unit_id(1, iteration, 0, Some(0));
        let run = wait_and_start(&mut harness, &id, LatencyStage::WaitedForCapacity, 100);
        run_for(&mut harness, &run, 0, 200, 1.0, RunEnd::Done);
        let completion = completion(&harness);
        assert_eq!(
            (completion.iteration, completion.latency_ms),
            (iteration, 300)
        );
    }
}
