//! Headroom: capacity is kept free of deferrable work for work that cannot wait.
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

/// Short urgent tasks arrive at a steady rate for some seconds; then far more long tasks than fit arrive at
/// once.
fn cluster_with_urgent_traffic_and_overload() -> Cluster {
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
            "an urgent task had to wait in round {round}"
        );
        let now = cluster.now;
        cluster.finish_where(RunEnd::Done, |_, run| {
            run.unit.priority == 0 && run.started_at + 500 <= now
        });
    }
    cluster
}

#[test]
fn urgent_traffic_starts_without_preemption_under_overload() {
    let cluster = cluster_with_urgent_traffic_and_overload();
    assert!(cluster.preempted.is_empty(), "{:?}", cluster.preempted);
}

#[test]
fn long_tasks_get_most_of_the_capacity_despite_urgent_traffic() {
    let cluster = cluster_with_urgent_traffic_and_overload();
    let long_runs = cluster
        .runs
        .values()
        .filter(|run| run.unit.priority == 2)
        .count();
    assert!(
        (26..=36).contains(&long_runs),
        "long tasks use {long_runs} of 40 cores"
    );
}

#[test]
fn small_tasks_are_packed_when_whole_workers_are_requested() {
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
    assert!(empty >= 2, "only {empty} workers are empty");
}

/// Slack of tasks that can wait; the others have one second.
const LONG_SLACK_MS: Millis = 16_000;

/// A burst of urgent tasks arrives each second, and a wide job of long tasks before the last burst. Returns
/// the cluster and how many tasks of the last burst start at once.
fn starts_of_last_burst(bursts: u64, burst_size: u64) -> (Cluster, usize) {
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
        for number in first..first + burst_size {
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

/// A task of one wide job of long tasks.
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
fn whole_burst_starts_after_a_wide_job_of_long_tasks() {
    let (cluster, started) = starts_of_last_burst(20, 20);
    assert_eq!(started, 20, "all 20 urgent tasks start at once");
    assert!(cluster.preempted.is_empty(), "{:?}", cluster.preempted);
    let long_runs = cluster
        .runs
        .values()
        .filter(|run| run.unit.priority == 2)
        .count();
    assert!(long_runs >= 14, "long tasks use {long_runs} of 40 cores");
}

/// Frequent short tasks that cannot wait, then a wide job of long tasks that can wait, of the given priority.
/// Returns how many tasks of the next burst start at once.
fn short_task_starts_with_long_job(long_job_priority: u32) -> usize {
    let mut cluster = Cluster::new(
        1,
        ["w1", "w2", "w3", "w4"].map(|id| worker(id, 10_000, "r1")),
    );
    let mut started = 0;
    for second in 1..=20_u64 {
        if second == 20 {
            (0..60).for_each(|index| {
                cluster.enqueue(Unit {
                    priority: long_job_priority,
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
#[case::long_job_less_urgent(2)]
#[case::equal_priority(1)]
#[case::long_job_more_urgent(0)]
fn work_that_cannot_wait_starts_regardless_of_priorities(#[case] long_job_priority: u32) {
    assert_eq!(
        short_task_starts_with_long_job(long_job_priority),
        10,
        "all 10 short tasks start at once"
    );
}

#[test]
fn work_that_can_wait_gets_no_headroom() {
    let mut cluster = Cluster::new(1, [worker("w1", 10_000, "r1")]);
    for number in 1..=10 {
        let deferrable = Unit {
            slack_ms: LONG_SLACK_MS,
            ..unit(number, 1_000, 0)
        };
        cluster.enqueue(deferrable);
        cluster.place();
        cluster.place_for(300);
        cluster.finish_all_at("w1");
    }
    (20..30).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    assert_eq!(
        cluster.place().len(),
        10,
        "the tasks fill the whole capacity"
    );
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
    let deferrable = |number| Unit {
        slack_ms: LONG_SLACK_MS,
        estimated_ms: 60_000,
        ..unit(number, 1_000, 2)
    };
    (1..=10).for_each(|number| cluster.enqueue(deferrable(number)));
    let at_first = cluster.place().len();
    assert!(
        (1..10).contains(&at_first),
        "{at_first} of 10 tasks start at once"
    );
    (0..8).for_each(|index| cluster.enqueue(unit(90_000 + index, 500, 0)));
    let later = cluster.place_for(8_000).len();
    assert!(
        later > 8,
        "{later} further starts, including the 8 urgent tasks"
    );
}
