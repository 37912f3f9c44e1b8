//! Processor time of placement: `cargo bench -p streamusher-placement`.
//!
//! Per case: workers, starts a second, load; then time for a start, and the share of a core that all calls take.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Instant;
use streamusher_placement::{
    Decision, Placement, PlacementSettings, ReleaseReason, TaskAssignment, WorkerInfo,
};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};

const TICK_MS: u64 = 20;

struct Case {
    name: &'static str,
    workers: u32,
    arrivals_per_s: u64,
    mean_run_ms: u64,
    seconds: u64,
}

fn worker(number: u32) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{number}").into(),
        service: "s".into(),
        zone: "z".into(),
        labels: vec!["a".into(), format!("r{}", number / 3).into()],
        capacity: Resources {
            cpu: 16_000,
            mem_mb: 32_768,
            gpu: 0,
        },
        schedulable: true,
    }
}

fn unit(number: u64, random: &mut Pcg32, mean_run_ms: u64) -> Unit {
    let task: TaskId = format!("{number:016x}.0.0.0")
        .parse()
        .expect("a task's name");
    Unit {
        id: UnitId::of_task(&task),
        tasks: vec![task],
        resources: Resources {
            cpu: random.random_range(200..1_000),
            mem_mb: 900,
            gpu: 0,
        },
        service: "s".into(),
        queue: "q".into(),
        priority: random.random_range(0..3),
        order: number,
        slack_ms: 1_000,
        node_selector: None,
        affinity: random.random_bool(0.3).then(|| "r1".into()),
        anti_affinity: 0,
        same_rack: false,
        estimated_ms: random.random_range(mean_run_ms / 2..mean_run_ms * 3 / 2),
        checkpoints: random.random_bool(0.5),
        long_running: false,
        hedged: false,
        speculative: false,
        avoid: Vec::new(),
    }
}

fn play(case: &Case) {
    let settings = PlacementSettings {
        random_seed: 1,
        remote_slowdown: 1.5,
        max_stop_ms: 900,
        checkpoint_restore_ms: 600,
        policy: streamusher_placement::Policy::default(),
    };
    let mut placement = Placement::new(settings);
    (0..case.workers).for_each(|number| placement.update_worker(0, worker(number)));
    let mut random = Pcg32::seed_from_u64(1);
    let mut ends: BTreeMap<u64, Vec<(TaskId, WorkerId)>> = BTreeMap::new();
    let mut run_ms: BTreeMap<TaskId, u64> = BTreeMap::new();
    let (mut number, mut starts, mut spent, mut longest) = (0, 0, 0.0, 0.0_f64);
    let mut now = 0;
    while now < case.seconds * 1_000 {
        now += TICK_MS;
        let due = case.arrivals_per_s * now / 1_000;
        let new: Vec<Unit> = (number..due)
            .map(|n| unit(n + 1, &mut random, case.mean_run_ms))
            .collect();
        number = due;
        run_ms.extend(
            new.iter()
                .map(|unit| (unit.tasks[0].clone(), unit.estimated_ms)),
        );
        let later = ends.split_off(&(now + 1));
        let over = std::mem::replace(&mut ends, later);
        let begin = Instant::now();
        for (task, at) in over.into_values().flatten() {
            let how = ReleaseReason::Finished {
                outcome: RunEnd::Done,
                ran_ms: case.mean_run_ms,
            };
            placement.release(now, &task, &at, how);
        }
        new.into_iter()
            .for_each(|unit| placement.enqueue(now, unit));
        let decisions = placement.place(now);
        let took = begin.elapsed().as_secs_f64();
        spent += took;
        longest = longest.max(took);
        for decision in decisions {
            let (on, takes) = match decision {
                Decision::Start { assignments, .. } => (assignments, None),
                Decision::Preempt { task, worker } => {
                    (vec![TaskAssignment { task, worker }], Some(400))
                }
            };
            for TaskAssignment { task, worker } in on {
                starts += u64::from(takes.is_none());
                let takes = takes.or_else(|| run_ms.remove(&task)).unwrap_or(400);
                ends.entry(now + takes).or_default().push((task, worker));
            }
        }
    }
    println!(
        "{}: {} workers, {:.0} starts/s, {} wait, {:.1} us a start, {:.2}% of a core, longest call {:.1} ms",
        case.name,
        case.workers,
        starts as f64 / case.seconds as f64,
        placement.pending_count(),
        spent * 1e6 / starts as f64,
        spent * 100.0 / case.seconds as f64,
        longest * 1e3,
    );
}

fn main() {
    let case = |name, workers, arrivals_per_s, mean_run_ms, seconds| Case {
        name,
        workers,
        arrivals_per_s,
        mean_run_ms,
        seconds,
    };
    [
        case("small site, half full", 5, 60, 700, 30),
        case("small site, overloaded", 5, 300, 700, 30),
        case("busy, two thirds full", 77, 600, 2_000, 30),
        case("busy, overloaded", 77, 1_500, 2_000, 30),
        case("target size", 30_000, 7_600, 17_000, 25),
        case("target size, overloaded", 30_000, 40_000, 17_000, 25),
    ]
    .iter()
    .for_each(play);
}
