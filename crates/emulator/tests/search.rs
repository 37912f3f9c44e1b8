//! Simulates scenarios drawn from seeds and checks that no rule is violated. `EMULATOR_SEEDS=n` sets their
//! number, `EMULATOR_FROM=n` sets the first seed, and `EMULATOR_SEED=n` simulates a single scenario and
//! prints its events.

use rstest::rstest;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use streamusher_emulator::scenario::{self, Outcome, ScenarioKind};

/// Number of scenarios simulated by default.
const DEFAULT_COUNT: u64 = 200;
/// Number of simulations run in parallel.
const THREADS: usize = 3;
/// Maximum number of failing scenarios to print.
const MAX_PRINTED: usize = 10;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn simulate_all(kind: ScenarioKind, from: u64, count: u64) -> Vec<Outcome> {
    let next = AtomicU64::new(from);
    let outcomes = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    break;
                }
                let outcome = scenario::simulate(seed, kind, false);
                if let Ok(mut outcomes) = outcomes.lock() {
                    outcomes.push(outcome);
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().unwrap_or_default();
    outcomes.sort_by_key(|outcome| outcome.seed);
    outcomes
}

/// Seeds whose scenarios once violated a rule; `docs/incidents/` explains the causes. Changes of the emulator
/// may change what a seed draws, so `faults.rs` has a separate test for each cause.
#[rstest]
#[case::worker_and_agent_lost_together(1992)]
#[case::call_of_a_dead_start(3669)]
#[case::deregistration_with_runs_at_work(21092)]
#[case::deregistration_with_runs_at_work_again(23831)]
fn formerly_failing_seed_breaks_no_rule(#[case] seed: u64) {
    let outcome = scenario::simulate(seed, ScenarioKind::Ordinary, false);

    assert!(outcome.violations.is_empty(), "{outcome}");
}

/// Seeds in which a control machine goes on using an epoch after it has learned of a newer one.
#[test]
fn seeds_with_a_refused_epoch_in_use_break_no_rule() {
    let seeds = [
        (ScenarioKind::Ordinary, 2288),
        (ScenarioKind::Control, 1682),
        (ScenarioKind::Control, 2376),
        (ScenarioKind::Control, 2824),
        (ScenarioKind::Control, 3030),
        (ScenarioKind::Control, 3684),
        (ScenarioKind::Agents, 3793),
    ];
    let failed: Vec<Outcome> = seeds
        .into_iter()
        .map(|(kind, seed)| scenario::simulate(seed, kind, false))
        .filter(|outcome| !outcome.violations.is_empty())
        .collect();

    for outcome in &failed {
        println!("{outcome}");
    }
    assert!(failed.is_empty(), "{} scenarios failed", failed.len());
}

#[test]
fn ordinary_scenarios_break_no_rule() {
    simulate_and_check(ScenarioKind::Ordinary);
}

#[test]
fn control_scenarios_break_no_rule() {
    simulate_and_check(ScenarioKind::Control);
}

#[test]
fn agent_scenarios_break_no_rule() {
    simulate_and_check(ScenarioKind::Agents);
}

fn simulate_and_check(kind: ScenarioKind) {
    if let Some(seed) = number("EMULATOR_SEED") {
        let outcome = scenario::simulate(seed, kind, true);
        println!("{outcome}");
        assert!(outcome.violations.is_empty(), "{outcome}");
        return;
    }
    let (from, count) = (
        number("EMULATOR_FROM").unwrap_or(0),
        number("EMULATOR_SEEDS").unwrap_or(DEFAULT_COUNT),
    );
    let outcomes = simulate_all(kind, from, count);
    let failed: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| !outcome.violations.is_empty())
        .collect();
    for outcome in failed.iter().take(MAX_PRINTED) {
        println!("{outcome}");
    }
    let starts: u64 = outcomes.iter().map(|outcome| outcome.starts).sum();
    let accepted: usize = outcomes.iter().map(|outcome| outcome.jobs.accepted).sum();
    let ended: usize = outcomes.iter().map(|outcome| outcome.jobs.ended).sum();
    println!(
        "{count} scenarios: {starts} starts, {ended} of {accepted} jobs ended, {} scenarios failed",
        failed.len()
    );
    let seeds: Vec<u64> = failed.iter().map(|outcome| outcome.seed).collect();
    assert!(
        failed.is_empty(),
        "rules were violated in the scenarios of seeds {seeds:?}"
    );
}
