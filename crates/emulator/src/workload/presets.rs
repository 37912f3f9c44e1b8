//! Predefined workloads with different characteristics. None of them models a particular deployment; each
//! exercises another part of the scheduling decisions.

use super::model::{Class, LogNormalSize, Traits, WorkerGroup, Workload};
use streamusher_protocol::heartbeat::Resources;

const fn size(mean: f64, deviation: f64) -> LogNormalSize {
    LogNormalSize { mean, deviation }
}

fn processors(count: usize) -> WorkerGroup {
    WorkerGroup {
        service: "batch",
        count,
        capacity: Resources {
            cpu: 32_000,
            mem_mb: 128_000,
            gpu: 0,
        },
        kinds: vec!["a", "a", "b"],
        sizes: vec![1.0, 0.5, 1.5],
        speeds: vec![1.0, 1.0, 1.3],
        rack_size: 4,
    }
}

fn accelerators(count: usize) -> WorkerGroup {
    WorkerGroup {
        service: "model",
        count,
        capacity: Resources {
            cpu: 64_000,
            mem_mb: 256_000,
            gpu: 8,
        },
        kinds: vec!["a", "b"],
        sizes: vec![1.0],
        speeds: vec![1.0],
        rack_size: 3,
    }
}

/// Short, frequent, latency-sensitive jobs.
fn lookups(priority: u32, rate: f64) -> Class {
    Class {
        name: "lookup",
        service: "batch",
        priority,
        stretch: 1.5,
        target_latency_ms: 700,
        max_attempts: 3,
        value: 1.0,
        late_part: 0.3,
        rate,
        steps: size(1.5, 0.4),
        width: size(8.0, 0.7),
        work_ms: size(800.0, 0.5),
        cpu: size(1_000.0, 0.4),
        mem_mb: 900,
        gpus: vec![],
        work_deviation: 0.3,
        estimate_deviation: 0.2,
        failure_rate: 0.005,
        traits: Traits {
            affinity: 0.3,
            node_selector: 0.1,
            hedged: 0.3,
            timed: 0.04,
            ..Traits::default()
        },
    }
}

/// Wide jobs of long tasks.
fn reports(priority: u32, rate: f64) -> Class {
    Class {
        name: "report",
        priority,
        stretch: 4.0,
        target_latency_ms: 4_000,
        max_attempts: 3,
        rate,
        steps: size(2.0, 0.4),
        width: size(24.0, 0.7),
        work_ms: size(4_000.0, 0.5),
        cpu: size(1_600.0, 0.4),
        mem_mb: 2_000,
        estimate_deviation: 0.5,
        failure_rate: 0.02,
        traits: Traits {
            checkpoints: 0.8,
            node_selector: 0.1,
            ..Traits::default()
        },
        ..lookups(priority, rate)
    }
}

/// Gangs on accelerators.
fn gangs(priority: u32, rate: f64) -> Class {
    Class {
        name: "gang",
        service: "model",
        priority,
        stretch: 2.2,
        target_latency_ms: 1_500,
        max_attempts: 2,
        value: 3.0,
        rate,
        steps: size(1.0, 0.0),
        width: size(2.0, 0.5),
        work_ms: size(4_500.0, 0.5),
        cpu: size(20_000.0, 0.0),
        mem_mb: 20_000,
        gpus: vec![2, 4, 8],
        estimate_deviation: 0.9,
        traits: Traits {
            gang: true,
            same_rack: 0.5,
            checkpoints: 0.9,
            ..Traits::default()
        },
        ..lookups(priority, rate)
    }
}

/// Jobs of independent tasks that need one accelerator each.
fn images(priority: u32, rate: f64) -> Class {
    Class {
        name: "image",
        service: "model",
        priority,
        stretch: 4.0,
        target_latency_ms: 3_000,
        max_attempts: 4,
        rate,
        steps: size(1.0, 0.0),
        width: size(8.0, 0.7),
        work_ms: size(3_000.0, 0.5),
        cpu: size(4_000.0, 0.0),
        mem_mb: 9_000,
        gpus: vec![1],
        estimate_deviation: 0.9,
        failure_rate: 0.05,
        traits: Traits {
            checkpoints: 0.8,
            ..Traits::default()
        },
        ..lookups(priority, rate)
    }
}

/// Long-running tasks that run until the traffic ends.
fn listeners(priority: u32, rate: f64) -> Class {
    Class {
        name: "listener",
        priority,
        stretch: 2.2,
        target_latency_ms: 3_000,
        value: 0.5,
        rate,
        steps: size(1.0, 0.0),
        width: size(6.0, 0.5),
        work_ms: size(400.0, 0.5),
        cpu: size(1_500.0, 0.4),
        mem_mb: 2_000,
        failure_rate: 0.05,
        traits: Traits {
            long_running: true,
            anti_affinity: 0.5,
            ..Traits::default()
        },
        ..lookups(priority, rate)
    }
}

fn mixed(name: &'static str, priorities: [u32; 5]) -> Workload {
    let [lookup, report, gang, listener, image] = priorities;
    Workload {
        name,
        groups: vec![processors(14), accelerators(6)],
        classes: vec![
            lookups(lookup, 16.0),
            reports(report, 0.6),
            gangs(gang, 0.6),
            listeners(listener, 0.08),
            images(image, 0.5),
        ],
        far_x: 1.5,
    }
}

/// Short jobs have the highest priority.
pub fn short_first() -> Workload {
    mixed("short-first", [0, 2, 1, 1, 2])
}

/// Long, wide jobs have the highest priority, and short, frequent jobs the lowest.
pub fn long_first() -> Workload {
    mixed("long-first", [2, 0, 1, 1, 0])
}

/// All jobs have the same priority.
pub fn level() -> Workload {
    mixed("level", [0; 5])
}

/// Workers differ widely in size and speed.
pub fn unlike_workers() -> Workload {
    let mut workload = mixed("unlike-workers", [0, 2, 1, 1, 2]);
    for group in &mut workload.groups {
        group.speeds = vec![0.6, 1.0, 1.4, 2.4];
    }
    workload.groups[0].sizes = vec![0.4, 1.0, 2.0, 0.7, 1.2];
    workload
}

/// Most tasks have data on a rack and take three times as long on other racks.
pub fn far_data() -> Workload {
    let mut workload = mixed("far-data", [0, 2, 1, 1, 2]);
    workload.far_x = 3.0;
    workload
        .classes
        .iter_mut()
        .filter(|class| !class.traits.gang)
        .for_each(|class| class.traits.affinity = 0.7);
    workload
}

/// Almost all jobs are gangs, of two priorities.
pub fn gangs_only() -> Workload {
    let wide = Class {
        name: "wide",
        width: size(5.0, 0.5),
        ..gangs(2, 0.25)
    };
    Workload {
        name: "gangs-only",
        groups: vec![processors(4), accelerators(16)],
        classes: vec![gangs(0, 1.0), wide, lookups(1, 3.0)],
        far_x: 2.0,
    }
}

/// Long chains of narrow steps near their data, next to single wide steps.
pub fn chains() -> Workload {
    let chain = Class {
        name: "chain",
        steps: size(4.0, 0.3),
        width: size(3.0, 0.5),
        ..lookups(1, 14.0)
    };
    let wide = Class {
        name: "wide",
        steps: size(1.0, 0.0),
        width: size(60.0, 0.6),
        ..reports(0, 0.35)
    };
    Workload {
        name: "chains",
        groups: vec![processors(20)],
        classes: vec![
            Class {
                traits: Traits {
                    affinity: 0.8,
                    ..chain.traits
                },
                ..chain
            },
            wide,
        ],
        far_x: 2.0,
    }
}

/// Long-running tasks take most of the capacity; short tasks of the lowest priority run beside them.
pub fn standing() -> Workload {
    Workload {
        name: "standing",
        groups: vec![processors(16)],
        classes: vec![listeners(0, 0.9), lookups(2, 8.0), reports(1, 0.15)],
        far_x: 1.5,
    }
}

/// All workloads. The last two are a hold-out set: no scheduling decision was based on them.
pub fn all() -> Vec<Workload> {
    vec![
        short_first(),
        long_first(),
        level(),
        unlike_workers(),
        far_data(),
        gangs_only(),
        chains(),
        standing(),
    ]
}

/// Returns the workload with this name.
pub fn named(name: &str) -> Option<Workload> {
    all().into_iter().find(|workload| workload.name == name)
}
