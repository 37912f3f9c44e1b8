//! Time that a unit has waited, by reason, as reported with its start.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{unit, worker, Cluster};
use streamusher_placement::{TimeWaited, WaitReason};
use streamusher_protocol::Millis;

fn waits_of(cluster: &Cluster, number: u64) -> Vec<TimeWaited> {
    cluster.waits[&unit(number, 1, 1).id].clone()
}

fn reasons(waits: &[TimeWaited]) -> Vec<WaitReason> {
    waits.iter().map(|wait| wait.reason).collect()
}

fn total_ms(waits: &[TimeWaited]) -> Millis {
    waits.iter().map(|wait| wait.waited_ms).sum()
}

#[test]
fn unit_started_at_once_has_not_waited() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 500, 1));
    cluster.place();
    assert_eq!(waits_of(&cluster, 1), vec![]);
}

#[test]
fn waits_are_attributed_to_lack_of_capacity_and_then_to_the_reservation() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 1));
    cluster.place();
    cluster.enqueue(unit(2, 500, 1));
    cluster.place_for(640);
    cluster.finish_all_at("w1");
    cluster.place();
    let waits = waits_of(&cluster, 2);
    assert_eq!(
        reasons(&waits),
        vec![WaitReason::NoFreeCapacity, WaitReason::CapacityReserved]
    );
    assert_eq!(total_ms(&waits), 640);
}

#[test]
fn waits_for_several_reasons_add_up() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 1));
    cluster.place();
    cluster.update_worker(streamusher_placement::WorkerInfo {
        schedulable: false,
        ..worker("w1", 1_000, "r1")
    });
    cluster.enqueue(unit(2, 500, 1));
    cluster.place_for(1_000);
    cluster.update_worker(worker("w1", 1_000, "r1"));
    cluster.place_for(1_000);
    cluster.finish_all_at("w1");
    cluster.place();
    let waits = waits_of(&cluster, 2);
    assert_eq!(
        reasons(&waits),
        vec![
            WaitReason::NoSchedulableWorker,
            WaitReason::CapacityReserved
        ]
    );
    assert_eq!(total_ms(&waits), 2_000);
}
