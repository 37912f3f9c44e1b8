//! Compares decayed usage with the oracle, and tests merging and splitting in any order.
#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use streamusher_fair_share::decayed_usage::{DecayedUsage, MAX_HALF_LIVES};
use support::oracle::{self, UsageSpan};

fn random_usage(rng: &mut Pcg32, half_life: u64) -> Vec<UsageSpan> {
    let last = half_life * (MAX_HALF_LIVES - 2);
    let draw = |rng: &mut Pcg32| {
        let from = rng.random_range(0..last);
        let to = from + rng.random_range(1..=half_life * 2);
        (rng.random_range(1..500_000), from, to.min(last))
    };
    (0..rng.random_range(1..40)).map(|_| draw(rng)).collect()
}

fn sum(spans: &[UsageSpan], half_life: u64) -> DecayedUsage {
    let mut usage = DecayedUsage::default();
    for (rate, from, to) in spans {
        usage.add(half_life, *rate, *from, *to);
    }
    usage
}

#[rstest]
#[case::ten_seconds(10_000)]
#[case::odd(12_347)]
#[case::an_hour(3_600_000)]
#[case::thirty_days(2_592_000_000)]
fn value_matches_the_oracle(#[case] half_life: u64) {
    for seed in 0..60 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let spans = random_usage(&mut rng, half_life);
        let usage = sum(&spans, half_life);
        for _ in 0..10 {
            let now = half_life * (MAX_HALF_LIVES - 2) + rng.random_range(0..half_life * 2);
            let (actual, expected) = (
                usage.value_at(half_life, now),
                oracle::value_at(&spans, half_life, now),
            );
            // A weight is accurate to 1/1,024 of a millisecond and 1/2^32 of a half-life at both ends of each
            // part.
            let parts = spans.iter().map(|(rate, ..)| rate * 8).sum::<u64>();
            let allowed =
                1 + parts * (half_life / (1 << 31) + 1) / 1_000 + expected / 1_000_000_000;
            let difference = actual.abs_diff(expected);
            assert!(
                difference <= allowed,
                "seed {seed} at {now}: got {actual}, the oracle gives {expected}, allowed difference {allowed}"
            );
        }
    }
}

#[test]
fn half_is_left_after_a_half_life() {
    let half_life = 10_000;
    let mut usage = DecayedUsage::default();
    usage.add(half_life, 8_000, 0, 10_000);
    let before = usage.value_at(half_life, 10_000);
    assert!(
        before > 57_000 && before < 58_000,
        "8 cores for 10 s, decaying during that time: {before}"
    );
    assert_eq!(usage.value_at(half_life, 20_000), before / 2);
    assert_eq!(
        usage.value_at(half_life, 10_000 + 10 * half_life),
        before / 1_024
    );
}

#[test]
fn merging_parts_in_any_order_is_exact() {
    let half_life = 12_347;
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let spans = random_usage(&mut rng, half_life);
        let whole = sum(&spans, half_life);
        let mut parts: Vec<DecayedUsage> = vec![DecayedUsage::default(); 5];
        for (rate, from, to) in &spans {
            // Each span is cut at random, and its pieces are added to random parts.
            let cut = rng.random_range(*from..=*to);
            parts[rng.random_range(0..5)].add(half_life, *rate, *from, cut);
            parts[rng.random_range(0..5)].add(half_life, *rate, cut, *to);
        }
        while parts.len() > 1 {
            parts.shuffle(&mut rng);
            let part = parts.pop().expect("one");
            let into = rng.random_range(0..parts.len());
            parts[into].merge(&part);
        }
        assert_eq!(parts[0], whole, "seed {seed}");
    }
}

#[test]
fn discarding_commutes_with_merging() {
    let half_life = 10_000;
    let now = half_life * 20 + 1_234;
    let (mut first, mut second) = (DecayedUsage::default(), DecayedUsage::default());
    first.add(half_life, 3_000, 0, now);
    second.add(half_life, 5_000, half_life * 2, half_life * 9);
    let mut merged = first.clone();
    merged.merge(&second);
    merged.discard_expired(half_life, now);
    first.discard_expired(half_life, now);
    second.discard_expired(half_life, now);
    second.merge(&first);
    assert_eq!(second, merged);
}

#[test]
fn subtracting_undoes_adding() {
    let half_life = 10_000;
    let mut usage = DecayedUsage::default();
    usage.add(half_life, 2_000, 500, 23_456);
    let before = usage.clone();
    usage.add(half_life, 7_777, 1_234, 43_210);
    usage.subtract(half_life, 7_777, 1_234, 43_210);
    assert_eq!(usage, before);
}

#[test]
fn largest_sums_saturate_in_any_order() {
    let text = |sums: &[(u64, u64)]| serde_json::to_string(sums).expect("text");
    let largest: Vec<(u64, u64)> = (0..40).map(|number| (number, u64::MAX)).collect();
    let mut one: DecayedUsage = serde_json::from_str(&text(&largest)).expect("usage");
    let mut other = one.clone();
    other.add(10_000, u64::MAX, 0, u64::MAX);
    one.merge(&other);
    other.merge(&one);
    let _ = one.value_at(10_000, 0);
    let _ = other.value_at(10_000, u64::MAX);
    let _ = one.value_at(0, 5);
    assert_eq!(
        one.value_at(10_000, 390_000),
        other.value_at(10_000, 390_000)
    );
}
