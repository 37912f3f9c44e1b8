//! Events that an agent handles, and the actions that result.

use std::sync::Arc;
use streamusher_protocol::heartbeat::{Heartbeat, HeartbeatResponse};
use streamusher_protocol::internal::{AgentCommands, AgentSync};

/// Input to an agent's state machine.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A worker sent a heartbeat. Exactly one [`AgentAction::Respond`] answers it, immediately or later.
    Heartbeat {
        /// Identifies the HTTP request in the action that answers it.
        request_id: u64,
        /// The worker's instance id.
        instance: Arc<str>,
        /// Body of the request.
        heartbeat: Heartbeat,
    },
    /// A worker sent its deregistration.
    Deregister {
        /// Identifies the HTTP request in the action that answers it.
        request_id: u64,
        /// The worker's instance id.
        instance: Arc<str>,
    },
    /// The primary responded to a sync.
    SyncResponse {
        /// Sequence number of the sync.
        sequence: u64,
        /// Body of the response.
        commands: AgentCommands,
    },
    /// A sync failed or received no usable response.
    SyncFailed {
        /// Sequence number of the sync.
        sequence: u64,
    },
    /// The time returned by [`Agent::next_wakeup`](super::Agent::next_wakeup) has been reached.
    Tick,
}

/// Action that the agent's driver must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Respond to a heartbeat.
    Respond {
        /// The HTTP request of the [`AgentEvent::Heartbeat`].
        request_id: u64,
        /// Body of the response.
        response: HeartbeatResponse,
    },
    /// Respond to a worker's deregistration, with an empty body.
    AcknowledgeDeregistration {
        /// The HTTP request of the [`AgentEvent::Deregister`].
        request_id: u64,
    },
    /// Send a sync to the primary.
    SendSync(AgentSync),
}
