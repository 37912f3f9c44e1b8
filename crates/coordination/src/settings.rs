//! Settings of one member.

use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;

/// Settings of one member.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Where the other members reach this one.
    pub address: CoreAddress,
    /// Whether this is the very first start of the whole system, on empty disks.
    pub bootstrap: bool,
    /// Addresses to join by. At the first start (`bootstrap`) they are the members of epoch 0.
    pub seeds: Vec<CoreAddress>,
    /// How many machines may lose their disks at once.
    pub tolerance: usize,
    /// For how long a replica that has acknowledged a keepalive does not stand for election.
    pub lease_ms: Millis,
    /// Seed of all random draws. It must be a new one at each start of the process, as the id of an empty disk is drawn
    /// from it.
    pub random_seed: u64,
}
