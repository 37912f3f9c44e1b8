//! Simultaneous failure of many processes, by kills or a power loss: nothing acknowledged is lost, and work
//! continues.

mod common;

use common::{no_faults, simulate, small};
use rstest::rstest;
use streamusher_emulator::faults::{DataPlaneFault, ManyTargets, Portion};
use streamusher_emulator::fleet::settings::FleetSettings;
use streamusher_protocol::Millis;

/// Fleet with enough gates and agents to take down half of them.
fn fleet(seed: u64, (control_machines, tolerance): (usize, usize)) -> FleetSettings {
    FleetSettings {
        control_machines,
        tolerance,
        gates: 4,
        worker_count: 8,
        traffic_ends_at: 24_000,
        job_count: 40,
        ..small(seed)
    }
}

#[rstest]
fn nothing_is_lost_when_many_processes_fail_at_once(
    #[values(801, 802)] seed: u64,
    #[values((3, 1), (5, 2))] shape: (usize, usize),
    #[values(Portion::None, Portion::Half, Portion::All)] gates: Portion,
    #[values(Portion::None, Portion::Half, Portion::All)] agents: Portion,
    #[values(Portion::None, Portion::One, Portion::All)] control_machines: Portion,
    #[values(false, true)] power_loss: bool,
) {
    let targets = ManyTargets {
        gates,
        agents,
        control_machines,
    };
    let take_down = |down_ms: Millis| DataPlaneFault::TakeManyDown {
        targets,
        power_loss,
        down_ms,
    };
    let schedule = no_faults()
        .with(5_000, take_down(400))
        .with(13_000, take_down(1_500));
    simulate(fleet(seed, shape), schedule.with_overlaps());
}
