//! Workloads for experiments: what a deployment's workers are like, and what its clients hand in.
//!
//! - `draw`: jobs drawn from a class.
//! - [`presets`]: workloads of our own, unlike each other.

mod draw;
pub mod presets;

pub use draw::draw_job;
pub(crate) use draw::prefix;

use crate::clock::WorkerClock;
use crate::plant::worker::{Worker, WorkerKind};
use crate::random::Random;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// The zones over which workers are spread.
const ZONES: usize = 3;
/// Workers' clocks run slow by up to so many parts of a thousand.
const SLOWEST_CLOCK: u64 = 20;

/// Like workers of one service.
#[derive(Clone, Debug)]
pub struct WorkerGroup {
    /// Their service.
    pub service: &'static str,
    /// How many there are.
    pub count: usize,
    /// Room of one of size 1.
    pub capacity: Resources,
    /// Kinds, as labels, one after the other.
    pub kinds: Vec<&'static str>,
    /// Sizes, as factors on the room, one after the other.
    pub sizes: Vec<f64>,
    /// Speeds, one after the other.
    pub speeds: Vec<f64>,
    /// Workers of a rack.
    pub rack: usize,
}

/// A random size: the logarithm is normally distributed.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// Its mean.
    pub mean: f64,
    /// Standard deviation of its logarithm.
    pub deviation: f64,
}

/// What is special about the tasks of a class; shares are of its jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traits {
    /// Steps are gangs.
    pub gang: bool,
    /// Gangs that want one rack.
    pub same_rack: f64,
    /// Tasks run until the traffic ends.
    pub lasting: bool,
    /// At most one task of a step on a worker.
    pub apart: f64,
    /// Tasks whose data is on one rack.
    pub near: f64,
    /// Tasks that need workers of one kind.
    pub selects: f64,
    /// Tasks that write checkpoints.
    pub checkpoints: f64,
    /// Tasks of which copies may run.
    pub hedged: f64,
    /// Jobs that run several times, by the clock.
    pub timed: f64,
}

/// Jobs of one queue.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, and that of its queue.
    pub name: &'static str,
    /// The service that runs it.
    pub service: &'static str,
    /// 0 comes first.
    pub priority: u32,
    /// Factor of the objective on the longest chain of work.
    pub stretch: f64,
    /// The rest of the objective.
    pub target_latency_ms: Millis,
    /// Attempts of a task.
    pub max_attempts: u32,
    /// What a mean job earns in time.
    pub worth: f64,
    /// The part of it that a late one earns.
    pub late_part: f64,
    /// Jobs a second.
    pub rate: f64,
    /// Steps of a job, one after the other.
    pub steps: Spread,
    /// Tasks of a step.
    pub width: Spread,
    /// Work of a task, in milliseconds.
    pub work_ms: Spread,
    /// Thousandths of a core that a task takes.
    pub cpu: Spread,
    /// Memory of a task.
    pub mem_mb: u64,
    /// Accelerators of a task: one of these counts for each job.
    pub gpus: Vec<u64>,
    /// Deviation of the work of a step's tasks from each other.
    pub uneven: f64,
    /// Deviation of the estimate from the work.
    pub estimate_off: f64,
    /// Share of the tasks that fail once through their own fault.
    pub failing: f64,
    /// What is special about its tasks.
    pub traits: Traits,
}

/// What a deployment runs on and what it runs.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Its name.
    pub name: &'static str,
    /// Its workers.
    pub groups: Vec<WorkerGroup>,
    /// What clients hand in.
    pub classes: Vec<Class>,
    /// A task away from its data takes so many times as long.
    pub far_x: f64,
}

impl Workload {
    /// All workers.
    pub fn worker_count(&self) -> usize {
        self.groups.iter().map(|group| group.count).sum()
    }

    /// The workers, not up yet.
    pub fn workers(&self, random: &mut Random) -> Vec<Worker> {
        let mut workers = Vec::new();
        for group in &self.groups {
            for index in 0..group.count {
                workers.push(Worker::new(group.kind(index, random)));
            }
        }
        workers
    }

    /// Names of the services, each once.
    pub fn services(&self) -> Vec<&'static str> {
        let mut names: Vec<_> = self.groups.iter().map(|group| group.service).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Room of a service, in thousandths of a core.
    pub fn cpu_of(&self, service: &str) -> f64 {
        let of_service = self.groups.iter().filter(|group| group.service == service);
        of_service
            .map(|group| {
                (0..group.count)
                    .map(|i| group.capacity_of(i).cpu as f64)
                    .sum::<f64>()
            })
            .sum()
    }
}

impl WorkerGroup {
    fn capacity_of(&self, index: usize) -> Resources {
        let size = cycled(&self.sizes, index).unwrap_or(1.0);
        Resources {
            cpu: (self.capacity.cpu as f64 * size) as u64,
            mem_mb: (self.capacity.mem_mb as f64 * size) as u64,
            gpu: self.capacity.gpu,
        }
    }

    fn kind(&self, index: usize, random: &mut Random) -> WorkerKind {
        let rack: Arc<str> = self.rack_name(index).into();
        WorkerKind {
            service: self.service.into(),
            zone: format!("z{}", index % ZONES).into(),
            labels: vec![
                cycled(&self.kinds, index).unwrap_or("a").into(),
                rack.clone(),
            ],
            rack,
            capacity: self.capacity_of(index),
            guards: false,
            speed: cycled(&self.speeds, index).unwrap_or(1.0),
            clock: WorkerClock {
                slow_per_mille: random.between(0, SLOWEST_CLOCK),
            },
        }
    }

    fn rack_name(&self, index: usize) -> String {
        format!("{}-r{}", self.service, index / self.rack.max(1))
    }

    /// One of its racks.
    fn some_rack(&self, random: &mut Random) -> Arc<str> {
        self.rack_name(random.below(self.count)).into()
    }
}

fn cycled<T: Copy>(items: &[T], index: usize) -> Option<T> {
    items.get(index % items.len().max(1)).copied()
}
