//! What a unit is told to have waited for when it starts.

mod common;

use common::*;
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
fn given_room_when_a_unit_comes_then_it_has_waited_for_nothing() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 500, 1));
    cluster.place();
    assert_eq!(waits_of(&cluster, 1), vec![]);
}

#[test]
fn given_a_full_worker_when_its_run_ends_then_the_next_unit_has_waited_for_room_and_then_for_what_is_kept(
) {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 1));
    cluster.place();
    cluster.enqueue(unit(2, 500, 1));
    cluster.run_for(640);
    cluster.end_all_at("w1");
    cluster.place();
    let waits = waits_of(&cluster, 2);
    assert_eq!(
        reasons(&waits),
        vec![WaitReason::NoFreeCapacity, WaitReason::CapacityReserved]
    );
    assert_eq!(total_ms(&waits), 640);
}

#[test]
fn given_no_worker_and_then_a_full_one_when_a_unit_starts_then_both_waits_are_told_and_add_up() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 1));
    cluster.place();
    cluster.worker(streamusher_placement::WorkerInfo {
        schedulable: false,
        ..worker("w1", 1_000, "r1")
    });
    cluster.enqueue(unit(2, 500, 1));
    cluster.run_for(1_000);
    cluster.worker(worker("w1", 1_000, "r1"));
    cluster.run_for(1_000);
    cluster.end_all_at("w1");
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
