//! Compares the decisions of the whole scheduler in fixed scenarios with recorded digests of everything that
//! it sends and stores.
//!
//! A commit that only renames, moves or documents code must keep these digests. A commit that changes a
//! decision or an encoded form on purpose must say so and replace them: `DECISIONS_SHOW=1 cargo test -p
//! streamusher-emulator --test decisions -- --nocapture` prints the new digests.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use streamusher_emulator::experiment::{simulate_all, FaultProfile};
use streamusher_emulator::scenario::{digest, ScenarioKind};
use streamusher_emulator::workload::presets;
use streamusher_scheduler::Policy;

/// Number of scenarios of each kind.
const SEEDS: u64 = 25;
/// Number of simulations run in parallel.
const THREADS: usize = 3;
/// Recorded digests, one line per scenario.
const RECORDED: &str = include_str!("decisions/days.txt");
/// Recorded results of policies, one line per simulation.
const RECORDED_POLICIES: &str = include_str!("decisions/policies.txt");

fn compare(name: &str, simulated: &str, recorded: &str) {
    if std::env::var_os("DECISIONS_SHOW").is_some() {
        println!("--- {name}\n{simulated}---");
        return;
    }
    for (simulated, recorded) in simulated.lines().zip(recorded.lines()) {
        assert_eq!(
            simulated, recorded,
            "a decision or an encoded form differs from the recorded one"
        );
    }
    assert_eq!(simulated.lines().count(), recorded.lines().count());
}

fn digests() -> Vec<String> {
    let next = AtomicU64::new(0);
    let lines = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= 2 * SEEDS {
                    break;
                }
                let seed = number / 2;
                let (name, kind) = match number % 2 {
                    0 => ("ordinary", ScenarioKind::Ordinary),
                    _ => ("control", ScenarioKind::Control),
                };
                let digest = digest(seed, kind);
                let line = format!("{name} {seed:02} {} {}", digest.entries, digest.shown());
                lines.lock().expect("no thread panics").push((number, line));
            });
        }
    });
    let mut lines = lines.into_inner().expect("no thread panics");
    lines.sort();
    lines.into_iter().map(|(_, line)| line + "\n").collect()
}

#[test]
fn digests_of_fixed_scenarios_are_as_recorded() {
    compare("days", &digests().concat(), RECORDED);
}

#[test]
fn starts_and_scores_of_policies_are_as_recorded() {
    let policies = [Policy::default(), Policy::first_fit()];
    let mut lines = String::new();
    for name in ["short-first", "far-data"] {
        let workload = Arc::new(presets::named(name).expect("a predefined workload"));
        for (number, outcomes) in
            simulate_all(&workload, FaultProfile::Workers, &policies, 0..3, THREADS)
                .iter()
                .enumerate()
        {
            for outcome in outcomes {
                let score = outcome.earned.score();
                writeln!(
                    lines,
                    "{name} {number} {} {} {score:?}",
                    outcome.seed, outcome.starts
                )
                .expect("writing to a string");
            }
        }
    }
    compare("policies", &lines, RECORDED_POLICIES);
}
