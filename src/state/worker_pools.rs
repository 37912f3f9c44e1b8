//! The ready workers, grouped so that the cost of a search is proportional to the size of a group.

use super::hash_ring::HashRing;
use super::Worker;
use crate::interface::{Endpoint, EndpointState, WorkerId, ZoneId};
use std::collections::BTreeMap;

/// The classes for which placement permits the same workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PlacementGroup {
    /// All classes without a constraint: they may be sent to any worker.
    #[default]
    Unconstrained,
    /// One class with its own constraint, by index.
    Class(usize),
}

/// A pool of ready workers: those that a placement group permits, in the whole fleet, one zone or one cell.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PoolKey {
    /// All permitted workers of the fleet.
    Fleet(PlacementGroup),
    /// The permitted workers of one zone.
    Zone(PlacementGroup, ZoneId),
    /// The permitted workers of one cell.
    Cell(PlacementGroup, u32),
}

/// The ready workers by pool, and their mean weight.
#[derive(Default)]
pub(crate) struct WorkerPools {
    pools: BTreeMap<PoolKey, Vec<WorkerId>>,
    mean_weight: f64,
    /// Hash rings by placement group, created on first use.
    rings: BTreeMap<PlacementGroup, HashRing>,
}

impl WorkerPools {
    /// Rebuilds the pools from the current workers.
    pub(crate) fn rebuild(
        &mut self,
        workers: &[Worker],
        placements: &[PlacementGroup],
        is_permitted: impl Fn(PlacementGroup, &Endpoint) -> bool,
    ) {
        self.pools.clear();
        self.rings.clear();
        let mut weight_sum = 0.0;
        for (id, worker) in (0..).map(WorkerId).zip(workers) {
            let endpoint = &worker.endpoint;
            if endpoint.state != EndpointState::Ready {
                continue;
            }
            let constrained = placements.iter().copied().filter(|&placement| {
                placement != PlacementGroup::Unconstrained && is_permitted(placement, endpoint)
            });
            for placement in constrained.chain([PlacementGroup::Unconstrained]) {
                self.add(id, endpoint, placement);
            }
            weight_sum += endpoint.weight;
        }
        self.mean_weight = if weight_sum > 0.0 {
            weight_sum / self.fleet_size() as f64
        } else {
            1.0
        };
    }

    fn add(&mut self, worker: WorkerId, endpoint: &Endpoint, placement: PlacementGroup) {
        let keys = [
            PoolKey::Fleet(placement),
            PoolKey::Zone(placement, endpoint.zone),
            PoolKey::Cell(placement, endpoint.cell),
        ];
        for key in keys {
            self.pools.entry(key).or_default().push(worker);
        }
    }

    /// Number of ready workers.
    pub(crate) fn fleet_size(&self) -> usize {
        self.workers(PoolKey::Fleet(PlacementGroup::Unconstrained))
            .len()
    }

    /// A worker's configured weight relative to the mean weight of the ready workers.
    pub(crate) fn relative_weight(&self, worker: &Worker) -> f64 {
        worker.endpoint.weight / self.mean_weight
    }

    /// The ready workers of a pool.
    pub(crate) fn workers(&self, key: PoolKey) -> &[WorkerId] {
        self.pools.get(&key).map_or(&[], |workers| workers)
    }

    /// The first `count` ready workers that follow a key on the hash ring.
    pub(crate) fn ring_successors(
        &mut self,
        workers: &[Worker],
        placement: PlacementGroup,
        key: u64,
        count: usize,
    ) -> Vec<WorkerId> {
        let members = self
            .pools
            .get(&PoolKey::Fleet(placement))
            .map_or(&[][..], |members| members);
        let ring = self
            .rings
            .entry(placement)
            .or_insert_with(|| HashRing::new(members, workers));
        ring.successors(key, count)
    }
}
