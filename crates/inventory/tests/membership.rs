//! Membership: drains, returns, new lives, precedence and refusals, by example and against a plain model.

use proptest::prelude::*;
use std::collections::BTreeMap;
use streamusher_inventory::host::Host;
use streamusher_inventory::membership::{Membership, Refused, Rules, State};

const SECOND: u64 = 1_000_000;

fn host(n: u32, port: u16, weight: f64) -> Host {
    let zone = ["harbour-st", "pump-house", "north-yard"][n as usize % 3].to_string();
    let addr = ([10, 0, (n >> 8) as u8, n as u8], port).into();
    Host {
        name: format!("core-{n}"),
        addr,
        zone,
        kind: "standard".into(),
        cell: 0,
        weight,
    }
}

fn hosts(numbers: impl IntoIterator<Item = u32>) -> Vec<Host> {
    numbers.into_iter().map(|n| host(n, 6_444, 1.0)).collect()
}

fn rules() -> Rules {
    Rules {
        drain_us: 5 * SECOND,
        most_drained: 1.0 / 3.0,
        empty: false,
    }
}

fn seat(m: &Membership, n: u32) -> Option<(State, u64)> {
    m.set()
        .seats
        .get(format!("core-{n}").as_str())
        .map(|s| (s.state, s.since))
}

#[test]
fn a_dropped_worker_drains_and_is_gone_when_its_jobs_have_ended() {
    let mut m = Membership::new(rules(), 1);
    assert_eq!(m.word(SECOND, 0, hosts(0..9), false), Ok(true));
    assert_eq!(m.word(2 * SECOND, 0, hosts(0..8), false), Ok(true));
    assert_eq!(seat(&m, 8), Some((State::Draining(2 * SECOND), 0)));
    assert_eq!(m.next_due(), Some(7 * SECOND));
    assert!(!m.tick(7 * SECOND - 1) && m.tick(7 * SECOND));
    assert_eq!(
        (seat(&m, 8), m.next_due(), m.set().generation),
        (None, None, 3)
    );
    assert_eq!(m.word(8 * SECOND, 0, hosts(0..9), false), Ok(true));
    assert_eq!(
        seat(&m, 8),
        Some((State::Ready, 8 * SECOND)),
        "it comes back in a new life, and is cold"
    );
}

#[test]
fn one_that_comes_back_during_its_drain_keeps_its_life_and_one_at_a_new_address_does_not() {
    let mut m = Membership::new(rules(), 1);
    m.word(SECOND, 0, hosts(0..9), false).unwrap();
    m.word(2 * SECOND, 0, hosts(2..9), false).unwrap();
    let mut back = hosts(1..9);
    back.push(host(0, 7_000, 1.0));
    m.word(3 * SECOND, 0, back, false).unwrap();
    assert_eq!(seat(&m, 1), Some((State::Ready, 0)), "the same life");
    assert_eq!(seat(&m, 0), Some((State::Ready, 3 * SECOND)), "a new one");
    assert!(!m.tick(60 * SECOND), "nothing drains any more");
}

#[test]
fn thirty_that_come_at_once_are_all_cold() {
    let mut m = Membership::new(rules(), 1);
    m.word(SECOND, 0, hosts(0..9), false).unwrap();
    m.word(9 * SECOND, 0, hosts(0..39), false).unwrap();
    assert!((9..39).all(|n| seat(&m, n) == Some((State::Ready, 9 * SECOND))));
    assert!((0..9).all(|n| seat(&m, n) == Some((State::Ready, 0))));
}

#[test]
fn the_first_source_goes_first_and_a_worker_stays_while_any_names_it() {
    let mut m = Membership::new(rules(), 2);
    m.word(0, 0, hosts([1]), false).unwrap();
    m.word(0, 1, vec![host(1, 9_999, 2.0), host(2, 6_444, 1.0)], false)
        .unwrap();
    let weight = |m: &Membership, n: u32| m.set().seats[format!("core-{n}").as_str()].host.weight;
    assert_eq!(weight(&m, 1), 1.0);
    m.word(SECOND, 0, hosts([3]), false).unwrap();
    assert_eq!(
        (weight(&m, 1), seat(&m, 1).unwrap().0),
        (2.0, State::Ready),
        "the other source names it still"
    );
    m.failed(1, "no such file");
    assert_eq!((m.stale(0), m.stale(1)), (None, Some("no such file")));
    assert_eq!(
        seat(&m, 2).unwrap().0,
        State::Ready,
        "its last word stays in force"
    );
}

#[test]
fn what_drains_too_many_or_names_nobody_is_refused_whole() {
    let mut m = Membership::new(rules(), 1);
    m.word(0, 0, hosts(0..18), false).unwrap();
    let before = m.set().clone();
    assert_eq!(m.word(SECOND, 0, Vec::new(), true), Err(Refused::Empty));
    // Three of six in one zone, and a new one that must not come in either.
    let fewer: Vec<u32> = (0..19).filter(|n| ![0, 3, 6].contains(n)).collect();
    let zone = "harbour-st".to_string();
    assert_eq!(
        m.word(SECOND, 0, hosts(fewer.clone()), false),
        Err(Refused::TooMany {
            zone,
            drained: 3,
            of: 6
        })
    );
    assert_eq!(m.set(), &before);
    assert!(m.stale(0).unwrap().contains("3 of 6 workers of harbour-st"));
    assert_eq!(m.word(SECOND, 0, hosts(fewer), true), Ok(true));
    assert_eq!(
        (m.stale(0), m.set().generation),
        (None, before.generation + 1)
    );
}

#[test]
fn the_same_word_again_changes_nothing_and_an_old_set_stays_as_it_was() {
    let mut m = Membership::new(rules(), 1);
    m.word(0, 0, hosts(0..5_000), false).unwrap();
    let old = m.set().clone();
    assert_eq!(m.word(SECOND, 0, hosts(0..5_000), false), Ok(false));
    assert_eq!(m.set().generation, old.generation);
    let mut one = hosts(0..5_000);
    one[77].weight = 2.0;
    assert_eq!(m.word(SECOND, 0, one, false), Ok(true));
    let weight = |s: &streamusher_inventory::membership::Set| s.seats["core-77"].host.weight;
    assert_eq!((weight(&old), weight(m.set())), (1.0, 2.0));
    let all: Vec<Host> = (0..5_000).map(|n| host(n, 7_000, 3.0)).collect();
    m.word(2 * SECOND, 0, all, false).unwrap();
    assert!(m
        .set()
        .seats
        .values()
        .all(|s| s.since == 2 * SECOND && s.state == State::Ready));
}

proptest! {
    /// Against a model that keeps, for each worker, only who names it and since when nobody does.
    #[test]
    fn it_does_as_a_plain_model_does(steps in prop::collection::vec((0usize..2, 1u64..3_000_000, prop::collection::btree_set(0u32..12, 0..12), any::<bool>()), 1..40)) {
        let mut m = Membership::new(Rules { most_drained: 0.5, ..rules() }, 2);
        let (mut named, mut gone_since) = (vec![Vec::<u32>::new(); 2], BTreeMap::<u32, u64>::new());
        let (mut now, mut generation) = (0, 0);
        for (source, wait, numbers, force) in steps {
            now += wait;
            m.tick(now);
            gone_since.retain(|_, since| now < *since + 5 * SECOND);
            let before = m.set().clone();
            match m.word(now, source, hosts(numbers.clone()), force) {
                Ok(changed) => {
                    prop_assert_eq!(changed, before.seats != m.set().seats);
                    let old: Vec<u32> = named.concat();
                    named[source] = numbers.into_iter().collect();
                    let new = named.concat();
                    old.iter().filter(|n| !new.contains(n)).for_each(|n| { gone_since.entry(*n).or_insert(now); });
                    gone_since.retain(|n, _| !new.contains(n));
                }
                Err(_) => prop_assert_eq!(&before, m.set(), "whole or not at all"),
            }
            prop_assert!(m.is_sound());
            prop_assert!(m.set().generation >= generation);
            generation = m.set().generation;
            for n in 0..12 {
                let state = seat(&m, n).map(|(state, _)| state);
                let ready = named.concat().contains(&n);
                let wanted = if ready { Some(State::Ready) } else { gone_since.get(&n).map(|s| State::Draining(*s)) };
                prop_assert_eq!(state, wanted, "core-{} at {}", n, now);
            }
        }
    }
}
