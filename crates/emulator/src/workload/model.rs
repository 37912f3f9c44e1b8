//! Model of a deployment: its workers and the classes of jobs that they run.

use crate::cast::whole;
use crate::clock::WorkerClock;
use crate::random::Random;
use crate::workers::worker::{Worker, WorkerKind};
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Number of zones over which workers are spread.
const ZONES: usize = 3;
/// Maximum rate by which a worker's clock runs slow, in parts per thousand.
const MAX_SLOW_PER_MILLE: u64 = 20;

/// Workers of one service that differ only in kind, size and speed.
#[derive(Clone, Debug)]
pub struct WorkerGroup {
    /// Name of the service.
    pub service: &'static str,
    /// Number of workers.
    pub count: usize,
    /// Resources of a worker of size 1.
    pub capacity: Resources,
    /// Kinds of the workers, used as labels and assigned cyclically; `a` if empty.
    pub kinds: Vec<&'static str>,
    /// Sizes of the workers, as factors of `capacity`, assigned cyclically; 1 if empty.
    pub sizes: Vec<f64>,
    /// Speed factors of the workers, assigned cyclically; 1 if empty.
    pub speeds: Vec<f64>,
    /// Number of workers per rack.
    pub rack_size: usize,
}

/// Log-normal distribution of a size.
#[derive(Clone, Copy, Debug)]
pub struct LogNormalSize {
    /// Mean of the distribution.
    pub mean: f64,
    /// Standard deviation of the logarithm of the size.
    pub deviation: f64,
}

/// Special properties of the tasks of a class. Numbers are shares of the class's jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traits {
    /// Whether the steps are gangs.
    pub gang: bool,
    /// Share of jobs whose gangs request placement on one rack.
    pub same_rack: f64,
    /// Whether tasks run until the traffic ends.
    pub long_running: bool,
    /// Share of jobs with at most one task of a step per worker.
    pub anti_affinity: f64,
    /// Share of jobs whose data is on one rack.
    pub affinity: f64,
    /// Share of jobs that need workers of one kind.
    pub node_selector: f64,
    /// Share of jobs whose tasks write checkpoints.
    pub checkpoints: f64,
    /// Share of jobs whose tasks may have a speculative second run.
    pub hedged: f64,
    /// Share of jobs that have several scheduled iterations.
    pub timed: f64,
}

/// A class of jobs, submitted to a queue of its own.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class and of its queue.
    pub name: &'static str,
    /// Service that runs the jobs.
    pub service: &'static str,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Factor by which the longest chain of work enters the objective.
    pub stretch: f64,
    /// Part of the objective that does not depend on the work.
    pub target_latency_ms: Millis,
    /// Maximum number of attempts per task.
    pub max_attempts: u32,
    /// Value of a mean job that ends in time.
    pub value: f64,
    /// Fraction of the value that a late job earns.
    pub late_part: f64,
    /// Jobs submitted per second.
    pub rate: f64,
    /// Number of consecutive steps of a job.
    pub steps: LogNormalSize,
    /// Number of tasks of a step.
    pub width: LogNormalSize,
    /// Work of a task, in milliseconds.
    pub work_ms: LogNormalSize,
    /// CPU request of a task, in thousandths of a core.
    pub cpu: LogNormalSize,
    /// Memory request of a task, in MB.
    pub mem_mb: u64,
    /// Possible numbers of accelerators per task; one of them is drawn for each job. Empty for none.
    pub gpus: Vec<u64>,
    /// Standard deviation of the logarithm of the work of a step's tasks.
    pub work_deviation: f64,
    /// Standard deviation of the logarithm of the ratio of estimated to actual work.
    pub estimate_deviation: f64,
    /// Share of the tasks that fail once through their own fault.
    pub failure_rate: f64,
    /// Special properties of the tasks.
    pub traits: Traits,
}

/// A deployment's workers and the jobs that its clients submit.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name by which `presets::named` finds the workload.
    pub name: &'static str,
    /// Groups of workers.
    pub groups: Vec<WorkerGroup>,
    /// Classes of jobs.
    pub classes: Vec<Class>,
    /// Factor by which a task takes longer on a worker away from its data.
    pub far_x: f64,
}

impl Workload {
    /// Total number of workers.
    pub fn worker_count(&self) -> usize {
        self.groups.iter().map(|group| group.count).sum()
    }

    /// Creates the workers; none of them is up yet.
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

    /// Returns the first group of a service.
    pub(super) fn group_of(&self, service: &str) -> Option<&WorkerGroup> {
        self.groups.iter().find(|group| group.service == service)
    }

    /// Names of the services, sorted and without duplicates.
    pub fn services(&self) -> Vec<&'static str> {
        let mut names: Vec<_> = self.groups.iter().map(|group| group.service).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// CPU capacity of a service, in thousandths of a core.
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

    /// Draws one of the group's racks.
    pub(super) fn draw_rack(&self, random: &mut Random) -> Arc<str> {
        self.rack_name(random.below(self.count)).into()
    }
}

fn cycled<T: Copy>(items: &[T], index: usize) -> Option<T> {
    items.get(index % items.len().max(1)).copied()
}
