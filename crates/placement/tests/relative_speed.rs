//! Worker speeds learned from run times, with wrong estimates and with remote runs that take longer.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{settings, task, unit, worker, Cluster};
use streamusher_placement::WorkerStatus;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{StepId, Unit, UnitId};
use streamusher_protocol::Millis;

const TASKS: u32 = 9;

/// A step of equal tasks that share one estimate. `run_ms` is the run time of each on a worker of normal
/// speed near its data.
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

/// Runs steps one after the other; `run_ms_on` returns the run time of a step's task on a worker.
fn run_steps(cluster: &mut Cluster, steps: &[Step], run_ms_on: impl Fn(&Step, &str) -> Millis) {
    for step in steps {
        step.units()
            .into_iter()
            .for_each(|unit| cluster.enqueue(unit));
        let end = cluster.now + 8 * step.run_ms;
        while cluster.now < end {
            cluster.place_for(20);
            let now = cluster.now;
            cluster.finish_where(RunEnd::Done, |worker, run| {
                run.started_at + run_ms_on(step, worker) <= now
            });
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the fraction of a millisecond is cut off"
)]
fn whole_ms(ms: f64) -> Millis {
    ms as Millis
}

/// Steps whose estimates are wrong by a factor of up to four in either direction.
fn steps_with_wrong_estimates(affinity: Option<&'static str>) -> Vec<Step> {
    let factors = [0.25, 1.0, 4.0, 0.5, 2.0, 0.3, 3.0, 0.25, 1.0, 4.0, 0.5, 2.0];
    let step = |(number, factor): (usize, f64)| {
        let estimated_ms = whole_ms(600.0 * factor);
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
    let on_rack = |id: &str, rack: &str| worker(id, 3_000, rack);
    Cluster::new(
        1,
        [
            on_rack("w1", "r1"),
            on_rack("w2", "r1"),
            on_rack("w3", "r2"),
            on_rack("w4", "r2"),
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
fn wrong_estimates_do_not_make_a_worker_slow() {
    let mut cluster = two_racks();
    run_steps(
        &mut cluster,
        &steps_with_wrong_estimates(None),
        |step, _| step.run_ms,
    );
    let slowness = slowness(&cluster);
    assert!(
        slowness
            .iter()
            .all(|(_, slowness)| (0.95..1.05).contains(slowness)),
        "{slowness:?}"
    );
}

#[test]
fn slow_worker_is_recognized_despite_wrong_estimates() {
    let mut cluster = two_racks();
    run_steps(
        &mut cluster,
        &steps_with_wrong_estimates(None),
        |step, worker| match worker {
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
fn remote_runs_do_not_make_a_worker_slow() {
    let mut cluster = two_racks();
    let remote_slowdown = settings(1).remote_slowdown;
    run_steps(
        &mut cluster,
        &steps_with_wrong_estimates(Some("r1")),
        |step, worker| match worker {
            "w1" | "w2" => step.run_ms,
            _ => whole_ms(step.run_ms as f64 * remote_slowdown),
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
fn remote_run_is_slower_by_the_remote_slowdown() {
    let mut cluster = Cluster::new(1, [worker("w1", 1_000, "r1"), worker("w3", 1_000, "r2")]);
    cluster.enqueue(Unit {
        affinity: Some("r1".into()),
        ..unit(1, 900, 2)
    });
    cluster.enqueue(Unit {
        affinity: Some("r1".into()),
        ..unit(2, 900, 2)
    });
    cluster.place_for(2_000);
    let slowness = |number| {
        let worker = cluster.worker_of(number).expect("the task runs");
        (
            worker.to_string(),
            cluster
                .placement
                .run_slowness(cluster.now, &task(number), &worker.into()),
        )
    };
    assert_eq!(slowness(1), ("w1".to_string(), 1.0));
    assert_eq!(slowness(2), ("w3".to_string(), settings(1).remote_slowdown));
}
