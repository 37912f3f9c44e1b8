//! Input events of the scheduler, and the effects that the scheduler requests from its caller.

use std::sync::Arc;
use streamusher_protocol::internal::{AgentCommands, AgentSync, ClientRequest, ClientResponse};
use streamusher_protocol::store::Write;

/// Identifies a request. Chosen by the caller, unique among its open requests.
pub type RequestId = u64;

/// An input of [`Scheduler::handle`](crate::Scheduler::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A gate forwards a client's request. It is answered immediately.
    ClientRequest {
        /// Identifies the request.
        id: RequestId,
        /// The client's request as the gate forwards it.
        request: ClientRequest,
    },
    /// An agent reports its worker and requests commands. It is answered immediately if there are new
    /// commands, otherwise deferred for at most [`AgentSync::wait_ms`].
    AgentSync {
        /// Identifies the request.
        id: RequestId,
        /// The agent's report and the revision of the commands that it holds.
        sync: AgentSync,
    },
    /// An operator changes or reads the configuration. It is answered immediately.
    OperatorRequest {
        /// Identifies the request.
        id: RequestId,
        /// The operation and its body.
        request: OperatorRequest,
    },
    /// The caller of a request has disconnected. No response to it is needed.
    RequestAbandoned {
        /// Identifies the abandoned request.
        id: RequestId,
    },
    /// Time has passed. Expected about forty times per second.
    Tick,
}

/// The operations that an operator can request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequestKind {
    /// Replaces the whole configuration.
    Replace,
    /// Inserts, changes and removes named items.
    Update,
    /// Reads the newest configuration.
    Read,
}

/// An operator's request about the configuration.
#[derive(Clone, Debug)]
pub struct OperatorRequest {
    /// The requested operation.
    pub kind: OperatorRequestKind,
    /// Version that the change is based on. Required for every change.
    pub base: Option<u64>,
    /// The request body as received.
    pub body: Arc<str>,
}

/// The response to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorResponse {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Arc<str>,
}

/// The response to a request.
#[derive(Clone, Debug)]
pub enum SchedulerResponse {
    /// Response to a client, sent through a gate.
    Client(ClientResponse),
    /// Response to an agent's sync request.
    Agent(AgentCommands),
    /// Response to an operator.
    Operator(OperatorResponse),
}

/// A response that must not be sent before all writes appended so far are committed.
#[derive(Clone, Debug)]
pub struct PendingResponse {
    /// Identifies the request that this response answers.
    pub request: RequestId,
    /// The content to send.
    pub response: SchedulerResponse,
}

/// What the caller must do after an event.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Changes of the replicated state, to be appended as one batch.
    pub writes: Vec<Write>,
    /// Responses, to be sent once everything appended so far, including `writes`, is committed.
    pub responses: Vec<PendingResponse>,
}

impl Effects {
    /// Whether there are neither writes nor responses.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.responses.is_empty()
    }
}
