//! Fleets and simulations shared by several tests.

use streamusher_emulator::faults::FaultSchedule;
use streamusher_emulator::fleet::settings::FleetSettings;
use streamusher_emulator::fleet::Fleet;

/// Settings of a small fleet.
pub(crate) fn small(seed: u64) -> FleetSettings {
    FleetSettings::small(seed)
}

/// A schedule without faults.
pub(crate) fn no_faults() -> FaultSchedule {
    FaultSchedule::default()
}

/// Simulates a fleet with these faults and fails if a rule is violated. `EMULATOR_VERBOSE` prints the events.
pub(crate) fn simulate(settings: FleetSettings, schedule: FaultSchedule) -> Fleet {
    let mut fleet = Fleet::new(settings, schedule);
    if std::env::var_os("EMULATOR_VERBOSE").is_some() {
        fleet.print_events();
    }
    let violations: Vec<String> = fleet.simulate().iter().map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "seed {}: {violations:#?}",
        settings.seed
    );
    fleet
}
