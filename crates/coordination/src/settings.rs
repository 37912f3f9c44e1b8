//! Settings of one coordinator.

use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;

/// Settings of one coordinator, passed to [`Coordinator::new`](crate::Coordinator::new).
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Addresses at which the other members reach this one.
    pub address: CoreAddress,
    /// Whether this is the first start of the whole system, with empty disks.
    pub bootstrap: bool,
    /// Addresses of machines that are asked to join the cluster. At the first start (`bootstrap`) they are
    /// the members of epoch 0.
    pub seeds: Vec<CoreAddress>,
    /// Number of machines that may lose their disks at the same time.
    pub tolerance: usize,
    /// Lease duration: a replica does not become a candidate for this long after it has acknowledged a
    /// keepalive.
    pub lease_ms: Millis,
    /// Seed of the random number generator. It must differ at each start of the process, as the id of an
    /// empty disk is drawn from it.
    pub random_seed: u64,
}
