//! Requests of gates, agents and operators, and their outcomes.

use streamusher_protocol::internal::{AgentSync, ClientMethod, ClientRequest, ClusterView};
use streamusher_scheduler::{OperatorRequest, OperatorRequestKind, SchedulerResponse};

/// A request from outside the control plane.
#[derive(Clone, Debug)]
pub enum ControlRequest {
    /// A client's request, forwarded by a gate.
    Client(ClientRequest),
    /// A sync of an agent.
    Agent(AgentSync),
    /// A request of an operator.
    Operator(OperatorRequest),
}

impl ControlRequest {
    /// Whether it asks for a change of the replicated state that its caller would have to know of.
    pub(crate) fn is_mutating(&self) -> bool {
        match self {
            ControlRequest::Client(client) => client.method != ClientMethod::Get,
            ControlRequest::Agent(_) => false,
            ControlRequest::Operator(operator) => operator.kind != OperatorRequestKind::Read,
        }
    }

    /// The epoch that the requesting agent knows; none for other callers.
    pub(crate) fn agent_epoch(&self) -> Option<u64> {
        match self {
            ControlRequest::Agent(sync) => Some(sync.epoch),
            ControlRequest::Client(_) | ControlRequest::Operator(_) => None,
        }
    }
}

/// The outcome of a request.
#[derive(Clone, Debug)]
pub enum ControlOutcome {
    /// The scheduler's response; everything that it rests on is committed.
    Response(SchedulerResponse),
    /// Nothing was done: this machine is not the primary.
    NotPrimary(ClusterView),
    /// The change may take effect, or may not.
    Unknown,
}

/// Whether a response says that nothing was changed.
pub(crate) fn is_rejection(response: &SchedulerResponse) -> bool {
    let status = match response {
        SchedulerResponse::Client(client) => client.status,
        SchedulerResponse::Operator(operator) => operator.status,
        SchedulerResponse::Agent(_) => return false,
    };
    !(200..300).contains(&status)
}
