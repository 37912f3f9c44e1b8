//! Without faults all jobs are served, and the same seed gives the same outcome.

mod common;

use common::{no_faults, simulate, small};
use streamusher_emulator::scenario::{self, ScenarioKind};

/// The queues of the first configuration, which stay without faults. Clients now and then name another one.
const QUEUES: [&str; 5] = ["/quick/", "/log/", "/gang/", "/lasting/", "/image/"];

#[test]
fn all_jobs_end_without_faults() {
    let fleet = simulate(small(1), no_faults());
    assert_eq!(fleet.checker().violations().to_vec(), Vec::new());
    let submitted = fleet.submitted_jobs().jobs().count();
    let to_known_queues = fleet
        .submitted_jobs()
        .jobs()
        .filter(|(_, job)| QUEUES.contains(&&*job.prefix))
        .count();
    assert_eq!(submitted, fleet.settings().job_count);
    assert_eq!(
        fleet.checker().job_counts().accepted,
        to_known_queues,
        "all but those to queues that never were"
    );
    assert_eq!(fleet.checker().open_jobs(), Vec::new());
}

#[test]
fn same_seed_gives_same_outcome() {
    assert_eq!(
        scenario::simulate(3, ScenarioKind::Ordinary, false),
        scenario::simulate(3, ScenarioKind::Ordinary, false)
    );
}
