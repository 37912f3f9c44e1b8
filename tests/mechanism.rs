//! Tests of the dispatch mechanism: ranking, number of copies, early cancel, simultaneous starts, retries,
//! state kept about workers.

mod common;
use common::{
    arrival, attempt_ended, cancels, endpoint, failed, rejected, sends, settings_with_wide_targets,
    started, TestDispatcher, AT_MOST_ONCE, IDEMPOTENT, KEYED_PER_CELL, MS, SECOND,
};
use streamusher::interface::{
    Action, AttemptOutcome, Endpoint, EndpointState, Event, LoadReport, Request, Settings, WorkerId,
};

#[test]
fn one_copy_while_no_own_job_waits() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 10);
    for job in 1..8 {
        assert_eq!(sends(&dispatcher.arrive(job, IDEMPOTENT)).len(), 1);
        dispatcher.handle_event(started(job, 0));
    }
}

#[test]
fn jobs_are_sent_to_the_worker_with_fewest_own_jobs() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 4);
    let mut seen: Vec<u32> = (1..5)
        .flat_map(|job| sends(&dispatcher.arrive(job, AT_MOST_ONCE)))
        .collect();
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2, 3]);
}

#[test]
fn number_of_copies_grows_with_own_waiting_jobs_up_to_the_limit() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 6);
    for job in 1..7 {
        dispatcher.arrive(job, AT_MOST_ONCE); // one job waits at every worker
    }
    assert_eq!(sends(&dispatcher.arrive(100, IDEMPOTENT)).len(), 2);
    for job in 9..40 {
        dispatcher.arrive(job, AT_MOST_ONCE);
    }
    // The upper limit is one below the attempt limit, so that one retry is left.
    assert_eq!(sends(&dispatcher.arrive(101, IDEMPOTENT)).len(), 3);
}

#[test]
fn copies_of_a_keyed_job_stay_in_the_cell() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 16);
    for job in 1..60 {
        dispatcher.arrive(job, AT_MOST_ONCE);
    }
    let copies = sends(&dispatcher.arrive(100, KEYED_PER_CELL));
    assert!(copies.len() > 1);
    assert!(copies.iter().all(|w| w / 4 == copies[0] / 4));
}

#[test]
fn without_start_notices_two_own_jobs_count_as_waiting() {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            notifies_start: false,
            ..settings_with_wide_targets()
        },
        2,
    );
    for job in 1..3 {
        assert_eq!(sends(&dispatcher.arrive(job, IDEMPOTENT)).len(), 1);
    }
    for job in 3..5 {
        dispatcher.arrive(job, AT_MOST_ONCE);
    }
    assert_eq!(sends(&dispatcher.arrive(5, IDEMPOTENT)).len(), 2);
}

#[test]
fn the_first_start_cancels_the_others() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 8);
    for job in 1..40 {
        dispatcher.arrive(job, AT_MOST_ONCE);
    }
    assert_eq!(sends(&dispatcher.arrive(100, IDEMPOTENT)).len(), 3);
    assert_eq!(cancels(&dispatcher.handle_event(started(100, 1))), [0, 2]);
    assert!(
        cancels(&dispatcher.handle_event(started(100, 0))).is_empty(),
        "attempt 0 is cancelled already"
    );
}

#[test]
fn one_of_several_simultaneous_starts_is_kept_at_random() {
    let mut kept = [0; 3];
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 8);
    for worker in 0..8 {
        let report = Some(LoadReport {
            free_slots: Some(0.0),
            ..LoadReport::default()
        });
        dispatcher.handle_event(Event::ProbeEnded {
            worker: WorkerId(worker),
            answered: true,
            report,
        });
    }
    for job in 1..40 {
        dispatcher.arrive(job, AT_MOST_ONCE);
    }
    for job in 100..160 {
        let n = sends(&dispatcher.arrive(job, IDEMPOTENT)).len() as u32;
        assert_eq!(n, 3);
        let cancelled =
            cancels(&dispatcher.handle_batch((0..n).map(|a| started(job, a)).collect()));
        assert_eq!(cancelled.len(), 2);
        let keep = (0..3).find(|a| !cancelled.contains(a)).unwrap();
        kept[keep as usize] += 1;
        dispatcher.handle_batch(
            cancelled
                .iter()
                .map(|&a| attempt_ended(job, a, AttemptOutcome::NotSent, false))
                .collect(),
        );
        dispatcher.end_attempt(job, keep, AttemptOutcome::Succeeded);
    }
    assert!(kept.iter().all(|&k| k >= 5), "{kept:?}");
}

#[test]
fn job_that_does_not_start_gets_another_copy() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 8);
    assert_eq!(sends(&dispatcher.arrive(1, IDEMPOTENT)).len(), 1);
    assert_eq!(sends(&dispatcher.fire_timer(SECOND, 3)).len(), 1);
    dispatcher.handle_event(started(1, 1));
    assert!(
        sends(&dispatcher.fire_timer(SECOND, 3)).is_empty(),
        "the job is running"
    );
}

#[test]
fn job_is_retried_once_all_its_copies_are_shed() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 8);
    dispatcher.arrive(1, IDEMPOTENT);
    dispatcher.fire_timer(SECOND, 3);
    assert!(
        sends(&dispatcher.end_attempt(1, 0, AttemptOutcome::Shed)).is_empty(),
        "one copy is still in flight"
    );
    assert_eq!(
        sends(&dispatcher.end_attempt(1, 1, AttemptOutcome::Shed)).len(),
        1
    );
}

/// Guards against a rejection while attempts are left and a worker is idle: of two copies, the start of the
/// first cancels the other, and then the connection to the worker that started is lost.
#[rstest::rstest]
#[case::cancelled(AttemptOutcome::Cancelled)]
#[case::not_sent(AttemptOutcome::NotSent)]
fn worker_whose_copy_was_cancelled_before_its_start_may_get_the_retry(
    #[case] outcome: AttemptOutcome,
) {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 2);
    let first = sends(&dispatcher.arrive(1, IDEMPOTENT));
    let second = sends(&dispatcher.fire_timer(SECOND, 3));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_eq!(cancels(&dispatcher.handle_event(started(1, 0))), [1]);
    dispatcher.end_attempt(1, 1, outcome);
    let actions = dispatcher.end_attempt(1, 0, AttemptOutcome::ConnectionLost);
    assert_eq!(sends(&actions), second);
    assert_eq!((rejected(&actions), failed(&actions)), (0, 0));
}

#[test]
fn worker_that_lost_a_started_attempt_gets_no_retry() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 1);
    assert_eq!(sends(&dispatcher.arrive(1, IDEMPOTENT)), [0]);
    dispatcher.handle_event(started(1, 0));
    let actions = dispatcher.end_attempt(1, 0, AttemptOutcome::ConnectionLost);
    assert_eq!(sends(&actions).len(), 0);
    assert_eq!(rejected(&actions), 1);
}

#[test]
fn copies_that_waste_work_lower_the_number_of_copies() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 8);
    for job in 1..40 {
        dispatcher.arrive(job, AT_MOST_ONCE);
    }
    let mut last = 3;
    for job in 100..200 {
        last = sends(&dispatcher.arrive(job, IDEMPOTENT)).len();
        dispatcher.handle_batch((0..last as u32).map(|a| started(job, a)).collect());
        dispatcher.handle_batch(
            (0..last as u32)
                .map(|a| attempt_ended(job, a, AttemptOutcome::Cancelled, a + 1 == last as u32))
                .collect(),
        );
    }
    assert_eq!(last, 1);
}

fn arrival_with_key(job: u64, class: u32, key: u64) -> Event {
    let Event::Arrived(request) = arrival(job, class) else {
        unreachable!()
    };
    Event::Arrived(Request {
        affinity_key: Some(key),
        ..request
    })
}

/// Creates endpoints as a pool list has them, each with its own hash.
fn endpoints_with_hashes(workers: u32) -> Vec<Endpoint> {
    (0..workers)
        .map(|id| Endpoint {
            hash: u64::from(id) * 77 + 5,
            ..endpoint(id)
        })
        .collect()
}

#[test]
fn jobs_of_a_subject_go_to_its_affinity_workers_which_all_dispatchers_share() {
    let mut chosen: Vec<u32> = Vec::new();
    for order in [0, 1] {
        let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 0);
        let mut list = endpoints_with_hashes(30);
        if order == 1 {
            list.reverse(); // another dispatcher learned the workers in another order, so its worker ids differ
            list.iter_mut()
                .enumerate()
                .for_each(|(i, e)| e.worker = WorkerId(i as u32));
        }
        dispatcher.update_endpoints(true, list);
        for job in 1..60 {
            let sent = sends(&dispatcher.handle_event(arrival_with_key(job, AT_MOST_ONCE, 1_234)));
            chosen.extend(sent.iter().map(|&w| if order == 1 { 29 - w } else { w }));
        }
    }
    assert_eq!(chosen.len(), 118);
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

#[test]
fn subjects_spread_over_the_workers() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 0);
    dispatcher.update_endpoints(true, endpoints_with_hashes(30));
    let mut chosen: Vec<u32> = (1..200)
        .flat_map(|job| sends(&dispatcher.handle_event(arrival_with_key(job, AT_MOST_ONCE, job))))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert!(chosen.len() >= 28, "{chosen:?}");
}

#[test]
fn subject_whose_affinity_workers_are_draining_or_full_uses_other_workers() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 0);
    dispatcher.update_endpoints(true, endpoints_with_hashes(30));
    let mut seen = sends(&dispatcher.handle_event(arrival_with_key(1, IDEMPOTENT, 9)));
    for attempt in 0..3 {
        seen.extend(sends(&dispatcher.end_attempt(
            1,
            attempt,
            AttemptOutcome::Shed,
        )));
    }
    assert_eq!(
        seen.len(),
        4,
        "the last attempt goes to a worker other than the three affinity workers"
    );
    let drained: Vec<Endpoint> = endpoints_with_hashes(30)
        .into_iter()
        .filter(|e| seen[..3].contains(&e.worker.0))
        .collect();
    let drained = drained
        .into_iter()
        .map(|e| Endpoint {
            state: EndpointState::Draining,
            ..e
        })
        .collect();
    dispatcher.update_endpoints(false, drained);
    let next = sends(&dispatcher.handle_event(arrival_with_key(2, IDEMPOTENT, 9)));
    assert!(next.len() == 1 && !seen[..3].contains(&next[0]));
}

/// A copy outside the affinity workers would start first, although the data must be fetched there, and cancel
/// the better copy.
#[test]
fn copies_of_a_subject_stay_at_its_affinity_workers() {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            max_attempts: 6,
            ..settings_with_wide_targets()
        },
        0,
    );
    dispatcher.update_endpoints(true, endpoints_with_hashes(30));
    for job in 1..40 {
        dispatcher.handle_event(arrival_with_key(job, AT_MOST_ONCE, 9));
    }
    assert_eq!(
        sends(&dispatcher.handle_event(arrival_with_key(100, IDEMPOTENT, 9))).len(),
        3
    );
    assert!(sends(&dispatcher.fire_timer(SECOND, 201)).is_empty());
}

fn probes(actions: &[Action]) -> Vec<u32> {
    let worker = |a: &Action| match a {
        Action::Probe { worker } => Some(worker.0),
        _ => None,
    };
    actions.iter().filter_map(worker).collect()
}

#[test]
fn with_reports_only_on_probe_a_few_workers_are_probed_first() {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            reports_only_on_probe: true,
            ..settings_with_wide_targets()
        },
        30,
    );
    for job in 1..20 {
        let actions = dispatcher.arrive(job, AT_MOST_ONCE);
        let probed = probes(&actions);
        assert_eq!(
            (probed.len(), sends(&actions).len()),
            (4, 0),
            "workers are probed before the job is sent"
        );
        let idle = probed[job as usize % 4];
        for &worker in &probed {
            let free_slots = Some(if worker == idle { 8.0 } else { 0.0 });
            let report = Some(LoadReport {
                free_slots,
                waiting: Some(3.0),
                ..LoadReport::default()
            });
            dispatcher.handle_event(Event::ProbeEnded {
                worker: WorkerId(worker),
                answered: true,
                report,
            });
        }
        let actions = dispatcher.fire_timer(10 * MS, 2 * job + 1);
        assert_eq!(sends(&actions).len(), 1);
        if idle.is_multiple_of(2) {
            assert_eq!(sends(&actions), [idle]); // in the dispatcher's zone, and known to be idle
        }
        dispatcher.end_attempt(job, 0, AttemptOutcome::Succeeded);
        dispatcher.now += 60 * SECOND;
    }
}

#[test]
fn job_is_sent_although_no_probe_is_answered() {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            reports_only_on_probe: true,
            ..settings_with_wide_targets()
        },
        3,
    );
    dispatcher.arrive(1, AT_MOST_ONCE);
    assert_eq!(sends(&dispatcher.fire_timer(10 * MS, 3)).len(), 1);
}
