//! Failures that were found, each answered in the module.

mod common;
use common::{
    arrival, cancels, entry, failed, patient, refused, sends, settings, started, Desk, FREE, KEYED,
    KEYED_ALL, MS, ONCE, SECOND,
};
use streamusher::interface::{
    Action, AttemptEnd, AttemptOutcome, Endpoint, EndpointState, Event, JobId, KindId, LoadReport,
    Request, Settings, Tenant, TenantId, WeightMeaning, WorkerId, ZoneId,
};

/// A worker that fails at once empties its count, ranks lowest and would draw every next job.
#[test]
fn a_worker_that_fails_at_once_does_not_draw_the_next_jobs() {
    let mut desk = Desk::new(settings(), 4);
    let mut to_bad = 0;
    for job in 1..60 {
        for (attempt, worker) in sends(&desk.arrive(job, ONCE)).into_iter().enumerate() {
            to_bad += (worker == 2) as usize;
            let code = if worker == 2 {
                AttemptOutcome::WorkerError
            } else {
                AttemptOutcome::Succeeded
            };
            desk.now += 20 * MS;
            desk.end(job, attempt as u32, code);
        }
    }
    assert!((1..=4).contains(&to_bad), "{to_bad} of 59");
}

/// One usual load for all kinds put every unseen fast worker ahead of every slow one, for all dispatchers.
#[test]
fn a_kind_known_to_be_jammed_is_not_taken_for_idle_where_unseen() {
    let mut desk = Desk::new(settings(), 0);
    let weighted = |id: u32| Endpoint {
        weight: if id.is_multiple_of(2) { 2.0 } else { 1.0 },
        ..entry(id)
    };
    desk.list(true, (0..40).map(weighted).collect());
    for worker in 0..20 {
        // Even ones are the fast kind: jammed. Odd ones have room.
        let free_slots = Some(f64::from(worker % 2));
        let report = Some(LoadReport {
            free_slots,
            waiting: Some(9.0),
            ..LoadReport::default()
        });
        desk.give(Event::ProbeEnded {
            worker: WorkerId(worker),
            answered: true,
            report,
        });
    }
    desk.now += 60 * SECOND; // what was seen of single workers is out of date
    let sent: Vec<u32> = (1..10)
        .flat_map(|job| sends(&desk.arrive(job, ONCE)))
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
fn a_job_that_is_hopeless_everywhere_is_refused_at_once(
    #[case] shown: &[(f64, f64)],
    #[case] held_when_full: f64,
    #[case] waiting: Option<f64>,
    #[case] hopeless: bool,
) {
    let mut desk = Desk::new(
        Settings {
            reports_count_jobs: true,
            ..settings()
        },
        4,
    );
    let tell = |desk: &mut Desk, free: f64, held: f64, waiting: Option<f64>| {
        for worker in 0..4 {
            let free_slots = Some(free);
            let report = Some(LoadReport {
                free_slots,
                active: Some(held),
                waiting,
                ..LoadReport::default()
            });
            desk.give(Event::ProbeEnded {
                worker: WorkerId(worker),
                answered: true,
                report,
            });
        }
    };
    shown
        .iter()
        .for_each(|&(free, held)| tell(&mut desk, free, held, None));
    tell(&mut desk, 0.0, held_when_full, waiting);
    let out = desk.arrive(1, ONCE);
    assert_eq!(
        (sends(&out).len(), refused(&out)),
        if hopeless { (0, 1) } else { (1, 0) }
    );
}

/// The same newcomer, told by an answer 'full': what was turned away is no queue of its own.
#[test]
fn a_newcomer_that_is_turned_away_tries_elsewhere() {
    let mut desk = Desk::new(
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
    let mut sent = sends(&desk.arrive(1, FREE));
    for attempt in 0..3 {
        let end = AttemptEnd {
            job: JobId(1),
            attempt,
            outcome: AttemptOutcome::Shed,
            is_final: false,
            report: full,
        };
        sent.extend(sends(&desk.give(Event::AttemptEnded(end))));
    }
    assert_eq!(sent.len(), 4, "all attempts are used: {sent:?}");
    let next = desk.arrive(2, FREE);
    assert!(
        !sends(&next).is_empty() && refused(&next) == 0,
        "the next job is sent too: {next:?}"
    );
}

#[test]
fn a_tenant_far_beyond_the_others_is_refused_while_there_is_no_room() {
    let tenant = Tenant {
        quota_rps: 10.0,
        share: 0.25,
    };
    let mut desk = Desk::new(
        Settings {
            tenants: vec![tenant; 4],
            ..patient()
        },
        4,
    );
    for worker in 0..4 {
        let report = Some(LoadReport {
            free_slots: Some(0.0),
            ..LoadReport::default()
        });
        desk.give(Event::ProbeEnded {
            worker: WorkerId(worker),
            answered: true,
            report,
        });
    }
    let (mut job, mut turned_away) = (0, [0; 4]);
    for _ in 0..50 {
        for tenant in [0, 0, 0, 0, 0, 1, 2, 3] {
            job += 1;
            let Event::Arrived(request) = arrival(job, ONCE) else {
                unreachable!()
            };
            let out = desk.give(Event::Arrived(Request {
                tenant: Some(TenantId(tenant)),
                ..request
            }));
            turned_away[tenant as usize] += refused(&out);
            if refused(&out) == 0 {
                desk.end(job, 0, AttemptOutcome::Succeeded);
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
fn a_restart_voids_counts_and_charges() {
    let mut desk = Desk::new(settings(), 1);
    for job in 1..4 {
        desk.arrive(job, ONCE);
    }
    desk.end(1, 0, AttemptOutcome::WorkerError);
    desk.list(
        false,
        vec![Endpoint {
            started_at_us: desk.now - 60 * SECOND,
            ..entry(0)
        }],
    );
    desk.end(2, 0, AttemptOutcome::ConnectionLost);
    assert_eq!(sends(&desk.arrive(9, FREE)), [0]);
    assert_eq!(sends(&desk.arrive(10, FREE)).len(), 1);
}

#[test]
fn the_list_is_asked_at_the_start_and_again_after_an_error() {
    let mut desk = Desk::new(
        Settings {
            discovery_must_be_polled: true,
            ..settings()
        },
        4,
    );
    let due = |out: &[Action]| match out {
        [Action::Schedule { delay_us, token }] => (*delay_us, *token),
        other => panic!("{other:?}"),
    };
    let log = desk.log.clone();
    let (wait, token) = due(&log);
    assert!(wait <= desk.now && wait < 10 * SECOND / 2);
    assert_eq!(desk.wake(wait, token), [Action::Subscribe]);
    for _ in 0..6 {
        let (wait, token) = due(&desk.give(Event::DiscoveryFailed));
        assert!(wait > 0 && wait <= 10 * SECOND / 4);
        assert_eq!(desk.wake(wait, token), [Action::Subscribe]);
    }
}

/// At one job a second a tenant is often twice the others by chance; that made a dispatcher refuse good work.
#[test]
fn a_tenant_is_not_beyond_its_share_by_chance() {
    let tenant = Tenant {
        quota_rps: 10.0,
        share: 0.25,
    };
    let mut desk = Desk::new(
        Settings {
            tenants: vec![tenant; 4],
            ..patient()
        },
        4,
    );
    for worker in 0..4 {
        let report = Some(LoadReport {
            free_slots: Some(0.0),
            ..LoadReport::default()
        });
        desk.give(Event::ProbeEnded {
            worker: WorkerId(worker),
            answered: true,
            report,
        });
    }
    for (job, tenant) in [0, 1, 0, 2, 0, 3, 0, 1, 2, 0].into_iter().enumerate() {
        let Event::Arrived(request) = arrival(job as u64, ONCE) else {
            unreachable!()
        };
        let out = desk.give(Event::Arrived(Request {
            tenant: Some(TenantId(tenant)),
            ..request
        }));
        assert_eq!((sends(&out).len(), refused(&out)), (1, 0), "job {job}");
        desk.end(job as u64, 0, AttemptOutcome::Succeeded);
    }
}

/// Where workers must be asked, those not asked keep an old usual load, and ranked ahead of those known to be busy.
#[test]
fn where_workers_must_be_asked_only_those_that_answered_are_ranked() {
    let mut desk = Desk::new(
        Settings {
            reports_only_on_probe: true,
            ..patient()
        },
        40,
    );
    for job in 1..30 {
        desk.arrive(job, ONCE);
        for worker in [3, 7] {
            let report = Some(LoadReport {
                free_slots: Some(0.0),
                waiting: Some(3.0),
                ..LoadReport::default()
            });
            desk.give(Event::ProbeEnded {
                worker: WorkerId(worker),
                answered: true,
                report,
            });
        }
        let sent = sends(&desk.wake(10 * MS, 2 * job + 1));
        assert!(sent == [3] || sent == [7], "{sent:?}");
        desk.end(job, 0, AttemptOutcome::Succeeded);
    }
}

/// Queues ran work that was already late, each job making those behind it late too, long after the cause was gone.
#[test]
fn a_job_that_has_waited_past_its_aim_is_given_up_and_called_back() {
    let strict = |late_share| {
        let mut set = settings();
        set.classes
            .iter_mut()
            .for_each(|c| c.late_value_share = late_share);
        set
    };
    let wait = |set: Settings, class, begun: bool| {
        let mut desk = Desk::new(set, 1);
        desk.arrive(1, class);
        if begun {
            desk.give(started(1, 0));
        }
        // Aim 100 ms and once more its own 100 ms: begun later than that it ends past 100 ms + 2 * 100 ms.
        let early = desk.wake(190 * MS, 3);
        assert_eq!((failed(&early), refused(&early)), (0, 0));
        desk.wake(11 * MS, 3)
    };
    for class in [ONCE, KEYED] {
        let out = wait(strict(0.0), class, false);
        assert_eq!(
            (failed(&out), cancels(&out).as_slice()),
            (1, [0].as_slice()),
            "at once, and called back"
        );
        for out in [
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
            assert_eq!((failed(&out), cancels(&out).len()), (0, 0));
        }
    }
    // Its client would ask again, so that it would come back later still.
    assert_eq!(
        failed(&wait(strict(0.0), FREE, false)) + failed(&wait(strict(0.0), KEYED_ALL, false)),
        0
    );
}

/// One record for all classes let the others' successes wipe it off, or shut out their good work.
#[test]
fn a_worker_that_fails_one_class_keeps_the_others() {
    let mut desk = Desk::new(patient(), 4);
    let mut to_bad = [0; 2];
    for round in 0..20 {
        let batch: Vec<_> = (0..24)
            .map(|i| (round * 24 + i, [FREE, ONCE][i as usize % 2]))
            .map(|(job, class)| (job, class, sends(&desk.arrive(job, class))))
            .collect();
        desk.now += 500 * MS;
        for (job, class, workers) in batch {
            for (attempt, worker) in workers.into_iter().enumerate() {
                to_bad[usize::from(class == ONCE)] += usize::from(worker == 2);
                let bad = worker == 2 && class == ONCE;
                desk.end(
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
fn a_worker_that_says_full_though_it_shows_room_is_left_to_other_classes() {
    let set = Settings {
        shed_may_have_run: true,
        ..settings()
    };
    let mut desk = Desk::new(set, 8);
    let (mut lost, mut others) = (0, 0);
    for job in 1..200 {
        let class = [FREE, ONCE][job as usize % 2];
        for (attempt, worker) in sends(&desk.arrive(job, class)).into_iter().enumerate() {
            let struck = worker >= 4;
            let code = if struck && class == ONCE {
                AttemptOutcome::Shed
            } else {
                AttemptOutcome::Succeeded
            };
            lost += usize::from(code == AttemptOutcome::Shed);
            others += usize::from(struck && class == FREE);
            desk.now += 20 * MS;
            let report = Some(LoadReport {
                free_slots: Some(3.0),
                ..LoadReport::default()
            });
            let (job, attempt, complete) = (
                JobId(job),
                attempt as u32,
                code == AttemptOutcome::Succeeded,
            );
            desk.give(Event::AttemptEnded(AttemptEnd {
                job,
                attempt,
                outcome: code,
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
        let mut desk = Desk::new(
            Settings {
                connection_cost,
                local_zone: ZoneId(1),
                ..settings()
            },
            40,
        );
        let mut met = Vec::new();
        for job in 1..60 {
            met.extend(sends(&desk.arrive(job, ONCE)));
            desk.now += 100 * MS;
            desk.end(job, 0, AttemptOutcome::Succeeded);
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
fn the_wait_until_a_start_tells_a_jam_that_reports_do_not_show() {
    let refusals = |set: Settings, wait_us| {
        let mut desk = Desk::new(set, 4);
        for job in 1..5 {
            desk.arrive(job, FREE);
        }
        desk.now += wait_us;
        for job in 1..5 {
            desk.give(started(job, 0));
        }
        refused(&desk.arrive(9, ONCE))
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
fn a_live_weight_tells_how_busy_a_worker_is() {
    let mut desk = Desk::new(
        Settings {
            weight_meaning: WeightMeaning::Live,
            reports_only_on_probe: true,
            ..patient()
        },
        0,
    );
    let weighted = |id, weight| Endpoint {
        weight,
        kind: KindId(0),
        ..entry(id)
    };
    desk.list(true, vec![weighted(0, 1.0), weighted(1, 1.0)]);
    let place = |desk: &mut Desk, job| {
        desk.arrive(job, ONCE);
        let sent = sends(&desk.wake(10 * MS, 2 * job + 1));
        desk.give(started(job, 0));
        desk.now += 100 * MS;
        desk.end(job, 0, AttemptOutcome::Succeeded);
        sent
    };
    let room = Some(LoadReport {
        free_slots: Some(3.0),
        ..LoadReport::default()
    });
    for (worker, away) in [(1, 0), (0, 1)] {
        desk.list(
            false,
            vec![
                Endpoint {
                    state: EndpointState::Draining,
                    ..weighted(away, 1.0)
                },
                weighted(worker, 1.0),
            ],
        );
        desk.give(Event::ProbeEnded {
            worker: WorkerId(worker),
            answered: true,
            report: room,
        });
        let first = u64::from(worker) * 100;
        assert!((first..first + 50).all(|job| place(&mut desk, job) == [worker]));
    }
    desk.list(false, vec![weighted(0, 1.0), weighted(1, 1.0)]);
    desk.now += 60 * SECOND; // what was seen is out of date
    assert_eq!(place(&mut desk, 300), [0], "alike, and near");
    desk.list(false, vec![weighted(0, 0.2)]);
    assert_eq!(
        place(&mut desk, 301),
        [1],
        "the near one holds four jobs a core more"
    );
}
