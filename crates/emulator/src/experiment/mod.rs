//! Experiments that run several policies on the same workloads and faults. They report the value that each
//! policy earns, and paired differences with standard errors.
//!
//! - `fault_profile`: fault profiles, by their names in the option `--days`.
//! - `estimate`: means with standard errors.

mod estimate;
mod fault_profile;

pub use estimate::Estimate;
pub use fault_profile::{FaultProfile, UnknownFaultProfile};

use crate::checker::Violation;
use crate::fleet::settings::FleetSettings;
use crate::fleet::Fleet;
use crate::limits::DeploymentLimits;
use crate::value::EarnedValue;
use crate::workload::Workload;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use streamusher_protocol::Millis;
use streamusher_scheduler::Policy;

/// Start of the traffic, when the fleet has come up.
const TRAFFIC_STARTS_AT_MS: Millis = 3_000;
/// Duration of the traffic, as in the benchmark runs of the deployments.
const TRAFFIC_MS: Millis = 34_000;
const GATES: usize = 3;

/// Result of one simulation under one policy.
#[derive(Clone, Debug)]
pub struct PolicyOutcome {
    /// Seed of the faults and the traffic.
    pub seed: u64,
    /// Value that the jobs earned.
    pub earned: EarnedValue,
    /// Violations of rules.
    pub violations: Vec<Violation>,
    /// Number of runs that were started.
    pub starts: u64,
}

/// Simulates a workload under a policy, with the faults and the traffic of a seed.
pub fn simulate(
    workload: &Arc<Workload>,
    profile: FaultProfile,
    policy: Policy,
    seed: u64,
) -> PolicyOutcome {
    let settings = FleetSettings {
        policy,
        gates: GATES,
        traffic_starts_at: TRAFFIC_STARTS_AT_MS,
        traffic_ends_at: TRAFFIC_STARTS_AT_MS + TRAFFIC_MS,
        limits: DeploymentLimits::default(),
        ..FleetSettings::small(seed)
    };
    let schedule = profile.draw_schedule(seed, workload.worker_count());
    let mut fleet = Fleet::with_workload(settings, schedule, workload.clone());
    let violations = fleet.simulate().to_vec();
    PolicyOutcome {
        seed,
        earned: fleet.earned_value(),
        violations,
        starts: fleet.checker().starts(),
    }
}

/// Simulates all seeds under all policies. Returns one list per policy, in the order of the seeds.
pub fn simulate_all(
    workload: &Arc<Workload>,
    profile: FaultProfile,
    policies: &[Policy],
    seeds: Range<u64>,
    threads: usize,
) -> Vec<Vec<PolicyOutcome>> {
    let total = seeds.clone().count() * policies.len();
    let next = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    let work = || loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= total {
            break;
        }
        let policy = number % policies.len();
        let seed = seeds.start + (number / policies.len()) as u64;
        let outcome = simulate(workload, profile, policies[policy], seed);
        if let Ok(mut finished) = finished.lock() {
            finished.push((policy, outcome));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    let mut by_policy = vec![Vec::new(); policies.len()];
    for (policy, outcome) in finished.into_inner().unwrap_or_default() {
        by_policy[policy].push(outcome);
    }
    for outcomes in &mut by_policy {
        outcomes.sort_by_key(|outcome: &PolicyOutcome| outcome.seed);
    }
    by_policy
}
