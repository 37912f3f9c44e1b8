//! The ready workers, grouped so that a search for one costs as little as the group is large.

use super::hash_ring::HashRing;
use super::Worker;
use crate::interface::{Endpoint, EndpointState, WorkerId, ZoneId};
use std::collections::BTreeMap;

/// The classes that are permitted the same workers by placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PlacementGroup {
    /// All classes without a constraint: they may be sent to any worker.
    #[default]
    Unconstrained,
    /// One class with a constraint of its own, by index.
    Class(usize),
}

/// A pool of ready workers: those permitted to a placement group, of the whole fleet, one zone or one cell.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PoolKey {
    /// Of the whole fleet.
    Fleet(PlacementGroup),
    /// Of one zone.
    Zone(PlacementGroup, ZoneId),
    /// Of one cell.
    Cell(PlacementGroup, u32),
}

/// The ready workers by pool, and their mean weight.
#[derive(Default)]
pub(crate) struct WorkerPools {
    pools: BTreeMap<PoolKey, Vec<WorkerId>>,
    mean_weight: f64,
    /// Made when first asked for.
    rings: BTreeMap<PlacementGroup, HashRing>,
}

impl WorkerPools {
    /// Fills the pools anew.
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

    /// Listed weight over the mean weight.
    pub(crate) fn relative_weight(&self, worker: &Worker) -> f64 {
        worker.endpoint.weight / self.mean_weight
    }

    /// The ready workers of a pool.
    pub(crate) fn workers(&self, key: PoolKey) -> &[WorkerId] {
        self.pools.get(&key).map_or(&[], |workers| workers)
    }

    /// The ready workers that follow a key on the hash ring.
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
