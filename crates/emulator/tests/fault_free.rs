//! Without faults all jobs are served, and the same seed gives the same outcome.

mod common;

use common::{no_faults, simulate, small};
use streamusher_emulator::scenario::{self, ScenarioKind};

/// Queues of the initial configuration, which remain in place without faults. Clients occasionally submit to
/// other queues.
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
        "every job ends except those submitted to queues that never existed"
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
