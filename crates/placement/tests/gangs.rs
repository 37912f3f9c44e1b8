//! Gangs: all members start at once, on a single rack if requested.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{gang, task, unit, worker, Cluster};
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::{Unit, WorkerId};

#[test]
fn gang_starts_with_all_members_or_not_at_all() {
    let mut cluster = Cluster::new(1, [worker("w1", 2_000, "r1"), worker("w2", 2_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 1));
    cluster.place();
    cluster.enqueue(gang(2, 4, 1_000, 1));
    assert!(cluster.place_for(4_000).is_empty());
    let worker: WorkerId = cluster.worker_of(1).unwrap().into();
    cluster.finish(&task(1), &worker, RunEnd::Done);
    assert_eq!(
        cluster.place().len(),
        4,
        "all members start in one decision"
    );
}

#[test]
fn gang_that_requests_one_rack_runs_on_one() {
    let workers = [("w1", "r1"), ("w2", "r2"), ("w3", "r2"), ("w4", "r1")];
    let mut cluster = Cluster::new(1, workers.map(|(id, rack)| worker(id, 2_000, rack)));
    cluster.enqueue(unit(1, 1_500, 1));
    cluster.place();
    cluster.enqueue(Unit {
        same_rack: true,
        ..gang(2, 4, 1_000, 1)
    });
    let started = cluster.place();
    let racks: Vec<_> = started
        .iter()
        .map(|(_, worker)| cluster.workers[worker].labels[1].clone())
        .collect();
    assert_eq!(racks.len(), 4);
    assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
}

#[test]
fn gang_spans_racks_that_are_too_small() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1"), worker("w2", 1_000, "r2")]);
    cluster.enqueue(Unit {
        same_rack: true,
        ..gang(1, 2, 1_000, 1)
    });
    assert_eq!(cluster.place().len(), 2);
}

#[test]
fn gang_spans_busy_racks_once_waiting_costs_more() {
    let workers = [("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];
    let mut cluster = Cluster::new(1, workers.map(|(id, rack)| worker(id, 1_000, rack)));
    for number in [1, 2] {
        let rack = if number == 1 { "r1" } else { "r2" };
        let pinned = Unit {
            node_selector: Some(rack.into()),
            ..unit(number, 1_000, 1)
        };
        cluster.enqueue(Unit {
            estimated_ms: 30_000,
            ..pinned
        });
    }
    assert_eq!(cluster.place().len(), 2);
    cluster.enqueue(Unit {
        same_rack: true,
        ..gang(3, 2, 1_000, 1)
    });
    assert!(cluster.place().is_empty());
    assert_eq!(cluster.place_for(1_000).len(), 2);
}

#[test]
fn anti_affinity_holds_for_gang_members() {
    let mut cluster = Cluster::new(1, ["w1", "w2", "w3"].map(|id| worker(id, 9_000, "r1")));
    cluster.enqueue(Unit {
        anti_affinity: 1,
        ..gang(1, 3, 1_000, 1)
    });
    cluster.enqueue(Unit {
        anti_affinity: 1,
        ..gang(2, 4, 1_000, 1)
    });
    assert_eq!(
        cluster.place_for(3_000).len(),
        3,
        "there are too few workers for the gang of four"
    );
}

#[test]
fn gang_gets_capacity_while_small_tasks_keep_arriving() {
    let mut cluster = Cluster::new(1, ["w1", "w2"].map(|id| worker(id, 4_000, "r1")));
    (1..=8).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    cluster.place();
    cluster.enqueue(gang(9, 2, 4_000, 2));
    for number in 10..110 {
        cluster.enqueue(unit(number, 1_000, 2));
        cluster.place_for(120);
        let now = cluster.now;
        cluster.finish_where(RunEnd::Done, |_, run| run.started_at + 1_000 <= now);
        if cluster.worker_of(9).is_some() {
            return;
        }
    }
    panic!("the gang was not started within 12 s");
}

#[test]
fn capacity_preempted_for_a_gang_is_kept_from_less_urgent_tasks() {
    let large = ["w1", "w2"].map(|id| worker(id, 32_000, "r1"));
    let small = ["w3", "w4", "w5", "w6", "w7", "w8", "w9"].map(|id| worker(id, 8_000, "r1"));
    let mut cluster = Cluster::new(1, large.into_iter().chain(small));
    for number in 1..=9 {
        cluster.enqueue(Unit {
            checkpoints: true,
            estimated_ms: 20_000,
            ..unit(number, 15_000, 2)
        });
    }
    assert_eq!(
        cluster.place_for(4_000).len(),
        4,
        "the other tasks wait, and most of the service is free"
    );
    cluster.enqueue(gang(20, 4, 15_000, 0));
    cluster.place_for(100);
    assert_eq!(cluster.preempted.len(), 4);
    for task in cluster.preempted.clone() {
        let worker: WorkerId = cluster
            .runs
            .keys()
            .find(|(run, _)| *run == task)
            .unwrap()
            .1
            .clone();
        cluster.finish(&task, &worker, RunEnd::Stopped);
        cluster.place_for(250);
    }
    assert_eq!(
        cluster
            .runs
            .values()
            .filter(|run| run.unit.priority == 0)
            .count(),
        4
    );
}
