//! Stories of the control side's worst days: docs/design/control-state.md names the point that each belongs to. The
//! configuration is read at any core machine several times a second, and whatever was acknowledged before must be in it.

mod common;

use common::{played_with, quiet, small};
use rstest::rstest;
use streamusher_emulator::faults::{Core, Fault};
use streamusher_emulator::fleet::setup::Setup;
use streamusher_protocol::Millis;

/// Far above every lease, hold and time-out.
const CUT_MS: Millis = 20_000;

/// A small fleet with so many core machines, whose traffic lasts through a cut of twenty seconds.
fn long_day(seed: u64, cores: usize, tolerance: usize) -> Setup {
    Setup {
        cores,
        tolerance,
        traffic_until: 28_000,
        ..small(seed)
    }
}

// 1. A member cut off.

#[rstest]
fn given_a_member_cut_off_for_twenty_seconds_when_operators_and_clients_reach_it_then_it_answers_nothing_old(
    #[values(Core::Primary, Core::At(0), Core::At(1), Core::At(2))] core: Core,
    #[values(false, true)] one_way: bool,
    #[values((3, 1), (5, 1), (5, 2))] shape: (usize, usize),
) {
    let schedule = quiet()
        .with(
            4_000,
            Fault::CutCore {
                core,
                one_way,
                for_ms: CUT_MS,
            },
        )
        .with(
            3_500,
            Fault::ManyChanges {
                count: 300,
                gap_ms: 60,
            },
        );
    played_with(long_day(301, shape.0, shape.1), schedule);
}

#[rstest]
fn given_a_member_cut_off_from_everybody_for_twenty_seconds_when_it_returns_then_it_goes_on_as_one_of_them(
    #[values(Core::Primary, Core::At(1))] core: Core,
    #[values((3, 1), (5, 1), (5, 2))] shape: (usize, usize),
) {
    let schedule = quiet()
        .with(
            4_000,
            Fault::CutCoreWholly {
                core,
                for_ms: CUT_MS,
            },
        )
        .with(
            3_500,
            Fault::ManyChanges {
                count: 300,
                gap_ms: 60,
            },
        );
    played_with(long_day(302, shape.0, shape.1), schedule);
}

#[rstest]
fn given_a_core_cut_into_halves_when_both_are_reached_then_neither_answers_anything_old(
    #[values(3, 4, 5, 6)] cores: usize,
    #[values(310, 311, 312, 314, 318)] seed: u64,
) {
    let schedule = quiet()
        .with(
            4_000,
            Fault::ManyChanges {
                count: 120,
                gap_ms: 80,
            },
        )
        .with(5_000, Fault::CutHalves { for_ms: 4_000 })
        .with(17_000, Fault::CutHalves { for_ms: 2_000 });
    played_with(long_day(seed, cores, 1), schedule.with_overlaps());
}

// 2. Two operators and repeats.

#[rstest]
fn given_orders_that_are_held_up_and_come_late_when_others_follow_then_each_has_one_final_answer(
    #[values(320, 321, 322, 323, 324, 325)] seed: u64,
    #[values(300, 5_000)] most_ms: Millis,
) {
    let mut schedule = quiet()
        .with(
            3_000,
            Fault::HoldUpOrders {
                most_ms,
                for_ms: 12_000,
            },
        )
        .with(3_500, Fault::LoseAnswers { for_ms: 4_000 })
        .with(
            6_200,
            Fault::KillCore {
                core: Core::Primary,
                down_ms: 800,
            },
        );
    for number in 0..12 {
        schedule = schedule
            .with(3_200 + 500 * number, Fault::Chain)
            .with(3_400 + 500 * number, Fault::Race);
    }
    played_with(small(seed), schedule);
}

// 3. A second loss after a repair.

#[rstest]
fn given_a_disk_lost_right_after_an_acknowledgement_when_every_other_machine_loses_power_then_nothing_is_lost(
    #[values(330, 331, 332, 333)] seed: u64,
    #[values((3, 1), (5, 1), (5, 2))] shape: (usize, usize),
) {
    let wipe = Fault::PowerEverything {
        down_ms: 700,
        wipe: Some(Core::Primary),
    };
    let schedule = quiet()
        .with(4_500, Fault::AfterAcknowledgement(Box::new(wipe.clone())))
        .with(13_000, Fault::AfterAcknowledgement(Box::new(wipe)));
    played_with(long_day(seed, shape.0, shape.1), schedule.with_overlaps());
}

// 4. Hundreds of changes.

#[rstest]
fn given_hundreds_of_changes_while_a_member_is_away_when_it_returns_then_the_next_loss_costs_nothing(
    #[values((3, 1), (5, 1))] shape: (usize, usize),
) {
    let schedule = quiet()
        .with(
            3_000,
            Fault::ManyChanges {
                count: 400,
                gap_ms: 33,
            },
        )
        .with(
            3_500,
            Fault::PowerCore {
                core: Core::At(1),
                down_ms: 10_000,
            },
        )
        .with(
            18_000,
            Fault::KillCore {
                core: Core::Primary,
                down_ms: 3_000,
            },
        );
    played_with(long_day(340, shape.0, shape.1), schedule);
}
