//! Explanations of why a unit waits.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{task, unit, worker, Cluster};
use rstest::rstest;
use streamusher_placement::{WaitReason, WorkerInfo};
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::{Unit, UnitId};

fn unschedulable(info: WorkerInfo) -> WorkerInfo {
    WorkerInfo {
        schedulable: false,
        ..info
    }
}

fn explanation(cluster: &Cluster, number: u64) -> streamusher_placement::WaitExplanation {
    cluster
        .placement
        .explain(cluster.now, &unit(number, 500, 1).id)
        .expect("the unit is pending")
}

#[rstest]
#[case::not_schedulable(
    unschedulable(worker("w1", 1_000, "r1")),
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
fn reason_is_given_when_no_worker_could_run_the_unit(
    #[case] info: WorkerInfo,
    #[case] waiting: Unit,
    #[case] reason: WaitReason,
) {
    let mut cluster = Cluster::new(1, [info]);
    cluster.enqueue(waiting);
    assert!(cluster.place().is_empty());
    let explanation = explanation(&cluster, 1);
    assert_eq!(
        (explanation.reason, explanation.eligible_workers),
        (reason, 0)
    );
}

#[test]
fn full_worker_is_explained_by_lack_of_capacity_and_units_ahead() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 1));
    assert_eq!(cluster.place().len(), 1);
    cluster.enqueue(unit(2, 500, 1));
    cluster.enqueue(unit(3, 500, 1));
    assert!(cluster.place().is_empty());
    let explanation = explanation(&cluster, 3);
    assert_eq!(
        (explanation.reason, explanation.units_ahead),
        (WaitReason::NoFreeCapacity, 1)
    );
    assert_eq!(
        (
            explanation.schedulable_workers,
            explanation.eligible_workers,
            explanation.workers_with_free_capacity
        ),
        (1, 1, 0)
    );
}

#[test]
fn running_unit_has_no_explanation() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 500, 1));
    assert_eq!(cluster.place().len(), 1);
    assert_eq!(
        cluster.placement.explain(cluster.now, &unit(1, 500, 1).id),
        None
    );
}

#[test]
fn anti_affinity_limit_is_distinguished_from_lack_of_capacity() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    for number in [1, 2] {
        cluster.enqueue(task_of_step(number));
        cluster.place();
    }
    let explanation = cluster
        .placement
        .explain(cluster.now, &task_of_step(2).id)
        .expect("the unit is pending");
    assert_eq!(explanation.reason, WaitReason::AntiAffinityLimitReached);
    assert_eq!(
        (
            explanation.eligible_workers,
            explanation.workers_below_limit
        ),
        (1, 0)
    );
}

/// A task of a step that is limited to one task per worker.
fn task_of_step(index: u32) -> Unit {
    let task = TaskId { index, ..task(1) };
    Unit {
        id: UnitId::of_task(&task),
        tasks: vec![task],
        anti_affinity: 1,
        ..unit(1, 300, 1)
    }
}
