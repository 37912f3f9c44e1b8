//! What run times teach of workers, where estimates are wrong and runs away from their data take longer.

mod common;

use common::*;
use streamusher_placement::WorkerStatus;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{StepId, Unit, UnitId};
use streamusher_protocol::Millis;

const TASKS: u32 = 9;

/// A step of equal tasks with one estimate, and what each takes at a usual worker near its data.
struct Step {
    number: u64,
    estimated_ms: Millis,
    run_ms: Millis,
    affinity: Option<&'static str>,
}

impl Step {
    fn units(&self) -> Vec<Unit> {
        let tasks = (0..TASKS).map(|index| TaskId {
            index,
            ..task(self.number)
        });
        let unit_of = |task: TaskId| Unit {
            id: UnitId {
                step: StepId::of_task(&task),
                index: Some(task.index),
            },
            tasks: vec![task],
            estimated_ms: self.estimated_ms,
            affinity: self.affinity.map(Into::into),
            ..unit(self.number, 500, 2)
        };
        tasks.map(unit_of).collect()
    }
}

/// Plays steps one after the other; `takes` tells the time of a run at a worker.
fn play(cluster: &mut Cluster, steps: &[Step], takes: impl Fn(&Step, &str) -> Millis) {
    for step in steps {
        step.units()
            .into_iter()
            .for_each(|unit| cluster.enqueue(unit));
        let until = cluster.now + 8 * step.run_ms;
        while cluster.now < until {
            cluster.run_for(20);
            let is_over = |at: &str, since: Millis| since + takes(step, at) <= cluster.now;
            let over = cluster
                .runs
                .iter()
                .filter(|((_, at), run)| is_over(at, run.since));
            let over: Vec<_> = over.map(|(key, _)| key.clone()).collect();
            over.iter()
                .for_each(|(task, at)| cluster.end(task, at, RunEnd::Done));
        }
    }
}

/// Estimates that are too short by up to four times for some steps, and too long by as much for others.
fn with_wrong_estimates(affinity: Option<&'static str>) -> Vec<Step> {
    let factors = [0.25, 1.0, 4.0, 0.5, 2.0, 0.3, 3.0, 0.25, 1.0, 4.0, 0.5, 2.0];
    let step = |(number, factor): (usize, f64)| {
        let estimated_ms = (600.0 * factor) as Millis;
        Step {
            number: number as u64 + 1,
            estimated_ms,
            run_ms: 600,
            affinity,
        }
    };
    factors.into_iter().enumerate().map(step).collect()
}

fn two_racks() -> Cluster {
    let at = |id: &str, rack: &str| worker(id, 3_000, rack);
    Cluster::new(
        1,
        [
            at("w1", "r1"),
            at("w2", "r1"),
            at("w3", "r2"),
            at("w4", "r2"),
        ],
    )
}

fn slowness(cluster: &Cluster) -> Vec<(String, f64)> {
    let statuses: Vec<WorkerStatus> = cluster.placement.workers().collect();
    statuses
        .into_iter()
        .map(|status| (status.info.id.to_string(), status.slowness))
        .collect()
}

#[test]
fn given_equal_workers_when_estimates_are_wrong_by_step_then_none_is_taken_for_slow() {
    let mut cluster = two_racks();
    play(&mut cluster, &with_wrong_estimates(None), |step, _| {
        step.run_ms
    });
    let slowness = slowness(&cluster);
    assert!(
        slowness
            .iter()
            .all(|(_, slowness)| (0.95..1.05).contains(slowness)),
        "{slowness:?}"
    );
}

#[test]
fn given_one_slow_worker_when_estimates_are_wrong_by_step_then_it_alone_is_taken_for_slow() {
    let mut cluster = two_racks();
    play(
        &mut cluster,
        &with_wrong_estimates(None),
        |step, at| match at {
            "w2" => 3 * step.run_ms,
            _ => step.run_ms,
        },
    );
    for (id, slowness) in slowness(&cluster) {
        match id.as_str() {
            "w2" => assert!(slowness > 1.8, "{id} {slowness}"),
            _ => assert!(slowness < 1.3, "{id} {slowness}"),
        }
    }
}

#[test]
fn given_data_on_one_rack_when_runs_away_from_it_take_longer_then_no_worker_is_taken_for_slow() {
    let mut cluster = two_racks();
    let far_x = settings(1).remote_slowdown;
    play(
        &mut cluster,
        &with_wrong_estimates(Some("r1")),
        |step, at| match at {
            "w1" | "w2" => step.run_ms,
            _ => (step.run_ms as f64 * far_x) as Millis,
        },
    );
    let slowness = slowness(&cluster);
    assert!(
        slowness
            .iter()
            .all(|(_, slowness)| (0.9..1.1).contains(slowness)),
        "{slowness:?}"
    );
}

#[test]
fn given_a_run_away_from_its_data_when_it_runs_at_a_usual_worker_then_it_is_taken_to_last_far_x_times_as_long(
) {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1"), worker("w3", 1_000, "r2")]);
    cluster.enqueue(Unit {
        affinity: Some("r1".into()),
        ..unit(1, 900, 2)
    });
    cluster.enqueue(Unit {
        affinity: Some("r1".into()),
        ..unit(2, 900, 2)
    });
    cluster.run_for(2_000);
    let slowness = |number| {
        let at = cluster.where_is(number).expect("it runs");
        (
            at.to_string(),
            cluster
                .placement
                .run_slowness(cluster.now, &task(number), &at.into()),
        )
    };
    assert_eq!(slowness(1), ("w1".to_string(), 1.0));
    assert_eq!(slowness(2), ("w3".to_string(), settings(1).remote_slowdown));
}
