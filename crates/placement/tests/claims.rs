//! Copies, claims, filters and the order of what waits.

mod common;

use common::*;
use rstest::rstest;
use streamusher_placement::{Allocation, Decision, WorkerInfo};
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::Unit;

#[test]
fn given_room_when_a_task_comes_then_it_is_started_in_the_same_call() {
    let mut cluster = Cluster::new(1, [worker("w1", 4_000, "r1")]);
    cluster.enqueue(unit(1, 500, 2));
    assert_eq!(cluster.place(), [(task(1), "w1".into())]);
    assert_eq!(cluster.placement.pending_count(), 0);
}

#[test]
fn given_nothing_new_when_placed_again_then_nothing_is_decided() {
    let mut cluster = Cluster::new(1, [worker("w1", 4_000, "r1")]);
    cluster.enqueue(unit(1, 500, 2));
    cluster.place();
    assert!(cluster.run_for(5_000).is_empty());
}

#[rstest]
#[case::closed(WorkerInfo { schedulable: false, ..worker("w1", 4_000, "r1") })]
#[case::another_service(WorkerInfo { service: "t".into(), ..worker("w1", 4_000, "r1") })]
#[case::lacks_the_label(WorkerInfo { labels: vec!["b".into(), "r1".into()], ..worker("w1", 4_000, "r1") })]
#[case::without_labels(WorkerInfo { labels: vec![], ..worker("w1", 4_000, "r1") })]
#[case::too_small(worker("w1", 400, "r1"))]
fn given_a_worker_that_may_not_when_a_task_waits_long_then_it_gets_nothing(
    #[case] info: WorkerInfo,
) {
    let mut cluster = Cluster::new(1, [info]);
    let mut wanted = unit(1, 500, 2);
    wanted.node_selector = Some("a".into());
    cluster.enqueue(wanted);
    assert!(cluster.run_for(6_000).is_empty());
    cluster.worker(worker("w2", 4_000, "r1"));
    assert_eq!(cluster.run_for(1_000), [(task(1), "w2".into())]);
}

#[test]
fn given_a_stopping_task_when_another_wants_its_room_then_it_waits_for_the_end() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 800, 2));
    cluster.place();
    cluster.stop(&task(1), "w1");
    cluster.enqueue(unit(2, 800, 0));
    assert!(
        cluster.run_for(STOP_MS).is_empty(),
        "its room is not free yet"
    );
    cluster.end(&task(1), &"w1".into(), RunEnd::Stopped);
    assert_eq!(cluster.place(), [(task(2), "w1".into())]);
}

#[test]
fn given_copies_at_all_workers_when_all_get_room_at_once_then_one_of_them_starts_the_task() {
    let names = ["w1", "w2", "w3", "w4"];
    let mut cluster = Cluster::new(1, names.map(|id| worker(id, 1_000, "r1")));
    (1..=4).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    assert_eq!(cluster.place().len(), 4);
    cluster.enqueue(unit(5, 400, 2));
    assert!(cluster.run_for(700).is_empty());
    let queued: Vec<usize> = cluster
        .placement
        .workers()
        .map(|status| status.queued)
        .collect();
    assert_eq!(queued, [1; 4], "a copy at each worker");
    names.iter().for_each(|id| cluster.end_all_at(id));
    assert_eq!(cluster.run_for(2_000).len(), 1);
    let queued: Vec<usize> = cluster
        .placement
        .workers()
        .map(|status| status.queued)
        .collect();
    assert_eq!(queued, [0; 4], "no copy is left");
}

#[test]
fn given_a_withdrawn_task_when_room_comes_then_it_is_not_started() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1"), worker("w2", 1_000, "r1")]);
    (1..=3).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    cluster.run_for(500);
    cluster.withdraw(&unit(3, 0, 2).id);
    cluster.end_all_at("w1");
    cluster.end_all_at("w2");
    assert!(cluster.run_for(2_000).is_empty());
    assert_eq!(cluster.placement.pending_count(), 0);
}

#[test]
fn given_a_task_asked_for_twice_when_placed_then_the_later_word_counts_once() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 2_000, 2));
    cluster.enqueue(unit(1, 600, 2));
    assert_eq!(cluster.run_for(1_000).len(), 1);
}

#[test]
fn given_waiting_tasks_when_room_comes_then_priority_and_order_decide() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 0));
    cluster.place();
    for (number, priority) in [(5, 2), (4, 2), (3, 1), (2, 0)] {
        cluster.enqueue(unit(number, 1_000, priority));
    }
    cluster.place();
    for expected in [2, 3, 4, 5] {
        cluster.now += 1_000;
        cluster.end_all_at("w1");
        assert_eq!(cluster.place(), [(task(expected), "w1".into())]);
    }
}

#[test]
fn given_a_limit_per_worker_when_many_of_a_step_come_then_each_worker_holds_no_more() {
    let mut cluster = Cluster::new(1, ["w1", "w2", "w3"].map(|id| worker(id, 9_000, "r1")));
    for index in 0..9 {
        let mut one = unit(1, 100, 2);
        one.tasks[0].index = index;
        one.id.index = Some(index);
        one.anti_affinity = 2;
        cluster.enqueue(one);
    }
    assert_eq!(cluster.run_for(6_000).len(), 6);
    assert_eq!(["w1", "w2", "w3"].map(|id| cluster.at(id)), [2, 2, 2]);
}

#[test]
fn given_workers_of_unlike_size_when_many_tasks_come_then_the_small_take_less() {
    let workers = [
        worker("half", 8_000, "r1"),
        worker("one", 16_000, "r1"),
        worker("two", 32_000, "r1"),
    ];
    let mut cluster = Cluster::new(1, workers);
    (1..=70).for_each(|number| cluster.enqueue(unit(number, 400, 2)));
    cluster.place();
    let [half, one, two] = ["half", "one", "two"].map(|id| cluster.at(id));
    assert!(
        (8..=12).contains(&half) && (18..=22).contains(&one) && (38..=42).contains(&two),
        "{half} {one} {two}"
    );
}

#[test]
fn given_a_rack_with_the_data_when_it_has_room_then_it_is_taken() {
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
    assert_eq!((cluster.at("near"), cluster.at("far")), (4, 0));
}

#[test]
fn given_a_full_rack_when_waiting_costs_more_than_distance_then_another_is_taken() {
    let mut cluster = Cluster::new(1, [worker("near", 1_000, "r1"), worker("far", 4_000, "r2")]);
    cluster.enqueue(Unit {
        affinity: Some("r1".into()),
        ..unit(1, 1_000, 2)
    });
    cluster.place();
    assert_eq!(cluster.where_is(1), Some("near"));
    cluster.enqueue(Unit {
        affinity: Some("r1".into()),
        ..unit(2, 1_000, 2)
    });
    cluster.run_for(600);
    assert_eq!(
        cluster.where_is(2),
        Some("far"),
        "half a run time is what the distance costs"
    );
}

#[test]
fn given_a_worker_that_is_gone_when_its_room_was_taken_then_tasks_go_elsewhere() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 2));
    cluster.enqueue(unit(2, 1_000, 2));
    cluster.run_for(500);
    cluster.gone("w1");
    assert!(cluster.run_for(500).is_empty());
    cluster.worker(worker("w2", 1_000, "r1"));
    assert_eq!(cluster.run_for(1_000), [(task(2), "w2".into())]);
}

#[test]
fn given_runs_known_before_their_worker_when_it_reports_then_their_room_is_taken() {
    let mut cluster = Cluster::new(1, []);
    let before = unit(1, 700, 2);
    cluster.placement.restore_run(
        cluster.now,
        &task(1),
        &"w1".into(),
        Allocation::from(&before),
    );
    cluster.worker(worker("w1", 1_000, "r1"));
    cluster.enqueue(unit(2, 400, 2));
    assert!(cluster.run_for(200).is_empty());
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
        Allocation::from(&before),
    );
    let used: Vec<u64> = cluster
        .placement
        .workers()
        .map(|status| status.used.cpu)
        .collect();
    assert_eq!(used, [700], "told twice, counted once");
}

#[test]
fn given_a_large_task_when_small_ones_keep_coming_then_it_is_not_starved() {
    let mut cluster = Cluster::new(1, [worker("w1", 4_000, "r1"), worker("w2", 4_000, "r1")]);
    (1..=8).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    cluster.place();
    cluster.enqueue(unit(9, 4_000, 2));
    for number in 10..110 {
        cluster.enqueue(unit(number, 1_000, 2));
        cluster.run_for(125);
        let oldest = cluster
            .runs
            .iter()
            .filter(|(_, run)| run.since + 1_000 <= cluster.now);
        let ended: Vec<_> = oldest.map(|(key, _)| key.clone()).collect();
        ended
            .iter()
            .for_each(|(task, at)| cluster.end(task, at, RunEnd::Done));
        if cluster.where_is(9).is_some() {
            return;
        }
    }
    panic!("the large task waited for 12 s");
}

#[test]
fn given_kept_room_when_a_short_task_ends_before_it_is_needed_then_it_may_use_it() {
    let mut cluster = Cluster::new(1, [worker("w1", 4_000, "r1")]);
    cluster.enqueue(Unit {
        estimated_ms: 10_000,
        ..unit(1, 3_000, 2)
    });
    cluster.place();
    cluster.enqueue(unit(2, 4_000, 2));
    cluster.run_for(1_000);
    cluster.enqueue(Unit {
        estimated_ms: 500,
        ..unit(3, 500, 2)
    });
    cluster.enqueue(Unit {
        estimated_ms: 60_000,
        ..unit(4, 500, 2)
    });
    cluster.place();
    assert_eq!(cluster.where_is(3), Some("w1"));
    assert_eq!(
        cluster.where_is(4),
        None,
        "it would delay the task before it"
    );
}

#[test]
fn given_the_same_events_when_played_twice_then_the_decisions_are_the_same() {
    let play = || {
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
    assert_eq!(play(), play());
}

#[test]
fn given_more_tasks_than_one_call_looks_at_when_they_come_at_once_then_the_urgent_are_first_and_none_is_forgotten(
) {
    const TASKS: u64 = 2_500;
    let mut cluster = Cluster::new(1, [worker("w1", 10_000_000, "r1")]);
    (1..=TASKS).for_each(|number| cluster.enqueue(unit(number, 10, 2)));
    cluster.enqueue(unit(TASKS + 1, 10, 0));
    let first = cluster.place();
    assert!(
        first.contains(&(task(TASKS + 1), "w1".into())),
        "the urgent one comes first"
    );
    assert!(
        first.len() < TASKS as usize,
        "{} were looked at in one call",
        first.len()
    );
    let mut started = first.len();
    for _ in 0..3 {
        started += cluster.place().len();
    }
    assert_eq!(started, TASKS as usize + 1);
}
