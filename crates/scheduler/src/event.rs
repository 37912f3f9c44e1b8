//! Input events of the scheduler and the effects that it asks for.

use std::sync::Arc;
use streamusher_protocol::internal::{AgentCommands, AgentSync, ClientRequest, ClientResponse};
use streamusher_protocol::store::Write;

/// Identifies a request; chosen by the caller, unique among its open requests.
pub type RequestId = u64;

/// An input of [`Scheduler::handle`](crate::Scheduler::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A gate forwards a client's request. It is answered at once.
    ClientRequest {
        /// Identifies the request.
        id: RequestId,
        /// The request.
        request: ClientRequest,
    },
    /// An agent reports its worker and asks for commands. It is answered at once where there is something new to tell,
    /// otherwise deferred for [`AgentSync::wait_ms`] at most.
    AgentSync {
        /// Identifies the request.
        id: RequestId,
        /// The report.
        sync: AgentSync,
    },
    /// An operator changes or reads the configuration. It is answered at once.
    OperatorRequest {
        /// Identifies the request.
        id: RequestId,
        /// The request.
        request: OperatorRequest,
    },
    /// The caller of a request has disconnected; a response would reach nobody.
    RequestAbandoned {
        /// Identifies the request.
        id: RequestId,
    },
    /// Time has passed; expected some forty times a second.
    Tick,
}

/// What an operator asks for.
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
    /// What is asked for.
    pub kind: OperatorRequestKind,
    /// The version on which a change builds; required of every change.
    pub base: Option<u64>,
    /// The body as it was received.
    pub body: Arc<str>,
}

/// The response to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Arc<str>,
}

/// The response to a request.
#[derive(Clone, Debug)]
pub enum SchedulerResponse {
    /// To a client, by way of a gate.
    Client(ClientResponse),
    /// To an agent.
    Agent(AgentCommands),
    /// To an operator.
    Operator(OperatorResponse),
}

/// A response that must not be sent before all writes appended so far are committed.
#[derive(Clone, Debug)]
pub struct PendingResponse {
    /// The request that it answers.
    pub request: RequestId,
    /// The response.
    pub response: SchedulerResponse,
}

/// What the caller is to do about an event.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Changes of the replicated state; appended as one batch.
    pub writes: Vec<Write>,
    /// Responses, to be sent once everything appended so far, `writes` included, is committed.
    pub responses: Vec<PendingResponse>,
}

impl Effects {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.responses.is_empty()
    }
}
