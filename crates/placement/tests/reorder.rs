//! Moving a pending unit to another position in the queue.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{gang, settings, task, unit, worker};
use streamusher_placement::{Allocation, Decision, Placement, ReleaseReason};
use streamusher_protocol::unit::Unit;

/// A placement with one full worker and units that wait for it.
fn placement_with_pending(units: &[Unit]) -> Placement {
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

fn is_start_of(decision: Option<Decision>, unit: &Unit) -> bool {
    matches!(decision, Some(Decision::Start { unit: started, .. }) if started == unit.id)
}

#[test]
fn unit_moved_back_starts_after_its_successor() {
    let (first, second) = (unit(1, 1_000, 1), unit(2, 1_000, 1));
    let mut placement = placement_with_pending(&[first.clone(), second.clone()]);
    assert!(placement.reorder(&first.id, 3));
    assert_eq!(placement.order_of(&first.id), Some(3));
    assert!(is_start_of(first_start(&mut placement), &second));
}

#[test]
fn priority_takes_precedence_over_order() {
    let (first, second) = (unit(1, 1_000, 1), unit(2, 1_000, 2));
    let mut placement = placement_with_pending(&[first.clone(), second.clone()]);
    assert!(placement.reorder(&second.id, 0));
    assert!(is_start_of(first_start(&mut placement), &first));
}

#[test]
fn swapped_gangs_start_in_the_new_order() {
    let (first, second) = (gang(1, 2, 500, 1), gang(2, 2, 500, 1));
    let mut placement = Placement::new(settings(1));
    placement.update_worker(0, worker("w", 900, "r"));
    placement.enqueue(0, first.clone());
    placement.enqueue(0, second.clone());
    placement.reorder(&first.id, 3);
    placement.update_worker(10, worker("w", 1_000, "r"));
    assert!(is_start_of(placement.place(10).into_iter().next(), &second));
}

#[test]
fn gang_with_reservations_keeps_its_position() {
    let first = gang(1, 2, 500, 1);
    let mut placement = placement_with_pending(std::slice::from_ref(&first));
    assert!(!placement.reorder(&first.id, 9));
    assert_eq!(placement.order_of(&first.id), Some(1));
}

#[test]
fn unknown_unit_and_unchanged_order_are_not_reordered() {
    let first = unit(1, 1_000, 1);
    let mut placement = placement_with_pending(std::slice::from_ref(&first));
    assert!(!placement.reorder(&unit(5, 1_000, 1).id, 7));
    assert_eq!(placement.order_of(&unit(5, 1_000, 1).id), None);
    assert!(!placement.reorder(&first.id, 1));
}

#[test]
fn reordered_unit_is_withdrawn_with_all_copies() {
    let (first, second) = (unit(1, 1_000, 1), unit(2, 1_000, 1));
    let mut placement = placement_with_pending(&[first.clone(), second.clone()]);
    placement.reorder(&second.id, 0);
    placement.withdraw(&second.id);
    assert_eq!(
        placement.workers().next().map(|worker| worker.queued),
        Some(1)
    );
    assert_eq!(placement.pending_count(), 1);
    assert!(is_start_of(first_start(&mut placement), &first));
}
