//! Days drawn from seeds: the same seed gives the same day.

use crate::checker::Violation;
use crate::faults::{Schedule, Sizes};
use crate::fleet::setup::Setup;
use crate::fleet::traffic::TrafficDigest;
use crate::fleet::Fleet;
use std::fmt;

/// How a day went.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The seed that gives it again.
    pub seed: u64,
    /// Its troubles.
    pub schedule: Schedule,
    /// The rules broken.
    pub violations: Vec<Violation>,
    /// Runs started.
    pub starts: u64,
    /// Jobs accepted.
    pub accepted: usize,
    /// Jobs accepted and shown in a final state.
    pub ended: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} starts, {} of {} jobs ended",
            self.seed, self.starts, self.ended, self.accepted
        )?;
        write!(f, "{}", self.schedule)?;
        for violation in &self.violations {
            writeln!(f, "{violation}")?;
        }
        Ok(())
    }
}

/// Troubles begin so long after the start.
const TROUBLES_FROM_MS: u64 = 2_500;

/// So much later does the traffic of a day of the control side end: time for a cut of twenty seconds.
const LONGER_MS: u64 = 12_000;

/// Which days are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Days {
    /// Troubles of all kinds, within the tolerance.
    Ordinary,
    /// Troubles of the control side among them, which may overlap beyond the tolerance without more lost disks.
    Control,
}

/// The fleet and the troubles of a seed.
pub fn draw(seed: u64, days: Days) -> (Setup, Schedule) {
    let mut setup = Setup::drawn(seed);
    if days == Days::Control {
        setup.traffic_until += LONGER_MS;
    }
    let sizes = Sizes {
        cores: setup.cores,
        gates: setup.gates,
        workers: setup.worker_count,
        from: TROUBLES_FROM_MS,
        until: setup.traffic_until,
        catch_up_ms: setup.bounds.catch_up_ms,
    };
    match days {
        Days::Ordinary => (setup, Schedule::draw(seed, sizes)),
        Days::Control => (setup, Schedule::draw_control(seed, sizes)),
    }
}

/// Plays the day of a seed.
pub fn play(seed: u64, days: Days, verbose: bool) -> Outcome {
    let (setup, schedule) = draw(seed, days);
    let mut fleet = Fleet::new(setup, schedule.clone());
    fleet.verbose = verbose;
    let violations = fleet.run().to_vec();
    let (accepted, ended) = fleet.checker.job_counts();
    Outcome {
        seed,
        schedule,
        violations,
        starts: fleet.checker.starts,
        accepted,
        ended,
    }
}

/// Plays the day of a seed; answers with a digest of all that was sent and stored in it.
pub fn digest(seed: u64, days: Days) -> TrafficDigest {
    let (setup, schedule) = draw(seed, days);
    let mut fleet = Fleet::new(setup, schedule);
    fleet.traffic = Some(TrafficDigest::default());
    fleet.run();
    fleet.traffic.unwrap_or_default()
}
