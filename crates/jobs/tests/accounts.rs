//! Where the time of an iteration went: each millisecond of the chain that its end waited for, in one stage.

mod common;

use common::*;
use rstest::rstest;
use streamusher_jobs::{Completion, LatencyBreakdown, LatencyStage, RunTimings};
use streamusher_protocol::job::StepRequest;
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::unit::UnitId;
use streamusher_protocol::Millis;

/// Waits for a cause, and begins.
fn wait_and_begin(world: &mut World, id: &UnitId, stage: LatencyStage, waited_ms: Millis) -> RunId {
    world.pass(waited_ms);
    let mut waits = LatencyBreakdown::default();
    waits.add(stage, waited_ms);
    world.book.record_wait(world.now, id, &waits);
    world.begin(id)[0].run.clone()
}

/// Lets a run's order and the run itself take so long, and ends it.
fn run_for(
    world: &mut World,
    run: &RunId,
    ordered_ms: Millis,
    ran_ms: Millis,
    slowness: f64,
    how: RunEnd,
) {
    world.pass(ordered_ms + ran_ms);
    world
        .book
        .record_run_timings(run, RunTimings { ran_ms, slowness });
    assert!(world.end(run, how));
}

fn completion(world: &World) -> Completion {
    assert_eq!(
        world.last.completions.len(),
        1,
        "{:?}",
        world.last.completions
    );
    world.last.completions[0].clone()
}

fn stages(completion: &Completion) -> Vec<(LatencyStage, Millis)> {
    completion.breakdown.stages().collect()
}

#[test]
fn given_two_steps_when_the_last_task_of_each_decides_then_the_time_is_that_of_their_chain() {
    let mut world = World::new();
    world.submit(1, request(vec![step(2), after(1, &[0])]));
    let fast = wait_and_begin(
        &mut world,
        &unit(1, 0, 0, Some(0)),
        LatencyStage::WaitedForCapacity,
        50,
    );
    let slow = wait_and_begin(
        &mut world,
        &unit(1, 0, 0, Some(1)),
        LatencyStage::WaitedWithCapacityFree,
        50,
    );
    run_for(&mut world, &fast, 10, 100, 1.0, RunEnd::Done);
    run_for(&mut world, &slow, 0, 240, 1.0, RunEnd::Done);
    assert!(world.last.completions.is_empty());
    let last = wait_and_begin(
        &mut world,
        &unit(1, 0, 1, Some(0)),
        LatencyStage::WaitedForReservation,
        30,
    );
    run_for(&mut world, &last, 20, 300, 1.5, RunEnd::Done);

    let completion = completion(&world);
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
    assert_eq!(completion.objective_ms, 800 + (2.5 * 440.0) as Millis);
    assert!(completion.met_objective());
}

#[rstest]
#[case::failed(RunEnd::Failed, LatencyStage::Failed)]
#[case::stopped(RunEnd::Stopped, LatencyStage::Stopped)]
#[case::lapsed(RunEnd::LeaseExpired, LatencyStage::Lost)]
fn given_a_run_in_vain_when_the_task_is_done_later_then_its_time_counts_by_how_it_ended(
    #[case] how: RunEnd,
    #[case] stage: LatencyStage,
) {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    let id = unit(1, 0, 0, Some(0));
    let first = wait_and_begin(&mut world, &id, LatencyStage::WaitedForCapacity, 100);
    run_for(&mut world, &first, 50, 400, 1.0, how);
    let second = wait_and_begin(&mut world, &id, LatencyStage::WaitedForCapacity, 200);
    run_for(&mut world, &second, 0, 900, 1.0, RunEnd::Done);

    let expected = vec![
        (LatencyStage::WaitedForCapacity, 300),
        (LatencyStage::Worked, 900),
        (stage, 450),
    ];
    let mut told = stages(&completion(&world));
    told.sort();
    assert_eq!(told, expected);
}

#[test]
fn given_a_run_lost_with_its_worker_when_the_task_is_done_later_then_its_time_was_lost() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    let id = unit(1, 0, 0, Some(0));
    let first = wait_and_begin(&mut world, &id, LatencyStage::WaitedForWorker, 10);
    world.pass(700);
    world.lose(&first);
    let second = wait_and_begin(&mut world, &id, LatencyStage::WaitedForWorker, 20);
    run_for(&mut world, &second, 0, 100, 1.0, RunEnd::Done);
    let expected = vec![
        (LatencyStage::WaitedForWorker, 30),
        (LatencyStage::Worked, 100),
        (LatencyStage::Lost, 700),
    ];
    assert_eq!(stages(&completion(&world)), expected);
}

#[test]
fn given_a_task_that_fails_too_often_when_its_job_fails_then_that_is_told_once() {
    let mut world = World::new();
    world.submit(1, request(vec![step(2)]));
    let id = unit(1, 0, 0, Some(0));
    for _ in 0..terms("scans").max_attempts {
        let run = wait_and_begin(&mut world, &id, LatencyStage::WaitedForCapacity, 10);
        run_for(&mut world, &run, 0, 300, 1.0, RunEnd::Failed);
    }
    let completion = completion(&world);
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
fn given_a_hedged_task_when_its_second_run_is_ordered_then_the_first_ones_time_goes_on() {
    let mut world = World::new();
    world.submit(
        1,
        request(vec![StepRequest {
            hedged: true,
            ..step(1)
        }]),
    );
    let id = unit(1, 0, 0, Some(0));
    let first = wait_and_begin(&mut world, &id, LatencyStage::WaitedForCapacity, 10);
    world.pass(400);
    assert!(world.book.hedge(&first));
    world.take();
    wait_and_begin(&mut world, &id, LatencyStage::WaitedForCapacity, 100);
    world.pass(150);
    run_for(&mut world, &first, 0, 50, 1.0, RunEnd::Done);
    let completion = completion(&world);
    assert_eq!(completion.breakdown.total_ms(), 10 + 400 + 100 + 150 + 50);
    assert_eq!(completion.breakdown.in_stage(LatencyStage::Unknown), 0);
}

#[test]
fn given_a_successor_when_it_sees_the_end_of_a_job_then_what_it_did_not_see_is_unknown() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    let run = wait_and_begin(
        &mut world,
        &unit(1, 0, 0, Some(0)),
        LatencyStage::WaitedForCapacity,
        40,
    );
    world.pass(3_000);
    let mut world = world.recovered();
    run_for(&mut world, &run, 0, 200, 1.0, RunEnd::Done);
    let completion = completion(&world);
    assert_eq!(
        stages(&completion),
        vec![(LatencyStage::Worked, 200), (LatencyStage::Unknown, 3_040)]
    );
    assert_eq!(completion.objective_ms, 800 + (2.5 * 900.0) as Millis);
}

#[test]
fn given_iterations_when_each_is_done_then_each_is_told_from_when_it_was_due() {
    let mut world = World::new();
    let due = START.unix_ms + 1_000;
    let repeated = streamusher_protocol::job::JobRequest {
        start_at_ms: due,
        interval_ms: 5_000,
        repeat_count: 2,
        ..request(vec![step(1)])
    };
    world.submit(1, repeated);
    for iteration in 0..2 {
        world.pass(due + 5_000 * u64::from(iteration) - world.now.unix_ms);
        let id = unit(1, iteration, 0, Some(0));
        let run = wait_and_begin(&mut world, &id, LatencyStage::WaitedForCapacity, 100);
        run_for(&mut world, &run, 0, 200, 1.0, RunEnd::Done);
        let completion = completion(&world);
        assert_eq!(
            (completion.iteration, completion.latency_ms),
            (iteration, 300)
        );
    }
}
