//! Several nodes start units by versions that a lossy relay sends them; an oracle that sees all usage replays the starts.
#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use support::simulation::Simulation;

/// `SHARE_DEBT_SEEDS` names another number of days, and `SHARE_DEBT_FIRST` the first of them.
fn number(variable: &str, usual: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(usual)
}

#[test]
fn no_inversion_exceeds_the_bound_with_a_lossy_relay_and_failovers() {
    let first = number("SHARE_DEBT_FIRST", 0);
    let (mut starts, mut stale, mut failovers, mut inverted) = (0, 0, 0, 0);
    for seed in first..first + number("SHARE_DEBT_SEEDS", 2_000) {
        let mut day = Simulation::new(seed);
        day.run();
        starts += day.starts;
        stale += day.stale_starts;
        failovers += day.failovers;
        inverted += day.inversions_within_bound;
    }
    println!("{starts} starts, {stale} of them by stale versions, {failovers} failovers, {inverted} inversions in bound");
    assert!(
        starts > 0 && stale > 0 && failovers > 0 && inverted > 0,
        "the days had none of something"
    );
}
