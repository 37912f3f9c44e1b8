//! A waiting unit gets another place in the order.

mod common;

use common::*;
use streamusher_placement::{Allocation, Decision, Placement, ReleaseReason};
use streamusher_protocol::unit::Unit;

/// A worker that is full, and units that wait for it.
fn given_waiting(units: &[Unit]) -> Placement {
    let mut placement = Placement::new(settings(1));
    placement.update_worker(0, worker("w", 1_000, "r"));
    placement.restore_run(
        0,
        &task(999),
        &"w".into(),
        Allocation::from(&unit(999, 1_000, 1)),
    );
    units
        .iter()
        .for_each(|unit| placement.enqueue(0, unit.clone()));
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
fn given_two_units_when_the_first_is_put_back_then_the_second_starts_first() {
    let (one, two) = (unit(1, 1_000, 1), unit(2, 1_000, 1));
    let mut placement = given_waiting(&[one.clone(), two.clone()]);
    assert!(placement.reorder(&one.id, 3));
    assert_eq!(placement.order_of(&one.id), Some(3));
    assert!(starts(first_start(&mut placement), &two));
}

#[test]
fn given_a_less_urgent_unit_when_it_is_put_first_then_priority_still_decides() {
    let (one, two) = (unit(1, 1_000, 1), unit(2, 1_000, 2));
    let mut placement = given_waiting(&[one.clone(), two.clone()]);
    assert!(placement.reorder(&two.id, 0));
    assert!(starts(first_start(&mut placement), &one));
}

#[test]
fn given_two_gangs_when_their_order_is_swapped_then_the_other_starts_first() {
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
fn given_a_gang_that_room_is_kept_for_when_reordered_then_it_keeps_its_place() {
    let one = gang(1, 2, 500, 1);
    let mut placement = given_waiting(std::slice::from_ref(&one));
    assert!(!placement.reorder(&one.id, 9));
    assert_eq!(placement.order_of(&one.id), Some(1));
}

#[test]
fn given_units_that_do_not_wait_or_stand_there_already_when_reordered_then_nothing_changes() {
    let one = unit(1, 1_000, 1);
    let mut placement = given_waiting(std::slice::from_ref(&one));
    assert!(!placement.reorder(&unit(5, 1_000, 1).id, 7));
    assert_eq!(placement.order_of(&unit(5, 1_000, 1).id), None);
    assert!(!placement.reorder(&one.id, 1));
}

#[test]
fn given_a_unit_withdrawn_after_it_was_reordered_then_no_copy_of_it_is_left() {
    let (one, two) = (unit(1, 1_000, 1), unit(2, 1_000, 1));
    let mut placement = given_waiting(&[one.clone(), two.clone()]);
    placement.reorder(&two.id, 0);
    placement.withdraw(&two.id);
    assert_eq!(
        placement.workers().next().map(|worker| worker.queued),
        Some(1)
    );
    assert_eq!(placement.pending_count(), 1);
    assert!(starts(first_start(&mut placement), &one));
}
