//! Gangs, preemption, room kept for urgent work.

mod common;

use common::*;
use rstest::rstest;
use streamusher_placement::WorkerInfo;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

#[test]
fn given_room_for_some_members_when_a_gang_waits_then_none_is_started() {
    let mut cluster = Cluster::new(1, [worker("w1", 2_000, "r1"), worker("w2", 2_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 1));
    cluster.place();
    cluster.enqueue(gang(2, 4, 1_000, 1));
    assert!(cluster.run_for(4_000).is_empty());
    let at: std::sync::Arc<str> = cluster.where_is(1).unwrap().into();
    cluster.end(&task(1), &at, RunEnd::Done);
    assert_eq!(cluster.place().len(), 4, "all members in one decision");
}

#[test]
fn given_two_racks_when_a_gang_wants_one_then_all_members_are_on_one() {
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
        .map(|(_, at)| cluster.workers[at].labels[1].clone())
        .collect();
    assert_eq!(racks.len(), 4);
    assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
}

#[test]
fn given_racks_that_are_too_small_when_a_gang_wants_one_then_it_takes_several() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1"), worker("w2", 1_000, "r2")]);
    cluster.enqueue(Unit {
        same_rack: true,
        ..gang(1, 2, 1_000, 1)
    });
    assert_eq!(cluster.place().len(), 2);
}

#[test]
fn given_a_busy_rack_when_a_gang_has_waited_as_long_as_distance_costs_then_it_takes_several() {
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
    assert_eq!(cluster.run_for(1_000).len(), 2);
}

#[test]
fn given_a_limit_per_worker_when_a_gang_is_placed_then_it_holds_for_its_members() {
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
        cluster.run_for(3_000).len(),
        3,
        "the gang of four has too few workers"
    );
}

#[test]
fn given_a_full_service_when_an_urgent_task_comes_then_the_cheapest_is_stopped_once() {
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
    cluster.run_for(5_000);
    cluster.enqueue(unit(9, 1_000, 0));
    cluster.run_for(STOP_MS);
    assert_eq!(cluster.preempted, [task(3)], "the one that saves");
    let at: std::sync::Arc<str> = cluster.where_is(3).unwrap().into();
    cluster.end(&task(3), &at, RunEnd::Stopped);
    assert_eq!(cluster.place(), [(task(9), at)]);
}

#[test]
fn given_room_made_for_an_urgent_task_when_a_lesser_one_waits_too_then_it_does_not_get_it() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(Unit {
        estimated_ms: 20_000,
        ..unit(1, 1_000, 2)
    });
    cluster.place();
    cluster.enqueue(unit(2, 500, 2));
    cluster.run_for(100);
    cluster.enqueue(unit(3, 1_000, 0));
    cluster.run_for(200);
    assert_eq!(cluster.preempted, [task(1)]);
    cluster.end(&task(1), &"w1".into(), RunEnd::Stopped);
    assert_eq!(cluster.place(), [(task(3), "w1".into())]);
}

#[rstest]
#[case::equal_priority(2, 2, false)]
#[case::lower_priority(2, 1, false)]
#[case::gang_for_less_than_the_most_urgent(1, 2, true)]
fn given_what_may_not_be_stopped_when_a_task_is_stuck_then_nothing_is_stopped(
    #[case] wants: u32,
    #[case] runs: u32,
    #[case] as_gang: bool,
) {
    let mut cluster = Cluster::new(1, [worker("w1", 2_000, "r1")]);
    let running = if as_gang {
        gang(1, 2, 1_000, runs)
    } else {
        unit(1, 2_000, runs)
    };
    cluster.enqueue(Unit {
        estimated_ms: 60_000,
        checkpoints: true,
        ..running
    });
    cluster.place();
    cluster.enqueue(unit(2, 1_000, wants));
    cluster.run_for(5_000);
    assert!(cluster.preempted.is_empty());
}

#[test]
fn given_only_gangs_when_the_most_urgent_is_stuck_then_a_member_is_stopped() {
    let mut cluster = Cluster::new(1, [worker("w1", 2_000, "r1")]);
    cluster.enqueue(Unit {
        estimated_ms: 60_000,
        checkpoints: true,
        ..gang(1, 2, 1_000, 2)
    });
    cluster.place();
    cluster.enqueue(unit(2, 1_000, 0));
    cluster.run_for(800);
    assert_eq!(cluster.preempted.len(), 1);
}

#[test]
fn given_dear_work_when_a_task_of_middle_priority_is_stuck_then_it_waits() {
    let workers = [WorkerInfo {
        capacity: room(16_000, 16_000, 8),
        ..worker("w1", 16_000, "r1")
    }];
    let mut cluster = Cluster::new(1, workers);
    let dear = Unit {
        resources: room(15_000, 15_000, 8),
        estimated_ms: 30_000,
        ..unit(1, 0, 2)
    };
    cluster.enqueue(dear);
    cluster.place();
    cluster.run_for(5_000);
    cluster.enqueue(unit(2, 2_000, 1));
    cluster.run_for(3_000);
    assert!(
        cluster.preempted.is_empty(),
        "395 core-seconds would be lost"
    );
}

#[test]
fn given_what_ends_soon_when_an_urgent_task_comes_then_nothing_is_stopped() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1")]);
    cluster.enqueue(unit(1, 1_000, 2));
    cluster.place();
    cluster.run_for(800);
    cluster.enqueue(unit(2, 1_000, 0));
    cluster.run_for(200);
    cluster.end_all_at("w1");
    assert_eq!(cluster.place(), [(task(2), "w1".into())]);
    assert!(cluster.preempted.is_empty());
}

#[test]
fn given_small_tasks_all_over_when_a_more_urgent_gang_is_stuck_then_room_is_made_at_one_place() {
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
    cluster.run_for(STOP_MS);
    let stopped: Vec<_> = cluster
        .runs
        .iter()
        .filter(|(_, run)| run.stopping)
        .map(|(key, _)| key.clone())
        .collect();
    assert_eq!(stopped.len(), 6, "what runs at two of the workers");
    stopped
        .iter()
        .for_each(|(task, at)| cluster.end(task, at, RunEnd::Stopped));
    assert_eq!(cluster.place().len(), 2);
}

#[test]
fn given_a_gang_that_waits_when_lesser_tasks_keep_coming_then_room_is_gathered_for_it() {
    let mut cluster = Cluster::new(1, ["w1", "w2"].map(|id| worker(id, 4_000, "r1")));
    (1..=8).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    cluster.place();
    cluster.enqueue(gang(9, 2, 4_000, 2));
    for number in 10..110 {
        cluster.enqueue(unit(number, 1_000, 2));
        cluster.run_for(120);
        let old = cluster
            .runs
            .iter()
            .filter(|(_, run)| run.since + 1_000 <= cluster.now);
        let ended: Vec<_> = old.map(|(key, _)| key.clone()).collect();
        ended
            .iter()
            .for_each(|(task, at)| cluster.end(task, at, RunEnd::Done));
        if cluster.where_is(9).is_some() {
            return;
        }
    }
    panic!("the gang waited for 12 s");
}

#[test]
fn given_stops_for_a_gang_that_end_one_by_one_when_lesser_tasks_waited_long_then_the_gang_gets_the_room(
) {
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
        cluster.run_for(4_000).len(),
        4,
        "the others wait; most of the service is free"
    );
    cluster.enqueue(gang(20, 4, 15_000, 0));
    cluster.run_for(100);
    assert_eq!(cluster.preempted.len(), 4);
    for task in cluster.preempted.clone() {
        let at: std::sync::Arc<str> = cluster
            .runs
            .keys()
            .find(|(run, _)| *run == task)
            .unwrap()
            .1
            .clone();
        cluster.end(&task, &at, RunEnd::Stopped);
        cluster.run_for(250);
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
        let urgent = cluster.run_for(100);
        assert!(
            round < 210 || urgent.len() == 1,
            "an urgent task waits in round {round}"
        );
        let over: Vec<_> = cluster
            .runs
            .iter()
            .filter(|(_, run)| run.unit.priority == 0 && run.since + 500 <= cluster.now)
            .map(|(key, _)| key.clone())
            .collect();
        over.iter()
            .for_each(|(task, at)| cluster.end(task, at, RunEnd::Done));
    }
    cluster
}

#[test]
fn given_steady_urgent_traffic_when_long_work_floods_in_then_urgent_tasks_start_without_stops() {
    let cluster = with_urgent_traffic_and_a_flood();
    assert!(cluster.preempted.is_empty(), "{:?}", cluster.preempted);
}

#[test]
fn given_steady_urgent_traffic_when_long_work_floods_in_then_it_gets_most_of_the_room() {
    let cluster = with_urgent_traffic_and_a_flood();
    let long = cluster
        .runs
        .values()
        .filter(|run| run.unit.priority == 2)
        .count();
    assert!((26..=36).contains(&long), "{long} of 40 cores");
}

#[test]
fn given_whole_workers_asked_for_when_small_tasks_come_then_they_are_packed() {
    let names = ["w1", "w2", "w3", "w4"];
    let with_gpus = |id| WorkerInfo {
        capacity: room(32_000, 64_000, 8),
        ..worker(id, 32_000, "r1")
    };
    let mut cluster = Cluster::new(1, names.map(with_gpus));
    cluster.enqueue(Unit {
        resources: room(15_000, 30_000, 8),
        ..gang(1, 1, 0, 1)
    });
    cluster.place();
    let at: std::sync::Arc<str> = cluster.where_is(1).unwrap().into();
    cluster.end(&task(1), &at, RunEnd::Done);
    for number in 2..=9 {
        cluster.enqueue(Unit {
            resources: room(2_800, 6_000, 1),
            ..unit(number, 0, 2)
        });
        cluster.place();
    }
    let empty = names.iter().filter(|id| cluster.at(id) == 0).count();
    assert!(empty >= 2, "{empty} workers are left whole");
}

/// Tasks that can wait have so much slack; the others have a second.
const LONG_SLACK_MS: Millis = 16_000;

/// A burst of urgent tasks comes each second; before the last one, a wide job of long tasks. Answers how many of
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
            cluster.run_for(500);
        }
        let first = 1_000 * second;
        for number in first..first + burst {
            cluster.enqueue(Unit {
                estimated_ms: 400,
                ..unit(number, 1_000, 0)
            });
        }
        started = cluster.place().len();
        cluster.run_for(500);
        let urgent = cluster
            .runs
            .iter()
            .filter(|(_, run)| run.unit.priority == 0);
        let over: Vec<_> = urgent.map(|(key, _)| key.clone()).collect();
        over.iter()
            .for_each(|(task, at)| cluster.end(task, at, RunEnd::Done));
        cluster.run_for(500);
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
fn given_bursts_of_urgent_tasks_when_a_wide_long_job_comes_then_the_next_burst_starts_whole() {
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

/// Frequent short tasks that cannot wait; then a wide job of long tasks that can, of a priority. Answers how many of the tasks of
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
                })
            });
            cluster.run_for(500);
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
        cluster.run_for(400);
        let short = cluster
            .runs
            .iter()
            .filter(|(_, run)| &*run.unit.queue == "short");
        let over: Vec<_> = short.map(|(key, _)| key.clone()).collect();
        over.iter()
            .for_each(|(task, at)| cluster.end(task, at, RunEnd::Done));
        cluster.run_for(600);
    }
    started
}

#[rstest]
#[case::long_ones_less_urgent(2)]
#[case::all_alike_urgent(1)]
#[case::long_ones_more_urgent(0)]
fn given_work_that_can_wait_when_it_floods_in_then_work_that_cannot_starts_whatever_the_priorities(
    #[case] priority_of_long: u32,
) {
    assert_eq!(
        short_tasks_started_beside_long_ones(priority_of_long),
        10,
        "of 10 short tasks"
    );
}

#[test]
fn given_short_urgent_work_that_can_wait_when_it_fills_the_room_then_nothing_is_kept_for_it() {
    let mut cluster = Cluster::new(1, [worker("w1", 10_000, "r1")]);
    for number in 1..=10 {
        let patient = Unit {
            slack_ms: LONG_SLACK_MS,
            ..unit(number, 1_000, 0)
        };
        cluster.enqueue(patient);
        cluster.place();
        cluster.run_for(300);
        cluster.end_all_at("w1");
    }
    (20..30).for_each(|number| cluster.enqueue(unit(number, 1_000, 2)));
    assert_eq!(cluster.place().len(), 10, "all of the room");
}

#[test]
fn given_a_full_service_when_a_small_urgent_task_can_wait_then_nothing_is_stopped_until_half_its_slack_has_passed(
) {
    let mut cluster = Cluster::new(1, [worker("w1", 10_000, "r1")]);
    (1..=10).for_each(|number| {
        cluster.enqueue(Unit {
            estimated_ms: 60_000,
            ..unit(number, 1_000, 2)
        })
    });
    assert_eq!(cluster.place().len(), 10);
    cluster.enqueue(Unit {
        slack_ms: 10_000,
        ..unit(20, 1_000, 0)
    });
    cluster.run_for(5_000 - STOP_MS - 100);
    assert!(
        cluster.preempted.is_empty(),
        "its slack is not spent: {:?}",
        cluster.preempted
    );
    cluster.run_for(1_000);
    assert_eq!(cluster.preempted.len(), 1);
}

#[rstest]
#[case::room_comes_in_time(3_000, 0)]
#[case::room_comes_too_late(60_000, 2)]
fn given_a_gang_that_can_wait_when_room_comes_then_others_are_stopped_only_if_it_comes_too_late(
    #[case] others_ms: Millis,
    #[case] stopped: usize,
) {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1"), worker("w2", 1_000, "r1")]);
    let others = |number| Unit {
        estimated_ms: others_ms,
        ..unit(number, 1_000, 2)
    };
    (1..=2).for_each(|number| cluster.enqueue(others(number)));
    assert_eq!(cluster.place().len(), 2);
    cluster.run_for(500);
    cluster.enqueue(Unit {
        slack_ms: 10_000,
        ..gang(9, 2, 1_000, 1)
    });
    cluster.run_for(1_000);
    assert_eq!(cluster.preempted.len(), stopped);
}

#[test]
fn given_work_that_can_wait_when_it_has_waited_for_long_then_less_is_kept_from_it() {
    let mut cluster = Cluster::new(1, [worker("w1", 10_000, "r1")]);
    for second in 1..=20_u64 {
        let burst = if second % 2 == 0 { 6 } else { 1 };
        (0..burst).for_each(|index| cluster.enqueue(unit(1_000 * second + index, 1_000, 0)));
        cluster.run_for(500);
        cluster.end_all_at("w1");
        cluster.run_for(500);
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
    let later = cluster.run_for(8_000).len();
    assert!(later > 8, "{later} starts, the urgent ones among them");
}
