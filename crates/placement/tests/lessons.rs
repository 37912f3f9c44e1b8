//! What failures, standstill and run times teach.

mod common;

use common::*;
use rstest::rstest;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::Unit;

/// Tasks come evenly for the span; each runs 200 ms, at "w1" as told. Answers how many "w1" got and all.
fn share_of_w1(
    cluster: &mut Cluster,
    first: u64,
    rounds: u64,
    how: RunEnd,
    run_ms: u64,
) -> (usize, usize) {
    let (mut there, mut all) = (0, 0);
    for number in first..first + rounds {
        cluster.enqueue(Unit {
            estimated_ms: 200,
            ..unit(number, 500, 2)
        });
        for (_, at) in cluster.run_for(20) {
            there += usize::from(&*at == "w1");
            all += 1;
        }
        let takes = |at: &str| if at == "w1" { run_ms } else { 200 };
        let over = cluster
            .runs
            .iter()
            .filter(|((_, at), run)| run.since + takes(at) <= cluster.now);
        let over: Vec<_> = over.map(|(key, _)| key.clone()).collect();
        for (task, at) in over {
            let how = if &*at == "w1" { how } else { RunEnd::Done };
            cluster.end(&task, &at, how);
        }
    }
    (there, all)
}

fn three() -> Cluster {
    Cluster::new(1, ["w1", "w2", "w3"].map(|id| worker(id, 8_000, "r1")))
}

#[test]
fn given_a_worker_that_fails_all_when_tasks_keep_coming_then_it_gets_few_of_them() {
    let mut cluster = three();
    share_of_w1(&mut cluster, 1, 100, RunEnd::Failed, 20);
    let (there, all) = share_of_w1(&mut cluster, 1_000, 500, RunEnd::Failed, 20);
    assert!(there * 20 < all, "{there} of {all}");
    assert!(there > 0, "it is tried again");
}

#[test]
fn given_a_worker_that_failed_when_it_is_well_again_then_it_gets_its_share_again() {
    let mut cluster = three();
    share_of_w1(&mut cluster, 1, 200, RunEnd::Failed, 20);
    share_of_w1(&mut cluster, 1_000, 1_000, RunEnd::Done, 200);
    let (there, all) = share_of_w1(&mut cluster, 3_000, 300, RunEnd::Done, 200);
    assert!(there * 5 > all, "{there} of {all}");
}

#[test]
fn given_a_worker_that_is_slow_when_tasks_keep_coming_then_it_gets_fewer_of_them() {
    let mut cluster = three();
    share_of_w1(&mut cluster, 1, 200, RunEnd::Done, 1_300);
    let (there, all) = share_of_w1(&mut cluster, 1_000, 400, RunEnd::Done, 1_300);
    assert!(there * 8 < all, "{there} of {all}");
}

#[test]
fn given_a_task_that_stands_still_when_the_next_comes_then_it_goes_elsewhere() {
    let mut cluster = three();
    cluster.enqueue(unit(1, 500, 2));
    let (_, at) = cluster.place().remove(0);
    cluster.stands_still(&at);
    for number in 2..20 {
        cluster.enqueue(unit(number, 500, 2));
    }
    assert!(cluster.place().iter().all(|(_, other)| *other != at));
}

#[rstest]
#[case::others_have_room(true, "w2")]
#[case::there_is_no_other(false, "w1")]
fn given_a_worker_to_avoid_when_placed_then_it_is_taken_only_without_others(
    #[case] other: bool,
    #[case] expected: &str,
) {
    let mut cluster = Cluster::new(1, [worker("w1", 9_000, "r1")]);
    if other {
        cluster.worker(worker("w2", 1_000, "r1"));
    }
    cluster.enqueue(Unit {
        avoid: vec!["w1".into()],
        ..unit(1, 500, 2)
    });
    cluster.run_for(200);
    assert_eq!(cluster.where_is(1), Some(expected));
}

#[test]
fn given_all_workers_fail_when_a_task_waits_then_it_is_started_before_three_seconds() {
    let mut cluster = three();
    for number in 1..=60 {
        cluster.enqueue(unit(number, 500, 2));
        for (task, at) in cluster.run_for(20) {
            cluster.end(&task, &at, RunEnd::Failed);
        }
    }
    cluster.enqueue(unit(100, 500, 2));
    cluster.run_for(2_500);
    assert!(cluster.where_is(100).is_some());
}

#[test]
fn given_reports_of_progress_when_a_run_is_nearly_done_then_it_is_not_stopped_for_an_urgent_task() {
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
    cluster.run_for(100);
    assert!(cluster.preempted.is_empty());
}
