//! What an operator sees of an agent.

use serde::Serialize;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// An agent's part of the status document.
#[derive(Clone, Debug, Serialize)]
pub struct AgentStatus {
    /// Name of its machine.
    pub name: Arc<str>,
    /// Random number that tells this start from others.
    pub boot: u64,
    /// The highest epoch of which it accepted commands.
    pub epoch: u64,
    /// Revision of the commands in force.
    pub revision: u64,
    /// What is left of its lease.
    pub lease_left_ms: Millis,
    /// Its worker's instance id.
    pub instance: Option<Arc<str>>,
    /// Whether it reports its worker as gone.
    pub gone: bool,
    /// Runs that the newest heartbeat names.
    pub running: usize,
    /// Runs whose start commands were handed to the worker since its newest heartbeat.
    pub offered: usize,
    /// Syncs in flight.
    #[serde(rename = "syncs_under_way")]
    pub syncs_in_flight: usize,
    /// Syncs since its start.
    pub syncs: u64,
}
