//! Why a unit waits, as operators are told.

mod common;

use common::*;
use rstest::rstest;
use streamusher_placement::{WaitReason, WorkerInfo};
use streamusher_protocol::unit::Unit;

fn closed(info: WorkerInfo) -> WorkerInfo {
    WorkerInfo {
        schedulable: false,
        ..info
    }
}

fn explained(cluster: &Cluster, number: u64) -> streamusher_placement::WaitExplanation {
    cluster
        .placement
        .explain(cluster.now, &unit(number, 500, 1).id)
        .expect("it waits")
}

#[rstest]
#[case::closed(
    closed(worker("w1", 1_000, "r1")),
    unit(1, 500, 1),
    WaitReason::NoSchedulableWorker
)]
#[case::label(worker("w1", 1_000, "r1"), Unit { node_selector: Some("z".into()), ..unit(1, 500, 1) },
    WaitReason::NoMatchingLabel)]
#[case::too_large(
    worker("w1", 1_000, "r1"),
    unit(1, 2_000, 1),
    WaitReason::NoWorkerLargeEnough
)]
fn given_no_worker_that_could_run_a_unit_when_asked_then_the_reason_is_told(
    #[case] info: WorkerInfo,
    #[case] waiting: Unit,
    #[case] reason: WaitReason,
) {
    let mut cluster = Cluster::new(1, [info]);
    cluster.enqueue(waiting);
    assert!(cluster.place().is_empty());
    let explained = explained(&cluster, 1);
    assert_eq!((explained.reason, explained.eligible_workers), (reason, 0));
}

#[test]
fn given_a_full_worker_when_asked_then_there_is_no_room_and_what_is_ahead_is_counted() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 1));
    assert_eq!(cluster.place().len(), 1);
    cluster.enqueue(unit(2, 500, 1));
    cluster.enqueue(unit(3, 500, 1));
    assert!(cluster.place().is_empty());
    let explained = explained(&cluster, 3);
    assert_eq!(
        (explained.reason, explained.units_ahead),
        (WaitReason::NoFreeCapacity, 1)
    );
    assert_eq!(
        (
            explained.schedulable_workers,
            explained.eligible_workers,
            explained.workers_with_free_capacity
        ),
        (1, 1, 0)
    );
}

#[test]
fn given_a_unit_that_runs_when_asked_then_it_does_not_wait() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 500, 1));
    assert_eq!(cluster.place().len(), 1);
    assert_eq!(
        cluster.placement.explain(cluster.now, &unit(1, 500, 1).id),
        None
    );
}
