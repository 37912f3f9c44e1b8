//! Days for stories.
#![allow(dead_code)]

use streamusher_emulator::faults::Schedule;
use streamusher_emulator::fleet::setup::Setup;
use streamusher_emulator::fleet::Fleet;

/// A day without troubles.
pub fn quiet() -> Schedule {
    Schedule::default()
}

/// A small fleet.
pub fn small(seed: u64) -> Setup {
    Setup::small(seed)
}

/// The same with so many jobs.
pub fn with_jobs(setup: Setup, jobs: usize) -> Setup {
    Setup { jobs, ..setup }
}

/// Plays a day; fails with the rules broken. `EMULATOR_VERBOSE` prints what happens.
pub fn play(mut fleet: Fleet) -> Fleet {
    fleet.verbose = std::env::var_os("EMULATOR_VERBOSE").is_some();
    let broken: Vec<String> = fleet.run().iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "seed {}: {broken:#?}", fleet.setup.seed);
    fleet
}

/// Plays a day with these troubles.
pub fn played_with(setup: Setup, schedule: Schedule) -> Fleet {
    play(Fleet::new(setup, schedule))
}
