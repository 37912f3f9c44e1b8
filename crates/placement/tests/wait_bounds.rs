//! No unit waits for three seconds in a service with more than half of its capacity free, whichever mechanism
//! withholds that capacity.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{gang, task, unit, worker, Cluster};
use rstest::rstest;
use std::sync::Arc;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// Upper bound of the wait.
const MAX_WAIT_MS: Millis = 3_000;
/// Number of the waiting unit.
const WAITING_UNIT: u64 = 900_000;

fn two_workers() -> Cluster {
    Cluster::new(1, [worker("w1", 10_000, "r1"), worker("w2", 10_000, "r1")])
}

/// After bursts of work that cannot wait, most of the capacity is headroom; a long task holds the rest of
/// each worker.
fn cluster_with_headroom() -> Cluster {
    let mut cluster = two_workers();
    for second in 1..=20_u64 {
        (0..14).for_each(|index| cluster.enqueue(unit(1_000 * second + index, 1_000, 0)));
        cluster.place_for(500);
        for id in ["w1", "w2"] {
            cluster.finish_all_at(id);
        }
        cluster.place_for(500);
    }
    let long_task = |number| Unit {
        slack_ms: 60_000,
        estimated_ms: 60_000,
        ..unit(number, 3_000, 2)
    };
    (1..=2).for_each(|number| cluster.enqueue(long_task(number)));
    cluster.place_for(MAX_WAIT_MS);
    cluster
}

/// All workers are on probation, and each runs the one task that it may.
fn cluster_on_probation() -> Cluster {
    let mut cluster = two_workers();
    for number in 1..=10 {
        cluster.enqueue(unit(number, 1_000, 2));
        cluster.place();
        let worker: Option<Arc<str>> = cluster.worker_of(number).map(Into::into);
        if let Some(worker) = worker {
            cluster.finish(&task(number), &worker, RunEnd::Failed);
        }
    }
    cluster
}

/// A gang waits for whole workers; their capacity is reserved as runs end.
fn cluster_with_reservations() -> Cluster {
    let mut cluster = two_workers();
    (1..=2).for_each(|number| {
        cluster.enqueue(Unit {
            estimated_ms: 60_000,
            ..unit(number, 4_000, 1)
        });
    });
    cluster.place();
    cluster.enqueue(Unit {
        slack_ms: 60_000,
        ..gang(3, 2, 9_000, 1)
    });
    cluster.place_for(1_000);
    cluster
}

/// A gang waits for whole workers, and runs are being preempted for it.
fn cluster_with_preemptions() -> Cluster {
    let mut cluster = two_workers();
    (1..=2).for_each(|number| {
        cluster.enqueue(Unit {
            estimated_ms: 60_000,
            ..unit(number, 4_000, 2)
        });
    });
    cluster.place();
    cluster.enqueue(gang(3, 2, 9_000, 1));
    cluster.place_for(500);
    assert!(
        !cluster.preempted.is_empty(),
        "runs are being preempted for the gang"
    );
    cluster
}

#[rstest]
#[case::headroom(cluster_with_headroom(), 3_000)]
#[case::probation(cluster_on_probation(), 3_000)]
#[case::reservation(cluster_with_reservations(), 1_500)]
#[case::preemption(cluster_with_preemptions(), 1_500)]
fn unit_starts_within_three_seconds_in_a_lightly_used_service(
    #[case] mut cluster: Cluster,
    #[case] cpu: u64,
) {
    cluster.enqueue(Unit {
        slack_ms: 60_000,
        ..unit(WAITING_UNIT, cpu, 2)
    });
    cluster.place_for(MAX_WAIT_MS);
    assert!(
        cluster.worker_of(WAITING_UNIT).is_some(),
        "the unit is still pending"
    );
}

#[test]
fn deferrable_unit_leaves_headroom_at_first() {
    let mut cluster = cluster_with_headroom();
    cluster.enqueue(Unit {
        slack_ms: 60_000,
        ..unit(WAITING_UNIT, 3_000, 2)
    });
    cluster.place_for(1_000);
    assert!(
        cluster.worker_of(WAITING_UNIT).is_none(),
        "the unit started despite the headroom, so the test of the bound proves nothing"
    );
}
