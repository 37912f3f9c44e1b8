//! Order of steps and iterations, and the states that clients are shown.

mod common;

use common::*;
use rstest::rstest;
use streamusher_jobs::{CancelOutcome, SubmitOutcome};
use streamusher_protocol::job::{JobRequest, JobState, StepRequest};
use streamusher_protocol::task::RunEnd;

#[test]
fn given_a_new_job_when_it_is_submitted_then_its_first_step_waits_and_its_record_is_written() {
    let mut world = World::new();
    world.submit(1, request(vec![step(2), after(1, &[0])]));
    assert_eq!(
        world.waits(),
        vec![unit(1, 0, 0, Some(0)), unit(1, 0, 0, Some(1))]
    );
    assert_eq!(world.keys(), vec![format!("job/{}", job(1))]);
    assert_eq!(world.status(1), Some(JobState::Pending));
    assert_eq!(world.book.pending_count("scans"), 1);
    assert_eq!(world.book.queue_of(&job(1)).as_deref(), Some("scans"));
}

#[test]
fn given_a_known_id_when_it_is_submitted_again_with_another_body_then_it_stays_one_job() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    let again = world
        .book
        .submit(world.now, &job(1), request(vec![step(5)]), &terms("scans"));
    assert_eq!(again, Ok(SubmitOutcome::AlreadyKnown));
    world.take();
    assert!(world.last.writes.is_empty());
    assert_eq!(world.waits().len(), 1);
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Done);
    let after_end = world
        .book
        .submit(world.now, &job(1), request(vec![step(1)]), &terms("scans"));
    assert_eq!(after_end, Ok(SubmitOutcome::AlreadyKnown));
}

#[test]
fn given_two_steps_when_all_but_one_task_of_the_first_are_done_then_the_second_does_not_wait_yet() {
    let mut world = World::new();
    world.submit(1, request(vec![step(2), after(1, &[0])]));
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Done);
    assert_eq!(world.waits(), vec![unit(1, 0, 0, Some(1))]);
    world.play(&unit(1, 0, 0, Some(1)), RunEnd::Done);
    assert_eq!(world.waits(), vec![unit(1, 0, 1, Some(0))]);
    assert_eq!(world.status(1), Some(JobState::Running));
    world.play(&unit(1, 0, 1, Some(0)), RunEnd::Done);
    assert_eq!(world.status(1), Some(JobState::Succeeded));
}

#[test]
fn given_a_step_that_names_a_step_twice_and_another_when_both_are_done_then_it_waits() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1), step(1), after(1, &[0, 0, 1])]));
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Done);
    assert!(!world.ready.contains_key(&unit(1, 0, 2, Some(0))));
    world.play(&unit(1, 0, 1, Some(0)), RunEnd::Done);
    assert!(world.ready.contains_key(&unit(1, 0, 2, Some(0))));
}

#[test]
fn given_a_job_when_its_first_run_begins_then_it_counts_as_waiting_no_more() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1)]));
    world.submit(2, request(vec![step(1)]));
    assert_eq!(world.book.pending_count("scans"), 2);
    world.begin(&unit(1, 0, 0, Some(0)));
    assert_eq!(world.book.pending_count("scans"), 1);
    world.cancel(2);
    assert_eq!(world.book.pending_count("scans"), 0);
}

#[test]
fn given_a_timed_job_when_time_passes_then_each_iteration_waits_at_its_time_and_never_before() {
    let mut world = World::new();
    let start_at_ms = START.unix_ms + 1_000;
    let timed = JobRequest {
        repeat_count: 2,
        start_at_ms,
        interval_ms: 500,
        ..request(vec![step(1)])
    };
    world.submit(1, timed);
    assert!(world.waits().is_empty());
    assert_eq!(world.book.time_to_next_timer(world.now), Some(1_000));
    world.pass(999);
    assert!(world.waits().is_empty());
    world.pass(1);
    assert_eq!(world.waits(), vec![unit(1, 0, 0, Some(0))]);
    world.pass(499);
    assert_eq!(world.waits().len(), 1);
    world.pass(1);
    assert_eq!(
        world.waits(),
        vec![unit(1, 0, 0, Some(0)), unit(1, 1, 0, Some(0))]
    );
    world.play(&unit(1, 1, 0, Some(0)), RunEnd::Done);
    assert_eq!(world.status(1), Some(JobState::Running));
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Done);
    assert_eq!(world.status(1), Some(JobState::Succeeded));
}

#[test]
fn given_a_timed_job_when_the_only_iteration_that_was_due_is_done_then_it_stays_running() {
    let mut world = World::new();
    let timed = JobRequest {
        repeat_count: 2,
        start_at_ms: START.unix_ms,
        interval_ms: 60_000,
        ..request(vec![step(1)])
    };
    world.submit(1, timed);
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Done);
    assert_eq!(world.status(1), Some(JobState::Running));
    assert_eq!(
        world.keys(),
        vec![format!("job/{}", job(1))],
        "the tasks of the iteration are forgotten"
    );
    let mut recovered = world.recovered();
    assert!(recovered.waits().is_empty());
    assert_eq!(recovered.status(1), Some(JobState::Running));
    recovered.pass(60_000);
    assert_eq!(recovered.waits(), vec![unit(1, 1, 0, Some(0))]);
}

#[test]
fn given_an_iteration_that_has_begun_when_a_recovery_reads_an_earlier_time_of_day_then_it_is_kept()
{
    let mut world = World::new();
    let start_at_ms = START.unix_ms + 1_000;
    let timed = JobRequest {
        repeat_count: 3,
        start_at_ms,
        interval_ms: 500,
        ..request(vec![step(1)])
    };
    world.submit(1, timed);
    world.pass(1_500);
    world.begin(&unit(1, 1, 0, Some(0)));
    world.now.unix_ms -= 5_000;
    let mut recovered = world.recovered();
    assert_eq!(recovered.book.assigned_runs().len(), 1);
    assert_eq!(
        recovered.waits(),
        vec![unit(1, 0, 0, Some(0))],
        "released before a later one, so due"
    );
    recovered.pass(5_499);
    assert_eq!(recovered.waits().len(), 1);
    recovered.pass(1);
    assert_eq!(recovered.waits().len(), 2, "the third is due");
}

#[test]
fn given_a_start_time_without_repeats_when_it_comes_then_the_job_waits() {
    let mut world = World::new();
    world.submit(
        1,
        JobRequest {
            start_at_ms: START.unix_ms + 10,
            ..request(vec![step(1)])
        },
    );
    world.pass(9);
    assert!(world.waits().is_empty());
    world.pass(1);
    assert_eq!(world.waits().len(), 1);
}

#[test]
fn given_many_iterations_that_are_overdue_when_they_are_released_then_open_tasks_stay_bounded() {
    let mut world = World::new();
    let overdue = JobRequest {
        repeat_count: 100,
        interval_ms: 1,
        ..request(vec![step(4_000)])
    };
    world.submit(1, overdue);
    assert_eq!(world.waits().len(), 8_000);
    for index in 0..4_000 {
        world.play(&unit(1, 0, 0, Some(index)), RunEnd::Done);
    }
    world.pass(0);
    assert_eq!(world.waits().len(), 8_000);
    assert!(world.ready.contains_key(&unit(1, 2, 0, Some(0))));
    let recovered = world.recovered();
    assert_eq!(recovered.ready, world.ready);
}

#[test]
fn given_jobs_of_one_priority_when_they_wait_then_earlier_ones_and_their_later_steps_come_first() {
    let mut world = World::new();
    world.submit(1, request(vec![step(1), after(1, &[0])]));
    world.pass(5);
    world.submit(2, request(vec![step(1)]));
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Done);
    let older = &world.ready[&unit(1, 0, 1, Some(0))];
    let newer = &world.ready[&unit(2, 0, 0, Some(0))];
    assert_eq!(older.order, START.unix_ms + 800);
    assert!(older.order < newer.order);
}

#[test]
fn given_a_running_job_when_it_is_cancelled_then_waiting_units_are_revoked_and_runs_stopped() {
    let mut world = World::new();
    world.submit(1, request(vec![step(2), after(1, &[0])]));
    let started = world.begin(&unit(1, 0, 0, Some(0)));
    assert_eq!(world.cancel(1), CancelOutcome::Cancelled);
    assert_eq!(world.status(1), Some(JobState::Cancelled));
    assert!(world.waits().is_empty());
    assert_eq!(world.last.runs_to_stop, vec![started[0].run.clone()]);
    assert!(!world.book.is_current(&started[0].run));
    assert!(world.book.assigned_runs()[0].stopping);
    let recovered = world.recovered();
    assert_eq!(recovered.book.assigned_runs(), world.book.assigned_runs());
    assert_eq!(
        world.cancel(1),
        CancelOutcome::AlreadyEnded(JobState::Cancelled)
    );
    assert_eq!(world.cancel(9), CancelOutcome::UnknownJob);
    world.end(&started[0].run, RunEnd::Stopped);
    assert!(world.waits().is_empty());
    assert!(world.book.assigned_runs().is_empty());
}

#[test]
fn given_an_ended_job_when_its_last_run_is_over_then_only_its_state_is_stored_and_that_for_its_time(
) {
    let mut world = World::new();
    world.submit(1, request(vec![step(2)]));
    let first = world.begin(&unit(1, 0, 0, Some(0)));
    world.play(&unit(1, 0, 0, Some(1)), RunEnd::Done);
    world.cancel(1);
    assert_eq!(world.keys().len(), 3);
    world.lose(&first[0].run);
    assert_eq!(world.keys(), vec![format!("job/{}", job(1))]);
    let stored = world.state.values().next().map(|v| v.to_string());
    assert_eq!(
        stored.as_deref(),
        Some(r#"{"queue":"scans","state":"cancelled"}"#)
    );
    world.pass(STATUS_MS - 1);
    assert_eq!(world.status(1), Some(JobState::Cancelled));
    assert_eq!(world.recovered().status(1), Some(JobState::Cancelled));
    world.pass(1);
    assert_eq!(world.status(1), None);
    assert!(world.keys().is_empty());
}

#[test]
fn given_a_queue_with_new_terms_when_they_are_applied_then_waiting_units_are_given_out_anew() {
    let mut world = World::new();
    world.submit(1, request(vec![step(2)]));
    world.submit_to(2, request(vec![step(1)]), &terms("removed"));
    let started = world.begin(&unit(1, 0, 0, Some(0)));
    let newer = streamusher_jobs::QueuePolicy {
        service: "other".into(),
        priority: 0,
        ..terms("scans")
    };
    world
        .book
        .apply_configuration(&|queue| (queue == "scans").then(|| newer.clone()));
    world.take();
    assert_eq!(world.last.revoked_units, vec![unit(1, 0, 0, Some(1))]);
    assert_eq!(&*world.ready[&unit(1, 0, 0, Some(1))].service, "other");
    assert_eq!(world.ready[&unit(1, 0, 0, Some(1))].priority, 0);
    assert_eq!(
        &*world.ready[&unit(2, 0, 0, Some(0))].service,
        "imaging",
        "a removed queue's jobs keep theirs"
    );
    assert!(world.book.is_current(&started[0].run));
    assert_eq!(world.recovered().ready, world.ready);
    world
        .book
        .apply_configuration(&|queue| (queue == "scans").then(|| newer.clone()));
    world.take();
    assert_eq!(
        world.last,
        Default::default(),
        "the same terms again change nothing"
    );
}

#[test]
fn given_a_large_job_when_one_task_ends_then_the_batch_holds_that_task_alone() {
    let mut world = World::new();
    world.submit(1, request(vec![step(200)]));
    world.play(&unit(1, 0, 0, Some(7)), RunEnd::Done);
    assert_eq!(world.last.writes.len(), 1);
    assert_eq!(
        world.last.writes[0].key.to_string(),
        format!("task/{}", task(1, 0, 0, 7))
    );
}

#[rstest]
#[case::one_step(&[4_000], 0, 800 + 6_000)]
#[case::first_of_two(&[3_000, 1_000], 0, (800 + 6_000) * 3 / 4)]
#[case::second_of_two(&[3_000, 1_000], 1, (800 + 6_000) / 4)]
#[case::no_estimate(&[0], 0, 800)]
fn given_estimates_when_a_unit_is_given_out_then_its_slack_is_its_part_of_the_jobs(
    #[case] estimates_ms: &[u64],
    #[case] step_asked: u32,
    #[case] slack_ms: u64,
) {
    let mut world = World::new();
    let steps = estimates_ms
        .iter()
        .enumerate()
        .map(|(index, &estimated_ms)| {
            let before: Vec<u32> = index
                .checked_sub(1)
                .map(|before| before as u32)
                .into_iter()
                .collect();
            StepRequest {
                estimated_ms,
                ..after(1, &before)
            }
        });
    world.submit(1, request(steps.collect()));
    for before in 0..step_asked {
        world.play(&unit(1, 0, before, Some(0)), RunEnd::Done);
    }
    assert_eq!(
        world.ready[&unit(1, 0, step_asked, Some(0))].slack_ms,
        slack_ms
    );
}
