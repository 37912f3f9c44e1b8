//! Sizes and limits of a fleet.

use crate::clock::WorkerClock;
use crate::cpu_quota::CpuQuota;
use crate::limits::DeploymentLimits;
use crate::random::{Random, Stream};
use crate::workers::worker::{Worker, WorkerKind};
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;
use streamusher_scheduler::Policy;

/// The services of the emulated deployment.
pub(crate) const SERVICES: [&str; 2] = ["alpha", "beta"];
/// Pairs of the number of control machines and the number of them that may lose their disks at once, for
/// drawn fleets.
const CONTROL_MACHINES_AND_TOLERANCE: [(usize, usize); 4] = [(3, 1), (5, 1), (5, 2), (7, 2)];
/// Number of workers per rack.
const RACK_SIZE: usize = 3;
const ZONES: usize = 3;
/// Number of workers with the label `a`; the other workers have the label `b`.
const WORKERS_OF_KIND_A: usize = 3;
/// Largest rate by which a worker's clock runs slow, in parts per thousand.
const MAX_SLOW_PER_MILLE: u64 = 20;
const PLAIN_CAPACITY: Resources = Resources {
    cpu: 16_000,
    mem_mb: 32_000,
    gpu: 0,
};
const ACCELERATED_CAPACITY: Resources = Resources {
    cpu: 32_000,
    mem_mb: 128_000,
    gpu: 8,
};

/// Sizes and limits of a fleet, and its seed.
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// Seed of all random decisions.
    pub seed: u64,
    /// Number of control machines.
    pub control_machines: usize,
    /// Number of gates.
    pub gates: usize,
    /// Number of workers, each of which has an agent.
    pub worker_count: usize,
    /// Number of control machines that may lose their disks at once.
    pub tolerance: usize,
    /// Whether workers reject runs that exceed their capacity.
    pub workers_reject_overload: bool,
    /// Time limits and other parameters of the deployment.
    pub limits: DeploymentLimits,
    /// True time at which the first jobs are submitted.
    pub traffic_starts_at: Millis,
    /// True time at which the last jobs are submitted.
    pub traffic_ends_at: Millis,
    /// Number of jobs in the regular traffic.
    pub job_count: usize,
    /// Time during which a replica that has acknowledged the primary does not stand for election.
    pub lease_ms: Millis,
    /// Time that a disk takes to sync.
    pub disk_sync_ms: Millis,
    /// CPU quota of every machine, which is always used up in each period, so that the machine then stops
    /// until the next one; `None` for no quota.
    pub cpu_quota: Option<CpuQuota>,
    /// Mechanisms that are enabled in the scheduler's decisions.
    pub policy: Policy,
}

impl FleetSettings {
    /// Returns a small fleet with three control machines.
    pub fn small(seed: u64) -> FleetSettings {
        FleetSettings {
            seed,
            control_machines: 3,
            gates: 2,
            worker_count: 6,
            tolerance: 1,
            workers_reject_overload: false,
            limits: DeploymentLimits::default(),
            traffic_starts_at: 2_000,
            traffic_ends_at: 16_000,
            job_count: 24,
            lease_ms: 700,
            disk_sync_ms: 8,
            cpu_quota: None,
            policy: Policy::default(),
        }
    }

    /// Returns the small fleet with sizes and limits that are drawn from the seed.
    pub fn drawn(seed: u64) -> FleetSettings {
        let mut random = Random::new(seed, Stream::Settings);
        let shape = random.below(CONTROL_MACHINES_AND_TOLERANCE.len());
        let (control_machines, tolerance) = CONTROL_MACHINES_AND_TOLERANCE[shape];
        let limits = match random.below(3) {
            0 => DeploymentLimits::default(),
            1 => DeploymentLimits {
                hold_max_ms: 10_000,
                stop_ms: 400,
                restore_ms: 100,
                ..DeploymentLimits::default()
            },
            _ => DeploymentLimits {
                hold_max_ms: 3_000,
                stop_ms: 2_000,
                ..DeploymentLimits::default()
            },
        };
        let workers_reject_overload = random.chance(0.25);
        FleetSettings {
            control_machines,
            tolerance,
            limits,
            workers_reject_overload,
            worker_count: 5 + random.below(4),
            ..FleetSettings::small(seed)
        }
    }

    /// True time at which the final query of every job is sent.
    pub(crate) fn final_queries_at(&self) -> Millis {
        self.traffic_ends_at + self.limits.finish_ms
    }

    /// Creates the workers, which are not started yet and differ in service, rack and capacity.
    pub(crate) fn workers(&self) -> Vec<Worker> {
        let mut random = Random::new(self.seed, Stream::WorkerKinds);
        let indexes = 0..self.worker_count;
        indexes
            .map(|index| Worker::new(index, self.worker_kind(index, &mut random)))
            .collect()
    }

    fn worker_kind(&self, index: usize, random: &mut Random) -> WorkerKind {
        let service = index % SERVICES.len();
        let rack: Arc<str> = format!("r{}", index / RACK_SIZE).into();
        let label = if index < WORKERS_OF_KIND_A { "a" } else { "b" };
        WorkerKind {
            service: SERVICES[service].into(),
            zone: format!("z{}", index % ZONES).into(),
            labels: vec![label.into(), rack.clone()],
            rack,
            capacity: if service == 0 {
                PLAIN_CAPACITY
            } else {
                ACCELERATED_CAPACITY
            },
            rejects_overload: self.workers_reject_overload,
            speed: 1.0,
            clock: WorkerClock {
                slow_per_mille: random.between(0, MAX_SLOW_PER_MILLE),
            },
        }
    }
}
