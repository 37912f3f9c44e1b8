//! Effects of failures, stalls, run times and progress reports on placement.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{task, unit, worker, Cluster};
use rstest::rstest;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::Unit;

/// Enqueues one task per round. Runs on "w1" end with the given outcome after `w1_run_ms`, other runs succeed
/// after 200 ms. Returns how many tasks started on "w1" and how many in total.
fn starts_on_w1(
    cluster: &mut Cluster,
    first: u64,
    rounds: u64,
    w1_outcome: RunEnd,
    w1_run_ms: u64,
) -> (usize, usize) {
    let (mut on_w1, mut total) = (0, 0);
    for number in first..first + rounds {
        cluster.enqueue(Unit {
            estimated_ms: 200,
            ..unit(number, 500, 2)
        });
        for (_, worker) in cluster.place_for(20) {
            on_w1 += usize::from(&*worker == "w1");
            total += 1;
        }
        let run_ms_at = |worker: &str| if worker == "w1" { w1_run_ms } else { 200 };
        let ended = cluster
            .runs
            .iter()
            .filter(|((_, worker), run)| run.started_at + run_ms_at(worker) <= cluster.now);
        let ended: Vec<_> = ended.map(|(key, _)| key.clone()).collect();
        for (task, worker) in ended {
            let outcome = if &*worker == "w1" {
                w1_outcome
            } else {
                RunEnd::Done
            };
            cluster.finish(&task, &worker, outcome);
        }
    }
    (on_w1, total)
}

fn three_workers() -> Cluster {
    Cluster::new(1, ["w1", "w2", "w3"].map(|id| worker(id, 8_000, "r1")))
}

#[test]
fn failing_worker_gets_few_tasks() {
    let mut cluster = three_workers();
    starts_on_w1(&mut cluster, 1, 100, RunEnd::Failed, 20);
    let (on_w1, total) = starts_on_w1(&mut cluster, 1_000, 500, RunEnd::Failed, 20);
    assert!(on_w1 * 20 < total, "{on_w1} of {total}");
    assert!(on_w1 > 0, "the worker is tried again");
}

#[test]
fn recovered_worker_gets_its_share_again() {
    let mut cluster = three_workers();
    starts_on_w1(&mut cluster, 1, 200, RunEnd::Failed, 20);
    starts_on_w1(&mut cluster, 1_000, 1_000, RunEnd::Done, 200);
    let (on_w1, total) = starts_on_w1(&mut cluster, 3_000, 300, RunEnd::Done, 200);
    assert!(on_w1 * 5 > total, "{on_w1} of {total}");
}

#[test]
fn slow_worker_gets_fewer_tasks() {
    let mut cluster = three_workers();
    starts_on_w1(&mut cluster, 1, 200, RunEnd::Done, 1_300);
    let (on_w1, total) = starts_on_w1(&mut cluster, 1_000, 400, RunEnd::Done, 1_300);
    assert!(on_w1 * 8 < total, "{on_w1} of {total}");
}

#[test]
fn next_tasks_avoid_the_worker_of_a_stalled_run() {
    let mut cluster = three_workers();
    cluster.enqueue(unit(1, 500, 2));
    let (_, worker) = cluster.place().remove(0);
    cluster.report_stall(&worker);
    for number in 2..20 {
        cluster.enqueue(unit(number, 500, 2));
    }
    assert!(cluster.place().iter().all(|(_, other)| *other != worker));
}

#[rstest]
#[case::other_worker_has_capacity(true, "w2")]
#[case::no_other_worker(false, "w1")]
fn avoided_worker_is_used_only_without_alternatives(#[case] other: bool, #[case] expected: &str) {
    let mut cluster = Cluster::new(1, [worker("w1", 9_000, "r1")]);
    if other {
        cluster.update_worker(worker("w2", 1_000, "r1"));
    }
    cluster.enqueue(Unit {
        avoid: vec!["w1".into()],
        ..unit(1, 500, 2)
    });
    cluster.place_for(200);
    assert_eq!(cluster.worker_of(1), Some(expected));
}

#[test]
fn task_starts_within_three_seconds_when_all_workers_fail() {
    let mut cluster = three_workers();
    for number in 1..=60 {
        cluster.enqueue(unit(number, 500, 2));
        for (task, worker) in cluster.place_for(20) {
            cluster.finish(&task, &worker, RunEnd::Failed);
        }
    }
    cluster.enqueue(unit(100, 500, 2));
    cluster.place_for(2_500);
    assert!(cluster.worker_of(100).is_some());
}

#[test]
fn nearly_done_run_is_not_preempted() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(Unit {
        estimated_ms: 20_000,
        ..unit(1, 1_000, 2)
    });
    cluster.place();
    cluster.now += 1_000;
    cluster
        .placement
        .update_progress(cluster.now, &task(1), &"w1".into(), 50.0);
    cluster.now += 900;
    cluster
        .placement
        .update_progress(cluster.now, &task(1), &"w1".into(), 95.0);
    cluster.enqueue(unit(2, 1_000, 0));
    cluster.place_for(100);
    assert!(cluster.preempted.is_empty());
}
