//! Status of an agent for operators.

use serde::Serialize;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// The agent's section of the status document.
#[derive(Clone, Debug, Serialize)]
pub struct AgentStatus {
    /// Name of the agent's machine.
    pub name: Arc<str>,
    /// Random number that distinguishes this start of the agent from others.
    pub boot: u64,
    /// Highest epoch of the commands accepted; 0 before the first.
    pub epoch: u64,
    /// Revision of the commands in force.
    pub revision: u64,
    /// Remaining time of the lease.
    pub lease_left_ms: Millis,
    /// Instance id of the worker; `None` while no worker is known.
    pub instance: Option<Arc<str>>,
    /// Whether the agent reports its worker as gone.
    pub gone: bool,
    /// Number of runs listed in the newest heartbeat.
    pub running: usize,
    /// Number of runs whose start commands were sent to the worker since its newest heartbeat.
    pub offered: usize,
    /// Number of syncs in flight.
    #[serde(rename = "syncs_under_way")]
    pub syncs_in_flight: usize,
    /// Number of syncs sent since the agent started.
    pub syncs: u64,
}
