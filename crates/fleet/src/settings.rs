//! The settings of one member.

use crate::incarnation::{Incarnation, Micros};
use crate::quota::QuotaTerms;
use std::net::SocketAddr;
use std::sync::Arc;

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The identity of this process.
    pub local: Incarnation,
    /// The address at which other members reach this one.
    pub address: SocketAddr,
    /// Addresses of other members, to which a new member sends its first messages.
    pub join_addresses: Vec<SocketAddr>,
    /// The key that all members of the fleet share; it authenticates datagrams.
    pub key: [u8; 32],
    /// The seed of all random numbers of this member.
    pub seed: u64,
    /// The mean time between two gossip rounds.
    pub gossip_interval: Micros,
    /// Number of other members that must hold a usage count before it is considered replicated.
    pub required_copies: usize,
    /// The quotas and the members among which they are divided.
    pub terms: Arc<QuotaTerms>,
    /// A member from which nothing was received for this long no longer delays the compaction of ended incarnations.
    pub forget_after: Micros,
    /// The length of a usage period.
    pub period: Micros,
}
