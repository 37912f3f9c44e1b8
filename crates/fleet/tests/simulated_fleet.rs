//! Fleets in virtual time: members, a network that loses, delays, repeats and parts, and members that are killed,
//! stopped and begun again. After each step no budget is exceeded; once it is quiet all tallies are one, and exact.
//!
//! `STREAMUSHER_SEED` and `STREAMUSHER_ROUNDS` make it another run, or a longer one; a failing seed is printed.

mod world;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::sync::Arc;
use streamusher_fleet::usage::{UsageKey, UsageMetric, UsageValues};
use streamusher_fleet::usage_counters::{Delta, UsageCounters, UsageDigest};
use streamusher_fleet::{Incarnation, Micros};
use world::{World, MS, SECOND, UNITS};

/// A digest of all that a member holds.
fn whole_digest(counters: &UsageCounters) -> UsageDigest {
    UsageDigest {
        after: None,
        last: true,
        summaries: counters.summaries(None, 9),
        reply_wanted: false,
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| {
        v.parse()
            .unwrap_or_else(|_| panic!("{name}: not a number: {v}"))
    })
}

/// Rights flow to where the demand is: one of twelve members with all the traffic.
#[test]
fn one_member_with_all_the_traffic_gets_nine_tenths_of_the_budget_in_two_seconds() {
    let mut world = World::new(12, 0, 5);
    world.run(3 * SECOND, &[], 0.0);
    let before: u64 = world.bytes;
    world.run(2 * SECOND, &[3], 3.0);
    assert!(
        world.used() >= UNITS * 9 / 10,
        "{} of {UNITS}",
        world.used()
    );
    let storm = (world.bytes - before) / 12 / 2;
    assert!(storm < 40_000, "{storm} bytes a second for each member");
    // And on, when the traffic moves.
    world.run(4 * SECOND, &[8], 3.0);
    assert!(
        world.used() >= UNITS * 9 / 10,
        "{} of {UNITS}",
        world.used()
    );
}

/// A half that hears nothing serves what it holds, then its own; afterwards there is one tally.
#[test]
fn a_partition_keeps_the_budget_and_serves_the_floor() {
    let mut world = World::new(6, 1, 6);
    world.run(3 * SECOND, &[0, 1, 2, 3, 4, 5], 1.0);
    world.part(&[0, 1]);
    world.run(5 * SECOND, &[0, 1, 2, 3, 4, 5], 1.0);
    let floor: u64 = (0..2)
        .map(|i| world.members[i].allowances[0].in_use())
        .sum();
    assert!(floor >= 2, "the smaller part still serves: {floor}");
    world.run(15 * SECOND, &[0, 1, 2, 3, 4, 5], 1.0);
    world.cut.clear();
    let took = world.settle();
    assert!(
        (0..6).all(|i| world.served(i) == world.raised),
        "{} raised",
        world.raised
    );
    assert!(took < 20 * SECOND, "{took}");
}

/// Stopped past its lease with traffic waiting: it has nothing to spend until it has heard the others.
#[test]
fn a_member_that_wakes_spends_nothing_on_stale_rights() {
    let mut world = World::new(4, 0, 7);
    world.run(3 * SECOND, &[], 0.0);
    world.run(2 * SECOND, &[2], 3.0);
    assert!(
        world.members[2].allowances[0].held().borrowed > 0,
        "it has borrowed"
    );
    world.members[2].stopped_until = world.now + 5 * SECOND;
    // The others take what comes back to them.
    world.run(5 * SECOND - MS, &[0, 1, 3], 3.0);
    // It wakes: its jobs have ended, and a burst that waited in its sockets comes before anything that was said to it.
    let spent = world.burst(2, 300);
    assert_eq!(spent, 0, "it spends before it has looked round");
    assert!(world.used() <= UNITS, "{}", world.used());
    world.run(3 * SECOND, &[0, 1, 2, 3], 2.0);
    assert!(
        world.members[2].allowances[0].in_use() > 0,
        "then it serves again"
    );
}

/// A member that nobody hears takes work and is killed: what its clients were answered is in the tally.
#[test]
fn answers_wait_for_their_copies() {
    let mut world = World::new(4, 2, 12);
    world.run(3 * SECOND, &[0], 0.5);
    world.part(&[0]);
    world.run(300 * MS, &[0], 0.5);
    world.kill(0);
    world.cut.clear();
    let (answered, raised) = (world.answered, world.raised);
    assert!(
        answered > 500 && raised > answered,
        "{answered} answered of {raised}"
    );
    world.settle();
    assert!(
        world.served(1) >= answered,
        "{} in the tally, {answered} answered",
        world.served(1)
    );
}

/// A life that had lent and one that had borrowed are killed at once; both begin again.
#[test]
fn rights_of_killed_lives_come_back_after_their_time() {
    let mut world = World::new(4, 0, 8);
    world.run(3 * SECOND, &[], 0.0);
    world.run(2 * SECOND, &[1], 3.0);
    world.kill(1);
    world.kill(0);
    world.run(200 * MS, &[2], 3.0);
    world.begin(0);
    world.begin(1);
    world.run(500 * MS, &[0, 1, 2], 2.0);
    assert_eq!(
        world.members[0].allowances[0].held().own,
        0,
        "its earlier life may have lent all it had"
    );
    world.run(5 * SECOND, &[2], 3.0);
    assert!(
        world.used() >= UNITS * 9 / 10,
        "all is back: {}",
        world.used()
    );
}

/// A hears B, B does not hear A: the members stay as they are.
#[test]
fn a_one_way_cut_does_not_flap() {
    let mut world = World::new(5, 0, 9);
    world.run(5 * SECOND, &[], 0.0);
    let before: Vec<u64> = world
        .members
        .iter()
        .map(|m| m.node.status(0).membership_changes)
        .collect();
    world.cut.insert((0, 1), Micros::MAX);
    world.run(60 * SECOND, &[], 0.0);
    for (m, before) in world.members.iter().zip(before) {
        let changes = m.node.status(0).membership_changes - before;
        assert!(changes <= 2, "{changes} changes in a minute");
    }
}

/// One slow link does not slow the others down.
#[test]
fn a_slow_member_does_not_slow_the_rest() {
    let mut world = World::new(8, 1, 10);
    world.run(3 * SECOND, &[], 0.0);
    for i in 0..7 {
        world.cut.insert((i, 7), 3 * SECOND);
        world.cut.insert((7, i), 3 * SECOND);
    }
    world.run(3 * SECOND, &[0, 1, 2], 0.5);
    world.run(2 * SECOND, &[], 0.0);
    let digests: Vec<String> = (0..7)
        .map(|i| world.members[i].node.totals().digest)
        .collect();
    assert!(digests.windows(2).all(|d| d[0] == d[1]), "{digests:?}");
    world.cut.clear();
    world.settle();
    assert_eq!(world.served(7), world.raised);
}

/// Restarts without end: lives are folded, memory stays bounded, and nothing counts twice; also for a member that
/// was away while they were folded and comes back with the rows of before.
#[test]
fn folded_lives_count_once_for_one_that_missed_the_folding() {
    let mut world = World::new(4, 2, 11);
    world.run(3 * SECOND, &[0, 1, 2, 3], 0.2);
    world.part(&[3]);
    for round in 0..60 {
        world.run(700 * MS, &[0, 1, 2], 0.2);
        world.settle_answers();
        let i = round % 3;
        world.kill(i);
        world.begin(i);
        // The one that is away is forgotten here, as it would be after ten minutes.
        world
            .members
            .iter_mut()
            .take(3)
            .for_each(|m| m.node.forget_member("m3"));
    }
    world.run(30 * SECOND, &[0, 1, 2], 0.1);
    let (incarnations, rows) = (
        world.members[0].node.status(0).incarnations,
        world.members[0].node.status(0).rows,
    );
    assert!(
        incarnations <= 8 && rows <= 16,
        "{incarnations} lives, {rows} rows after 60 restarts"
    );
    world.cut.clear();
    world.settle();
    for i in 0..4 {
        assert!(
            world.served(i) >= world.answered && world.served(i) <= world.raised,
            "{} {} {}",
            world.served(i),
            world.answered,
            world.raised
        );
    }
}

impl World {
    fn settle_answers(&mut self) {
        for _ in 0..5_000 {
            if self
                .members
                .iter()
                .enumerate()
                .all(|(i, m)| i == 3 || m.dead || m.held.is_empty())
            {
                return;
            }
            self.step(&[], 0.0);
        }
        panic!("answers are held for good");
    }
}

/// Rows of a life come late, after all its members have folded it: they count for nothing, as the sum holds them.
#[test]
fn rows_of_a_folded_life_that_come_late_count_once() {
    let name = |n: &str| -> Arc<str> { Arc::from(n) };
    let key = UsageKey {
        period: 1,
        tenant: name("t0"),
    };
    let mut first = UsageCounters::new(Incarnation::new("a", 1));
    first.increment(key.clone(), &UsageValues::single(UsageMetric::Served, 5));
    let late = first.own_deltas_since(0);
    let mut b = UsageCounters::new(Incarnation::new("b", 1));
    late.iter().for_each(|d| {
        b.merge(d, 9);
    });
    let mut second = UsageCounters::new(Incarnation::new("a", 2));
    second.increment(key.clone(), &UsageValues::single(UsageMetric::Served, 3));
    second.own_deltas_since(0).iter().for_each(|d| {
        b.merge(d, 9);
    });
    // The new life hears of its first from b, and tells it so.
    let remote = whole_digest(&second);
    b.deltas_for(&name("a"), &remote, 9).iter().for_each(|d| {
        second.merge(d, 9);
    });
    let remote = whole_digest(&second);
    b.deltas_for(&name("a"), &remote, 9);
    assert_eq!(
        b.compact(0, 0, &[name("a")]),
        1,
        "final: superseded, and held by all to the same version"
    );
    late.iter().for_each(|d| {
        b.merge(d, 9);
    });
    assert_eq!(b.totals().rows[&key].values.get(UsageMetric::Served), 8);
    assert_eq!(b.rejected_late(), 1);
}

/// Random faults from seeds: no budget is ever exceeded, and what was answered is in the one tally at the end.
#[test]
fn random_faults_from_seeds() {
    let (seed, gossip_rounds) = (
        number("STREAMUSHER_SEED", 1),
        number("STREAMUSHER_ROUNDS", 6),
    );
    for seed in seed..seed + gossip_rounds {
        println!("seed {seed}");
        let mut world = World::new(5, 1, seed);
        world.run(2 * SECOND, &[], 0.0);
        let mut rng = Pcg64::seed_from_u64(seed ^ 0xfa17);
        for _ in 0..25 {
            let at: Vec<usize> = (0..5).filter(|_| rng.random_bool(0.5)).collect();
            match rng.random_range(0..7) {
                0 => {
                    // One at a time, as copies = 1 bears, and given time to spread.
                    let i = rng.random_range(0..5);
                    if !world.members[i].dead {
                        world.kill(i);
                        world.run(rng.random_range(10..600) * MS, &at, 1.0);
                        world.begin(i);
                    }
                }
                1 => {
                    let i = rng.random_range(0..5);
                    world.members[i].stopped_until = world.now + rng.random_range(100..4_000) * MS;
                }
                2 => world.part(&[rng.random_range(0..5), rng.random_range(0..5)]),
                3 => drop(world.cut.insert(
                    (rng.random_range(0..5), rng.random_range(0..5)),
                    Micros::MAX,
                )),
                4 => {
                    (world.loss, world.delay) =
                        (rng.random_range(0.0..0.3), rng.random_range(2..200) * MS)
                }
                _ => {
                    world.cut.clear();
                    (world.loss, world.delay) = (0.0, 2 * MS);
                }
            }
            world.run(
                rng.random_range(50..1_500) * MS,
                &at,
                rng.random_range(0.0..2.0),
            );
            // Heal before the next kill, as the copies of two kills at once are one too few.
            world.cut.clear();
            (world.loss, world.delay) = (0.0, 2 * MS);
            world
                .members
                .iter_mut()
                .for_each(|m| m.stopped_until = m.stopped_until.min(world.now + 10 * MS));
            world.run(1_500 * MS, &at, 0.2);
        }
        world.settle();
        for i in 0..5 {
            let served = world.served(i);
            assert!(
                served >= world.answered && served <= world.raised,
                "seed {seed}: {served}, {} answered",
                world.answered
            );
        }
        assert!(world.answered > 100, "seed {seed}: {}", world.answered);
    }
}

/// Parts are lost and overtake each other on their way through members that only pass them on: whoever holds a life up to
/// its last version has all of its rows. (A row that overtook others was once passed on under too low a version.)
#[test]
fn counts_converge_whatever_overtakes_what() {
    for seed in 0..40 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut all: Vec<UsageCounters> = (0..4)
            .map(|i| UsageCounters::new(Incarnation::new(&format!("m{i}"), 1)))
            .collect();
        let name = |i: usize| -> Arc<str> { Arc::from(format!("m{i}")) };
        let mut travelling: Vec<(usize, Delta)> = Vec::new();
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
                let parts = all[i].deltas_for(&name(j), &remote, 9);
                travelling.extend(parts.into_iter().map(|p| (j, p)));
            }
            while travelling.len() > 40 || !travelling.is_empty() && rng.random_bool(0.6) {
                let at = rng.random_range(0..travelling.len());
                let (to, part) = travelling.swap_remove(at);
                if rng.random_bool(0.7) {
                    all[to].merge(&part, 9);
                }
            }
        }
        // Now nothing is lost, and only neighbours talk.
        for _ in 0..400 {
            let i = rng.random_range(0..3);
            for (from, to) in [(i, i + 1), (i + 1, i)] {
                let remote = whole_digest(&all[to]);
                let parts = all[from].deltas_for(&name(to), &remote, 99);
                parts.iter().for_each(|p| {
                    all[to].merge(p, 9);
                });
            }
        }
        let owner = all[0].totals();
        assert!(
            all.iter().all(|c| c.totals().digest == owner.digest),
            "seed {seed}"
        );
    }
}
