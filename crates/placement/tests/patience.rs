//! No unit waits for three seconds in a service with more than half of its room free, whatever keeps the room from it.

mod common;

use common::*;
use rstest::rstest;
use std::sync::Arc;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// The rule's bound.
const BOUND_MS: Millis = 3_000;
/// The number of the unit that waits.
const WAITING: u64 = 900_000;

fn two_workers() -> Cluster {
    Cluster::new(1, [worker("w1", 10_000, "r1"), worker("w2", 10_000, "r1")])
}

/// Bursts of work that cannot wait have taught the service to keep most of its room; a long task has each worker's free part.
fn headroom_is_kept() -> Cluster {
    let mut cluster = two_workers();
    for second in 1..=20_u64 {
        (0..14).for_each(|index| cluster.enqueue(unit(1_000 * second + index, 1_000, 0)));
        cluster.run_for(500);
        ["w1", "w2"]
            .into_iter()
            .for_each(|id| cluster.end_all_at(id));
        cluster.run_for(500);
    }
    let long = |number| Unit {
        slack_ms: 60_000,
        estimated_ms: 60_000,
        ..unit(number, 3_000, 2)
    };
    (1..=2).for_each(|number| cluster.enqueue(long(number)));
    cluster.run_for(BOUND_MS);
    cluster
}

/// All workers are on trial, and each runs its one task.
fn workers_are_on_trial() -> Cluster {
    let mut cluster = two_workers();
    for number in 1..=10 {
        cluster.enqueue(unit(number, 1_000, 2));
        cluster.place();
        let at: Option<Arc<str>> = cluster.where_is(number).map(Into::into);
        at.into_iter()
            .for_each(|at| cluster.end(&task(number), &at, RunEnd::Failed));
    }
    cluster
}

/// A gang waits for the whole of a worker: its room is reserved as runs end.
fn room_is_reserved() -> Cluster {
    let mut cluster = two_workers();
    (1..=2).for_each(|number| {
        cluster.enqueue(Unit {
            estimated_ms: 60_000,
            ..unit(number, 4_000, 1)
        })
    });
    cluster.place();
    cluster.enqueue(Unit {
        slack_ms: 60_000,
        ..gang(3, 2, 9_000, 1)
    });
    cluster.run_for(1_000);
    cluster
}

/// The same, and runs are being stopped for it.
fn runs_were_stopped() -> Cluster {
    let mut cluster = two_workers();
    (1..=2).for_each(|number| {
        cluster.enqueue(Unit {
            estimated_ms: 60_000,
            ..unit(number, 4_000, 2)
        })
    });
    cluster.place();
    cluster.enqueue(gang(3, 2, 9_000, 1));
    cluster.run_for(500);
    assert!(!cluster.preempted.is_empty(), "room is being made");
    cluster
}

#[rstest]
#[case::headroom(headroom_is_kept(), 3_000)]
#[case::trial(workers_are_on_trial(), 3_000)]
#[case::reservation(room_is_reserved(), 1_500)]
#[case::stops(runs_were_stopped(), 1_500)]
fn given_room_that_is_kept_from_a_unit_when_more_than_half_is_free_then_it_starts_within_three_seconds(
    #[case] mut cluster: Cluster,
    #[case] cpu: u64,
) {
    cluster.enqueue(Unit {
        slack_ms: 60_000,
        ..unit(WAITING, cpu, 2)
    });
    cluster.run_for(BOUND_MS);
    assert!(cluster.where_is(WAITING).is_some(), "it waits still");
}

#[test]
fn given_headroom_when_a_unit_that_can_wait_comes_then_it_waits_at_first() {
    let mut cluster = headroom_is_kept();
    cluster.enqueue(Unit {
        slack_ms: 60_000,
        ..unit(WAITING, 3_000, 2)
    });
    cluster.run_for(1_000);
    assert!(
        cluster.where_is(WAITING).is_none(),
        "nothing was kept from it: the bound above shows nothing"
    );
}
