//! Events that an agent handles, and the actions that it requests.

use std::sync::Arc;
use streamusher_protocol::heartbeat::{Heartbeat, HeartbeatResponse};
use streamusher_protocol::internal::{AgentCommands, AgentSync};

/// What happened to an agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A worker sent a heartbeat. It is answered by one [`AgentAction::Respond`], at once or later.
    Heartbeat {
        /// Identifies the HTTP request in the action.
        request_id: u64,
        /// The worker's instance id.
        instance: Arc<str>,
        /// The body.
        heartbeat: Heartbeat,
    },
    /// A worker deregisters.
    Deregister {
        /// Identifies the HTTP request in the action.
        request_id: u64,
        /// The worker's instance id.
        instance: Arc<str>,
    },
    /// The primary responded to a sync.
    SyncResponse {
        /// The sync's sequence.
        sequence: u64,
        /// The response.
        commands: AgentCommands,
    },
    /// A sync got no usable response.
    SyncFailed {
        /// The sync's sequence.
        sequence: u64,
    },
    /// The time of [`Agent::next_wakeup`](super::Agent::next_wakeup) has come.
    Tick,
}

/// What an agent wants its driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Respond to a heartbeat.
    Respond {
        /// The HTTP request.
        request_id: u64,
        /// The body.
        response: HeartbeatResponse,
    },
    /// Respond to a worker's deregistration.
    AcknowledgeDeregistration {
        /// The HTTP request.
        request_id: u64,
    },
    /// Send this to the primary.
    SendSync(AgentSync),
}
