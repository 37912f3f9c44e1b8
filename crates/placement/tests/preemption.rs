//! Preemption: less urgent runs are stopped for more urgent units if waiting for them to end would take too
//! long.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{gang, resources, task, unit, worker, Cluster, STOP_MS};
use rstest::rstest;
use streamusher_placement::WorkerInfo;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::{Unit, WorkerId};
use streamusher_protocol::Millis;

#[test]
fn cheapest_run_is_preempted_once() {
    let mut cluster = Cluster::new(1, [worker("w1", 2_000, "r1"), worker("w2", 2_000, "r1")]);
    for number in 1..=4 {
        let checkpoints = number == 3;
        cluster.enqueue(Unit {
            checkpoints,
            estimated_ms: 20_000,
            ..unit(number, 1_000, 2)
        });
    }
    cluster.place();
    cluster.place_for(5_000);
    cluster.enqueue(unit(9, 1_000, 0));
    cluster.place_for(STOP_MS);
    assert_eq!(
        cluster.preempted,
        [task(3)],
        "the run that writes checkpoints is the cheapest"
    );
    let worker: WorkerId = cluster.worker_of(3).unwrap().into();
    cluster.finish(&task(3), &worker, RunEnd::Stopped);
    assert_eq!(cluster.place(), [(task(9), worker)]);
}

#[test]
fn preempted_capacity_goes_to_the_urgent_task() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(Unit {
        estimated_ms: 20_000,
        ..unit(1, 1_000, 2)
    });
    cluster.place();
    cluster.enqueue(unit(2, 500, 2));
    cluster.place_for(100);
    cluster.enqueue(unit(3, 1_000, 0));
    cluster.place_for(200);
    assert_eq!(cluster.preempted, [task(1)]);
    cluster.finish(&task(1), &"w1".into(), RunEnd::Stopped);
    assert_eq!(cluster.place(), [(task(3), "w1".into())]);
}

#[rstest]
#[case::equal_priority(2, 2, false)]
#[case::lower_priority(2, 1, false)]
#[case::gang_for_less_than_the_most_urgent(1, 2, true)]
fn runs_that_may_not_be_preempted_continue(
    #[case] waiting_priority: u32,
    #[case] running_priority: u32,
    #[case] is_gang: bool,
) {
    let mut cluster = Cluster::new(1, [worker("w1", 2_000, "r1")]);
    let running = if is_gang {
        gang(1, 2, 1_000, running_priority)
    } else {
        unit(1, 2_000, running_priority)
    };
    cluster.enqueue(Unit {
        estimated_ms: 60_000,
        checkpoints: true,
        ..running
    });
    cluster.place();
    cluster.enqueue(unit(2, 1_000, waiting_priority));
    cluster.place_for(5_000);
    assert!(cluster.preempted.is_empty());
}

#[test]
fn most_urgent_task_preempts_a_gang_member() {
    let mut cluster = Cluster::new(1, [worker("w1", 2_000, "r1")]);
    cluster.enqueue(Unit {
        estimated_ms: 60_000,
        checkpoints: true,
        ..gang(1, 2, 1_000, 2)
    });
    cluster.place();
    cluster.enqueue(unit(2, 1_000, 0));
    cluster.place_for(800);
    assert_eq!(cluster.preempted.len(), 1);
}

#[test]
fn costly_run_is_not_preempted_for_middle_priority() {
    let workers = [WorkerInfo {
        capacity: resources(16_000, 16_000, 8),
        ..worker("w1", 16_000, "r1")
    }];
    let mut cluster = Cluster::new(1, workers);
    let costly = Unit {
        resources: resources(15_000, 15_000, 8),
        estimated_ms: 30_000,
        ..unit(1, 0, 2)
    };
    cluster.enqueue(costly);
    cluster.place();
    cluster.place_for(5_000);
    cluster.enqueue(unit(2, 2_000, 1));
    cluster.place_for(3_000);
    assert!(
        cluster.preempted.is_empty(),
        "preemption would lose 395 core-seconds"
    );
}

#[test]
fn nothing_is_preempted_when_a_run_ends_soon() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 2));
    cluster.place();
    cluster.place_for(800);
    cluster.enqueue(unit(2, 1_000, 0));
    cluster.place_for(200);
    cluster.finish_all_at("w1");
    assert_eq!(cluster.place(), [(task(2), "w1".into())]);
    assert!(cluster.preempted.is_empty());
}

#[test]
fn gang_preempts_on_the_fewest_workers_needed() {
    let mut cluster = Cluster::new(1, ["w1", "w2", "w3"].map(|id| worker(id, 4_000, "r1")));
    for number in 1..=9 {
        cluster.enqueue(Unit {
            checkpoints: true,
            estimated_ms: 20_000,
            ..unit(number, 1_000, 2)
        });
    }
    cluster.place();
    cluster.enqueue(gang(20, 2, 4_000, 1));
    cluster.place_for(STOP_MS);
    let stopped: Vec<_> = cluster
        .runs
        .iter()
        .filter(|(_, run)| run.stopping)
        .map(|(key, _)| key.clone())
        .collect();
    assert_eq!(stopped.len(), 6, "all runs on two of the workers");
    for (task, worker) in &stopped {
        cluster.finish(task, worker, RunEnd::Stopped);
    }
    assert_eq!(cluster.place().len(), 2);
}

#[test]
fn nothing_is_preempted_until_half_the_slack_has_passed() {
    let mut cluster = Cluster::new(1, [worker("w1", 10_000, "r1")]);
    (1..=10).for_each(|number| {
        cluster.enqueue(Unit {
            estimated_ms: 60_000,
            ..unit(number, 1_000, 2)
        });
    });
    assert_eq!(cluster.place().len(), 10);
    cluster.enqueue(Unit {
        slack_ms: 10_000,
        ..unit(20, 1_000, 0)
    });
    cluster.place_for(5_000 - STOP_MS - 100);
    assert!(
        cluster.preempted.is_empty(),
        "preempted before half the slack had passed: {:?}",
        cluster.preempted
    );
    cluster.place_for(1_000);
    assert_eq!(cluster.preempted.len(), 1);
}

#[rstest]
#[case::capacity_comes_in_time(3_000, 0)]
#[case::capacity_comes_too_late(60_000, 2)]
fn gang_preempts_only_if_capacity_comes_too_late(
    #[case] others_run_ms: Millis,
    #[case] expected_preemptions: usize,
) {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1"), worker("w2", 1_000, "r1")]);
    let others = |number| Unit {
        estimated_ms: others_run_ms,
        ..unit(number, 1_000, 2)
    };
    (1..=2).for_each(|number| cluster.enqueue(others(number)));
    assert_eq!(cluster.place().len(), 2);
    cluster.place_for(500);
    cluster.enqueue(Unit {
        slack_ms: 10_000,
        ..gang(9, 2, 1_000, 1)
    });
    cluster.place_for(1_000);
    assert_eq!(cluster.preempted.len(), expected_preemptions);
}
