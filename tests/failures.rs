//! Regression tests of the decision module, one for each failure that was found.

mod common;
use common::{
    arrival, cancels, endpoint, failed, rejected, sends, settings, settings_with_wide_targets,
    started, TestDispatcher, AT_MOST_ONCE, IDEMPOTENT, KEYED_FLEET_WIDE, KEYED_PER_CELL, MS,
    SECOND,
};
use streamusher::interface::{
    Action, AttemptEnd, AttemptOutcome, Endpoint, EndpointState, Event, JobId, KindId, LoadReport,
    Request, Settings, Tenant, TenantId, WeightMeaning, WorkerId, ZoneId,
};

/// A worker that fails at once has no jobs in flight, ranks lowest and would attract every next job.
#[test]
fn a_worker_that_fails_at_once_does_not_attract_the_next_jobs() {
    let mut dispatcher = TestDispatcher::new(settings(), 4);
    let mut to_failing = 0;
    for job in 1..60 {
        for (attempt, worker) in sends(&dispatcher.arrive(job, AT_MOST_ONCE))
            .into_iter()
            .enumerate()
        {
            to_failing += (worker == 2) as usize;
            let outcome = if worker == 2 {
                AttemptOutcome::WorkerError
            } else {
                AttemptOutcome::Succeeded
            };
            dispatcher.now += 20 * MS;
            dispatcher.end_attempt(job, attempt as u32, outcome);
        }
    }
    assert!((1..=4).contains(&to_failing), "{to_failing} of 59");
}

/// Guards against one average load for all machine kinds, which ranked every unobserved fast worker before
/// every slow one, at all dispatchers.
#[test]
fn unobserved_workers_of_an_overloaded_kind_are_not_assumed_idle() {
    let mut dispatcher = TestDispatcher::new(settings(), 0);
    let weighted = |id: u32| Endpoint {
        weight: if id.is_multiple_of(2) { 2.0 } else { 1.0 },
        ..endpoint(id)
    };
    dispatcher.update_endpoints(true, (0..40).map(weighted).collect());
    for worker in 0..20 {
        // Even workers are of the fast kind and overloaded; odd workers have free slots.
        let free_slots = Some(f64::from(worker % 2));
        let report = Some(LoadReport {
            free_slots,
            waiting: Some(9.0),
            ..LoadReport::default()
        });
        dispatcher.handle_event(Event::ProbeEnded {
            worker: WorkerId(worker),
            answered: true,
            report,
        });
    }
    dispatcher.now += 60 * SECOND; // the observations of single workers are out of date
    let sent: Vec<u32> = (1..10)
        .flat_map(|job| sends(&dispatcher.arrive(job, AT_MOST_ONCE)))
        .collect();
    assert_eq!(sent.len(), 9);
    assert!(
        sent.iter().filter(|w| !w.is_multiple_of(2)).count() >= 8,
        "{sent:?}"
    );
}

/// Guards against queues full of jobs that were late before they started under overload: a job that would be
/// late at every worker is rejected at once. A queue is converted to a wait by the slots of its machine kind.
/// A dispatcher that joins a full fleet sees no free slots; it took each worker for one slot and rejected
/// nearly all jobs.
#[rstest::rstest]
#[case::slots_never_reported(&[], 16.0, None, false)]
#[case::one_free_slot(&[(1.0, 0.0)], 16.0, None, true)]
#[case::five_slots_free_or_active(&[(2.0, 3.0)], 9.0, None, false)]
#[case::three_slots_and_a_long_queue(&[(2.0, 1.0)], 60.0, None, true)]
#[case::active_jobs_that_may_wait(&[(1.0, 12.0)], 16.0, None, true)]
#[case::waiting_jobs_reported(&[], 16.0, Some(8.0), false)]
fn a_job_that_would_be_late_at_every_worker_is_rejected_at_once(
    #[case] reported: &[(f64, f64)],
    #[case] active_when_full: f64,
    #[case] waiting: Option<f64>,
    #[case] is_rejected: bool,
) {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            reports_count_jobs: true,
            ..settings()
        },
        4,
    );
    let report_load =
        |dispatcher: &mut TestDispatcher, free: f64, active: f64, waiting: Option<f64>| {
            for worker in 0..4 {
                let free_slots = Some(free);
                let report = Some(LoadReport {
                    free_slots,
                    active: Some(active),
                    waiting,
                    ..LoadReport::default()
                });
                dispatcher.handle_event(Event::ProbeEnded {
                    worker: WorkerId(worker),
                    answered: true,
                    report,
                });
            }
        };
    reported
        .iter()
        .for_each(|&(free, active)| report_load(&mut dispatcher, free, active, None));
    report_load(&mut dispatcher, 0.0, active_when_full, waiting);
    let actions = dispatcher.arrive(1, AT_MOST_ONCE);
    assert_eq!(
        (sends(&actions).len(), rejected(&actions)),
        if is_rejected { (0, 1) } else { (1, 0) }
    );
}

/// A dispatcher new to a full fleet, which learns this from shed attempts: these are not a queue of its own jobs.
#[test]
fn a_dispatcher_new_to_a_full_fleet_tries_other_workers() {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            reports_count_jobs: true,
            ..settings()
        },
        4,
    );
    let full = Some(LoadReport {
        free_slots: Some(0.0),
        active: Some(7.0),
        ..LoadReport::default()
    });
    let mut sent = sends(&dispatcher.arrive(1, IDEMPOTENT));
    for attempt in 0..3 {
        let end = AttemptEnd {
            job: JobId(1),
            attempt,
            outcome: AttemptOutcome::Shed,
            is_final: false,
            report: full,
        };
        sent.extend(sends(&dispatcher.handle_event(Event::AttemptEnded(end))));
    }
    assert_eq!(sent.len(), 4, "all attempts are used: {sent:?}");
    let next = dispatcher.arrive(2, IDEMPOTENT);
    assert!(
        !sends(&next).is_empty() && rejected(&next) == 0,
        "the next job is sent too: {next:?}"
    );
}

#[test]
fn a_tenant_far_over_its_share_is_rejected_while_capacity_is_short() {
    let tenant = Tenant {
        quota_rps: 10.0,
        share: 0.25,
    };
    let mut dispatcher = TestDispatcher::new(
        Settings {
            tenants: vec![tenant; 4],
            ..settings_with_wide_targets()
        },
        4,
    );
    for worker in 0..4 {
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
    let (mut job, mut rejections) = (0, [0; 4]);
    for _ in 0..50 {
        for tenant in [0, 0, 0, 0, 0, 1, 2, 3] {
            job += 1;
            let Event::Arrived(request) = arrival(job, AT_MOST_ONCE) else {
                unreachable!()
            };
            let actions = dispatcher.handle_event(Event::Arrived(Request {
                tenant: Some(TenantId(tenant)),
                ..request
            }));
            rejections[tenant as usize] += rejected(&actions);
            if rejected(&actions) == 0 {
                dispatcher.end_attempt(job, 0, AttemptOutcome::Succeeded);
            }
        }
    }
    assert!(rejections[0] > 100, "{rejections:?}");
    assert!(rejections[1..].iter().sum::<usize>() <= 3, "{rejections:?}");
}

/// A restarted worker is a new process: its predecessor's attempts and penalties must not count.
#[test]
fn a_restart_resets_counts_and_penalties() {
    let mut dispatcher = TestDispatcher::new(settings(), 1);
    for job in 1..4 {
        dispatcher.arrive(job, AT_MOST_ONCE);
    }
    dispatcher.end_attempt(1, 0, AttemptOutcome::WorkerError);
    dispatcher.update_endpoints(
        false,
        vec![Endpoint {
            started_at_us: dispatcher.now - 60 * SECOND,
            ..endpoint(0)
        }],
    );
    dispatcher.end_attempt(2, 0, AttemptOutcome::ConnectionLost);
    assert_eq!(sends(&dispatcher.arrive(9, IDEMPOTENT)), [0]);
    assert_eq!(sends(&dispatcher.arrive(10, IDEMPOTENT)).len(), 1);
}

#[test]
fn the_endpoint_list_is_polled_at_the_start_and_again_after_an_error() {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            discovery_must_be_polled: true,
            ..settings()
        },
        4,
    );
    let due = |actions: &[Action]| match actions {
        [Action::Schedule { delay_us, token }] => (*delay_us, *token),
        other => panic!("{other:?}"),
    };
    let log = dispatcher.log.clone();
    let (wait, token) = due(&log);
    assert!(wait <= dispatcher.now && wait < 10 * SECOND / 2);
    assert_eq!(dispatcher.fire_timer(wait, token), [Action::Subscribe]);
    for _ in 0..6 {
        let (wait, token) = due(&dispatcher.handle_event(Event::DiscoveryFailed));
        assert!(wait > 0 && wait <= 10 * SECOND / 4);
        assert_eq!(dispatcher.fire_timer(wait, token), [Action::Subscribe]);
    }
}

/// Guards against rejecting work by chance: at one job a second a tenant often has twice the traffic of
/// others.
#[test]
fn random_variation_does_not_put_a_tenant_over_its_share() {
    let tenant = Tenant {
        quota_rps: 10.0,
        share: 0.25,
    };
    let mut dispatcher = TestDispatcher::new(
        Settings {
            tenants: vec![tenant; 4],
            ..settings_with_wide_targets()
        },
        4,
    );
    for worker in 0..4 {
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
    for (job, tenant) in [0, 1, 0, 2, 0, 3, 0, 1, 2, 0].into_iter().enumerate() {
        let Event::Arrived(request) = arrival(job as u64, AT_MOST_ONCE) else {
            unreachable!()
        };
        let actions = dispatcher.handle_event(Event::Arrived(Request {
            tenant: Some(TenantId(tenant)),
            ..request
        }));
        assert_eq!(
            (sends(&actions).len(), rejected(&actions)),
            (1, 0),
            "job {job}"
        );
        dispatcher.end_attempt(job as u64, 0, AttemptOutcome::Succeeded);
    }
}

/// Where workers report load only when probed, unprobed workers kept an old average load and ranked before
/// those known to be busy.
#[test]
fn where_workers_must_be_probed_only_those_that_answered_are_ranked() {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            reports_only_on_probe: true,
            ..settings_with_wide_targets()
        },
        40,
    );
    for job in 1..30 {
        dispatcher.arrive(job, AT_MOST_ONCE);
        for worker in [3, 7] {
            let report = Some(LoadReport {
                free_slots: Some(0.0),
                waiting: Some(3.0),
                ..LoadReport::default()
            });
            dispatcher.handle_event(Event::ProbeEnded {
                worker: WorkerId(worker),
                answered: true,
                report,
            });
        }
        let sent = sends(&dispatcher.fire_timer(10 * MS, 2 * job + 1));
        assert!(sent == [3] || sent == [7], "{sent:?}");
        dispatcher.end_attempt(job, 0, AttemptOutcome::Succeeded);
    }
}

/// Guards against queues that run work which is already late: each job made those behind it late too, long
/// after the cause had ended.
#[test]
fn a_job_that_has_waited_past_its_latency_target_is_answered_and_cancelled() {
    let with_late_value = |late_value_share| {
        let mut test_settings = settings();
        test_settings
            .classes
            .iter_mut()
            .for_each(|c| c.late_value_share = late_value_share);
        test_settings
    };
    let run_past_target = |test_settings: Settings, class, started_first: bool| {
        let mut dispatcher = TestDispatcher::new(test_settings, 1);
        dispatcher.arrive(1, class);
        if started_first {
            dispatcher.handle_event(started(1, 0));
        }
        // Latency target 100 ms plus its own 100 ms: a job that starts later than that ends past 100 ms + 2 *
        // 100 ms.
        let early = dispatcher.fire_timer(190 * MS, 3);
        assert_eq!((failed(&early), rejected(&early)), (0, 0));
        dispatcher.fire_timer(11 * MS, 3)
    };
    for class in [AT_MOST_ONCE, KEYED_PER_CELL] {
        let actions = run_past_target(with_late_value(0.0), class, false);
        assert_eq!(
            (failed(&actions), cancels(&actions).as_slice()),
            (1, [0].as_slice()),
            "answered at once, and cancelled"
        );
        for actions in [
            run_past_target(with_late_value(0.0), class, true), // it is running
            run_past_target(with_late_value(0.5), class, false), // a late answer still has value
            run_past_target(
                Settings {
                    may_cancel: false,
                    ..with_late_value(0.0)
                },
                class,
                false,
            ), // it would run anyway
            run_past_target(
                Settings {
                    notifies_start: false,
                    ..with_late_value(0.0)
                },
                class,
                false,
            ), // it may be running
        ] {
            assert_eq!((failed(&actions), cancels(&actions).len()), (0, 0));
        }
    }
    // The client would retry, so the job would return even later.
    assert_eq!(
        failed(&run_past_target(with_late_value(0.0), IDEMPOTENT, false))
            + failed(&run_past_target(
                with_late_value(0.0),
                KEYED_FLEET_WIDE,
                false
            )),
        0
    );
}

/// Guards against one penalty for all classes: successes of other classes erased it, or it kept their jobs
/// away.
#[test]
fn a_worker_that_fails_one_class_still_receives_the_others() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 4);
    let mut to_failing = [0; 2];
    for round in 0..20 {
        let batch: Vec<_> = (0..24)
            .map(|i| (round * 24 + i, [IDEMPOTENT, AT_MOST_ONCE][i as usize % 2]))
            .map(|(job, class)| (job, class, sends(&dispatcher.arrive(job, class))))
            .collect();
        dispatcher.now += 500 * MS;
        for (job, class, workers) in batch {
            for (attempt, worker) in workers.into_iter().enumerate() {
                to_failing[usize::from(class == AT_MOST_ONCE)] += usize::from(worker == 2);
                let fails = worker == 2 && class == AT_MOST_ONCE;
                dispatcher.end_attempt(
                    job,
                    attempt as u32,
                    if fails {
                        AttemptOutcome::WorkerError
                    } else {
                        AttemptOutcome::Succeeded
                    },
                );
            }
        }
    }
    assert!(
        to_failing[1] >= 1 && to_failing[0] >= 3 * to_failing[1],
        "{to_failing:?} of 240 each"
    );
}

/// Where half of the workers shed one class despite free slots, an at-most-once job is lost with each such
/// attempt.
#[test]
fn a_worker_that_sheds_a_class_despite_free_slots_still_serves_other_classes() {
    let test_settings = Settings {
        shed_may_have_run: true,
        ..settings()
    };
    let mut dispatcher = TestDispatcher::new(test_settings, 8);
    let (mut lost, mut others) = (0, 0);
    for job in 1..200 {
        let class = [IDEMPOTENT, AT_MOST_ONCE][job as usize % 2];
        for (attempt, worker) in sends(&dispatcher.arrive(job, class))
            .into_iter()
            .enumerate()
        {
            let sheds_class = worker >= 4;
            let outcome = if sheds_class && class == AT_MOST_ONCE {
                AttemptOutcome::Shed
            } else {
                AttemptOutcome::Succeeded
            };
            lost += usize::from(outcome == AttemptOutcome::Shed);
            others += usize::from(sheds_class && class == IDEMPOTENT);
            dispatcher.now += 20 * MS;
            let report = Some(LoadReport {
                free_slots: Some(3.0),
                ..LoadReport::default()
            });
            let (job, attempt, complete) = (
                JobId(job),
                attempt as u32,
                outcome == AttemptOutcome::Succeeded,
            );
            dispatcher.handle_event(Event::AttemptEnded(AttemptEnd {
                job,
                attempt,
                outcome,
                is_final: complete,
                report,
            }));
        }
    }
    assert!(lost <= 14, "{lost} of 100 lost");
    assert!(
        others >= 35,
        "{others} of 100 at the workers that shed: they have capacity for the other class"
    );
}

/// Guards against opening a connection for each request, as every request went to another worker.
#[test]
fn an_idle_connection_is_reused_where_a_new_one_costs() {
    let used_workers = |connection_cost| {
        let mut dispatcher = TestDispatcher::new(
            Settings {
                connection_cost,
                local_zone: ZoneId(1),
                ..settings()
            },
            40,
        );
        let mut used_workers = Vec::new();
        for job in 1..60 {
            used_workers.extend(sends(&dispatcher.arrive(job, AT_MOST_ONCE)));
            dispatcher.now += 100 * MS;
            dispatcher.end_attempt(job, 0, AttemptOutcome::Succeeded);
        }
        used_workers.sort_unstable();
        used_workers.dedup();
        used_workers.len()
    };
    assert!(
        used_workers(0.08) <= 4 && used_workers(0.0) >= 12,
        "{} and {}",
        used_workers(0.08),
        used_workers(0.0)
    );
}

/// Where reports show only whether a slot is free, a long queue was not detected, and work queued that was
/// already late.
#[test]
fn the_delay_until_a_start_shows_a_queue_that_reports_do_not() {
    let rejections = |test_settings: Settings, wait_us| {
        let mut dispatcher = TestDispatcher::new(test_settings, 4);
        for job in 1..5 {
            dispatcher.arrive(job, IDEMPOTENT);
        }
        dispatcher.now += wait_us;
        for job in 1..5 {
            dispatcher.handle_event(started(job, 0));
        }
        rejected(&dispatcher.arrive(9, AT_MOST_ONCE))
    };
    assert_eq!(
        rejections(settings(), 2 * SECOND),
        1,
        "twenty jobs ahead at each"
    );
    assert_eq!(rejections(settings(), 20 * MS), 0);
    assert_eq!(
        rejections(
            Settings {
                reports_count_jobs: true,
                ..settings()
            },
            2 * SECOND
        ),
        0,
        "reports show the queue"
    );
}

/// Guards against taking live weights for speed, which measured running times outweigh: the only load
/// information on all workers was not used.
#[test]
fn a_live_weight_shows_how_busy_a_worker_is() {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            weight_meaning: WeightMeaning::Live,
            reports_only_on_probe: true,
            ..settings_with_wide_targets()
        },
        0,
    );
    let weighted = |id, weight| Endpoint {
        weight,
        kind: KindId(0),
        ..endpoint(id)
    };
    dispatcher.update_endpoints(true, vec![weighted(0, 1.0), weighted(1, 1.0)]);
    let place = |dispatcher: &mut TestDispatcher, job| {
        dispatcher.arrive(job, AT_MOST_ONCE);
        let sent = sends(&dispatcher.fire_timer(10 * MS, 2 * job + 1));
        dispatcher.handle_event(started(job, 0));
        dispatcher.now += 100 * MS;
        dispatcher.end_attempt(job, 0, AttemptOutcome::Succeeded);
        sent
    };
    let free_slots_report = Some(LoadReport {
        free_slots: Some(3.0),
        ..LoadReport::default()
    });
    for (worker, draining) in [(1, 0), (0, 1)] {
        dispatcher.update_endpoints(
            false,
            vec![
                Endpoint {
                    state: EndpointState::Draining,
                    ..weighted(draining, 1.0)
                },
                weighted(worker, 1.0),
            ],
        );
        dispatcher.handle_event(Event::ProbeEnded {
            worker: WorkerId(worker),
            answered: true,
            report: free_slots_report,
        });
        let first = u64::from(worker) * 100;
        assert!((first..first + 50).all(|job| place(&mut dispatcher, job) == [worker]));
    }
    dispatcher.update_endpoints(false, vec![weighted(0, 1.0), weighted(1, 1.0)]);
    dispatcher.now += 60 * SECOND; // the observations are out of date
    assert_eq!(
        place(&mut dispatcher, 300),
        [0],
        "alike, and in the local zone"
    );
    dispatcher.update_endpoints(false, vec![weighted(0, 0.2)]);
    assert_eq!(
        place(&mut dispatcher, 301),
        [1],
        "the local worker holds four more jobs per core"
    );
}
