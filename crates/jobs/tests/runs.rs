//! How runs begin and end: attempts, checkpoints, avoided workers, tasks that last.

mod common;

use common::*;
use rstest::rstest;
use streamusher_jobs::QueuePolicy;
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::RunEnd;

#[test]
fn given_a_waiting_task_when_it_begins_then_its_run_is_recorded_and_it_waits_no_more() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    let started = world.begin(&unit(1, 0, 0, Some(0)));
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].run, run(task(1, 0, 0, 0), 1));
    assert_eq!(
        (
            &*started[0].worker,
            &*started[0].spec,
            &*started[0].checkpoint
        ),
        ("w0", "scan 7", "")
    );
    assert!(
        world
            .state
            .contains_key(&*format!("task/{}", task(1, 0, 0, 0))),
        "it is written before it starts"
    );
    assert!(world.book.is_current(&started[0].run));
    let again = world.book.start_unit(
        world.now,
        &unit(1, 0, 0, Some(0)),
        &[assignment(task(1, 0, 0, 0), "w9")],
    );
    assert!(again.is_empty(), "a task has one run at most");
}

#[test]
fn given_a_waiting_task_when_another_tasks_or_no_or_two_workers_are_named_then_nothing_begins() {
    let mut world = World::new();
    world.submit(1, request(vec![step(2)]));
    let id = unit(1, 0, 0, Some(0));
    let (own, other) = (
        assignment(task(1, 0, 0, 0), "w0"),
        assignment(task(1, 0, 0, 1), "w1"),
    );
    assert!(world.book.start_unit(world.now, &id, &[]).is_empty());
    assert!(world
        .book
        .start_unit(world.now, &id, std::slice::from_ref(&other))
        .is_empty());
    assert!(world
        .book
        .start_unit(world.now, &id, &[own.clone(), other])
        .is_empty());
    assert!(world
        .book
        .start_unit(world.now, &unit(1, 0, 0, None), std::slice::from_ref(&own))
        .is_empty());
    assert!(world
        .book
        .start_unit(
            world.now,
            &unit(1, 0, 9, Some(0)),
            std::slice::from_ref(&own)
        )
        .is_empty());
    assert!(world
        .book
        .start_unit(
            world.now,
            &unit(2, 0, 0, Some(0)),
            std::slice::from_ref(&own)
        )
        .is_empty());
    assert_eq!(world.book.start_unit(world.now, &id, &[own]).len(), 1);
}

#[rstest]
fn given_a_run_when_it_ends_neither_done_nor_failed_then_no_attempt_counts_and_it_waits_again(
    #[values(
        RunEnd::Stopped,
        RunEnd::LeaseExpired,
        RunEnd::GangBroken,
        RunEnd::GangIncomplete,
        RunEnd::Rejected
    )]
    how: RunEnd,
) {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    let id = unit(1, 0, 0, Some(0));
    for number in 1..=5 {
        let ended = world.play(&id, how);
        assert_eq!(ended.run, number, "run numbers rise");
    }
    assert_eq!(world.status(1), Some(JobState::Running));
    assert_eq!(world.waits(), vec![id]);
}

#[test]
fn given_a_task_when_it_has_failed_as_often_as_allowed_then_the_job_has_failed_and_the_rest_is_stopped(
) {
    let mut world = World::new();
    world.submit(1, request(vec![step(3)]));
    let other = world.begin(&unit(1, 0, 0, Some(1)));
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Failed);
    assert_eq!(world.status(1), Some(JobState::Running));
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Failed);
    assert_eq!(world.status(1), Some(JobState::Failed));
    assert!(world.waits().is_empty());
    assert_eq!(world.last.runs_to_stop, vec![other[0].run.clone()]);
    assert!(world.end(&other[0].run, RunEnd::Done));
    assert_eq!(
        world.status(1),
        Some(JobState::Failed),
        "a final state stays"
    );
}

#[test]
fn given_an_end_of_an_earlier_run_when_it_is_listed_then_it_is_ignored() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    let first = world.begin(&unit(1, 0, 0, Some(0)));
    world.lose(&first[0].run);
    let second = world.begin(&unit(1, 0, 0, Some(0)));
    assert!(!world.end(&first[0].run, RunEnd::Done));
    assert!(world.last.writes.is_empty());
    assert_eq!(world.status(1), Some(JobState::Running));
    assert!(!world.book.is_current(&first[0].run));
    assert!(world.book.is_current(&second[0].run));
    assert!(!world.end(&run(task(7, 0, 0, 0), 1), RunEnd::Done));
    assert!(!world.end(
        &run(task(1, 4_000_000_000, 70, 4_000_000_000), 1),
        RunEnd::Done
    ));
}

#[test]
fn given_a_run_that_ended_when_its_end_is_listed_again_then_it_is_ignored() {
    let mut world = World::new();
    world.submit(1, request(vec![step(2)]));
    let ended = world.play(&unit(1, 0, 0, Some(0)), RunEnd::Failed);
    assert!(!world.end(&ended, RunEnd::Failed));
    assert_eq!(world.status(1), Some(JobState::Running));
    assert_eq!(world.waits().len(), 2);
}

#[test]
fn given_a_run_when_it_is_lost_or_withdrawn_then_its_number_is_not_used_again_also_after_a_recovery(
) {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    let id = unit(1, 0, 0, Some(0));
    let first = world.begin(&id);
    world.lose(&first[0].run);
    let second = world.begin(&id);
    world.book.on_run_withdrawn(world.now, &second[0].run);
    world.take();
    let mut recovered = world.recovered();
    assert_eq!(recovered.begin(&id)[0].run.run, 3);
}

#[test]
fn given_a_step_with_checkpoints_when_its_run_is_stopped_or_lost_then_the_next_continues_from_the_newest(
) {
    let mut world = World::new();
    world.submit(
        1,
        request(vec![StepRequest {
            checkpoints: true,
            ..step(2)
        }]),
    );
    let id = unit(1, 0, 0, Some(0));
    let first = world.begin(&id);
    world.book.on_checkpoint(&first[0].run, "c1");
    world.end_with(&first[0].run, RunEnd::Stopped, "c2");
    let second = world.begin(&id);
    assert_eq!(&*second[0].checkpoint, "c2");
    world.book.on_checkpoint(&second[0].run, "c3");
    world.book.on_checkpoint(&second[0].run, "");
    world.lose(&second[0].run);
    assert_eq!(&*world.begin(&id)[0].checkpoint, "c3");
    assert_eq!(
        &*world.begin(&unit(1, 0, 0, Some(1)))[0].checkpoint,
        "",
        "another task's is never taken"
    );
}

#[test]
fn given_a_step_without_checkpoints_when_one_is_reported_then_it_is_not_used() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    let id = unit(1, 0, 0, Some(0));
    let first = world.begin(&id);
    world.book.on_checkpoint(&first[0].run, "c1");
    world.end_with(&first[0].run, RunEnd::Stopped, "c2");
    assert_eq!(&*world.begin(&id)[0].checkpoint, "");
}

#[test]
fn given_a_checkpoint_of_an_earlier_run_when_it_comes_late_then_it_is_not_used() {
    let mut world = World::new();
    world.submit(
        1,
        request(vec![StepRequest {
            checkpoints: true,
            ..step(1)
        }]),
    );
    let id = unit(1, 0, 0, Some(0));
    let first = world.begin(&id);
    world.end_with(&first[0].run, RunEnd::Stopped, "c5");
    let second = world.begin(&id);
    world.book.on_checkpoint(&first[0].run, "c1");
    world.lose(&second[0].run);
    assert_eq!(&*world.begin(&id)[0].checkpoint, "c5");
}

#[test]
fn given_runs_that_failed_or_stood_still_when_the_task_waits_again_then_it_avoids_the_newest_four_workers(
) {
    let mut world = World::new();
    let patient = QueuePolicy {
        max_attempts: 9,
        ..terms("scans")
    };
    world.submit_to(1, request(vec![step(1)]), &patient);
    let id = unit(1, 0, 0, Some(0));
    for worker in ["a", "b", "c", "d", "e"] {
        let started =
            world
                .book
                .start_unit(world.now, &id, &[assignment(task(1, 0, 0, 0), worker)]);
        if worker == "b" {
            world.book.on_run_stalled(&started[0].run);
            world
                .book
                .on_run_finished(world.now, &started[0].run, RunEnd::Stopped, "");
        } else {
            world
                .book
                .on_run_finished(world.now, &started[0].run, RunEnd::Failed, "");
        }
    }
    world.ready.clear();
    world.take();
    let avoided: Vec<&str> = world.ready[&id].avoid.iter().map(|w| &**w).collect();
    assert_eq!(avoided, ["b", "c", "d", "e"]);
    assert_eq!(world.recovered().ready, world.ready);
}

#[test]
fn given_a_worker_at_which_a_task_failed_again_and_again_when_it_waits_then_others_are_not_forgotten_for_it(
) {
    let mut world = World::new();
    let patient = QueuePolicy {
        max_attempts: 9,
        ..terms("scans")
    };
    world.submit_to(1, request(vec![step(1)]), &patient);
    let id = unit(1, 0, 0, Some(0));
    for worker in ["a", "b", "b", "b", "b"] {
        let started =
            world
                .book
                .start_unit(world.now, &id, &[assignment(task(1, 0, 0, 0), worker)]);
        assert!(world
            .book
            .on_run_finished(world.now, &started[0].run, RunEnd::Failed, ""));
    }
    world.ready.clear();
    world.take();
    let avoided: Vec<&str> = world.ready[&id].avoid.iter().map(|w| &**w).collect();
    assert_eq!(avoided, ["a", "b"]);
}

#[rstest]
fn given_a_task_that_lasts_when_it_ends_in_any_way_then_it_waits_again_and_the_job_goes_on(
    #[values(RunEnd::Done, RunEnd::Failed, RunEnd::Stopped, RunEnd::LeaseExpired)] how: RunEnd,
) {
    let mut world = World::new();
    world.submit(
        1,
        request(vec![StepRequest {
            long_running: true,
            ..step(1)
        }]),
    );
    let id = unit(1, 0, 0, Some(0));
    for number in 1..=20 {
        world.pass(2_000);
        assert_eq!(world.play(&id, how).run, number);
    }
    assert_eq!(world.status(1), Some(JobState::Running));
    world.cancel(1);
    assert_eq!(world.status(1), Some(JobState::Cancelled));
}

#[test]
fn given_a_task_that_lasts_when_it_fails_again_and_again_then_its_pause_grows_to_two_seconds() {
    let mut world = World::new();
    world.submit(
        1,
        request(vec![StepRequest {
            long_running: true,
            ..step(1)
        }]),
    );
    let id = unit(1, 0, 0, Some(0));
    let mut pauses = Vec::new();
    for _ in 0..8 {
        world.play(&id, RunEnd::Failed);
        let waits = world.ready.contains_key(&id);
        let pause = if waits {
            0
        } else {
            world
                .book
                .time_to_next_timer(world.now)
                .expect("a pause is planned")
        };
        pauses.push(pause);
        if pause > 0 {
            world.pass(pause - 1);
            assert!(world.waits().is_empty());
            world.pass(1);
        }
    }
    assert_eq!(pauses, [0, 100, 200, 400, 800, 1_600, 2_000, 2_000]);
    let started = world.begin(&id);
    world.pass(10_000);
    world.end(&started[0].run, RunEnd::Failed);
    assert_eq!(
        world.waits(),
        vec![id],
        "after a sound run the first failure costs no pause"
    );
}

#[test]
fn given_a_task_that_lasts_and_pauses_when_its_job_is_cancelled_then_it_never_waits_again() {
    let mut world = World::new();
    world.submit(
        1,
        request(vec![StepRequest {
            long_running: true,
            ..step(1)
        }]),
    );
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Failed);
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Failed);
    world.cancel(1);
    world.pass(5_000);
    assert!(world.waits().is_empty());
}

#[test]
fn given_a_lower_limit_of_attempts_when_it_is_applied_then_a_task_beyond_it_does_not_run_again() {
    let mut world = World::new();
    world.submit(1, request(vec![step(2)]));
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Failed);
    world.book.apply_configuration(&|_| {
        Some(QueuePolicy {
            max_attempts: 1,
            ..terms("scans")
        })
    });
    world.take();
    assert_eq!(world.status(1), Some(JobState::Failed));
    assert!(world.waits().is_empty());
}

#[test]
fn given_a_lower_limit_of_attempts_when_the_task_is_at_work_then_it_may_still_end_done() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Failed);
    let second = world.begin(&unit(1, 0, 0, Some(0)));
    world.book.apply_configuration(&|_| {
        Some(QueuePolicy {
            max_attempts: 1,
            ..terms("scans")
        })
    });
    world.take();
    assert_eq!(world.status(1), Some(JobState::Running));
    world.end(&second[0].run, RunEnd::Done);
    assert_eq!(world.status(1), Some(JobState::Succeeded));
}
