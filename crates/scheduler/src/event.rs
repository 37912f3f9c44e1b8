//! What the scheduler is told and what it wants done.

use std::sync::Arc;
use streamusher_protocol::internal::{AgentCommands, AgentSync, ClientRequest, ClientResponse};
use streamusher_protocol::store::Write;

/// Number that the caller gives to a request; replies carry it.
pub type RequestId = u64;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A gate passes on a client's call.
    Client {
        /// Its number.
        request: RequestId,
        /// The call.
        call: ClientRequest,
    },
    /// An agent reports and waits for orders.
    Agent {
        /// Its number.
        request: RequestId,
        /// The report.
        sync: AgentSync,
    },
    /// An operator changes or reads the configuration.
    Operator {
        /// Its number.
        request: RequestId,
        /// The order.
        order: OperatorRequest,
    },
    /// The caller of a request has left; a reply would reach nobody.
    Abandoned {
        /// The request's number.
        request: RequestId,
    },
    /// Time has passed; some forty times a second.
    Tick,
}

/// What an operator wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequestKind {
    /// A whole configuration.
    Replace,
    /// A change of named items.
    Update,
    /// The newest configuration.
    Read,
}

/// An operator's order.
#[derive(Clone, Debug)]
pub struct OperatorRequest {
    /// What is wanted.
    pub kind: OperatorRequestKind,
    /// The version on which a change builds.
    pub base: Option<u64>,
    /// The body as it came.
    pub body: Arc<str>,
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Arc<str>,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub enum SchedulerResponse {
    /// To a gate.
    Client(ClientResponse),
    /// To an agent.
    Agent(AgentCommands),
    /// To an operator.
    Operator(OperatorResponse),
}

/// What is to be done about an event.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Changes of the replicated state: one batch.
    pub writes: Vec<Write>,
    /// Replies, to be released once everything appended so far, `writes` included, is committed.
    pub replies: Vec<(RequestId, SchedulerResponse)>,
}

impl Effects {
    /// Whether nothing is to be done.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.replies.is_empty()
    }
}
