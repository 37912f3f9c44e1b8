//! Processor time of placement: `cargo bench -p streamusher-placement`.
//!
//! Each line of the output is one case: number of workers, starts per second, pending units at the end, time
//! per start, share of a core that all calls take, and the longest call.
#![allow(clippy::expect_used, reason = "a bench fails by panicking")]

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Instant;
use streamusher_placement::{
    Decision, Placement, PlacementSettings, Policy, ReleaseReason, TaskAssignment, WorkerInfo,
};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

const TICK_MS: Millis = 20;
/// Time from a preemption to the end of the run.
const STOP_MS: Millis = 400;
const WORKERS_PER_RACK: u32 = 3;

/// A workload on a cluster.
struct Case {
    name: &'static str,
    workers: u32,
    arrivals_per_s: u64,
    mean_run_ms: Millis,
    seconds: u64,
}

fn worker(number: u32) -> WorkerInfo {
    let rack = number / WORKERS_PER_RACK;
    WorkerInfo {
        id: format!("w{number}").into(),
        service: "s".into(),
        zone: "z".into(),
        labels: vec!["a".into(), format!("r{rack}").into()],
        capacity: Resources {
            cpu: 16_000,
            mem_mb: 32_768,
            gpu: 0,
        },
        schedulable: true,
    }
}

fn unit(number: u64, random: &mut Pcg32, mean_run_ms: Millis) -> Unit {
    let task: TaskId = format!("{number:016x}.0.0.0")
        .parse()
        .expect("the identifier of a task is valid");
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

/// Simulated cluster in virtual time, with the processor time that its placement has used.
struct Simulation<'a> {
    case: &'a Case,
    placement: Placement,
    random: Pcg32,
    /// Runs by the time at which they end.
    ends: BTreeMap<Millis, Vec<TaskAssignment>>,
    run_ms: BTreeMap<TaskId, Millis>,
    arrivals: u64,
    starts: u64,
    total_s: f64,
    longest_call_s: f64,
}

impl Simulation<'_> {
    fn new(case: &Case) -> Simulation<'_> {
        let mut placement = Placement::new(PlacementSettings {
            random_seed: 1,
            remote_slowdown: 1.5,
            max_stop_ms: 900,
            checkpoint_restore_ms: 600,
            policy: Policy::default(),
        });
        for number in 0..case.workers {
            placement.update_worker(0, worker(number));
        }
        Simulation {
            case,
            placement,
            random: Pcg32::seed_from_u64(1),
            ends: BTreeMap::new(),
            run_ms: BTreeMap::new(),
            arrivals: 0,
            starts: 0,
            total_s: 0.0,
            longest_call_s: 0.0,
        }
    }

    fn run(&mut self) {
        let mut now = 0;
        while now < self.case.seconds * 1_000 {
            now += TICK_MS;
            self.tick(now);
        }
    }

    fn tick(&mut self, now: Millis) {
        let units = self.new_units(now);
        let later = self.ends.split_off(&(now + 1));
        let ended = std::mem::replace(&mut self.ends, later);
        let begin = Instant::now();
        for assignment in ended.into_values().flatten() {
            let reason = ReleaseReason::Finished {
                outcome: RunEnd::Done,
                ran_ms: self.case.mean_run_ms,
            };
            self.placement
                .release(now, &assignment.task, &assignment.worker, reason);
        }
        for unit in units {
            self.placement.enqueue(now, unit);
        }
        let decisions = self.placement.place(now);
        let call_s = begin.elapsed().as_secs_f64();
        self.total_s += call_s;
        self.longest_call_s = self.longest_call_s.max(call_s);
        for decision in decisions {
            self.apply(now, decision);
        }
    }

    fn new_units(&mut self, now: Millis) -> Vec<Unit> {
        let due = self.case.arrivals_per_s * now / 1_000;
        let mut units = Vec::new();
        for number in self.arrivals..due {
            let unit = unit(number + 1, &mut self.random, self.case.mean_run_ms);
            self.run_ms.insert(unit.tasks[0].clone(), unit.estimated_ms);
            units.push(unit);
        }
        self.arrivals = due;
        units
    }

    fn apply(&mut self, now: Millis, decision: Decision) {
        match decision {
            Decision::Start { assignments, .. } => {
                for assignment in assignments {
                    self.starts += 1;
                    let run_ms = self.run_ms.remove(&assignment.task).unwrap_or(STOP_MS);
                    self.end_at(now + run_ms, assignment);
                }
            }
            Decision::Preempt { task, worker } => {
                self.end_at(now + STOP_MS, TaskAssignment { task, worker });
            }
        }
    }

    fn end_at(&mut self, at: Millis, assignment: TaskAssignment) {
        self.ends.entry(at).or_default().push(assignment);
    }

    fn print(&self) {
        let seconds = self.case.seconds as f64;
        println!(
            "{}: {} workers, {:.0} starts/s, {} pending, {:.1} us per start, {:.2}% of a core, longest call {:.1} ms",
            self.case.name,
            self.case.workers,
            self.starts as f64 / seconds,
            self.placement.pending_count(),
            self.total_s * 1e6 / self.starts as f64,
            self.total_s * 100.0 / seconds,
            self.longest_call_s * 1e3,
        );
    }
}

const CASES: [Case; 6] = [
    Case {
        name: "small site, half full",
        workers: 5,
        arrivals_per_s: 60,
        mean_run_ms: 700,
        seconds: 30,
    },
    Case {
        name: "small site, overloaded",
        workers: 5,
        arrivals_per_s: 300,
        mean_run_ms: 700,
        seconds: 30,
    },
    Case {
        name: "busy, two thirds full",
        workers: 77,
        arrivals_per_s: 600,
        mean_run_ms: 2_000,
        seconds: 30,
    },
    Case {
        name: "busy, overloaded",
        workers: 77,
        arrivals_per_s: 1_500,
        mean_run_ms: 2_000,
        seconds: 30,
    },
    Case {
        name: "target size",
        workers: 30_000,
        arrivals_per_s: 7_600,
        mean_run_ms: 17_000,
        seconds: 25,
    },
    Case {
        name: "target size, overloaded",
        workers: 30_000,
        arrivals_per_s: 40_000,
        mean_run_ms: 17_000,
        seconds: 25,
    },
];

fn main() {
    for case in &CASES {
        let mut simulation = Simulation::new(case);
        simulation.run();
        simulation.print();
    }
}
