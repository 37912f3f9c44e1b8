//! The agent's state machine: between one worker's heartbeats and the primary's orders.
//!
//! It grants its worker time to hold runs from the lease that the primary grants it, hands orders on, and reports what it
//! saw. What it must not get wrong: no hold outlasts the lease, no start leaves that it does not report as offered, and
//! a worker is called gone only when nothing can run there any more.

mod answers;
mod machine;
mod orders;
mod syncs;
mod worker;

pub use machine::Agent;

use serde::Serialize;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{Heartbeat, HeartbeatResponse};
use streamusher_protocol::internal::{AgentCommands, AgentSync};
use streamusher_protocol::Millis;

/// What an agent is told at its start.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of its machine.
    pub name: Arc<str>,
    /// Drawn at random at each start.
    pub boot: u64,
    /// The longest hold that workers take.
    pub hold_max_ms: Millis,
    /// How often workers send heartbeats when not told otherwise.
    pub heartbeat_ms: Millis,
    /// How long a stop takes at most.
    pub stop_ms: Millis,
}

/// The longest hold granted at once: above the time that an agent's restart or a change of primary takes, and not longer, as
/// the runs of a worker that is lost for good are waited for so long. A lease of the primary lasts `hold_max_ms`.
const MOST_GRANTED_MS: Millis = 4_000;

impl AgentSettings {
    /// The longest hold that this or an earlier start of the agent grants.
    fn longest_grant_ms(&self) -> Millis {
        self.hold_max_ms.min(MOST_GRANTED_MS)
    }
}

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// Its worker called.
    Heartbeat {
        /// Names the call in the answer.
        request_id: u64,
        /// The worker's id.
        instance: Arc<str>,
        /// What it said.
        heartbeat: Heartbeat,
    },
    /// Its worker deregisters.
    Deregister {
        /// Names the call in the acknowledgement.
        request_id: u64,
        /// The worker's id.
        instance: Arc<str>,
    },
    /// The primary answered a sync.
    SyncResponse {
        /// The sync's sequence.
        sequence: u64,
        /// The answer.
        commands: AgentCommands,
    },
    /// A sync got no answer that can be used.
    SyncFailed {
        /// The sync's sequence.
        sequence: u64,
    },
    /// [`Agent::next_wakeup`] has come.
    Tick,
}

/// What an agent wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Answer a heartbeat.
    Respond {
        /// The call.
        request_id: u64,
        /// The answer.
        response: HeartbeatResponse,
    },
    /// Acknowledge a worker's deregistration.
    AcknowledgeDeregistration {
        /// The call.
        request_id: u64,
    },
    /// Send this to the primary.
    SendSync(AgentSync),
}

/// What an operator sees of an agent.
#[derive(Clone, Debug, Serialize)]
pub struct AgentStatus {
    /// Name of its machine.
    pub name: Arc<str>,
    /// Drawn at its start.
    pub boot: u64,
    /// The highest epoch that it obeyed.
    pub epoch: u64,
    /// The newest orders that it holds.
    pub revision: u64,
    /// What is left of its lease.
    pub lease_left_ms: Millis,
    /// Its worker's id.
    pub instance: Option<Arc<str>>,
    /// Whether it takes its worker to be gone.
    pub gone: bool,
    /// Runs at work there.
    pub running: usize,
    /// Runs offered since the newest heartbeat.
    pub offered: usize,
    /// Syncs under way.
    pub syncs_under_way: usize,
    /// Syncs since its start.
    pub syncs: u64,
}
