//! Second copies of hedged tasks: whichever run is done first counts.

mod common;

use common::*;
use rstest::rstest;
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::{RunEnd, RunId};

fn hedged(count: u32) -> StepRequest {
    StepRequest {
        hedged: true,
        ..step(count)
    }
}

/// A job whose only task is at work, and a copy of which waits.
fn given_a_copy_that_waits() -> (World, RunId) {
    let mut world = World::new();
    world.submit(1, request(vec![hedged(1)]));
    let first = world.begin(&unit(1, 0, 0, Some(0)))[0].run.clone();
    assert!(world.book.hedge(&first));
    world.take();
    (world, first)
}

/// The same, and the copy is at work too.
fn given_two_runs() -> (World, RunId, RunId) {
    let (mut world, first) = given_a_copy_that_waits();
    let second = world.begin(&unit(1, 0, 0, Some(0)))[0].run.clone();
    (world, first, second)
}

#[test]
fn given_a_hedged_run_when_a_copy_is_wanted_then_it_waits_for_spare_room_away_from_it() {
    let (world, first) = given_a_copy_that_waits();
    let waiting = &world.ready[&unit(1, 0, 0, Some(0))];
    assert!(waiting.speculative && waiting.hedged);
    assert_eq!(waiting.avoid, ["w0".into()]);
    assert!(world.book.is_current(&first));
}

#[rstest]
#[case::not_hedged(step(1))]
#[case::gang(StepRequest { hedged: true, ..gang(2) })]
#[case::lasting(StepRequest { long_running: true, ..hedged(1) })]
fn given_a_step_that_may_not_run_twice_when_a_copy_is_wanted_then_there_is_none(
    #[case] step: StepRequest,
) {
    let index = if step.gang { None } else { Some(0) };
    let mut world = World::new();
    world.submit(1, request(vec![step]));
    let first = world.begin(&unit(1, 0, 0, index))[0].run.clone();
    assert!(!world.book.hedge(&first));
    world.take();
    assert!(world.waits().is_empty());
}

#[test]
fn given_two_runs_when_a_third_is_wanted_then_there_is_none() {
    let (mut world, first, second) = given_two_runs();
    assert!(!world.book.hedge(&first) && !world.book.hedge(&second));
}

#[rstest]
#[case::the_earlier(true)]
#[case::the_newer(false)]
fn given_two_runs_when_one_is_done_then_the_job_succeeds_and_the_other_is_stopped(
    #[case] earlier: bool,
) {
    let (mut world, first, second) = given_two_runs();
    let (winner, loser) = if earlier {
        (&first, &second)
    } else {
        (&second, &first)
    };

    assert!(world.end(winner, RunEnd::Done));

    assert_eq!(world.status(1), Some(JobState::Succeeded));
    assert_eq!(world.last.runs_to_stop, std::slice::from_ref(loser));
    assert!(!world.book.is_current(loser));
    assert!(
        world.end(loser, RunEnd::Stopped),
        "its room is held until it is over"
    );
    assert_eq!(world.status(1), Some(JobState::Succeeded));
}

#[test]
fn given_a_copy_that_waits_when_the_run_is_done_then_the_copy_is_taken_back() {
    let (mut world, first) = given_a_copy_that_waits();
    assert!(world.end(&first, RunEnd::Done));
    assert!(world.waits().is_empty());
    assert_eq!(world.status(1), Some(JobState::Succeeded));
}

#[rstest]
#[case(RunEnd::Failed)]
#[case(RunEnd::LeaseExpired)]
#[case(RunEnd::Stopped)]
fn given_a_copy_that_waits_when_the_run_ends_otherwise_then_it_waits_as_the_only_one(
    #[case] how: RunEnd,
) {
    let (mut world, first) = given_a_copy_that_waits();
    assert!(world.end(&first, how));
    let waiting = &world.ready[&unit(1, 0, 0, Some(0))];
    assert!(
        !waiting.speculative,
        "it may now take room as any task does"
    );
}

#[test]
fn given_two_runs_when_the_newer_is_lost_then_another_copy_waits_and_the_earlier_goes_on() {
    let (mut world, first, second) = given_two_runs();
    world.lose(&second);
    assert!(world.ready[&unit(1, 0, 0, Some(0))].speculative);
    assert!(world.end(&first, RunEnd::Done));
    assert_eq!(world.status(1), Some(JobState::Succeeded));
}

#[test]
fn given_two_runs_when_both_fail_then_both_count_as_attempts() {
    let (mut world, first, second) = given_two_runs();
    assert!(world.end(&first, RunEnd::Failed));
    assert_eq!(world.status(1), Some(JobState::Running));
    assert!(world.end(&second, RunEnd::Failed));
    assert_eq!(world.status(1), Some(JobState::Failed));
    assert!(world.waits().is_empty());
}

#[test]
fn given_two_runs_when_the_job_is_cancelled_then_both_are_stopped() {
    let (mut world, first, second) = given_two_runs();
    world.cancel(1);
    assert_eq!(world.last.runs_to_stop, [first, second]);
}

#[test]
fn given_two_runs_when_another_machine_takes_over_then_both_hold_their_room_and_either_may_win() {
    let (world, first, second) = given_two_runs();
    let mut successor = world.recovered();

    let held: Vec<RunId> = successor
        .book
        .assigned_runs()
        .into_iter()
        .map(|run| run.run)
        .collect();
    assert_eq!(held, [first.clone(), second.clone()]);
    assert!(successor.waits().is_empty());

    assert!(successor.end(&first, RunEnd::Done));
    assert_eq!(successor.last.runs_to_stop, [second]);
}

#[test]
fn given_a_copy_that_waits_when_another_machine_takes_over_then_it_waits_there() {
    let (world, first) = given_a_copy_that_waits();
    let successor = world.recovered();
    assert!(successor.ready[&unit(1, 0, 0, Some(0))].speculative);
    assert_eq!(successor.book.assigned_runs()[0].run, first);
}

#[test]
fn given_a_done_step_whose_other_copy_is_not_over_when_it_is_then_the_jobs_record_is_reduced() {
    let (mut world, first, second) = given_two_runs();
    world.end(&second, RunEnd::Done);
    assert!(
        world.keys().iter().any(|key| key.starts_with("task/")),
        "the run still takes room"
    );
    world.lose(&first);
    assert!(!world.keys().iter().any(|key| key.starts_with("task/")));
}
