//! Failures that were found, each answered in the module.

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

/// A worker that fails at once empties its count, ranks lowest and would draw every next job.
#[test]
fn a_worker_that_fails_at_once_does_not_draw_the_next_jobs() {
    let mut dispatcher = TestDispatcher::new(settings(), 4);
    let mut to_bad = 0;
    for job in 1..60 {
        for (attempt, worker) in sends(&dispatcher.arrive(job, AT_MOST_ONCE))
            .into_iter()
            .enumerate()
        {
            to_bad += (worker == 2) as usize;
            let outcome = if worker == 2 {
                AttemptOutcome::WorkerError
            } else {
                AttemptOutcome::Succeeded
            };
            dispatcher.now += 20 * MS;
            dispatcher.end_attempt(job, attempt as u32, outcome);
        }
    }
    assert!((1..=4).contains(&to_bad), "{to_bad} of 59");
}

/// One usual load for all kinds put every unseen fast worker ahead of every slow one, for all dispatchers.
#[test]
fn unseen_workers_of_an_overloaded_kind_are_not_taken_for_idle() {
    let mut dispatcher = TestDispatcher::new(settings(), 0);
    let weighted = |id: u32| Endpoint {
        weight: if id.is_multiple_of(2) { 2.0 } else { 1.0 },
        ..endpoint(id)
    };
    dispatcher.update_endpoints(true, (0..40).map(weighted).collect());
    for worker in 0..20 {
        // Even ones are the fast kind: jammed. Odd ones have room.
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
    dispatcher.now += 60 * SECOND; // what was seen of single workers is actions of date
    let sent: Vec<u32> = (1..10)
        .flat_map(|job| sends(&dispatcher.arrive(job, AT_MOST_ONCE)))
        .collect();
    assert_eq!(sent.len(), 9);
    assert!(
        sent.iter().filter(|w| !w.is_multiple_of(2)).count() >= 8,
        "{sent:?}"
    );
}

/// Under overload jobs filled queues in which they were late before they began: what could only be late wherever it
/// went is refused at once. A queue counts as a wait by the slots of its kind. A dispatcher that comes into a full fleet
/// sees none free: it took each worker for one slot, and refused nearly all it was given.
#[rstest::rstest]
#[case::never_shown(&[], 16.0, None, false)]
#[case::one_free(&[(1.0, 0.0)], 16.0, None, true)]
#[case::five_by_free_and_held(&[(2.0, 3.0)], 9.0, None, false)]
#[case::three_and_a_long_queue(&[(2.0, 1.0)], 60.0, None, true)]
#[case::what_may_wait_is_not_shown(&[(1.0, 12.0)], 16.0, None, true)]
#[case::what_waits_is_told(&[], 16.0, Some(8.0), false)]
fn a_job_that_is_hopeless_everywhere_is_rejected_at_once(
    #[case] shown: &[(f64, f64)],
    #[case] held_when_full: f64,
    #[case] waiting: Option<f64>,
    #[case] hopeless: bool,
) {
    let mut dispatcher = TestDispatcher::new(
        Settings {
            reports_count_jobs: true,
            ..settings()
        },
        4,
    );
    let tell = |dispatcher: &mut TestDispatcher, free: f64, held: f64, waiting: Option<f64>| {
        for worker in 0..4 {
            let free_slots = Some(free);
            let report = Some(LoadReport {
                free_slots,
                active: Some(held),
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
    shown
        .iter()
        .for_each(|&(free, held)| tell(&mut dispatcher, free, held, None));
    tell(&mut dispatcher, 0.0, held_when_full, waiting);
    let actions = dispatcher.arrive(1, AT_MOST_ONCE);
    assert_eq!(
        (sends(&actions).len(), rejected(&actions)),
        if hopeless { (0, 1) } else { (1, 0) }
    );
}

/// The same newcomer, told by an answer 'full': what was turned away is no queue of its own.
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
fn a_tenant_far_beyond_the_others_is_rejected_while_capacity_is_short() {
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
    let (mut job, mut turned_away) = (0, [0; 4]);
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
            turned_away[tenant as usize] += rejected(&actions);
            if rejected(&actions) == 0 {
                dispatcher.end_attempt(job, 0, AttemptOutcome::Succeeded);
            }
        }
    }
    assert!(turned_away[0] > 100, "{turned_away:?}");
    assert!(
        turned_away[1..].iter().sum::<usize>() <= 3,
        "{turned_away:?}"
    );
}

/// A restarted worker is a new process: its old attempts must not count, nor its old charges.
#[test]
fn a_restart_voids_counts_and_penalties() {
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

/// At one job a second a tenant is often twice the others by chance; that made a dispatcher refuse good work.
#[test]
fn a_tenant_is_not_beyond_its_share_by_chance() {
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

/// Where workers must be asked, those not asked keep an old usual load, and ranked ahead of those known to be busy.
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

/// Queues ran work that was already late, each job making those behind it late too, long after the cause was gone.
#[test]
fn a_job_that_has_waited_past_its_latency_target_is_answered_and_cancelled() {
    let strict = |late_share| {
        let mut set = settings();
        set.classes
            .iter_mut()
            .for_each(|c| c.late_value_share = late_share);
        set
    };
    let wait = |set: Settings, class, begun: bool| {
        let mut dispatcher = TestDispatcher::new(set, 1);
        dispatcher.arrive(1, class);
        if begun {
            dispatcher.handle_event(started(1, 0));
        }
        // Aim 100 ms and once more its own 100 ms: begun later than that it ends past 100 ms + 2 * 100 ms.
        let early = dispatcher.fire_timer(190 * MS, 3);
        assert_eq!((failed(&early), rejected(&early)), (0, 0));
        dispatcher.fire_timer(11 * MS, 3)
    };
    for class in [AT_MOST_ONCE, KEYED_PER_CELL] {
        let actions = wait(strict(0.0), class, false);
        assert_eq!(
            (failed(&actions), cancels(&actions).as_slice()),
            (1, [0].as_slice()),
            "at once, and called back"
        );
        for actions in [
            wait(strict(0.0), class, true),  // it runs
            wait(strict(0.5), class, false), // late is still worth something
            wait(
                Settings {
                    may_cancel: false,
                    ..strict(0.0)
                },
                class,
                false,
            ), // it would run all the same
            wait(
                Settings {
                    notifies_start: false,
                    ..strict(0.0)
                },
                class,
                false,
            ), // it may be running
        ] {
            assert_eq!((failed(&actions), cancels(&actions).len()), (0, 0));
        }
    }
    // Its client would ask again, so that it would come back later still.
    assert_eq!(
        failed(&wait(strict(0.0), IDEMPOTENT, false))
            + failed(&wait(strict(0.0), KEYED_FLEET_WIDE, false)),
        0
    );
}

/// One record for all classes let the others' successes wipe it off, or shut out their good work.
#[test]
fn a_worker_that_fails_one_class_keeps_the_others() {
    let mut dispatcher = TestDispatcher::new(settings_with_wide_targets(), 4);
    let mut to_bad = [0; 2];
    for round in 0..20 {
        let batch: Vec<_> = (0..24)
            .map(|i| (round * 24 + i, [IDEMPOTENT, AT_MOST_ONCE][i as usize % 2]))
            .map(|(job, class)| (job, class, sends(&dispatcher.arrive(job, class))))
            .collect();
        dispatcher.now += 500 * MS;
        for (job, class, workers) in batch {
            for (attempt, worker) in workers.into_iter().enumerate() {
                to_bad[usize::from(class == AT_MOST_ONCE)] += usize::from(worker == 2);
                let bad = worker == 2 && class == AT_MOST_ONCE;
                dispatcher.end_attempt(
                    job,
                    attempt as u32,
                    if bad {
                        AttemptOutcome::WorkerError
                    } else {
                        AttemptOutcome::Succeeded
                    },
                );
            }
        }
    }
    assert!(
        to_bad[1] >= 1 && to_bad[0] >= 3 * to_bad[1],
        "{to_bad:?} of 240 each"
    );
}

/// Where half of the workers turn one class away though they show room, an unsafe job is lost at each such try.
#[test]
fn a_worker_that_sheds_a_class_in_spite_of_free_slots_is_left_to_other_classes() {
    let set = Settings {
        shed_may_have_run: true,
        ..settings()
    };
    let mut dispatcher = TestDispatcher::new(set, 8);
    let (mut lost, mut others) = (0, 0);
    for job in 1..200 {
        let class = [IDEMPOTENT, AT_MOST_ONCE][job as usize % 2];
        for (attempt, worker) in sends(&dispatcher.arrive(job, class))
            .into_iter()
            .enumerate()
        {
            let struck = worker >= 4;
            let outcome = if struck && class == AT_MOST_ONCE {
                AttemptOutcome::Shed
            } else {
                AttemptOutcome::Succeeded
            };
            lost += usize::from(outcome == AttemptOutcome::Shed);
            others += usize::from(struck && class == IDEMPOTENT);
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
        "{others} of 100 at the struck ones: they have room for the other class"
    );
}

/// Each request at a worker of its own opened a connection for each.
#[test]
fn an_idle_connection_is_used_again_where_a_new_one_costs() {
    let met = |connection_cost| {
        let mut dispatcher = TestDispatcher::new(
            Settings {
                connection_cost,
                local_zone: ZoneId(1),
                ..settings()
            },
            40,
        );
        let mut met = Vec::new();
        for job in 1..60 {
            met.extend(sends(&dispatcher.arrive(job, AT_MOST_ONCE)));
            dispatcher.now += 100 * MS;
            dispatcher.end_attempt(job, 0, AttemptOutcome::Succeeded);
        }
        met.sort_unstable();
        met.dedup();
        met.len()
    };
    assert!(
        met(0.08) <= 4 && met(0.0) >= 12,
        "{} and {}",
        met(0.08),
        met(0.0)
    );
}

/// Where reports show only whether a slot is free, a jam was not seen, and work queued that was late already.
#[test]
fn the_delay_until_a_start_shows_a_queue_that_reports_do_not() {
    let refusals = |set: Settings, wait_us| {
        let mut dispatcher = TestDispatcher::new(set, 4);
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
        refusals(settings(), 2 * SECOND),
        1,
        "twenty jobs ahead at each"
    );
    assert_eq!(refusals(settings(), 20 * MS), 0);
    assert_eq!(
        refusals(
            Settings {
                reports_count_jobs: true,
                ..settings()
            },
            2 * SECOND
        ),
        0,
        "reports tell it"
    );
}

/// Live weights were taken for speed, which measured runs outweigh: the list's one sight of all was not used.
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
    let room = Some(LoadReport {
        free_slots: Some(3.0),
        ..LoadReport::default()
    });
    for (worker, away) in [(1, 0), (0, 1)] {
        dispatcher.update_endpoints(
            false,
            vec![
                Endpoint {
                    state: EndpointState::Draining,
                    ..weighted(away, 1.0)
                },
                weighted(worker, 1.0),
            ],
        );
        dispatcher.handle_event(Event::ProbeEnded {
            worker: WorkerId(worker),
            answered: true,
            report: room,
        });
        let first = u64::from(worker) * 100;
        assert!((first..first + 50).all(|job| place(&mut dispatcher, job) == [worker]));
    }
    dispatcher.update_endpoints(false, vec![weighted(0, 1.0), weighted(1, 1.0)]);
    dispatcher.now += 60 * SECOND; // what was seen is actions of date
    assert_eq!(place(&mut dispatcher, 300), [0], "alike, and near");
    dispatcher.update_endpoints(false, vec![weighted(0, 0.2)]);
    assert_eq!(
        place(&mut dispatcher, 301),
        [1],
        "the near one holds four jobs a core more"
    );
}
