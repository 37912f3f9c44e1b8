//! What the whole scheduler decides on fixed days is the same to the last byte, in all that it sends and stores.
//!
//! A step that only renames, moves or documents keeps these digests. A step that changes a decision or an encoded form on
//! purpose says so in its commit, and replaces them: `DECISIONS_SHOW=1 cargo test -p streamusher-emulator --test
//! decisions -- --nocapture` prints the new ones.

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

/// Days of each kind.
const SEEDS: u64 = 25;
/// Days played at once.
const THREADS: usize = 3;
/// The recorded digests, a line a day.
const RECORDED: &str = include_str!("decisions/days.txt");
/// The recorded figures of policies, a line a day.
const RECORDED_POLICIES: &str = include_str!("decisions/policies.txt");

fn compare(name: &str, played: &str, recorded: &str) {
    if std::env::var_os("DECISIONS_SHOW").is_some() {
        println!("--- {name}\n{played}---");
        return;
    }
    for (played, recorded) in played.lines().zip(recorded.lines()) {
        assert_eq!(
            played, recorded,
            "another decision or another encoded form than recorded"
        );
    }
    assert_eq!(played.lines().count(), recorded.lines().count());
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
                let (name, days) = match number % 2 {
                    0 => ("ordinary", ScenarioKind::Ordinary),
                    _ => ("control", ScenarioKind::Control),
                };
                let digest = digest(seed, days);
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
fn all_that_is_sent_and_stored_on_fixed_days_is_as_recorded() {
    compare("days", &digests().concat(), RECORDED);
}

#[test]
fn policies_start_and_earn_the_same_on_fixed_days_as_recorded() {
    let policies = [Policy::default(), Policy::first_fit()];
    let mut lines = String::new();
    for name in ["short-first", "far-data"] {
        let workload = Arc::new(presets::named(name).expect("a workload of ours"));
        for (number, days) in
            simulate_all(&workload, FaultProfile::Workers, &policies, 0..3, THREADS)
                .iter()
                .enumerate()
        {
            for day in days {
                let figure = day.earned.score();
                writeln!(
                    lines,
                    "{name} {number} {} {} {figure:?}",
                    day.seed, day.starts
                )
                .expect("writing to a string");
            }
        }
    }
    compare("policies", &lines, RECORDED_POLICIES);
}
