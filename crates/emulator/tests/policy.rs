//! Value that policies earn in a few simulations: the default policy must not be worse than first fit,
//! whatever the priorities.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use rstest::rstest;
use std::sync::Arc;
use streamusher_emulator::experiment::{self, simulate_all, Estimate, FaultProfile, PolicyOutcome};
use streamusher_emulator::workload::{presets, Workload};
use streamusher_scheduler::{Mechanism, Policy};

/// Seeds of the simulations of each workload.
const SEEDS: std::ops::Range<u64> = 1..5;
const THREADS: usize = 3;
/// Tolerance for the random error of the mean of a few simulations.
const RANDOM_ERROR: f64 = 0.04;

fn simulated(
    workload: Workload,
    profile: FaultProfile,
    policies: &[Policy],
) -> Vec<Vec<PolicyOutcome>> {
    let outcomes = simulate_all(&Arc::new(workload), profile, policies, SEEDS, THREADS);
    for outcome in outcomes.first().into_iter().flatten() {
        assert!(
            outcome.violations.is_empty(),
            "seed {}: {:?}",
            outcome.seed,
            outcome.violations
        );
    }
    outcomes
}

fn scores(outcomes: &[PolicyOutcome]) -> Vec<f64> {
    outcomes
        .iter()
        .map(|outcome| outcome.earned.score())
        .collect()
}

#[rstest]
fn policy_earns_no_less_than_first_fit(
    #[values(
        "short-first",
        "long-first",
        "level",
        "unlike-workers",
        "far-data",
        "gangs-only"
    )]
    name: &str,
) {
    let workload = presets::named(name).expect("a predefined workload");
    let outcomes = simulated(
        workload,
        FaultProfile::Workers,
        &[Policy::default(), Policy::first_fit()],
    );
    let gain = Estimate::of_pairs(&scores(&outcomes[1]), &scores(&outcomes[0]));
    assert!(
        gain.mean > -RANDOM_ERROR,
        "{name}: {gain} compared with first fit"
    );
}

#[test]
fn urgent_long_jobs_and_low_priority_short_jobs_are_in_time() {
    let without = Policy::default().without(Mechanism::Headroom);
    let outcomes = simulated(
        presets::long_first(),
        FaultProfile::Calm,
        &[Policy::default(), without],
    );
    let mean = |outcomes: &[PolicyOutcome], class: usize| {
        Estimate::of(
            &outcomes
                .iter()
                .map(|outcome| outcome.earned.classes[class].value())
                .collect::<Vec<f64>>(),
        )
        .mean
    };
    let (short, long) = (mean(&outcomes[0], 0), mean(&outcomes[0], 1));
    assert!(
        short > 0.9,
        "short jobs earn {short:.3} ({:.3} without headroom)",
        mean(&outcomes[1], 0)
    );
    assert!(long > 0.75, "long jobs earn {long:.3}");
}

#[test]
#[expect(clippy::float_cmp, reason = "the same simulation gives the same bits")]
fn same_seed_earns_same_value() {
    let workload = Arc::new(presets::short_first());
    let simulate = || experiment::simulate(&workload, FaultProfile::Failover, Policy::default(), 3);
    let (first, second) = (simulate(), simulate());
    assert_eq!(first.earned.score(), second.earned.score());
    assert_eq!(first.starts, second.starts);
}
