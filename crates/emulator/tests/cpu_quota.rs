//! Fleets under a CPU quota, which suspends all processes for the rest of each period of 100 ms.

mod common;

use common::{no_faults, simulate, small};
use rstest::rstest;
use streamusher_emulator::cpu_quota::CpuQuota;
use streamusher_emulator::faults::{ControlDegradation, ControlOutage, ControlTarget};
use streamusher_emulator::fleet::settings::FleetSettings;
use streamusher_protocol::Millis;

fn fleet(seed: u64, slice_ms: Millis, control_machines: usize, tolerance: usize) -> FleetSettings {
    FleetSettings {
        control_machines,
        tolerance,
        cpu_quota: Some(CpuQuota { slice_ms }),
        ..small(seed)
    }
}

/// A process that is suspended for less than 100 ms is healthy and must not be replaced.
#[rstest]
fn suspension_within_a_period_changes_no_member(
    #[values(901, 902, 903)] seed: u64,
    #[values(50, 25, 12, 7)] slice_ms: Millis,
    #[values((3, 1), (5, 1), (7, 2))] shape: (usize, usize),
) {
    let without_quota = FleetSettings {
        cpu_quota: None,
        ..fleet(seed, slice_ms, shape.0, shape.1)
    };
    let epoch_without_quota = simulate(without_quota, no_faults()).newest_epoch();
    let fleet = simulate(fleet(seed, slice_ms, shape.0, shape.1), no_faults());
    println!(
        "EPOCH {slice_ms} {} {epoch_without_quota}",
        fleet.newest_epoch()
    );
    assert!(
        fleet.newest_epoch() <= epoch_without_quota + 2,
        "{} epochs, {epoch_without_quota} without a quota",
        fleet.newest_epoch()
    );
}

#[rstest]
fn failover_under_a_quota_violates_no_rule(
    #[values(911, 912, 913)] seed: u64,
    #[values(50, 25, 12)] slice_ms: Millis,
    #[values((3, 1), (5, 1))] shape: (usize, usize),
) {
    let target = ControlTarget::Primary;
    let schedule = no_faults()
        .with(
            5_000,
            ControlOutage::Kill {
                target,
                down_ms: 800,
            },
        )
        .with(
            11_000,
            ControlDegradation::Freeze {
                target,
                for_ms: 2_000,
            },
        );
    simulate(fleet(seed, slice_ms, shape.0, shape.1), schedule);
}
