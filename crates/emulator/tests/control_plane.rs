//! Severe faults of the control plane; the numbered sections correspond to the points in
//! docs/design/control-state.md. Each simulation reads the configuration from any control machine several
//! times a second; it must contain every change acknowledged before.

mod common;

use common::{no_faults, simulate, small};
use rstest::rstest;
use streamusher_emulator::faults::{
    ControlDegradation, ControlOutage, ControlTarget, Fault, OperatorAction,
};
use streamusher_emulator::fleet::settings::FleetSettings;
use streamusher_protocol::Millis;

/// Duration of an isolation, far longer than every lease, hold and time-out.
const ISOLATION_MS: Millis = 20_000;

/// Small fleet with this many control machines, whose traffic outlasts an isolation of 20 s.
fn long_traffic(seed: u64, control_machines: usize, tolerance: usize) -> FleetSettings {
    FleetSettings {
        control_machines,
        tolerance,
        traffic_ends_at: 28_000,
        ..small(seed)
    }
}

// 1. Isolated member.

#[rstest]
fn isolated_member_gives_no_stale_response(
    #[values(
        ControlTarget::Primary,
        ControlTarget::Index(0),
        ControlTarget::Index(1),
        ControlTarget::Index(2)
    )]
    target: ControlTarget,
    #[values(false, true)] one_way: bool,
    #[values((3, 1), (5, 1), (5, 2))] shape: (usize, usize),
) {
    let schedule = no_faults()
        .with(
            4_000,
            ControlDegradation::Isolate {
                target,
                one_way,
                for_ms: ISOLATION_MS,
            },
        )
        .with(
            3_500,
            OperatorAction::ChangeSeries {
                count: 300,
                gap_ms: 60,
            },
        );
    simulate(long_traffic(301, shape.0, shape.1), schedule);
}

#[rstest]
fn member_isolated_from_all_rejoins(
    #[values(ControlTarget::Primary, ControlTarget::Index(1))] target: ControlTarget,
    #[values((3, 1), (5, 1), (5, 2))] shape: (usize, usize),
) {
    let schedule = no_faults()
        .with(
            4_000,
            ControlDegradation::IsolateFromAll {
                target,
                for_ms: ISOLATION_MS,
            },
        )
        .with(
            3_500,
            OperatorAction::ChangeSeries {
                count: 300,
                gap_ms: 60,
            },
        );
    simulate(long_traffic(302, shape.0, shape.1), schedule);
}

#[rstest]
fn partitioned_halves_give_no_stale_response(
    #[values(3, 4, 5, 6)] control_machines: usize,
    #[values(310, 311, 312, 314, 318)] seed: u64,
) {
    let schedule = no_faults()
        .with(
            4_000,
            OperatorAction::ChangeSeries {
                count: 120,
                gap_ms: 80,
            },
        )
        .with(5_000, ControlDegradation::Partition { for_ms: 4_000 })
        .with(17_000, ControlDegradation::Partition { for_ms: 2_000 });
    simulate(
        long_traffic(seed, control_machines, 1),
        schedule.with_overlaps(),
    );
}

// 2. Two operators and repeated requests.

#[rstest]
fn delayed_change_copies_get_one_final_response(
    #[values(320, 321, 322, 323, 324, 325)] seed: u64,
    #[values(300, 5_000)] max_delay_ms: Millis,
) {
    let mut schedule = no_faults()
        .with(
            3_000,
            OperatorAction::DelayRequestCopies {
                max_delay_ms,
                for_ms: 12_000,
            },
        )
        .with(3_500, OperatorAction::LoseResponses { for_ms: 4_000 })
        .with(
            6_200,
            ControlOutage::Kill {
                target: ControlTarget::Primary,
                down_ms: 800,
            },
        );
    for number in 0..12 {
        schedule = schedule
            .with(3_200 + 500 * number, OperatorAction::ChangeChain)
            .with(3_400 + 500 * number, OperatorAction::Race);
    }
    simulate(small(seed), schedule);
}

// 3. Second loss after a repair.

#[rstest]
fn disk_lost_after_acknowledgement_loses_nothing(
    #[values(330, 331, 332, 333)] seed: u64,
    #[values((3, 1), (5, 1), (5, 2))] shape: (usize, usize),
) {
    let wipe = ControlOutage::PowerLossEverywhere {
        down_ms: 700,
        wipe: Some(ControlTarget::Primary),
    };
    let schedule = no_faults()
        .with(4_500, Fault::from(wipe).after_acknowledgement())
        .with(13_000, Fault::from(wipe).after_acknowledgement());
    simulate(
        long_traffic(seed, shape.0, shape.1),
        schedule.with_overlaps(),
    );
}

// 4. Hundreds of changes.

#[rstest]
fn member_catches_up_with_hundreds_of_changes(#[values((3, 1), (5, 1))] shape: (usize, usize)) {
    let schedule = no_faults()
        .with(
            3_000,
            OperatorAction::ChangeSeries {
                count: 400,
                gap_ms: 33,
            },
        )
        .with(
            3_500,
            ControlOutage::PowerLoss {
                target: ControlTarget::Index(1),
                down_ms: 10_000,
            },
        )
        .with(
            18_000,
            ControlOutage::Kill {
                target: ControlTarget::Primary,
                down_ms: 3_000,
            },
        );
    simulate(long_traffic(340, shape.0, shape.1), schedule);
}
