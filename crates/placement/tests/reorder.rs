//! A pending unit gets another place in the queue.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{gang, settings, task, unit, worker};
use streamusher_placement::{Allocation, Decision, Placement, ReleaseReason};
use streamusher_protocol::unit::Unit;

/// A full worker, and units that wait for it.
fn with_pending(units: &[Unit]) -> Placement {
    let mut placement = Placement::new(settings(1));
    placement.update_worker(0, worker("w", 1_000, "r"));
    placement.restore_run(
        0,
        &task(999),
        &"w".into(),
        Allocation::from(&unit(999, 1_000, 1)),
        0,
    );
    for unit in units {
        placement.enqueue(0, unit.clone());
    }
    assert!(placement.place(300).is_empty());
    placement
}

fn first_start(placement: &mut Placement) -> Option<Decision> {
    placement.release(400, &task(999), &"w".into(), ReleaseReason::Lost);
    placement.place(400).into_iter().next()
}

fn starts(decision: Option<Decision>, unit: &Unit) -> bool {
    matches!(decision, Some(Decision::Start { unit: started, .. }) if started == unit.id)
}

#[test]
fn unit_moved_back_starts_after_the_next() {
    let (one, two) = (unit(1, 1_000, 1), unit(2, 1_000, 1));
    let mut placement = with_pending(&[one.clone(), two.clone()]);
    assert!(placement.reorder(&one.id, 3));
    assert_eq!(placement.order_of(&one.id), Some(3));
    assert!(starts(first_start(&mut placement), &two));
}

#[test]
fn priority_decides_over_order() {
    let (one, two) = (unit(1, 1_000, 1), unit(2, 1_000, 2));
    let mut placement = with_pending(&[one.clone(), two.clone()]);
    assert!(placement.reorder(&two.id, 0));
    assert!(starts(first_start(&mut placement), &one));
}

#[test]
fn swapped_gangs_start_in_the_new_order() {
    let (one, two) = (gang(1, 2, 500, 1), gang(2, 2, 500, 1));
    let mut placement = Placement::new(settings(1));
    placement.update_worker(0, worker("w", 900, "r"));
    placement.enqueue(0, one.clone());
    placement.enqueue(0, two.clone());
    placement.reorder(&one.id, 3);
    placement.update_worker(10, worker("w", 1_000, "r"));
    assert!(starts(placement.place(10).into_iter().next(), &two));
}

#[test]
fn gang_with_reservations_keeps_its_place() {
    let one = gang(1, 2, 500, 1);
    let mut placement = with_pending(std::slice::from_ref(&one));
    assert!(!placement.reorder(&one.id, 9));
    assert_eq!(placement.order_of(&one.id), Some(1));
}

#[test]
fn unknown_unit_and_unchanged_order_are_not_reordered() {
    let one = unit(1, 1_000, 1);
    let mut placement = with_pending(std::slice::from_ref(&one));
    assert!(!placement.reorder(&unit(5, 1_000, 1).id, 7));
    assert_eq!(placement.order_of(&unit(5, 1_000, 1).id), None);
    assert!(!placement.reorder(&one.id, 1));
}

#[test]
fn reordered_unit_is_withdrawn_with_all_copies() {
    let (one, two) = (unit(1, 1_000, 1), unit(2, 1_000, 1));
    let mut placement = with_pending(&[one.clone(), two.clone()]);
    placement.reorder(&two.id, 0);
    placement.withdraw(&two.id);
    assert_eq!(
        placement.workers().next().map(|worker| worker.queued),
        Some(1)
    );
    assert_eq!(placement.pending_count(), 1);
    assert!(starts(first_start(&mut placement), &one));
}
