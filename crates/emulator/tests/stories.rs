//! Stories of the design's questions, each over the whole fleet. The numbers are those of docs/design/system.md.

mod common;

use common::{played_with, quiet, small, with_jobs};
use streamusher_emulator::bounds::Bounds;
use streamusher_emulator::faults::{Core, Fault};
use streamusher_emulator::fleet::setup::Setup;

// 1. The core.

#[test]
fn given_a_wiped_replica_when_it_returns_then_the_core_goes_on_with_all_jobs() {
    let schedule = quiet().with(
        6_000,
        Fault::WipeCore {
            core: Core::At(1),
            down_ms: 800,
        },
    );
    played_with(small(11), schedule);
}

#[test]
fn given_a_core_machine_replaced_at_a_new_address_when_another_dies_then_the_new_one_carries_on() {
    let schedule = quiet()
        .with(
            4_000,
            Fault::ReplaceCore {
                core: Core::At(0),
                after_ms: 500,
            },
        )
        .with(
            12_000,
            Fault::KillCore {
                core: Core::At(1),
                down_ms: 5_000,
            },
        );
    played_with(small(12), schedule);
}

// 2. Epochs and witnesses.

#[test]
fn given_most_of_the_core_down_when_clients_call_then_they_are_refused_at_once_and_served_later() {
    let schedule = quiet()
        .with(
            6_000,
            Fault::KillCore {
                core: Core::At(0),
                down_ms: 3_000,
            },
        )
        .with(
            6_000,
            Fault::KillCore {
                core: Core::At(1),
                down_ms: 3_000,
            },
        );
    played_with(small(13), schedule);
}

// 3. Replication.

#[test]
fn given_the_primary_wiped_right_after_an_acknowledgement_and_all_others_without_power_then_nothing_is_lost(
) {
    let wipe = Fault::PowerAllCore {
        down_ms: 900,
        wipe: Some(Core::Primary),
    };
    for seed in 0..10 {
        let schedule = quiet().with(4_500, Fault::AfterAcknowledgement(Box::new(wipe.clone())));
        played_with(small(100 + seed), schedule);
    }
}

#[test]
fn given_a_replica_whose_disk_hangs_when_jobs_come_then_the_primary_goes_on_without_it() {
    let schedule = quiet().with(
        5_000,
        Fault::StallDisk {
            core: Core::At(2),
            for_ms: 6_000,
        },
    );
    played_with(small(14), schedule);
}

// 4. Failover.

#[test]
fn given_a_frozen_primary_that_wakes_when_another_has_taken_over_then_it_orders_nothing() {
    for seed in 0..6 {
        let schedule = quiet().with(
            6_000,
            Fault::FreezeCore {
                core: Core::Primary,
                for_ms: 4_000,
            },
        );
        played_with(small(20 + seed), schedule);
    }
}

#[test]
fn given_a_primary_cut_off_in_one_direction_when_another_takes_over_then_no_task_runs_twice() {
    for seed in 0..6 {
        let schedule = quiet().with(
            6_000,
            Fault::CutCore {
                core: Core::Primary,
                one_way: true,
                for_ms: 4_000,
            },
        );
        played_with(small(30 + seed), schedule);
    }
}

// 5. Operators.

#[test]
fn given_lost_answers_and_a_killed_primary_when_orders_are_repeated_then_none_is_refused() {
    let schedule = quiet()
        .with(4_000, Fault::LoseAnswers { for_ms: 2_000 })
        .with(4_010, Fault::Change)
        .with(
            4_300,
            Fault::KillCore {
                core: Core::Primary,
                down_ms: 1_000,
            },
        )
        .with(9_000, Fault::Race)
        .with(9_500, Fault::BadChange);
    played_with(small(41), schedule);
}

// 6. Configuration at the data plane.

#[test]
fn given_many_changes_of_queues_when_clients_call_then_nobody_is_served_by_an_older_one() {
    let mut schedule = quiet();
    for time in 0..10 {
        schedule = schedule.with(3_000 + time * 1_100, Fault::Change);
    }
    schedule = schedule.with(
        7_000,
        Fault::KillCore {
            core: Core::Primary,
            down_ms: 1_500,
        },
    );
    played_with(with_jobs(small(51), 60), schedule);
}

// 7. Acceptance.

#[test]
fn given_two_gates_of_which_one_dies_when_jobs_were_accepted_there_then_the_other_answers_for_them()
{
    let schedule = quiet()
        .with(
            5_000,
            Fault::KillGate {
                gate: 0,
                down_ms: 4_000,
            },
        )
        .with(
            8_000,
            Fault::CutGate {
                gate: 1,
                for_ms: 1_500,
            },
        );
    played_with(small(61), schedule);
}

// 8. Runs.

#[test]
fn given_every_process_killed_at_once_when_they_return_then_no_task_runs_twice_and_no_worker_is_overfilled(
) {
    for seed in 0..6 {
        let schedule = quiet().with(7_000, Fault::KillEverything { down_ms: 300 });
        played_with(with_jobs(small(70 + seed), 50), schedule);
    }
}

#[test]
fn given_a_worker_lost_for_good_when_tasks_were_ordered_of_it_then_others_run_them_soon() {
    let bounds = Bounds {
        hold_max_ms: 10_000,
        ..Bounds::default()
    };
    for worker in 0..6 {
        let setup = Setup {
            bounds,
            ..with_jobs(small(150 + worker as u64), 60)
        };
        played_with(
            setup,
            quiet().with(
                8_000,
                Fault::CrashWorker {
                    worker,
                    back_ms: None,
                },
            ),
        );
    }
}

// 9. Leases and holds.

#[test]
fn given_a_worker_lost_for_good_and_its_agent_restarted_when_its_hold_is_over_then_others_run_its_tasks(
) {
    for seed in 0..6 {
        let worker = seed as usize % 4;
        let schedule = quiet()
            .with(
                7_000,
                Fault::CrashWorker {
                    worker,
                    back_ms: None,
                },
            )
            .with(
                7_600,
                Fault::KillAgent {
                    worker,
                    down_ms: 1_500,
                },
            );
        played_with(with_jobs(small(160 + seed), 60), schedule);
    }
}

#[test]
fn given_all_processes_killed_and_a_frozen_primary_when_old_calls_come_late_then_every_job_goes_on()
{
    for seed in 0..6 {
        let schedule = quiet()
            .with(
                6_000,
                Fault::FreezeCore {
                    core: Core::Primary,
                    for_ms: 5_000,
                },
            )
            .with(6_500, Fault::KillEverything { down_ms: 900 });
        played_with(with_jobs(small(170 + seed), 60), schedule);
    }
}

#[test]
fn given_hanging_workers_when_hedged_tasks_run_there_then_they_are_done_elsewhere_and_counted_once()
{
    for seed in 0..6 {
        let schedule = quiet()
            .with(
                4_000,
                Fault::SlowWorker {
                    worker: 0,
                    speed: 0.0,
                    for_ms: 5_000,
                },
            )
            .with(
                6_000,
                Fault::CutAgent {
                    worker: 2,
                    one_way: false,
                    for_ms: 5_000,
                },
            )
            .with(
                9_000,
                Fault::KillCore {
                    core: Core::Primary,
                    down_ms: 1_500,
                },
            );
        played_with(with_jobs(small(180 + seed), 80), schedule);
    }
}

#[test]
fn given_a_worker_cut_off_for_longer_than_its_lease_when_its_tasks_are_given_away_then_none_runs_twice(
) {
    for worker in 0..6 {
        let cut = Fault::CutAgent {
            worker,
            one_way: worker % 2 == 0,
            for_ms: 9_000,
        };
        played_with(
            with_jobs(small(80 + worker as u64), 50),
            quiet().with(6_000, cut),
        );
    }
}

#[test]
fn given_a_failover_while_a_worker_is_cut_off_then_the_new_primary_waits_for_its_hold() {
    for worker in 0..6 {
        let schedule = quiet()
            .with(
                6_000,
                Fault::CutAgent {
                    worker,
                    one_way: false,
                    for_ms: 9_000,
                },
            )
            .with(
                6_500,
                Fault::PowerCore {
                    core: Core::Primary,
                    down_ms: 2_000,
                },
            );
        played_with(with_jobs(small(90 + worker as u64), 50), schedule);
    }
}

// 10. Ends.

#[test]
fn given_a_restarted_agent_when_its_worker_has_ended_runs_meanwhile_then_each_end_counts_once() {
    for worker in 0..6 {
        let schedule = quiet()
            .with(
                5_000,
                Fault::KillAgent {
                    worker,
                    down_ms: 1_500,
                },
            )
            .with(
                9_000,
                Fault::FreezeAgent {
                    worker,
                    for_ms: 2_500,
                },
            );
        played_with(with_jobs(small(110 + worker as u64), 50), schedule);
    }
}

// 11. Copies.

#[test]
fn given_more_jobs_than_room_when_they_are_queued_then_every_one_is_started_once_and_ends() {
    let mut schedule = quiet();
    for time in 0..3 {
        schedule = schedule.with(4_000 + time * 1_000, Fault::Burst { jobs: 8 });
    }
    let fleet = played_with(small(121), schedule);
    assert_eq!(fleet.checker.open_jobs(), Vec::new());
}

// 12. Heartbeats.

#[test]
fn given_slow_grey_and_leaving_workers_when_jobs_come_then_the_others_do_them() {
    let schedule = quiet()
        .with(
            4_000,
            Fault::SlowWorker {
                worker: 0,
                speed: 0.0,
                for_ms: 5_000,
            },
        )
        .with(
            5_000,
            Fault::GreyWorker {
                worker: 1,
                share: 1.0,
                for_ms: 3_000,
            },
        )
        .with(
            6_000,
            Fault::DrainWorker {
                worker: 2,
                after_ms: 3_000,
                back_ms: 500,
            },
        )
        .with(
            7_000,
            Fault::CrashWorker {
                worker: 3,
                back_ms: Some(700),
            },
        );
    played_with(small(131), schedule);
}

#[test]
fn given_a_schedule_when_it_is_printed_then_each_trouble_has_its_line() {
    let schedule = quiet().with(5, Fault::Change).with(2, Fault::Race);
    assert_eq!(schedule.to_string(), "     2 ms Race\n     5 ms Change\n");
}

#[test]
fn given_five_core_machines_when_two_die_then_the_others_serve() {
    let setup = Setup {
        cores: 5,
        ..small(141)
    };
    let schedule = quiet()
        .with(
            5_000,
            Fault::KillCore {
                core: Core::Primary,
                down_ms: 6_000,
            },
        )
        .with(
            6_500,
            Fault::KillCore {
                core: Core::Primary,
                down_ms: 6_000,
            },
        );
    played_with(setup, schedule);
}
