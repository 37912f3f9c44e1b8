//! Days drawn from seeds keep every rule. `EMULATOR_SEEDS=n` plays n days, `EMULATOR_FROM=n` begins at another seed, and
//! `EMULATOR_SEED=n` plays one day and prints what happens.

use rstest::rstest;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use streamusher_emulator::search::{self, Days, Outcome};

/// Days played without being asked for more.
const DAYS: u64 = 200;
/// Days played at once.
const THREADS: usize = 3;
/// Failing days that are printed.
const MOST_PRINTED: usize = 10;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn play_all(days: Days, from: u64, count: u64) -> Vec<Outcome> {
    let next = AtomicU64::new(from);
    let outcomes = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    break;
                }
                let outcome = search::play(seed, days, false);
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

/// Days that broke a rule once; `docs/incidents/` says why. What a seed draws may change with the emulator: the cause of each is
/// held by a story of its own.
#[rstest]
#[case::worker_and_agent_lost_together(1992)]
#[case::call_of_a_dead_start(3669)]
#[case::deregistration_with_runs_at_work(21092)]
#[case::deregistration_with_runs_at_work_again(23831)]
fn given_a_day_that_broke_a_rule_once_when_it_is_played_then_it_breaks_none(#[case] seed: u64) {
    let outcome = search::play(seed, Days::Ordinary, false);

    assert!(outcome.violations.is_empty(), "{outcome}");
}

#[test]
fn given_drawn_days_when_they_are_played_then_no_rule_is_broken() {
    play_and_check(Days::Ordinary);
}

#[test]
fn given_drawn_days_of_the_control_side_when_they_are_played_then_no_rule_is_broken() {
    play_and_check(Days::Control);
}

fn play_and_check(days: Days) {
    if let Some(seed) = number("EMULATOR_SEED") {
        let outcome = search::play(seed, days, true);
        println!("{outcome}");
        assert!(outcome.violations.is_empty(), "{outcome}");
        return;
    }
    let (from, count) = (
        number("EMULATOR_FROM").unwrap_or(0),
        number("EMULATOR_SEEDS").unwrap_or(DAYS),
    );
    let outcomes = play_all(days, from, count);
    let failed: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| !outcome.violations.is_empty())
        .collect();
    for outcome in failed.iter().take(MOST_PRINTED) {
        println!("{outcome}");
    }
    let starts: u64 = outcomes.iter().map(|outcome| outcome.starts).sum();
    let accepted: usize = outcomes.iter().map(|outcome| outcome.accepted).sum();
    let ended: usize = outcomes.iter().map(|outcome| outcome.ended).sum();
    println!(
        "{count} days: {starts} starts, {ended} of {accepted} jobs ended, {} days failed",
        failed.len()
    );
    let seeds: Vec<u64> = failed.iter().map(|outcome| outcome.seed).collect();
    assert!(
        failed.is_empty(),
        "rules were broken in the days of seeds {seeds:?}"
    );
}
