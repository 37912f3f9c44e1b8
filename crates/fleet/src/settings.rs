//! The settings of one member.

use crate::incarnation::{Incarnation, Micros};
use crate::quota::QuotaTerms;
use std::net::SocketAddr;
use std::sync::Arc;

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Its incarnation.
    pub local: Incarnation,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where some of the others are reached.
    pub join_addresses: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: [u8; 32],
    /// The seed of random numbers.
    pub seed: u64,
    /// The mean time between two gossip rounds.
    pub gossip_interval: Micros,
    /// Other members that must hold a usage count before it counts as replicated.
    pub required_copies: usize,
    /// The quotas, and among whom they are divided.
    pub terms: Arc<QuotaTerms>,
    /// A member that was not heard for so long no longer delays the compaction of incarnations that have ended.
    pub forget_after: Micros,
    /// The length of a period of usage.
    pub period: Micros,
}
