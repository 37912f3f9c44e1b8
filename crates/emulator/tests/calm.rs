//! A calm day is served whole, and the same seed gives the same day.

use streamusher_emulator::faults::Schedule;
use streamusher_emulator::fleet::setup::Setup;
use streamusher_emulator::fleet::Fleet;
use streamusher_emulator::search::{self, Days};

/// The queues of the first configuration, which a calm day keeps. Clients now and then name another one.
const QUEUES: [&str; 5] = ["/quick/", "/log/", "/gang/", "/lasting/", "/image/"];

#[test]
fn given_a_calm_day_when_it_is_played_then_every_job_ends_and_no_rule_is_broken() {
    let mut fleet = Fleet::new(Setup::small(1), Schedule::default());
    fleet.verbose = std::env::var_os("EMULATOR_VERBOSE").is_some();
    let violations = fleet.run().to_vec();
    assert_eq!(violations, Vec::new());
    let handed_in = fleet.catalog.jobs().count();
    let to_known_queues = fleet
        .catalog
        .jobs()
        .filter(|(_, job)| QUEUES.contains(&&*job.prefix))
        .count();
    assert_eq!(handed_in, fleet.setup.jobs);
    assert_eq!(
        fleet.checker.job_counts().0,
        to_known_queues,
        "all but those to queues that never were"
    );
    assert_eq!(fleet.checker.open_jobs(), Vec::new());
}

#[test]
fn given_a_seed_when_its_day_is_played_twice_then_both_days_are_the_same() {
    assert_eq!(
        search::play(3, Days::Ordinary, false),
        search::play(3, Days::Ordinary, false)
    );
}
