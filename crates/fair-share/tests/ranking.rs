//! Tests of the order of units: priority first, then age and usage. No user starves.
#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;
use streamusher_fair_share::{FairShareAccounts, FairShareSettings, UsageCharge};
use support::{cores, run, user};

const HALF_LIFE: u64 = 60_000;

/// Creates accounts in which `a` has ten times as much usage as `b`.
fn accounts_with_usage(settings: FairShareSettings) -> FairShareAccounts {
    let mut accounts = FairShareAccounts::new(settings, 1, 0);
    accounts.on_run_started(0, &user("a"), run(1), &cores(50));
    accounts.on_run_started(0, &user("b"), run(2), &cores(5));
    accounts.publish_if_due(60_000);
    accounts
}

#[test]
fn user_with_less_usage_is_ordered_first_within_a_priority() {
    let accounts = accounts_with_usage(FairShareSettings::with_half_life(HALF_LIFE));
    let key = |user| accounts.order_key(user, 2, 1_790_000_000_000);
    assert!(key("newcomer") < key("b") && key("b") < key("a"));
}

#[test]
fn priority_takes_precedence_over_usage() {
    let accounts = accounts_with_usage(FairShareSettings::with_half_life(HALF_LIFE));
    assert!(accounts.order_key("a", 0, u64::MAX) < accounts.order_key("newcomer", 1, 0));
    assert!(accounts.order_key("a", 65_534, u64::MAX) < accounts.order_key("newcomer", 65_535, 0));
    assert_eq!(
        accounts.order_key("newcomer", 65_535, 5),
        accounts.order_key("newcomer", u32::MAX, 5)
    );
}

#[test]
fn order_key_of_a_pending_unit_depends_only_on_its_own_users_usage() {
    let mut accounts = accounts_with_usage(FairShareSettings::with_half_life(HALF_LIFE));
    let before = accounts.order_key("newcomer", 1, 5_000);
    accounts.publish_if_due(90_000);
    assert_eq!(
        accounts.order_key("newcomer", 1, 5_000),
        before,
        "other users' usage does not change the key"
    );
}

#[test]
fn usage_counts_divided_by_the_weight() {
    let mut settings = FairShareSettings::with_half_life(HALF_LIFE);
    settings.weights.insert("a".into(), 10_000);
    let accounts = accounts_with_usage(settings);
    let difference = accounts
        .ranking()
        .delay_ms("a")
        .abs_diff(accounts.ranking().delay_ms("b"));
    assert!(
        difference <= 1,
        "ten times the usage with ten times the weight gives the same delay; difference: {difference}"
    );
}

/// Simulates one worker, one user with very large usage, and others without usage that continuously submit
/// new work.
#[test]
fn user_with_the_most_usage_does_not_starve() {
    for seed in 0..50 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let settings = FairShareSettings {
            max_delay_ms: 20_000,
            ..FairShareSettings::with_half_life(HALF_LIFE)
        };
        let mut accounts = FairShareAccounts::new(settings, 1, 0);
        accounts.on_run_started(0, &user("heavy"), run(0), &cores(900));
        let mut pending: BTreeSet<(u64, u64, bool)> = BTreeSet::new();
        let mut starts_of_heavy = 0;
        for now in (0..300_000).step_by(250) {
            accounts.publish_if_due(now);
            let number = now * 2;
            // As much new work as the worker can execute, each unit from a new user.
            let key = accounts.order_key(&format!("new-{now}"), 1, now);
            pending.insert((key, number, false));
            if rng.random_range(0..20) == 0 {
                pending.insert((accounts.order_key("heavy", 1, now), number + 1, true));
            }
            let Some((_, number, is_heavy)) = pending.pop_first() else {
                continue;
            };
            let submitted_at = number / 2;
            if is_heavy {
                starts_of_heavy += 1;
                // The unit waits at most for units submitted up to the largest delay after it, and for the
                // heavy user's units among them.
                assert!(
                    now - submitted_at <= 20_000 * 2,
                    "seed {seed}: submitted at {submitted_at}, starts at {now}"
                );
            }
        }
        assert!(starts_of_heavy > 20, "seed {seed}: {starts_of_heavy}");
        accounts.on_run_finished(300_000, &run(0), UsageCharge::Full);
    }
}

#[test]
fn no_unit_is_ordered_before_one_submitted_earlier_by_the_largest_delay() {
    let settings = FairShareSettings {
        max_delay_ms: 5_000,
        ..FairShareSettings::with_half_life(HALF_LIFE)
    };
    let mut rng = Pcg32::seed_from_u64(1);
    let mut accounts = FairShareAccounts::new(settings, 1, 0);
    for number in 0..50 {
        accounts.on_run_started(
            0,
            &user(&format!("u{number}")),
            run(number),
            &cores(rng.random_range(0..10_000)),
        );
    }
    accounts.publish_if_due(600_000);
    for _ in 0..2_000 {
        let (early, late) = (rng.random_range(0..60), rng.random_range(0..60));
        let submitted_at = rng.random_range(0..1_000_000);
        let first = accounts.order_key(&format!("u{early}"), 3, submitted_at);
        assert!(first < accounts.order_key(&format!("u{late}"), 3, submitted_at + 5_000));
    }
}
