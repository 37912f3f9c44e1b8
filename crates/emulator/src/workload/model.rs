//! What a deployment runs on and what it runs.

use crate::cast::whole;
use crate::clock::WorkerClock;
use crate::random::Random;
use crate::workers::worker::{Worker, WorkerKind};
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// The zones over which workers are spread.
const ZONES: usize = 3;
/// Workers' clocks run slow by up to so many parts of a thousand.
const MAX_SLOW_PER_MILLE: u64 = 20;

/// Workers of one service that are alike but for their sizes and speeds.
#[derive(Clone, Debug)]
pub struct WorkerGroup {
    /// Their service.
    pub service: &'static str,
    /// How many there are.
    pub count: usize,
    /// Resources of one of size 1.
    pub capacity: Resources,
    /// Kinds, as labels, one after the other.
    pub kinds: Vec<&'static str>,
    /// Sizes, as factors on the resources, one after the other.
    pub sizes: Vec<f64>,
    /// Speeds, one after the other.
    pub speeds: Vec<f64>,
    /// Workers of a rack.
    pub rack_size: usize,
}

/// A random size: its logarithm is normally distributed.
#[derive(Clone, Copy, Debug)]
pub struct LogNormalSize {
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
    pub long_running: bool,
    /// At most one task of a step on a worker.
    pub anti_affinity: f64,
    /// Tasks whose data is on one rack.
    pub affinity: f64,
    /// Tasks that need workers of one kind.
    pub node_selector: f64,
    /// Tasks that write checkpoints.
    pub checkpoints: f64,
    /// Tasks that may have a speculative second run.
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
    /// 0 is the most urgent.
    pub priority: u32,
    /// Factor of the objective on the longest chain of work.
    pub stretch: f64,
    /// The rest of the objective.
    pub target_latency_ms: Millis,
    /// Attempts of a task.
    pub max_attempts: u32,
    /// The value of a mean job that ends in time.
    pub value: f64,
    /// The part of it that a late one earns.
    pub late_part: f64,
    /// Jobs a second.
    pub rate: f64,
    /// Steps of a job, one after the other.
    pub steps: LogNormalSize,
    /// Tasks of a step.
    pub width: LogNormalSize,
    /// Work of a task, in milliseconds.
    pub work_ms: LogNormalSize,
    /// Thousandths of a core that a task takes.
    pub cpu: LogNormalSize,
    /// Memory of a task.
    pub mem_mb: u64,
    /// Accelerators of a task: one of these counts for each job.
    pub gpus: Vec<u64>,
    /// Standard deviation of the logarithm of the work of a step's tasks.
    pub work_deviation: f64,
    /// Standard deviation of the logarithm of the estimate over the work.
    pub estimate_deviation: f64,
    /// Share of the tasks that fail once through their own fault.
    pub failure_rate: f64,
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
    /// The jobs that clients submit.
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
    pub(crate) fn workers(&self, random: &mut Random) -> Vec<Worker> {
        let mut workers = Vec::new();
        for group in &self.groups {
            for index in 0..group.count {
                let kind = group.worker_kind(index, random);
                workers.push(Worker::new(workers.len(), kind));
            }
        }
        workers
    }

    /// The first group of a service.
    pub(super) fn group_of(&self, service: &str) -> Option<&WorkerGroup> {
        self.groups.iter().find(|group| group.service == service)
    }

    /// Names of the services, each once.
    pub fn services(&self) -> Vec<&'static str> {
        let mut names: Vec<_> = self.groups.iter().map(|group| group.service).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Capacity of a service, in thousandths of a core.
    pub fn cpu_of(&self, service: &str) -> f64 {
        let of_service = self.groups.iter().filter(|group| group.service == service);
        of_service.map(WorkerGroup::total_cpu).sum()
    }
}

impl WorkerGroup {
    fn total_cpu(&self) -> f64 {
        let workers = 0..self.count;
        workers
            .map(|index| self.capacity_of(index).cpu as f64)
            .sum()
    }

    fn capacity_of(&self, index: usize) -> Resources {
        let size = cycled(&self.sizes, index).unwrap_or(1.0);
        Resources {
            cpu: whole(self.capacity.cpu as f64 * size),
            mem_mb: whole(self.capacity.mem_mb as f64 * size),
            gpu: self.capacity.gpu,
        }
    }

    fn worker_kind(&self, index: usize, random: &mut Random) -> WorkerKind {
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
            rejects_overload: false,
            speed: cycled(&self.speeds, index).unwrap_or(1.0),
            clock: WorkerClock {
                slow_per_mille: random.between(0, MAX_SLOW_PER_MILLE),
            },
        }
    }

    fn rack_name(&self, index: usize) -> String {
        format!("{}-r{}", self.service, index / self.rack_size.max(1))
    }

    /// One of its racks.
    pub(super) fn draw_rack(&self, random: &mut Random) -> Arc<str> {
        self.rack_name(random.below(self.count)).into()
    }
}

fn cycled<T: Copy>(items: &[T], index: usize) -> Option<T> {
    items.get(index % items.len().max(1)).copied()
}
