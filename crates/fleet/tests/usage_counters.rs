//! Usage counters converge despite lost and reordered deltas, and no row is counted twice.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::sync::Arc;
use streamusher_fleet::usage::{UsageKey, UsageMetric, UsageValues};
use streamusher_fleet::usage_counters::{Delta, UsageCounters, UsageDigest};
use streamusher_fleet::Incarnation;

/// A digest of all names that a member holds.
fn whole_digest(counters: &UsageCounters) -> UsageDigest {
    UsageDigest {
        after: None,
        last: true,
        summaries: counters.summaries(None, 9),
        reply_wanted: false,
    }
}

fn merge_all(counters: &mut UsageCounters, deltas: &[Delta]) {
    for delta in deltas {
        counters.merge(delta, 9);
    }
}

/// Rows of an incarnation that arrive after all members have compacted it are not counted again: the base
/// includes them.
#[test]
fn late_rows_of_a_compacted_incarnation_count_once() {
    let name = |text: &str| -> Arc<str> { Arc::from(text) };
    let key = UsageKey {
        period: 1,
        tenant: name("t0"),
    };
    let mut first = UsageCounters::new(Incarnation::new("a", 1));
    first.increment(key.clone(), &UsageValues::single(UsageMetric::Served, 5));
    let late = first.own_deltas_since(0);
    let mut other = UsageCounters::new(Incarnation::new("b", 1));
    merge_all(&mut other, &late);
    let mut second = UsageCounters::new(Incarnation::new("a", 2));
    second.increment(key.clone(), &UsageValues::single(UsageMetric::Served, 3));
    merge_all(&mut other, &second.own_deltas_since(0));
    // The new incarnation receives the rows of its predecessor from the other member, and acknowledges them.
    let remote = whole_digest(&second);
    let deltas = other.deltas_for(&name("a"), &remote, 9);
    merge_all(&mut second, &deltas);
    let remote = whole_digest(&second);
    other.deltas_for(&name("a"), &remote, 9);
    assert_eq!(
        other.compact(0, 0, &[name("a")]),
        1,
        "final: superseded, and held at the same version by all members"
    );
    merge_all(&mut other, &late);
    assert_eq!(other.totals().rows[&key].values.get(UsageMetric::Served), 8);
    assert_eq!(other.rejected_late(), 1);
}

/// Deltas are lost and reordered on their way through members that only relay them: a member that holds an
/// incarnation up to its last version has all of its rows. Guards against a relayed row with too low a
/// version, which happened when the row had arrived out of order.
#[test]
fn counters_converge_when_deltas_are_lost_and_reordered() {
    for seed in 0..40 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut all: Vec<UsageCounters> = (0..4)
            .map(|i| UsageCounters::new(Incarnation::new(&format!("m{i}"), 1)))
            .collect();
        let name = |i: usize| -> Arc<str> { Arc::from(format!("m{i}")) };
        let mut in_flight: Vec<(usize, Delta)> = Vec::new();
        for _ in 0..400 {
            let (i, j) = (rng.random_range(0..4), rng.random_range(0..4));
            if rng.random_bool(0.5) {
                let key = UsageKey {
                    period: 1,
                    tenant: Arc::from(format!("t{}", rng.random_range(0..30))),
                };
                all[0].increment(key, &UsageValues::single(UsageMetric::Served, 1));
            }
            if i != j {
                let remote = whole_digest(&all[j]);
                let deltas = all[i].deltas_for(&name(j), &remote, 9);
                in_flight.extend(deltas.into_iter().map(|delta| (j, delta)));
            }
            while in_flight.len() > 40 || !in_flight.is_empty() && rng.random_bool(0.6) {
                let next = rng.random_range(0..in_flight.len());
                let (to, delta) = in_flight.swap_remove(next);
                if rng.random_bool(0.7) {
                    all[to].merge(&delta, 9);
                }
            }
        }
        // Now no delta is lost, and only neighbours exchange deltas.
        for _ in 0..400 {
            let i = rng.random_range(0..3);
            for (from, to) in [(i, i + 1), (i + 1, i)] {
                let remote = whole_digest(&all[to]);
                let deltas = all[from].deltas_for(&name(to), &remote, 99);
                merge_all(&mut all[to], &deltas);
            }
        }
        let owner = all[0].totals();
        assert!(
            all.iter()
                .all(|counters| counters.totals().digest == owner.digest),
            "seed {seed}"
        );
    }
}

/// A base up to the largest incarnation number that a peer can send causes no panic.
#[test]
fn base_up_to_the_largest_incarnation_is_merged() {
    let mut counters = UsageCounters::new(Incarnation::new("a", 1));
    let other: Arc<str> = Arc::from("b");
    let base = Delta::Base {
        name: other.clone(),
        first_incarnation: 1,
        up_to: u64::MAX,
        total_rows: 0,
        rows: Vec::new(),
    };
    counters.merge(&base, 9);
    let later = Delta::Incarnation {
        incarnation: Incarnation::new("b", 7),
        after: 0,
        up_to: 1,
        rows: Vec::new(),
    };
    counters.merge(&later, 9);
    assert_eq!(
        counters.rejected_late(),
        1,
        "the base includes the incarnation"
    );
}
