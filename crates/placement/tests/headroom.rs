//! Headroom: capacity is kept free of work that can wait, for work that cannot.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{gang, resources, task, unit, worker, Cluster};
use rstest::rstest;
use streamusher_placement::WorkerInfo;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// Short urgent tasks come evenly for some seconds; then as much long work as there is.
fn with_urgent_traffic_and_a_flood() -> Cluster {
    let mut cluster = Cluster::new(
        1,
        ["w1", "w2", "w3", "w4"].map(|id| worker(id, 10_000, "r1")),
    );
    let mut number = 1;
    for round in 0..300 {
        cluster.enqueue(Unit {
            estimated_ms: 500,
            ..unit(number, 1_000, 0)
        });
        number += 1;
        if round == 200 {
            for _ in 0..100 {
                cluster.enqueue(Unit {
                    estimated_ms: 30_000,
                    ..unit(number, 1_000, 2)
                });
                number += 1;
            }
        }
        let urgent = cluster.place_for(100);
        assert!(
            round < 210 || urgent.len() == 1,
            "an urgent task waits in round {round}"
        );
        let now = cluster.now;
        cluster.finish_where(RunEnd::Done, |_, run| {
            run.unit.priority == 0 && run.started_at + 500 <= now
        });
    }
    cluster
}

#[test]
fn urgent_traffic_starts_without_preemption_in_a_flood() {
    let cluster = with_urgent_traffic_and_a_flood();
    assert!(cluster.preempted.is_empty(), "{:?}", cluster.preempted);
}

#[test]
fn flood_gets_most_of_the_capacity_beside_urgent_traffic() {
    let cluster = with_urgent_traffic_and_a_flood();
    let long = cluster
        .runs
        .values()
        .filter(|run| run.unit.priority == 2)
        .count();
    assert!((26..=36).contains(&long), "{long} of 40 cores");
}

#[test]
fn small_tasks_are_packed_when_whole_workers_are_asked_for() {
    let names = ["w1", "w2", "w3", "w4"];
    let with_gpus = |id| WorkerInfo {
        capacity: resources(32_000, 64_000, 8),
        ..worker(id, 32_000, "r1")
    };
    let mut cluster = Cluster::new(1, names.map(with_gpus));
    cluster.enqueue(Unit {
        resources: resources(15_000, 30_000, 8),
        ..gang(1, 1, 0, 1)
    });
    cluster.place();
    let worker: WorkerId = cluster.worker_of(1).unwrap().into();
    cluster.finish(&task(1), &worker, RunEnd::Done);
    for number in 2..=9 {
        cluster.enqueue(Unit {
            resources: resources(2_800, 6_000, 1),
            ..unit(number, 0, 2)
        });
        cluster.place();
    }
    let empty = names.iter().filter(|id| cluster.runs_at(id) == 0).count();
    assert!(empty >= 2, "{empty} workers are left whole");
}

/// Tasks that can wait have so much slack; the others have a second.
const LONG_SLACK_MS: Millis = 16_000;

/// A burst of urgent tasks comes each second; before the last one, a wide job of long tasks. Returns how many of
/// the last burst start at once.
fn started_of_last_burst(bursts: u64, burst: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::new(
        1,
        ["w1", "w2", "w3", "w4"].map(|id| worker(id, 10_000, "r1")),
    );
    let mut started = 0;
    for second in 1..=bursts {
        if second == bursts {
            (0..60).for_each(|index| cluster.enqueue(long_task(index)));
            cluster.place_for(500);
        }
        let first = 1_000 * second;
        for number in first..first + burst {
            cluster.enqueue(Unit {
                estimated_ms: 400,
                ..unit(number, 1_000, 0)
            });
        }
        started = cluster.place().len();
        cluster.place_for(500);
        cluster.finish_where(RunEnd::Done, |_, run| run.unit.priority == 0);
        cluster.place_for(500);
    }
    (cluster, started)
}

/// A task of one wide job.
fn long_task(index: u32) -> Unit {
    let tasks = vec![TaskId {
        index,
        ..task(100_000)
    }];
    let id = UnitId::of_task(&tasks[0]);
    Unit {
        id,
        tasks,
        estimated_ms: 60_000,
        slack_ms: LONG_SLACK_MS,
        ..unit(100_000, 1_000, 2)
    }
}

#[test]
fn burst_starts_whole_after_a_wide_long_job() {
    let (cluster, started) = started_of_last_burst(20, 20);
    assert_eq!(started, 20, "of 20 urgent tasks");
    assert!(cluster.preempted.is_empty(), "{:?}", cluster.preempted);
    let long = cluster
        .runs
        .values()
        .filter(|run| run.unit.priority == 2)
        .count();
    assert!(long >= 14, "{long} of 40 cores");
}

/// Frequent short tasks that cannot wait; then a wide job of long tasks that can, of a priority. Returns how many of the tasks of
/// the next burst start at once.
fn short_tasks_started_beside_long_ones(priority_of_long: u32) -> usize {
    let mut cluster = Cluster::new(
        1,
        ["w1", "w2", "w3", "w4"].map(|id| worker(id, 10_000, "r1")),
    );
    let mut started = 0;
    for second in 1..=20_u64 {
        if second == 20 {
            (0..60).for_each(|index| {
                cluster.enqueue(Unit {
                    priority: priority_of_long,
                    ..long_task(index)
                });
            });
            cluster.place_for(500);
        }
        let first = 1_000 * second;
        for number in first..first + 10 {
            cluster.enqueue(Unit {
                estimated_ms: 400,
                queue: "short".into(),
                ..unit(number, 1_000, 1)
            });
        }
        started = cluster.place().len();
        cluster.place_for(400);
        cluster.finish_where(RunEnd::Done, |_, run| &*run.unit.queue == "short");
        cluster.place_for(600);
    }
    started
}

#[rstest]
#[case::long_ones_less_urgent(2)]
#[case::all_alike_urgent(1)]
#[case::long_ones_more_urgent(0)]
fn work_that_cannot_wait_starts_whatever_the_priorities(#[case] priority_of_long: u32) {
    assert_eq!(
        short_tasks_started_beside_long_ones(priority_of_long),
        10,
        "of 10 short tasks"
    );
}

#[test]
fn work_that_can_wait_gets_no_headroom() {
    let mut cluster = Cluster::new(1, [worker("w1", 10_000, "r1")]);
    for number in 1..=10 {
        let patient = Unit {
            slack_ms: LONG_SLACK_MS,
            ..unit(number, 1_000, 0)
        };
        cluster.enqueue(patient);
        cluster.place();
        cluster.place_for(300);
        cluster.finish_all_at("w1");
    }
    (20..30).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    assert_eq!(cluster.place().len(), 10, "all of the capacity");
}

#[test]
fn headroom_shrinks_the_longer_a_unit_has_waited() {
    let mut cluster = Cluster::new(1, [worker("w1", 10_000, "r1")]);
    for second in 1..=20_u64 {
        let burst = if second % 2 == 0 { 6 } else { 1 };
        (0..burst).for_each(|index| cluster.enqueue(unit(1_000 * second + index, 1_000, 0)));
        cluster.place_for(500);
        cluster.finish_all_at("w1");
        cluster.place_for(500);
    }
    let patient = |number| Unit {
        slack_ms: LONG_SLACK_MS,
        estimated_ms: 60_000,
        ..unit(number, 1_000, 2)
    };
    (1..=10).for_each(|number| cluster.enqueue(patient(number)));
    let at_first = cluster.place().len();
    assert!(
        (1..10).contains(&at_first),
        "{at_first} of 10 start at once"
    );
    (0..8).for_each(|index| cluster.enqueue(unit(90_000 + index, 500, 0)));
    let later = cluster.place_for(8_000).len();
    assert!(later > 8, "{later} starts, the urgent ones among them");
}
