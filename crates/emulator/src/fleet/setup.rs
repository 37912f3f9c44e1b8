//! What a fleet consists of.

use crate::bounds::Bounds;
use crate::clock::WorkerClock;
use crate::plant::worker::{Worker, WorkerKind};
use crate::random::Random;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;
use streamusher_scheduler::Policy;

/// The services of the emulated deployment.
pub const SERVICES: [&str; 2] = ["alpha", "beta"];
/// Core machines, and how many of them may lose their disks at once, in drawn fleets.
const CORES_AND_TOLERANCE: [(usize, usize); 4] = [(3, 1), (5, 1), (5, 2), (7, 2)];
/// Workers of one rack.
const RACK_SIZE: usize = 3;

/// Sizes and bounds of a fleet, and its seed.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Decides all that is left to chance.
    pub seed: u64,
    /// Core machines.
    pub cores: usize,
    /// Gates.
    pub gates: usize,
    /// Workers, each with an agent.
    pub worker_count: usize,
    /// Core machines that may lose their disks at once.
    pub tolerance: usize,
    /// Workers reject what does not fit.
    pub guards: bool,
    /// Bounds.
    pub bounds: Bounds,
    /// First jobs.
    pub traffic_from: Millis,
    /// Last jobs.
    pub traffic_until: Millis,
    /// Jobs in the ordinary traffic.
    pub jobs: usize,
    /// How long a replica's acknowledgement keeps it from seeking the primary's place.
    pub lease_ms: Millis,
    /// How long a disk takes to sync.
    pub sync_ms: Millis,
    /// The mechanisms that take part in decisions.
    pub policy: Policy,
}

impl Setup {
    /// A small fleet with three core machines.
    pub fn small(seed: u64) -> Setup {
        Setup {
            seed,
            cores: 3,
            gates: 2,
            worker_count: 6,
            tolerance: 1,
            guards: false,
            bounds: Bounds::default(),
            traffic_from: 2_000,
            traffic_until: 16_000,
            jobs: 24,
            lease_ms: 700,
            sync_ms: 8,
            policy: Policy::default(),
        }
    }

    /// The small fleet, with sizes that differ from seed to seed.
    pub fn drawn(seed: u64) -> Setup {
        let mut random = Random::new(seed, 5);
        let (cores, tolerance) = CORES_AND_TOLERANCE[random.below(CORES_AND_TOLERANCE.len())];
        let bounds = match random.below(3) {
            0 => Bounds::default(),
            1 => Bounds {
                hold_max_ms: 10_000,
                stop_ms: 400,
                restore_ms: 100,
                ..Bounds::default()
            },
            _ => Bounds {
                hold_max_ms: 3_000,
                stop_ms: 2_000,
                ..Bounds::default()
            },
        };
        let guards = random.chance(0.25);
        Setup {
            cores,
            tolerance,
            bounds,
            guards,
            worker_count: 5 + random.below(4),
            ..Setup::small(seed)
        }
    }

    /// The workers: some of each service, with racks and kinds.
    pub(crate) fn workers(&self) -> Vec<Worker> {
        let mut random = Random::new(self.seed, 4);
        (0..self.worker_count)
            .map(|index| self.worker(index, &mut random))
            .collect()
    }

    fn worker(&self, index: usize, random: &mut Random) -> Worker {
        let second = index % SERVICES.len() == 1;
        let rack: Arc<str> = format!("r{}", index / RACK_SIZE).into();
        let kind: Arc<str> = if index < 3 { "a".into() } else { "b".into() };
        let capacity = if second {
            Resources {
                cpu: 32_000,
                mem_mb: 128_000,
                gpu: 8,
            }
        } else {
            Resources {
                cpu: 16_000,
                mem_mb: 32_000,
                gpu: 0,
            }
        };
        Worker::new(WorkerKind {
            service: SERVICES[index % SERVICES.len()].into(),
            zone: format!("z{}", index % 3).into(),
            labels: vec![kind, rack.clone()],
            rack,
            capacity,
            guards: self.guards,
            speed: 1.0,
            clock: WorkerClock {
                slow_per_mille: random.between(0, 20),
            },
        })
    }
}
