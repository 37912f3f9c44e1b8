//! What failures, stalls, run times and progress reports change.
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

/// Tasks come evenly for the span; each runs 200 ms, on "w1" as given. Returns how many "w1" got, and all.
fn share_of_w1(
    cluster: &mut Cluster,
    first: u64,
    rounds: u64,
    outcome: RunEnd,
    run_ms: u64,
) -> (usize, usize) {
    let (mut on_w1, mut all) = (0, 0);
    for number in first..first + rounds {
        cluster.enqueue(Unit {
            estimated_ms: 200,
            ..unit(number, 500, 2)
        });
        for (_, worker) in cluster.place_for(20) {
            on_w1 += usize::from(&*worker == "w1");
            all += 1;
        }
        let run_ms_on = |worker: &str| if worker == "w1" { run_ms } else { 200 };
        let over = cluster
            .runs
            .iter()
            .filter(|((_, worker), run)| run.started_at + run_ms_on(worker) <= cluster.now);
        let over: Vec<_> = over.map(|(key, _)| key.clone()).collect();
        for (task, worker) in over {
            let outcome = if &*worker == "w1" {
                outcome
            } else {
                RunEnd::Done
            };
            cluster.finish(&task, &worker, outcome);
        }
    }
    (on_w1, all)
}

fn three_workers() -> Cluster {
    Cluster::new(1, ["w1", "w2", "w3"].map(|id| worker(id, 8_000, "r1")))
}

#[test]
fn failing_worker_gets_few_tasks() {
    let mut cluster = three_workers();
    share_of_w1(&mut cluster, 1, 100, RunEnd::Failed, 20);
    let (on_w1, all) = share_of_w1(&mut cluster, 1_000, 500, RunEnd::Failed, 20);
    assert!(on_w1 * 20 < all, "{on_w1} of {all}");
    assert!(on_w1 > 0, "it is tried again");
}

#[test]
fn recovered_worker_gets_its_share_again() {
    let mut cluster = three_workers();
    share_of_w1(&mut cluster, 1, 200, RunEnd::Failed, 20);
    share_of_w1(&mut cluster, 1_000, 1_000, RunEnd::Done, 200);
    let (on_w1, all) = share_of_w1(&mut cluster, 3_000, 300, RunEnd::Done, 200);
    assert!(on_w1 * 5 > all, "{on_w1} of {all}");
}

#[test]
fn slow_worker_gets_fewer_tasks() {
    let mut cluster = three_workers();
    share_of_w1(&mut cluster, 1, 200, RunEnd::Done, 1_300);
    let (on_w1, all) = share_of_w1(&mut cluster, 1_000, 400, RunEnd::Done, 1_300);
    assert!(on_w1 * 8 < all, "{on_w1} of {all}");
}

#[test]
fn stalled_run_sends_the_next_tasks_elsewhere() {
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
#[case::others_have_capacity(true, "w2")]
#[case::there_is_no_other(false, "w1")]
fn avoided_worker_is_taken_only_without_others(#[case] other: bool, #[case] expected: &str) {
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
