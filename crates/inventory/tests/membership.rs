//! Membership: drains, returns, restarts, precedence and rejected updates, by example and against a simple
//! model.

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

/// The address 10.0.x.y of the host with this number.
fn ipv4_address(number: u32) -> [u8; 4] {
    let [_, _, high, low] = number.to_be_bytes();
    [10, 0, high, low]
}

fn host(number: u32, port: u16, weight: f64) -> Host {
    let zone = ["harbour-st", "pump-house", "north-yard"][number as usize % 3].to_string();
    let addr = (ipv4_address(number), port).into();
    Host {
        name: format!("core-{number}"),
        addr,
        zone,
        kind: "standard".into(),
        cell: 0,
        weight,
    }
}

fn hosts(numbers: impl IntoIterator<Item = u32>) -> Vec<Host> {
    numbers
        .into_iter()
        .map(|number| host(number, 6_444, 1.0))
        .collect()
}

fn policy() -> MembershipPolicy {
    MembershipPolicy {
        drain_us: 5 * SECOND,
        max_drained_fraction: 1.0 / 3.0,
        allow_empty: false,
    }
}

fn state_and_start(membership: &Membership, number: u32) -> Option<(WorkerState, u64)> {
    membership
        .worker_set()
        .workers
        .get(format!("core-{number}").as_str())
        .map(|worker| (worker.state, worker.since))
}

#[test]
fn worker_that_is_no_longer_listed_drains_and_is_removed() {
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
        "a worker that returns after its removal has a new start time"
    );
}

#[test]
fn draining_worker_that_returns_keeps_its_start_only_at_the_same_address() {
    let mut membership = Membership::new(policy(), 1);
    membership
        .update(SECOND, 0, hosts(0..9), DrainLimit::Enforced)
        .unwrap();
    membership
        .update(2 * SECOND, 0, hosts(2..9), DrainLimit::Enforced)
        .unwrap();
    let mut returned = hosts(1..9);
    returned.push(host(0, 7_000, 1.0));
    membership
        .update(3 * SECOND, 0, returned, DrainLimit::Enforced)
        .unwrap();
    assert_eq!(
        state_and_start(&membership, 1),
        Some((WorkerState::Ready, 0)),
        "at the same address the start time is kept"
    );
    assert_eq!(
        state_and_start(&membership, 0),
        Some((WorkerState::Ready, 3 * SECOND)),
        "at a new address the start time is new"
    );
    assert!(!membership.tick(60 * SECOND), "no worker is draining");
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
    assert!((9..39).all(
        |number| state_and_start(&membership, number) == Some((WorkerState::Ready, 9 * SECOND))
    ));
    assert!(
        (0..9).all(|number| state_and_start(&membership, number) == Some((WorkerState::Ready, 0)))
    );
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
    let weight = |membership: &Membership, number: u32| {
        membership.worker_set().workers[format!("core-{number}").as_str()]
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
        "the other source still lists the worker"
    );
    membership.on_source_failed(1, "no such file");
    assert_eq!(
        (membership.stale_reason(0), membership.stale_reason(1)),
        (None, Some("no such file"))
    );
    assert_eq!(
        state_and_start(&membership, 2).unwrap().0,
        WorkerState::Ready,
        "the last valid update stays in effect"
    );
}

#[test]
fn update_that_drains_too_many_or_lists_no_worker_is_rejected() {
    let mut membership = Membership::new(policy(), 1);
    membership
        .update(0, 0, hosts(0..18), DrainLimit::Enforced)
        .unwrap();
    let before = membership.worker_set().clone();
    assert_eq!(
        membership.update(SECOND, 0, Vec::new(), DrainLimit::Overridden),
        Err(UpdateRejected::Empty)
    );
    // The update drains three of the six workers in one zone. It also adds a worker, which must not be added
    // either.
    let remaining: Vec<u32> = (0..19)
        .filter(|number| ![0, 3, 6].contains(number))
        .collect();
    let zone = "harbour-st".to_string();
    assert_eq!(
        membership.update(SECOND, 0, hosts(remaining.clone()), DrainLimit::Enforced),
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
        membership.update(SECOND, 0, hosts(remaining), DrainLimit::Overridden),
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
fn repeated_update_changes_nothing_and_clones_stay_unchanged() {
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
    let mut one_changed = hosts(0..5_000);
    one_changed[77].weight = 2.0;
    assert_eq!(
        membership.update(SECOND, 0, one_changed, DrainLimit::Enforced),
        Ok(true)
    );
    let weight = |set: &WorkerSet| set.workers["core-77"].host.weight;
    assert_eq!((weight(&old), weight(membership.worker_set())), (1.0, 2.0));
    let all_changed: Vec<Host> = (0..5_000).map(|number| host(number, 7_000, 3.0)).collect();
    membership
        .update(2 * SECOND, 0, all_changed, DrainLimit::Enforced)
        .unwrap();
    assert!(membership
        .worker_set()
        .workers
        .values()
        .all(|worker| worker.since == 2 * SECOND && worker.state == WorkerState::Ready));
}

proptest! {
    /// Compares with a model that stores, for each worker, only the sources that list it and the time since
    /// which none does.
    #[test]
    fn membership_agrees_with_model(steps in prop::collection::vec((0usize..2, 1u64..3_000_000, prop::collection::btree_set(0u32..12, 0..12), any::<bool>()), 1..40)) {
        let mut membership = Membership::new(MembershipPolicy { max_drained_fraction: 0.5, ..policy() }, 2);
        let (mut named, mut unlisted_since) = (vec![Vec::<u32>::new(); 2], BTreeMap::<u32, u64>::new());
        let (mut now, mut generation) = (0, 0);
        for (source, wait, numbers, force) in steps {
            now += wait;
            membership.tick(now);
            unlisted_since.retain(|_, since| now < *since + 5 * SECOND);
            let before = membership.worker_set().clone();
            let drain_limit = if force { DrainLimit::Overridden } else { DrainLimit::Enforced };
            if let Ok(changed) = membership.update(now, source, hosts(numbers.clone()), drain_limit) {
                prop_assert_eq!(changed, before.workers != membership.worker_set().workers);
                let old: Vec<u32> = named.concat();
                named[source] = numbers.into_iter().collect();
                let new = named.concat();
                for number in old.iter().filter(|number| !new.contains(number)) {
                    unlisted_since.entry(*number).or_insert(now);
                }
                unlisted_since.retain(|number, _| !new.contains(number));
            } else {
                prop_assert_eq!(&before, membership.worker_set(), "a rejected update changes nothing");
            }
            prop_assert!(membership.is_consistent());
            prop_assert!(membership.worker_set().generation >= generation);
            generation = membership.worker_set().generation;
            for number in 0..12 {
                let state = state_and_start(&membership, number).map(|(state, _)| state);
                let ready = named.concat().contains(&number);
                let expected = if ready { Some(WorkerState::Ready) } else { unlisted_since.get(&number).map(|since| WorkerState::Draining(*since)) };
                prop_assert_eq!(state, expected, "core-{} at {}", number, now);
            }
        }
    }
}
