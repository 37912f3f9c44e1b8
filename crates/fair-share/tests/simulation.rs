//! Simulates several nodes that start units by versions received through a lossy relay. An oracle that sees
//! all usage replays the starts.
#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use support::simulation::Simulation;

/// Reads a number from an environment variable. `SHARE_DEBT_SEEDS` sets the number of simulations, and
/// `SHARE_DEBT_FIRST` the first seed.
fn number_from_environment(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn no_inversion_exceeds_the_bound_with_a_lossy_relay_and_failovers() {
    let first = number_from_environment("SHARE_DEBT_FIRST", 0);
    let (mut starts, mut stale, mut failovers, mut inverted) = (0, 0, 0, 0);
    for seed in first..first + number_from_environment("SHARE_DEBT_SEEDS", 2_000) {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        starts += simulation.starts;
        stale += simulation.stale_starts;
        failovers += simulation.failovers;
        inverted += simulation.inversions_within_bound;
    }
    println!("{starts} starts, {stale} of them by stale versions, {failovers} failovers, {inverted} inversions within the bound");
    assert!(
        starts > 0 && stale > 0 && failovers > 0 && inverted > 0,
        "the simulations did not cover starts, stale versions, failovers and inversions"
    );
}
