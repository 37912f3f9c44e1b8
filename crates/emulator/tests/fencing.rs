//! Rule DUTY: a process whose fencing token was refused because another process has used a higher one must
//! not continue to use it. `docs/design/control-state.md` has the table of callers and tokens.

mod common;

use common::{no_faults, simulate, small};
use rstest::rstest;
use streamusher_emulator::faults::{ControlDegradation, ControlOutage, ControlTarget};
use streamusher_emulator::fleet::settings::FleetSettings;

fn fleet(seed: u64, (control_machines, tolerance): (usize, usize)) -> FleetSettings {
    FleetSettings {
        control_machines,
        tolerance,
        ..small(seed)
    }
}

#[rstest]
fn primary_that_wakes_after_its_successor_stops_using_its_epoch(
    #[values(701, 702, 703)] seed: u64,
    #[values((3, 1), (5, 1), (7, 2))] shape: (usize, usize),
) {
    let target = ControlTarget::Primary;
    let schedule = no_faults()
        .with(
            5_000,
            ControlDegradation::Freeze {
                target,
                for_ms: 3_000,
            },
        )
        .with(
            11_000,
            ControlDegradation::Isolate {
                target,
                one_way: false,
                for_ms: 2_500,
            },
        );
    simulate(fleet(seed, shape), schedule);
}

#[rstest]
fn rejected_candidates_go_on_with_higher_numbers_only(
    #[values(711, 712, 713, 714)] seed: u64,
    #[values((5, 1), (7, 2))] shape: (usize, usize),
) {
    let mut schedule = no_faults();
    for number in 0..3 {
        schedule = schedule
            .with(
                4_000 + 4_000 * number,
                ControlOutage::KillAll { down_ms: 300 },
            )
            .with(
                4_000 + 4_000 * number,
                ControlDegradation::DropMessages {
                    share: 0.3,
                    for_ms: 1_500,
                },
            );
    }
    simulate(fleet(seed, shape), schedule.with_overlaps());
}

#[rstest]
fn gates_and_agents_leave_a_former_primary(
    #[values(721, 722, 723)] seed: u64,
    #[values((3, 1), (5, 1), (7, 2))] shape: (usize, usize),
) {
    let schedule = no_faults().with(
        5_000,
        ControlDegradation::Isolate {
            target: ControlTarget::Primary,
            one_way: false,
            for_ms: 2_000,
        },
    );
    simulate(fleet(seed, shape), schedule);
}
