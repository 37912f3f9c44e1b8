//! Gangs: one run number, one checkpoint, one attempt; together or not at all.

mod common;

use common::*;
use streamusher_jobs::StartedRun;
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::unit::UnitId;

fn gang_world() -> (World, UnitId) {
    let mut world = World::new();
    world.submit(1, request(vec![gang(3)]));
    (world, unit(1, 0, 0, None))
}

fn run_of(started: &[StartedRun], index: usize) -> &RunId {
    &started[index].run
}

#[test]
fn given_a_gang_when_it_begins_then_all_members_share_the_run_number_and_the_checkpoint() {
    let (mut world, id) = gang_world();
    assert_eq!(world.ready[&id].tasks.len(), 3);
    let started = world.begin(&id);
    assert_eq!(started.len(), 3);
    assert!(started
        .iter()
        .all(|s| s.run.run == 1 && s.checkpoint.is_empty()));
    world.book.on_checkpoint(run_of(&started, 1), "c1");
    world.book.on_checkpoint(run_of(&started, 0), "c2");
    world.book.on_checkpoint(run_of(&started, 1), "c1");
    started.iter().for_each(|s| world.lose(&s.run));
    let again = world.begin(&id);
    assert!(again.iter().all(|s| s.run.run == 2));
    assert!(
        again.iter().all(|s| &*s.checkpoint == "c2"),
        "a repeated older report is not the newest"
    );
}

#[test]
fn given_a_gang_when_a_member_is_missing_or_named_twice_then_nothing_begins() {
    let (mut world, id) = gang_world();
    let at = |index| assignment(task(1, 0, 0, index), "w");
    assert!(world
        .book
        .start_unit(world.now, &id, &[at(0), at(1)])
        .is_empty());
    assert!(world
        .book
        .start_unit(world.now, &id, &[at(0), at(1), at(1)])
        .is_empty());
    assert!(world
        .book
        .start_unit(world.now, &unit(1, 0, 0, Some(0)), &[at(0)])
        .is_empty());
    assert_eq!(
        world
            .book
            .start_unit(world.now, &id, &[at(2), at(1), at(0)])
            .len(),
        3
    );
}

#[test]
fn given_a_gang_when_one_member_ends_done_then_all_are_done_and_the_others_are_awaited_unstopped() {
    let mut world = World::new();
    world.submit(1, request(vec![gang(3), after(1, &[0])]));
    let started = world.begin(&unit(1, 0, 0, None));
    assert!(world.end(run_of(&started, 1), RunEnd::Done));
    assert_eq!(world.waits(), vec![unit(1, 0, 1, Some(0))]);
    assert!(world.stops.is_empty());
    assert!(!world.book.is_current(run_of(&started, 0)));
    let left = world.book.assigned_runs();
    assert_eq!(left.len(), 2);
    assert!(left.iter().all(|a| a.stopping && a.gang));
    assert_eq!(world.recovered().book.assigned_runs(), left);
    world.end(run_of(&started, 0), RunEnd::Failed);
    world.lose(run_of(&started, 2));
    assert!(world.book.assigned_runs().is_empty());
    assert_eq!(world.waits(), vec![unit(1, 0, 1, Some(0))]);
}

#[test]
fn given_a_gang_of_the_last_step_when_one_member_ends_done_then_the_job_has_succeeded() {
    let (mut world, id) = gang_world();
    let started = world.begin(&id);
    world.end(run_of(&started, 2), RunEnd::Done);
    assert_eq!(world.status(1), Some(JobState::Succeeded));
    assert_eq!(world.recovered().status(1), Some(JobState::Succeeded));
    assert_eq!(
        world.recovered().book.assigned_runs(),
        world.book.assigned_runs()
    );
    world.end(run_of(&started, 0), RunEnd::Done);
    world.end(run_of(&started, 1), RunEnd::Done);
    assert_eq!(world.keys(), vec![format!("job/{}", job(1))]);
}

#[test]
fn given_a_gang_when_one_member_ends_otherwise_then_the_others_are_stopped_and_awaited() {
    let (mut world, id) = gang_world();
    let started = world.begin(&id);
    world.end(run_of(&started, 0), RunEnd::GangBroken);
    assert_eq!(
        world.last.runs_to_stop,
        vec![run_of(&started, 1).clone(), run_of(&started, 2).clone()]
    );
    assert!(!world.book.is_current(run_of(&started, 1)));
    assert!(world.waits().is_empty());
    let mut recovered = world.recovered();
    assert!(recovered.waits().is_empty());
    assert_eq!(recovered.book.assigned_runs(), world.book.assigned_runs());
    assert!(recovered.book.assigned_runs().iter().all(|a| a.stopping));
    for world in [&mut world, &mut recovered] {
        world.end(run_of(&started, 1), RunEnd::Stopped);
        assert!(world.waits().is_empty(), "one member is left");
        world.book.on_run_withdrawn(world.now, run_of(&started, 2));
        world.take();
        assert_eq!(world.waits(), vec![id.clone()]);
        assert_eq!(world.begin(&id)[0].run.run, 2);
    }
}

#[test]
fn given_a_gang_when_several_members_of_a_run_fail_then_it_is_one_attempt() {
    let (mut world, id) = gang_world();
    let started = world.begin(&id);
    started
        .iter()
        .for_each(|s| assert!(world.end(&s.run, RunEnd::Failed)));
    assert_eq!(world.status(1), Some(JobState::Running));
    assert_eq!(world.waits(), vec![id.clone()]);
    let mut recovered = world.recovered();
    for world in [&mut world, &mut recovered] {
        let second = world.begin(&id);
        world.end(run_of(&second, 1), RunEnd::Failed);
        assert_eq!(world.status(1), Some(JobState::Failed));
        assert!(world.stops.contains(run_of(&second, 0)));
    }
}

#[test]
fn given_a_gang_that_broke_when_the_member_that_failed_is_listed_last_then_the_attempt_counts() {
    let (mut world, id) = gang_world();
    for _ in 0..2 {
        let started = world.begin(&id);
        world.end(run_of(&started, 0), RunEnd::GangBroken);
        world.end(run_of(&started, 1), RunEnd::GangBroken);
        assert_ne!(world.status(1), Some(JobState::Failed));
        world.end(run_of(&started, 2), RunEnd::Failed);
    }
    assert_eq!(world.status(1), Some(JobState::Failed));
}

#[test]
fn given_a_gang_that_was_counted_when_a_recovery_comes_between_two_failures_of_a_run_then_it_counts_once(
) {
    let (mut world, id) = gang_world();
    let started = world.begin(&id);
    world.end(run_of(&started, 0), RunEnd::Failed);
    let mut recovered = world.recovered();
    recovered.end(run_of(&started, 1), RunEnd::Failed);
    assert_eq!(recovered.status(1), Some(JobState::Running));
    recovered.end(run_of(&started, 2), RunEnd::Stopped);
    assert_eq!(recovered.waits(), vec![id]);
}

#[test]
fn given_a_gang_that_broke_when_another_member_ends_done_then_the_gang_is_done() {
    let (mut world, id) = gang_world();
    let started = world.begin(&id);
    world.lose(run_of(&started, 0));
    world.end(run_of(&started, 1), RunEnd::Done);
    assert_eq!(world.status(1), Some(JobState::Succeeded));
}

#[test]
fn given_a_gang_that_lasts_when_a_member_ends_then_all_start_anew() {
    let mut world = World::new();
    world.submit(
        1,
        request(vec![StepRequest {
            long_running: true,
            ..gang(2)
        }]),
    );
    let id = unit(1, 0, 0, None);
    let started = world.begin(&id);
    world.end(run_of(&started, 0), RunEnd::Done);
    assert_eq!(world.last.runs_to_stop, vec![run_of(&started, 1).clone()]);
    world.end(run_of(&started, 1), RunEnd::Stopped);
    assert_eq!(world.waits(), vec![id]);
}

#[test]
fn given_a_recovered_gang_when_its_start_is_ordered_again_then_it_brings_what_the_others_brought() {
    let (mut world, id) = gang_world();
    let first = world.begin(&id);
    first.iter().for_each(|s| {
        world.end_with(&s.run, RunEnd::Stopped, "c1");
    });
    let second = world.begin(&id);
    world.book.on_checkpoint(run_of(&second, 0), "c2");
    let mut recovered = world.recovered();
    recovered.book.on_checkpoint(run_of(&second, 0), "c2");
    for world in [&world, &recovered] {
        assert!(world
            .book
            .assigned_runs()
            .iter()
            .all(|a| &*a.checkpoint == "c1" && &*a.spec == "scan 7"));
    }
}
