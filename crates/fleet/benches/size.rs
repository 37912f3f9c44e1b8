//! The cost of a fleet by its size, in virtual time: bytes per second and member, idle and under load, by
//! members and tenants; and the time from the end of a partition until all members have the same totals, in
//! gossip intervals.
//!
//!     cargo bench -p streamusher-fleet --bench size -- 3 12 100 300
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "the simulation is shared with the tests, which fail by panicking"
)]

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use simulation::{Simulation, MS, SECOND};
use std::sync::Arc;
use std::time::Instant;
use streamusher_fleet::usage::{UsageKey, UsageMetric, UsageValues};

const GOSSIP_INTERVAL: u64 = 100 * MS;

/// Counts `answers` answers of `tenants` tenants at each member in each second.
fn count_usage(simulation: &mut Simulation, seconds: u64, tenants: u64, answers: u64) {
    for second in 0..seconds {
        for slice in 0..10 {
            for i in 0..simulation.members.len() {
                for n in 0..answers / 10 {
                    let tenant = (second * 31 + slice * 7 + n + i as u64) % tenants;
                    let key = UsageKey {
                        period: 1,
                        tenant: Arc::from(format!("tenant-{tenant}")),
                    };
                    simulation.members[i]
                        .node
                        .increment(key, &UsageValues::single(UsageMetric::Served, 1));
                }
            }
            simulation.run(100 * MS, &[], 0.0);
        }
    }
}

fn rate(simulation: &mut Simulation, action: impl FnOnce(&mut Simulation), seconds: u64) -> u64 {
    let before = simulation.sent_bytes;
    action(simulation);
    (simulation.sent_bytes - before) / simulation.members.len() as u64 / seconds
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![3, 12, 100]
    } else {
        sizes
    };
    println!(
        "members  tenants   bytes/s idle   bytes/s loaded     converged: p50 p99 intervals       real s"
    );
    for &n in &sizes {
        for tenants in [4, 64] {
            let started_at = Instant::now();
            let mut simulation = Simulation::new(n, 0, 3);
            simulation.run(3 * SECOND, &[], 0.0);
            let idle_rate = rate(&mut simulation, |w| w.run(3 * SECOND, &[], 0.0), 3);
            let loaded_rate = rate(&mut simulation, |w| count_usage(w, 3, tenants, 20), 3);
            let mut convergence_intervals: Vec<u64> = Vec::new();
            for round in 0..if n > 50 { 3 } else { 20 } {
                let half: Vec<usize> = (0..n).filter(|i| (i + round) % 2 == 0).collect();
                simulation.partition(&half);
                count_usage(&mut simulation, 1, tenants, 20);
                simulation.slow_links.clear();
                convergence_intervals.push(simulation.run_until_converged() / GOSSIP_INTERVAL);
            }
            convergence_intervals.sort_unstable();
            let percentile =
                |p: usize| convergence_intervals[(convergence_intervals.len() - 1) * p / 100];
            println!(
                "{n:>7}  {tenants:>7}  {idle_rate:>13}  {loaded_rate:>15}  {:>17} {:>3}  {:>21.1}",
                percentile(50),
                percentile(99),
                started_at.elapsed().as_secs_f64()
            );
        }
    }
}
