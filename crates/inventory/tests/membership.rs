//! Membership: drains, returns, restarts, precedence and rejected updates, by example and against a simple model.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use proptest::prelude::*;
use std::collections::BTreeMap;
use streamusher_inventory::membership::{
    DrainLimit, Membership, MembershipPolicy, UpdateRejected, WorkerSet, WorkerState,
};
use streamusher_inventory::Host;

const SECOND: u64 = 1_000_000;

/// The address 10.0.x.y of a host.
fn ipv4_address(n: u32) -> [u8; 4] {
    let [_, _, high, low] = n.to_be_bytes();
    [10, 0, high, low]
}

fn host(n: u32, port: u16, weight: f64) -> Host {
    let zone = ["harbour-st", "pump-house", "north-yard"][n as usize % 3].to_string();
    let addr = (ipv4_address(n), port).into();
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

fn policy() -> MembershipPolicy {
    MembershipPolicy {
        drain_us: 5 * SECOND,
        max_drained_fraction: 1.0 / 3.0,
        allow_empty: false,
    }
}

fn state_and_start(membership: &Membership, n: u32) -> Option<(WorkerState, u64)> {
    membership
        .worker_set()
        .workers
        .get(format!("core-{n}").as_str())
        .map(|s| (s.state, s.since))
}

#[test]
fn worker_that_is_no_longer_named_drains_and_is_removed() {
    let mut membership = Membership::new(policy(), 1);
    assert_eq!(
        membership.update(SECOND, 0, hosts(0..9), DrainLimit::Enforced),
        Ok(true)
    );
    assert_eq!(
        membership.update(2 * SECOND, 0, hosts(0..8), DrainLimit::Enforced),
        Ok(true)
    );
    assert_eq!(
        state_and_start(&membership, 8),
        Some((WorkerState::Draining(2 * SECOND), 0))
    );
    assert_eq!(membership.next_due(), Some(7 * SECOND));
    assert!(!membership.tick(7 * SECOND - 1) && membership.tick(7 * SECOND));
    assert_eq!(
        (
            state_and_start(&membership, 8),
            membership.next_due(),
            membership.worker_set().generation
        ),
        (None, None, 3)
    );
    assert_eq!(
        membership.update(8 * SECOND, 0, hosts(0..9), DrainLimit::Enforced),
        Ok(true)
    );
    assert_eq!(
        state_and_start(&membership, 8),
        Some((WorkerState::Ready, 8 * SECOND)),
        "it comes back with a new start, and is cold"
    );
}

#[test]
fn draining_worker_that_returns_keeps_its_start_only_at_its_address() {
    let mut membership = Membership::new(policy(), 1);
    membership
        .update(SECOND, 0, hosts(0..9), DrainLimit::Enforced)
        .unwrap();
    membership
        .update(2 * SECOND, 0, hosts(2..9), DrainLimit::Enforced)
        .unwrap();
    let mut back = hosts(1..9);
    back.push(host(0, 7_000, 1.0));
    membership
        .update(3 * SECOND, 0, back, DrainLimit::Enforced)
        .unwrap();
    assert_eq!(
        state_and_start(&membership, 1),
        Some((WorkerState::Ready, 0)),
        "the same start"
    );
    assert_eq!(
        state_and_start(&membership, 0),
        Some((WorkerState::Ready, 3 * SECOND)),
        "a new one"
    );
    assert!(!membership.tick(60 * SECOND), "nothing drains any more");
}

#[test]
fn workers_that_are_added_at_once_are_all_cold() {
    let mut membership = Membership::new(policy(), 1);
    membership
        .update(SECOND, 0, hosts(0..9), DrainLimit::Enforced)
        .unwrap();
    membership
        .update(9 * SECOND, 0, hosts(0..39), DrainLimit::Enforced)
        .unwrap();
    assert!(
        (9..39).all(|n| state_and_start(&membership, n) == Some((WorkerState::Ready, 9 * SECOND)))
    );
    assert!((0..9).all(|n| state_and_start(&membership, n) == Some((WorkerState::Ready, 0))));
}

#[test]
#[expect(clippy::float_cmp, reason = "weights are exact")]
fn first_source_takes_precedence_and_any_source_keeps_a_worker() {
    let mut membership = Membership::new(policy(), 2);
    membership
        .update(0, 0, hosts([1]), DrainLimit::Enforced)
        .unwrap();
    membership
        .update(
            0,
            1,
            vec![host(1, 9_999, 2.0), host(2, 6_444, 1.0)],
            DrainLimit::Enforced,
        )
        .unwrap();
    let weight = |membership: &Membership, n: u32| {
        membership.worker_set().workers[format!("core-{n}").as_str()]
            .host
            .weight
    };
    assert_eq!(weight(&membership, 1), 1.0);
    membership
        .update(SECOND, 0, hosts([3]), DrainLimit::Enforced)
        .unwrap();
    assert_eq!(
        (
            weight(&membership, 1),
            state_and_start(&membership, 1).unwrap().0
        ),
        (2.0, WorkerState::Ready),
        "the other source names it still"
    );
    membership.on_source_failed(1, "no such file");
    assert_eq!(
        (membership.stale_reason(0), membership.stale_reason(1)),
        (None, Some("no such file"))
    );
    assert_eq!(
        state_and_start(&membership, 2).unwrap().0,
        WorkerState::Ready,
        "its last update stays in force"
    );
}

#[test]
fn update_that_drains_too_many_or_names_no_worker_is_rejected_whole() {
    let mut membership = Membership::new(policy(), 1);
    membership
        .update(0, 0, hosts(0..18), DrainLimit::Enforced)
        .unwrap();
    let before = membership.worker_set().clone();
    assert_eq!(
        membership.update(SECOND, 0, Vec::new(), DrainLimit::Overridden),
        Err(UpdateRejected::Empty)
    );
    // Three of six in one zone, and a new one that must not come in either.
    let fewer: Vec<u32> = (0..19).filter(|n| ![0, 3, 6].contains(n)).collect();
    let zone = "harbour-st".to_string();
    assert_eq!(
        membership.update(SECOND, 0, hosts(fewer.clone()), DrainLimit::Enforced),
        Err(UpdateRejected::TooManyDrained {
            zone,
            drained: 3,
            ready: 6
        })
    );
    assert_eq!(membership.worker_set(), &before);
    assert!(membership
        .stale_reason(0)
        .unwrap()
        .contains("3 of 6 workers of harbour-st"));
    assert_eq!(
        membership.update(SECOND, 0, hosts(fewer), DrainLimit::Overridden),
        Ok(true)
    );
    assert_eq!(
        (
            membership.stale_reason(0),
            membership.worker_set().generation
        ),
        (None, before.generation + 1)
    );
}

#[test]
fn repeated_update_changes_nothing_and_a_clone_stays_as_it_was() {
    let mut membership = Membership::new(policy(), 1);
    membership
        .update(0, 0, hosts(0..5_000), DrainLimit::Enforced)
        .unwrap();
    let old = membership.worker_set().clone();
    assert_eq!(
        membership.update(SECOND, 0, hosts(0..5_000), DrainLimit::Enforced),
        Ok(false)
    );
    assert_eq!(membership.worker_set().generation, old.generation);
    let mut one = hosts(0..5_000);
    one[77].weight = 2.0;
    assert_eq!(
        membership.update(SECOND, 0, one, DrainLimit::Enforced),
        Ok(true)
    );
    let weight = |s: &WorkerSet| s.workers["core-77"].host.weight;
    assert_eq!((weight(&old), weight(membership.worker_set())), (1.0, 2.0));
    let all: Vec<Host> = (0..5_000).map(|n| host(n, 7_000, 3.0)).collect();
    membership
        .update(2 * SECOND, 0, all, DrainLimit::Enforced)
        .unwrap();
    assert!(membership
        .worker_set()
        .workers
        .values()
        .all(|s| s.since == 2 * SECOND && s.state == WorkerState::Ready));
}

proptest! {
    /// Against a model that keeps, for each worker, only who names it and since when nobody does.
    #[test]
    fn membership_agrees_with_model(steps in prop::collection::vec((0usize..2, 1u64..3_000_000, prop::collection::btree_set(0u32..12, 0..12), any::<bool>()), 1..40)) {
        let mut membership = Membership::new(MembershipPolicy { max_drained_fraction: 0.5, ..policy() }, 2);
        let (mut named, mut gone_since) = (vec![Vec::<u32>::new(); 2], BTreeMap::<u32, u64>::new());
        let (mut now, mut generation) = (0, 0);
        for (source, wait, numbers, force) in steps {
            now += wait;
            membership.tick(now);
            gone_since.retain(|_, since| now < *since + 5 * SECOND);
            let before = membership.worker_set().clone();
            let drain_limit = if force { DrainLimit::Overridden } else { DrainLimit::Enforced };
            if let Ok(changed) = membership.update(now, source, hosts(numbers.clone()), drain_limit) {
                prop_assert_eq!(changed, before.workers != membership.worker_set().workers);
                let old: Vec<u32> = named.concat();
                named[source] = numbers.into_iter().collect();
                let new = named.concat();
                for number in old.iter().filter(|number| !new.contains(number)) {
                    gone_since.entry(*number).or_insert(now);
                }
                gone_since.retain(|number, _| !new.contains(number));
            } else {
                prop_assert_eq!(&before, membership.worker_set(), "whole or not at all");
            }
            prop_assert!(membership.is_consistent());
            prop_assert!(membership.worker_set().generation >= generation);
            generation = membership.worker_set().generation;
            for n in 0..12 {
                let state = state_and_start(&membership, n).map(|(state, _)| state);
                let ready = named.concat().contains(&n);
                let wanted = if ready { Some(WorkerState::Ready) } else { gone_since.get(&n).map(|s| WorkerState::Draining(*s)) };
                prop_assert_eq!(state, wanted, "core-{} at {}", n, now);
            }
        }
    }
}
