//! Fleets and simulations that several tests use.

use streamusher_emulator::faults::FaultSchedule;
use streamusher_emulator::fleet::settings::FleetSettings;
use streamusher_emulator::fleet::Fleet;

/// A small fleet.
pub(crate) fn small(seed: u64) -> FleetSettings {
    FleetSettings::small(seed)
}

/// A schedule without faults.
pub(crate) fn no_faults() -> FaultSchedule {
    FaultSchedule::default()
}

/// Simulates a fleet with these faults; fails with the rules that were broken. `EMULATOR_VERBOSE` prints what happens.
pub(crate) fn simulate(settings: FleetSettings, schedule: FaultSchedule) -> Fleet {
    let mut fleet = Fleet::new(settings, schedule);
    if std::env::var_os("EMULATOR_VERBOSE").is_some() {
        fleet.print_events();
    }
    let broken: Vec<String> = fleet.simulate().iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "seed {}: {broken:#?}", settings.seed);
    fleet
}
