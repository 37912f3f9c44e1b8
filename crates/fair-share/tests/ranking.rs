//! The order of work: priority first, then age and debt; nobody starves.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;
use streamusher_fair_share::{FairShareAccounts, FairShareSettings, UsageCharge};
use support::*;

const HALF_LIFE: u64 = 60_000;

/// A book in which `a` owes ten times as much as `b`.
fn owing(settings: FairShareSettings) -> FairShareAccounts {
    let mut book = FairShareAccounts::new(settings, 1, 0);
    book.on_run_started(0, &user("a"), run(1), &cores(50));
    book.on_run_started(0, &user("b"), run(2), &cores(5));
    book.advance(60_000);
    book
}

#[test]
fn given_one_priority_when_two_came_together_then_the_lesser_debt_goes_first() {
    let book = owing(FairShareSettings::with_half_life(HALF_LIFE));
    let key = |user| book.order_key(user, 2, 1_790_000_000_000);
    assert!(key("newcomer") < key("b") && key("b") < key("a"));
}

#[test]
fn given_other_priorities_when_ordered_then_priority_goes_before_any_debt() {
    let book = owing(FairShareSettings::with_half_life(HALF_LIFE));
    assert!(book.order_key("a", 0, u64::MAX) < book.order_key("newcomer", 1, 0));
    assert!(book.order_key("a", 65_534, u64::MAX) < book.order_key("newcomer", 65_535, 0));
    assert_eq!(
        book.order_key("newcomer", 65_535, 5),
        book.order_key("newcomer", u32::MAX, 5)
    );
}

#[test]
fn given_a_unit_that_waits_when_versions_change_then_only_its_debt_moves_it() {
    let mut book = owing(FairShareSettings::with_half_life(HALF_LIFE));
    let before = book.order_key("newcomer", 1, 5_000);
    book.advance(90_000);
    assert_eq!(
        book.order_key("newcomer", 1, 5_000),
        before,
        "a gang that waits keeps its place"
    );
}

#[test]
fn given_a_weight_when_ordered_then_the_debt_counts_divided_by_it() {
    let mut settings = FairShareSettings::with_half_life(HALF_LIFE);
    settings.weights.insert("a".into(), 10_000);
    let book = owing(settings);
    let apart = book
        .ranking()
        .delay_ms("a")
        .abs_diff(book.ranking().delay_ms("b"));
    assert!(
        apart <= 1,
        "ten times the debt at ten times the weight: {apart}"
    );
}

/// One worker, one user that owes without end, others that bring new work all the time and owe nothing.
#[test]
fn given_a_user_with_the_largest_debt_when_newcomers_never_end_then_it_waits_no_longer_than_the_bound(
) {
    for seed in 0..50 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let settings = FairShareSettings {
            most_delay_ms: 20_000,
            ..FairShareSettings::with_half_life(HALF_LIFE)
        };
        let mut book = FairShareAccounts::new(settings, 1, 0);
        book.on_run_started(0, &user("heavy"), run(0), &cores(900));
        let mut waiting: BTreeSet<(u64, u64, bool)> = BTreeSet::new();
        let mut starts_of_heavy = 0;
        for now in (0..300_000).step_by(250) {
            book.advance(now);
            let number = now * 2;
            // As much new work as the worker can do, each from a user never seen before.
            let key = book.order_key(&format!("new-{now}"), 1, now);
            waiting.insert((key, number, false));
            if rng.random_range(0..20) == 0 {
                waiting.insert((book.order_key("heavy", 1, now), number + 1, true));
            }
            let Some((_, number, is_heavy)) = waiting.pop_first() else {
                continue;
            };
            let came = number / 2;
            if is_heavy {
                starts_of_heavy += 1;
                // Behind it at most what came up to the bound later, and the heavy units among that.
                assert!(
                    now - came <= 20_000 * 2,
                    "seed {seed}: came {came}, starts {now}"
                );
            }
        }
        assert!(starts_of_heavy > 20, "seed {seed}: {starts_of_heavy}");
        book.on_run_finished(300_000, &run(0), UsageCharge::Used);
    }
}

#[test]
fn given_any_debts_when_two_units_are_ordered_then_none_passes_one_that_came_the_largest_delay_before(
) {
    let settings = FairShareSettings {
        most_delay_ms: 5_000,
        ..FairShareSettings::with_half_life(HALF_LIFE)
    };
    let mut rng = Pcg32::seed_from_u64(1);
    let mut book = FairShareAccounts::new(settings, 1, 0);
    for number in 0..50 {
        book.on_run_started(
            0,
            &user(&format!("u{number}")),
            run(number),
            &cores(rng.random_range(0..10_000)),
        );
    }
    book.advance(600_000);
    for _ in 0..2_000 {
        let (early, late) = (rng.random_range(0..60), rng.random_range(0..60));
        let came = rng.random_range(0..1_000_000);
        let first = book.order_key(&format!("u{early}"), 3, came);
        assert!(first < book.order_key(&format!("u{late}"), 3, came + 5_000));
    }
}
