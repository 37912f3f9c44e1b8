//! What a fleet costs by its size, in virtual time: bytes a second for each member, quiet and at work, by members and
//! tenants; and the time from the healing of a partition until all have the same totals, in gossip intervals.
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

const GOSSIP: u64 = 100 * MS;

/// So many answers of so many tenants at each member in a second.
fn work(simulation: &mut Simulation, seconds: u64, tenants: u64, answers: u64) {
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

fn rate(simulation: &mut Simulation, what: impl FnOnce(&mut Simulation), seconds: u64) -> u64 {
    let before = simulation.sent_bytes;
    what(simulation);
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
        "members  tenants  bytes/s quiet  bytes/s at work  to one tally: p50 p99 gossip periods  real s"
    );
    for &n in &sizes {
        for tenants in [4, 64] {
            let begun = Instant::now();
            let mut simulation = Simulation::new(n, 0, 3);
            simulation.run(3 * SECOND, &[], 0.0);
            let quiet = rate(&mut simulation, |w| w.run(3 * SECOND, &[], 0.0), 3);
            let at_work = rate(&mut simulation, |w| work(w, 3, tenants, 20), 3);
            let mut took: Vec<u64> = Vec::new();
            for round in 0..if n > 50 { 3 } else { 20 } {
                let half: Vec<usize> = (0..n).filter(|i| (i + round) % 2 == 0).collect();
                simulation.partition(&half);
                work(&mut simulation, 1, tenants, 20);
                simulation.slow_links.clear();
                took.push(simulation.run_until_converged() / GOSSIP);
            }
            took.sort_unstable();
            let at = |p: usize| took[(took.len() - 1) * p / 100];
            println!(
                "{n:>7}  {tenants:>7}  {quiet:>13}  {at_work:>15}  {:>17} {:>3}  {:>21.1}",
                at(50),
                at(99),
                begun.elapsed().as_secs_f64()
            );
        }
    }
}
