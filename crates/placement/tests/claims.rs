//! Queue copies, claims, eligibility filters and the order of pending units.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{task, unit, worker, Cluster, STOP_MS};
use rstest::rstest;
use streamusher_placement::{Allocation, Decision, WorkerInfo};
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::Unit;

#[test]
fn task_starts_in_the_same_call_when_capacity_is_free() {
    let mut cluster = Cluster::new(1, [worker("w1", 4_000, "r1")]);
    cluster.enqueue(unit(1, 500, 2));
    assert_eq!(cluster.place(), [(task(1), "w1".into())]);
    assert_eq!(cluster.placement.pending_count(), 0);
}

#[test]
fn nothing_is_decided_without_changes() {
    let mut cluster = Cluster::new(1, [worker("w1", 4_000, "r1")]);
    cluster.enqueue(unit(1, 500, 2));
    cluster.place();
    assert!(cluster.place_for(5_000).is_empty());
}

#[rstest]
#[case::not_schedulable(WorkerInfo { schedulable: false, ..worker("w1", 4_000, "r1") })]
#[case::other_service(WorkerInfo { service: "t".into(), ..worker("w1", 4_000, "r1") })]
#[case::lacks_the_label(WorkerInfo { labels: vec!["b".into(), "r1".into()], ..worker("w1", 4_000, "r1") })]
#[case::without_labels(WorkerInfo { labels: vec![], ..worker("w1", 4_000, "r1") })]
#[case::too_small(worker("w1", 400, "r1"))]
fn ineligible_worker_gets_nothing_however_long_a_task_waits(#[case] info: WorkerInfo) {
    let mut cluster = Cluster::new(1, [info]);
    let mut labelled = unit(1, 500, 2);
    labelled.node_selector = Some("a".into());
    cluster.enqueue(labelled);
    assert!(cluster.place_for(6_000).is_empty());
    cluster.update_worker(worker("w2", 4_000, "r1"));
    assert_eq!(cluster.place_for(1_000), [(task(1), "w2".into())]);
}

#[test]
fn stopping_run_holds_its_capacity_until_it_ends() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 800, 2));
    cluster.place();
    cluster.stop(&task(1), "w1");
    cluster.enqueue(unit(2, 800, 0));
    assert!(
        cluster.place_for(STOP_MS).is_empty(),
        "the stopping run still holds its capacity"
    );
    cluster.finish(&task(1), &"w1".into(), RunEnd::Stopped);
    assert_eq!(cluster.place(), [(task(2), "w1".into())]);
}

#[test]
fn task_with_copies_at_all_workers_starts_once() {
    let names = ["w1", "w2", "w3", "w4"];
    let mut cluster = Cluster::new(1, names.map(|id| worker(id, 1_000, "r1")));
    (1..=4).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    assert_eq!(cluster.place().len(), 4);
    cluster.enqueue(unit(5, 400, 2));
    assert!(cluster.place_for(700).is_empty());
    let queued: Vec<usize> = cluster
        .placement
        .workers()
        .map(|status| status.queued)
        .collect();
    assert_eq!(queued, [1; 4], "each worker has a copy queued");
    for id in names {
        cluster.finish_all_at(id);
    }
    assert_eq!(cluster.place_for(2_000).len(), 1);
    let queued: Vec<usize> = cluster
        .placement
        .workers()
        .map(|status| status.queued)
        .collect();
    assert_eq!(queued, [0; 4], "no worker has a copy queued");
}

#[test]
fn withdrawn_task_is_not_started() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1"), worker("w2", 1_000, "r1")]);
    (1..=3).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    cluster.place_for(500);
    cluster.withdraw(&unit(3, 0, 2).id);
    cluster.finish_all_at("w1");
    cluster.finish_all_at("w2");
    assert!(cluster.place_for(2_000).is_empty());
    assert_eq!(cluster.placement.pending_count(), 0);
}

#[test]
fn task_enqueued_again_replaces_the_pending_one() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 2_000, 2));
    cluster.enqueue(unit(1, 600, 2));
    assert_eq!(cluster.place_for(1_000).len(), 1);
}

#[test]
fn priority_and_then_order_decide_which_task_starts() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 0));
    cluster.place();
    for (number, priority) in [(5, 2), (4, 2), (3, 1), (2, 0)] {
        cluster.enqueue(unit(number, 1_000, priority));
    }
    cluster.place();
    for expected in [2, 3, 4, 5] {
        cluster.now += 1_000;
        cluster.finish_all_at("w1");
        assert_eq!(cluster.place(), [(task(expected), "w1".into())]);
    }
}

#[test]
fn anti_affinity_limits_the_tasks_of_a_step_per_worker() {
    let mut cluster = Cluster::new(1, ["w1", "w2", "w3"].map(|id| worker(id, 9_000, "r1")));
    for index in 0..9 {
        let mut one = unit(1, 100, 2);
        one.tasks[0].index = index;
        one.id.index = Some(index);
        one.anti_affinity = 2;
        cluster.enqueue(one);
    }
    assert_eq!(cluster.place_for(6_000).len(), 6);
    assert_eq!(["w1", "w2", "w3"].map(|id| cluster.runs_at(id)), [2, 2, 2]);
}

#[test]
fn load_is_spread_in_proportion_to_worker_size() {
    let workers = [
        worker("half", 8_000, "r1"),
        worker("one", 16_000, "r1"),
        worker("two", 32_000, "r1"),
    ];
    let mut cluster = Cluster::new(1, workers);
    (1..=70).for_each(|number| cluster.enqueue(unit(number, 400, 2)));
    cluster.place();
    let [half, one, two] = ["half", "one", "two"].map(|id| cluster.runs_at(id));
    assert!(
        (8..=12).contains(&half) && (18..=22).contains(&one) && (38..=42).contains(&two),
        "{half} {one} {two}"
    );
}

#[test]
fn rack_with_the_data_is_preferred() {
    let mut cluster = Cluster::new(
        1,
        [worker("near", 4_000, "r1"), worker("far", 32_000, "r2")],
    );
    for number in 1..=4 {
        let mut one = unit(number, 500, 2);
        one.affinity = Some("r1".into());
        cluster.enqueue(one);
    }
    cluster.place();
    assert_eq!((cluster.runs_at("near"), cluster.runs_at("far")), (4, 0));
}

#[test]
fn remote_rack_is_used_when_waiting_costs_more() {
    let mut cluster = Cluster::new(1, [worker("near", 1_000, "r1"), worker("far", 4_000, "r2")]);
    cluster.enqueue(Unit {
        affinity: Some("r1".into()),
        ..unit(1, 1_000, 2)
    });
    cluster.place();
    assert_eq!(cluster.worker_of(1), Some("near"));
    cluster.enqueue(Unit {
        affinity: Some("r1".into()),
        ..unit(2, 1_000, 2)
    });
    cluster.place_for(600);
    assert_eq!(
        cluster.worker_of(2),
        Some("far"),
        "running remotely costs half a run time"
    );
}

#[test]
fn pending_task_starts_elsewhere_when_its_worker_is_removed() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 2));
    cluster.enqueue(unit(2, 1_000, 2));
    cluster.place_for(500);
    cluster.remove_worker("w1");
    assert!(cluster.place_for(500).is_empty());
    cluster.update_worker(worker("w2", 1_000, "r1"));
    assert_eq!(cluster.place_for(1_000), [(task(2), "w2".into())]);
}

#[test]
fn restored_runs_hold_capacity_once_their_worker_reports() {
    let mut cluster = Cluster::new(1, []);
    let allocated = unit(1, 700, 2);
    cluster.placement.restore_run(
        cluster.now,
        &task(1),
        &"w1".into(),
        Allocation::from(&allocated),
        0,
    );
    cluster.update_worker(worker("w1", 1_000, "r1"));
    cluster.enqueue(unit(2, 400, 2));
    assert!(cluster.place_for(200).is_empty());
    let used: Vec<u64> = cluster
        .placement
        .workers()
        .map(|status| status.used.cpu)
        .collect();
    assert_eq!(used, [700]);
    cluster.placement.restore_run(
        cluster.now,
        &task(1),
        &"w1".into(),
        Allocation::from(&allocated),
        0,
    );
    let used: Vec<u64> = cluster
        .placement
        .workers()
        .map(|status| status.used.cpu)
        .collect();
    assert_eq!(used, [700], "a run restored twice is counted once");
}

#[test]
fn large_task_is_not_starved_by_small_ones() {
    let mut cluster = Cluster::new(1, [worker("w1", 4_000, "r1"), worker("w2", 4_000, "r1")]);
    (1..=8).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    cluster.place();
    cluster.enqueue(unit(9, 4_000, 2));
    for number in 10..110 {
        cluster.enqueue(unit(number, 1_000, 2));
        cluster.place_for(125);
        let now = cluster.now;
        cluster.finish_where(RunEnd::Done, |_, run| run.started_at + 1_000 <= now);
        if cluster.worker_of(9).is_some() {
            return;
        }
    }
    panic!("the large task was not started within 12 s");
}

#[test]
fn short_task_backfills_reserved_capacity() {
    let mut cluster = Cluster::new(1, [worker("w1", 4_000, "r1")]);
    cluster.enqueue(Unit {
        estimated_ms: 10_000,
        ..unit(1, 3_000, 2)
    });
    cluster.place();
    cluster.enqueue(unit(2, 4_000, 2));
    cluster.place_for(1_000);
    cluster.enqueue(Unit {
        estimated_ms: 500,
        ..unit(3, 500, 2)
    });
    cluster.enqueue(Unit {
        estimated_ms: 60_000,
        ..unit(4, 500, 2)
    });
    cluster.place();
    assert_eq!(cluster.worker_of(3), Some("w1"));
    assert_eq!(
        cluster.worker_of(4),
        None,
        "the long task would delay the earlier large task"
    );
}

#[test]
fn same_events_give_the_same_decisions() {
    let run = || {
        let workers = (0..60).map(|n| worker(&format!("w{n}"), 4_000, &format!("r{}", n / 3)));
        let mut cluster = Cluster::new(7, workers);
        let mut all: Vec<Decision> = Vec::new();
        for number in 1..=400 {
            cluster.placement.enqueue(
                cluster.now,
                unit(number, 300 + number % 700, (number % 3) as u32),
            );
            cluster.now += 7;
            all.extend(cluster.placement.place(cluster.now));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn burst_of_new_tasks_starts_urgent_first_and_completely() {
    const TASKS: usize = 2_500;
    let urgent = TASKS as u64 + 1;
    let mut cluster = Cluster::new(1, [worker("w1", 10_000_000, "r1")]);
    (1..urgent).for_each(|number| cluster.enqueue(unit(number, 10, 2)));
    cluster.enqueue(unit(urgent, 10, 0));
    let first = cluster.place();
    assert!(
        first.contains(&(task(urgent), "w1".into())),
        "the urgent task starts in the first cycle"
    );
    assert!(
        first.len() < TASKS,
        "{} tasks were examined in one call",
        first.len()
    );
    let mut started = first.len();
    for _ in 0..3 {
        started += cluster.place().len();
    }
    assert_eq!(started, TASKS + 1);
}
