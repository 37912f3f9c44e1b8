//! Faults that affect a whole fleet. The numbered sections correspond to the questions in
//! docs/design/system.md.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{no_faults, simulate, small};
use streamusher_emulator::faults::{
    ClientAction, ControlDegradation, ControlOutage, ControlTarget, DataPlaneFault, Fault,
    OperatorAction, WorkerFault,
};
use streamusher_emulator::fleet::settings::FleetSettings;
use streamusher_emulator::limits::DeploymentLimits;

/// Small fleet with this many jobs in its ordinary traffic.
fn with_jobs(seed: u64, job_count: usize) -> FleetSettings {
    FleetSettings {
        job_count,
        ..small(seed)
    }
}

// 1. The control plane.

#[test]
fn wiped_replica_rejoins() {
    let schedule = no_faults().with(
        6_000,
        ControlOutage::Wipe {
            target: ControlTarget::Index(1),
            down_ms: 800,
        },
    );
    simulate(small(11), schedule);
}

#[test]
fn replacement_machine_carries_on_after_another_loss() {
    let schedule = no_faults()
        .with(
            4_000,
            ControlOutage::Replace {
                target: ControlTarget::Index(0),
                after_ms: 500,
            },
        )
        .with(
            12_000,
            ControlOutage::Kill {
                target: ControlTarget::Index(1),
                down_ms: 5_000,
            },
        );
    simulate(small(12), schedule);
}

// 2. Epochs and witnesses.

#[test]
fn clients_are_served_after_quorum_returns() {
    let schedule = no_faults()
        .with(
            6_000,
            ControlOutage::Kill {
                target: ControlTarget::Index(0),
                down_ms: 3_000,
            },
        )
        .with(
            6_000,
            ControlOutage::Kill {
                target: ControlTarget::Index(1),
                down_ms: 3_000,
            },
        );
    simulate(small(13), schedule);
}

// 3. Replication.

#[test]
fn primary_wiped_after_acknowledgement_loses_nothing() {
    let wipe = ControlOutage::PowerLossAll {
        down_ms: 900,
        wipe: Some(ControlTarget::Primary),
    };
    for seed in 0..10 {
        let schedule = no_faults().with(4_500, Fault::from(wipe).after_acknowledgement());
        simulate(small(100 + seed), schedule);
    }
}

#[test]
fn primary_goes_on_without_replica_with_hanging_disk() {
    let schedule = no_faults().with(
        5_000,
        ControlDegradation::StallDisk {
            target: ControlTarget::Index(2),
            for_ms: 6_000,
        },
    );
    simulate(small(14), schedule);
}

// 4. Failover.

#[test]
fn former_primary_commands_nothing_after_freeze() {
    for seed in 0..6 {
        let schedule = no_faults().with(
            6_000,
            ControlDegradation::Freeze {
                target: ControlTarget::Primary,
                for_ms: 4_000,
            },
        );
        simulate(small(20 + seed), schedule);
    }
}

#[test]
fn no_task_runs_twice_after_one_way_isolation_of_primary() {
    for seed in 0..6 {
        let schedule = no_faults().with(
            6_000,
            ControlDegradation::Isolate {
                target: ControlTarget::Primary,
                one_way: true,
                for_ms: 4_000,
            },
        );
        simulate(small(30 + seed), schedule);
    }
}

// 5. Operators.

#[test]
fn repeated_changes_are_not_rejected() {
    let schedule = no_faults()
        .with(4_000, OperatorAction::LoseResponses { for_ms: 2_000 })
        .with(4_010, OperatorAction::Change)
        .with(
            4_300,
            ControlOutage::Kill {
                target: ControlTarget::Primary,
                down_ms: 1_000,
            },
        )
        .with(9_000, OperatorAction::Race)
        .with(9_500, OperatorAction::InvalidChange);
    simulate(small(41), schedule);
}

// 6. Configuration at the data plane.

#[test]
fn clients_are_not_served_by_older_configuration() {
    let mut schedule = no_faults();
    for time in 0..10 {
        schedule = schedule.with(3_000 + time * 1_100, OperatorAction::Change);
    }
    schedule = schedule.with(
        7_000,
        ControlOutage::Kill {
            target: ControlTarget::Primary,
            down_ms: 1_500,
        },
    );
    simulate(with_jobs(51, 60), schedule);
}

// 7. Acceptance of jobs.

#[test]
fn other_gate_answers_for_accepted_jobs() {
    let schedule = no_faults()
        .with(
            5_000,
            DataPlaneFault::KillGate {
                gate: 0,
                down_ms: 4_000,
            },
        )
        .with(
            8_000,
            DataPlaneFault::IsolateGate {
                gate: 1,
                for_ms: 1_500,
            },
        );
    simulate(small(61), schedule);
}

// 8. Runs.

#[test]
fn restart_of_all_processes_neither_repeats_tasks_nor_overfills_workers() {
    for seed in 0..6 {
        let schedule = no_faults().with(7_000, DataPlaneFault::KillEverything { down_ms: 300 });
        simulate(with_jobs(70 + seed, 50), schedule);
    }
}

#[test]
fn tasks_of_lost_worker_run_elsewhere() {
    let limits = DeploymentLimits {
        hold_max_ms: 10_000,
        ..DeploymentLimits::default()
    };
    for worker in 0..6 {
        let settings = FleetSettings {
            limits,
            ..with_jobs(150 + worker as u64, 60)
        };
        simulate(
            settings,
            no_faults().with(
                8_000,
                WorkerFault::Crash {
                    worker,
                    back_ms: None,
                },
            ),
        );
    }
}

// 9. Leases.

#[test]
fn tasks_of_lost_worker_run_elsewhere_after_agent_restart() {
    for seed in 0..6 {
        let worker = usize::try_from(seed % 4).expect("below 4");
        let schedule = no_faults()
            .with(
                7_000,
                WorkerFault::Crash {
                    worker,
                    back_ms: None,
                },
            )
            .with(
                7_600,
                DataPlaneFault::KillAgent {
                    worker,
                    down_ms: 1_500,
                },
            );
        simulate(with_jobs(160 + seed, 60), schedule);
    }
}

#[test]
fn jobs_go_on_despite_late_calls_of_former_processes() {
    for seed in 0..6 {
        let schedule = no_faults()
            .with(
                6_000,
                ControlDegradation::Freeze {
                    target: ControlTarget::Primary,
                    for_ms: 5_000,
                },
            )
            .with(6_500, DataPlaneFault::KillEverything { down_ms: 900 });
        simulate(with_jobs(170 + seed, 60), schedule);
    }
}

#[test]
fn hedged_tasks_of_hanging_workers_are_done_elsewhere() {
    for seed in 0..6 {
        let schedule = no_faults()
            .with(
                4_000,
                WorkerFault::Slow {
                    worker: 0,
                    speed: 0.0,
                    for_ms: 5_000,
                },
            )
            .with(
                6_000,
                DataPlaneFault::IsolateAgent {
                    worker: 2,
                    one_way: false,
                    for_ms: 5_000,
                },
            )
            .with(
                9_000,
                ControlOutage::Kill {
                    target: ControlTarget::Primary,
                    down_ms: 1_500,
                },
            );
        simulate(with_jobs(180 + seed, 80), schedule);
    }
}

#[test]
fn no_task_runs_twice_after_isolation_beyond_lease() {
    for worker in 0..6 {
        let cut = DataPlaneFault::IsolateAgent {
            worker,
            one_way: worker % 2 == 0,
            for_ms: 9_000,
        };
        simulate(
            with_jobs(80 + worker as u64, 50),
            no_faults().with(6_000, cut),
        );
    }
}

/// An agent whose worker had not called it since its restart counted a lease that the primary did not count
/// for the worker: its runs were started elsewhere while they were still running.
#[test]
fn no_task_runs_twice_after_isolation_of_a_restarted_agent() {
    for worker in 0..6 {
        let mut settings = with_jobs(190 + worker as u64, 50);
        settings.limits.refused_retry_ms = settings.limits.heartbeat_ms;
        let schedule = no_faults()
            .with(
                6_000,
                DataPlaneFault::KillAgent {
                    worker,
                    down_ms: 1_000,
                },
            )
            .with(
                7_250,
                DataPlaneFault::IsolateAgent {
                    worker,
                    one_way: false,
                    for_ms: 5_500,
                },
            );
        simulate(settings, schedule);
    }
}

#[test]
fn new_primary_waits_for_lease_of_isolated_worker() {
    for worker in 0..6 {
        let schedule = no_faults()
            .with(
                6_000,
                DataPlaneFault::IsolateAgent {
                    worker,
                    one_way: false,
                    for_ms: 9_000,
                },
            )
            .with(
                6_500,
                ControlOutage::PowerLoss {
                    target: ControlTarget::Primary,
                    down_ms: 2_000,
                },
            );
        simulate(with_jobs(90 + worker as u64, 50), schedule);
    }
}

// 10. Ends of runs.

#[test]
fn ends_during_agent_restart_count_once() {
    for worker in 0..6 {
        let schedule = no_faults()
            .with(
                5_000,
                DataPlaneFault::KillAgent {
                    worker,
                    down_ms: 1_500,
                },
            )
            .with(
                9_000,
                DataPlaneFault::FreezeAgent {
                    worker,
                    for_ms: 2_500,
                },
            );
        simulate(with_jobs(110 + worker as u64, 50), schedule);
    }
}

// 11. Queues.

#[test]
fn queued_jobs_beyond_capacity_all_end() {
    let mut schedule = no_faults();
    for time in 0..3 {
        schedule = schedule.with(4_000 + time * 1_000, ClientAction::SubmitBurst { jobs: 8 });
    }
    let fleet = simulate(small(121), schedule);
    assert_eq!(fleet.checker().open_jobs(), Vec::new());
}

// 12. Heartbeats.

#[test]
fn other_workers_take_over_from_faulty_ones() {
    let schedule = no_faults()
        .with(
            4_000,
            WorkerFault::Slow {
                worker: 0,
                speed: 0.0,
                for_ms: 5_000,
            },
        )
        .with(
            5_000,
            WorkerFault::FailRuns {
                worker: 1,
                share: 1.0,
                for_ms: 3_000,
            },
        )
        .with(
            6_000,
            WorkerFault::Drain {
                worker: 2,
                after_ms: 3_000,
                back_ms: 500,
            },
        )
        .with(
            7_000,
            WorkerFault::Crash {
                worker: 3,
                back_ms: Some(700),
            },
        );
    simulate(small(131), schedule);
}

#[test]
fn schedule_prints_one_line_per_fault() {
    let schedule = no_faults()
        .with(5, OperatorAction::Change)
        .with(2, OperatorAction::Race);
    assert_eq!(schedule.to_string(), "     2 ms Race\n     5 ms Change\n");
}

#[test]
fn three_of_five_control_machines_serve() {
    let settings = FleetSettings {
        control_machines: 5,
        ..small(141)
    };
    let schedule = no_faults()
        .with(
            5_000,
            ControlOutage::Kill {
                target: ControlTarget::Primary,
                down_ms: 6_000,
            },
        )
        .with(
            6_500,
            ControlOutage::Kill {
                target: ControlTarget::Primary,
                down_ms: 6_000,
            },
        );
    simulate(settings, schedule);
}
