//! Scenarios drawn from seeds: a seed determines the fleet, the traffic and the faults.

use crate::checker::{JobCounts, Violation};
use crate::faults::{
    draw_schedule, draw_schedule_with_agent_faults, draw_schedule_with_control_faults,
    FaultSchedule, ScheduleScope,
};
use crate::fleet::settings::FleetSettings;
use crate::fleet::traffic_digest::TrafficDigest;
use crate::fleet::Fleet;
use std::fmt;
use streamusher_protocol::Millis;

/// Time of the earliest fault after the start.
const FIRST_FAULT_AT_MS: Millis = 2_500;
/// Extension of the traffic in scenarios with severe control plane faults, so that a network partition of 20
/// s fits in.
const ADDED_TRAFFIC_MS: Millis = 12_000;

/// Kind of the scenarios to draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScenarioKind {
    /// Faults of all kinds, within the tolerance of the deployment.
    Ordinary,
    /// Also severe faults of the control plane, which may overlap beyond the tolerance but lose no further
    /// disks.
    Control,
    /// Also series of faults of agents. A worker whose heartbeat was refused waits for a whole heartbeat
    /// interval, so that its agent restarts and calls the primary before the worker does.
    Agents,
}

/// Result of a simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Seed that reproduces the simulation.
    pub seed: u64,
    /// Faults that were injected.
    pub schedule: FaultSchedule,
    /// Violations of rules.
    pub violations: Vec<Violation>,
    /// Number of runs that were started.
    pub starts: u64,
    /// Numbers of accepted and of ended jobs.
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

/// Draws the fleet and the faults of a seed.
fn draw(seed: u64, kind: ScenarioKind) -> (FleetSettings, FaultSchedule) {
    let mut settings = FleetSettings::drawn(seed);
    if kind == ScenarioKind::Control {
        settings.traffic_ends_at += ADDED_TRAFFIC_MS;
    }
    if kind == ScenarioKind::Agents {
        settings.limits.refused_retry_ms = settings.limits.heartbeat_ms;
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
        ScenarioKind::Agents => draw_schedule_with_agent_faults(seed, scope),
    };
    (settings, schedule)
}

/// Simulates the scenario of a seed; prints its events if `verbose` is set.
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

/// Simulates the scenario of a seed and returns a digest of all messages sent and data stored.
pub fn digest(seed: u64, kind: ScenarioKind) -> TrafficDigest {
    let (settings, schedule) = draw(seed, kind);
    let mut fleet = Fleet::new(settings, schedule);
    fleet.keep_traffic_digest();
    fleet.simulate();
    fleet.traffic_digest().cloned().unwrap_or_default()
}
