//! Read-only view of a pending unit and the cluster at one point in time, the input of all placement queries.

use crate::cluster::Cluster;
use crate::index::QueueKey;
use crate::pending_unit::PendingUnit;
use crate::policy::Mechanism;
use crate::service::Service;
use crate::worker_pool::WorkerPool;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// A pending unit, its service and the cluster, at one point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnitView<'a> {
    pub(crate) cluster: &'a Cluster,
    pub(crate) now: Millis,
    pub(crate) key: QueueKey,
    pub(crate) pending: &'a PendingUnit,
    pub(crate) service: &'a Service,
}

impl<'a> UnitView<'a> {
    /// Returns `None` if the unit is not pending.
    pub(crate) fn new(cluster: &'a Cluster, now: Millis, key: QueueKey) -> Option<UnitView<'a>> {
        let pending = cluster.queue.get(key)?;
        let service = cluster.services.get(&pending.unit.service)?;
        Some(UnitView {
            cluster,
            now,
            key,
            pending,
            service,
        })
    }

    pub(crate) fn unit(&self) -> &'a Unit {
        &self.pending.unit
    }

    pub(crate) fn waited_ms(&self) -> Millis {
        self.pending.waited_ms(self.now)
    }

    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        self.cluster.uses(mechanism)
    }

    /// Pool of the workers with the label that the unit requires, or of all workers of its service.
    pub(crate) fn pool(&self) -> Option<&'a WorkerPool> {
        let label = self.pending.unit.node_selector.as_deref();
        self.service.pools.with_label(label)
    }
}
