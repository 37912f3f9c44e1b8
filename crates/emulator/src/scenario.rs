//! Scenarios drawn from seeds: the same seed gives the same fleet, traffic and faults.

use crate::checker::{JobCounts, Violation};
use crate::faults::{
    draw_schedule, draw_schedule_with_control_faults, FaultSchedule, ScheduleScope,
};
use crate::fleet::settings::FleetSettings;
use crate::fleet::traffic_digest::TrafficDigest;
use crate::fleet::Fleet;
use std::fmt;
use streamusher_protocol::Millis;

/// Faults begin so long after the start.
const FIRST_FAULT_AT_MS: Millis = 2_500;
/// So much longer does the traffic last with severe faults of the control plane: time for a cut of twenty seconds.
const ADDED_TRAFFIC_MS: Millis = 12_000;

/// Which scenarios are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScenarioKind {
    /// Faults of all kinds, within the tolerance.
    Ordinary,
    /// Severe faults of the control plane among them, which may overlap beyond the tolerance without more lost disks.
    Control,
}

/// How a simulation went.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The seed that gives it again.
    pub seed: u64,
    /// Its faults.
    pub schedule: FaultSchedule,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// Runs that were started.
    pub starts: u64,
    /// Jobs that were accepted, and that ended.
    pub jobs: JobCounts,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} starts, {} of {} jobs ended",
            self.seed, self.starts, self.jobs.ended, self.jobs.accepted
        )?;
        write!(f, "{}", self.schedule)?;
        for violation in &self.violations {
            writeln!(f, "{violation}")?;
        }
        Ok(())
    }
}

/// The fleet and the faults of a seed.
fn draw(seed: u64, kind: ScenarioKind) -> (FleetSettings, FaultSchedule) {
    let mut settings = FleetSettings::drawn(seed);
    if kind == ScenarioKind::Control {
        settings.traffic_ends_at += ADDED_TRAFFIC_MS;
    }
    let scope = ScheduleScope {
        control_machines: settings.control_machines,
        gates: settings.gates,
        workers: settings.worker_count,
        starts_at: FIRST_FAULT_AT_MS,
        ends_at: settings.traffic_ends_at,
        catch_up_ms: settings.limits.catch_up_ms,
    };
    let schedule = match kind {
        ScenarioKind::Ordinary => draw_schedule(seed, scope),
        ScenarioKind::Control => draw_schedule_with_control_faults(seed, scope),
    };
    (settings, schedule)
}

/// Simulates the scenario of a seed, and prints what happens if `verbose` is set.
pub fn simulate(seed: u64, kind: ScenarioKind, verbose: bool) -> Outcome {
    let (settings, schedule) = draw(seed, kind);
    let mut fleet = Fleet::new(settings, schedule.clone());
    if verbose {
        fleet.print_events();
    }
    let violations = fleet.simulate().to_vec();
    Outcome {
        seed,
        schedule,
        violations,
        starts: fleet.checker().starts(),
        jobs: fleet.checker().job_counts(),
    }
}

/// Simulates the scenario of a seed. Returns a digest of all that was sent and stored.
pub fn digest(seed: u64, kind: ScenarioKind) -> TrafficDigest {
    let (settings, schedule) = draw(seed, kind);
    let mut fleet = Fleet::new(settings, schedule);
    fleet.keep_traffic_digest();
    fleet.simulate();
    fleet.traffic_digest().cloned().unwrap_or_default()
}
