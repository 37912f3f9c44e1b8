//! Requests of gates, agents and operators, and their outcomes.

use streamusher_protocol::internal::{AgentSync, ClientMethod, ClientRequest, ClusterView};
use streamusher_scheduler::{OperatorRequest, OperatorRequestKind, SchedulerResponse};

/// A request from a process outside the control plane, or from an operator.
#[derive(Clone, Debug)]
pub enum ControlRequest {
    /// A client's request, forwarded by a gate.
    Client(ClientRequest),
    /// A periodic sync from an agent.
    Agent(AgentSync),
    /// A read or a change of the configuration from an operator.
    Operator(OperatorRequest),
}

impl ControlRequest {
    /// Whether the request changes replicated state in a way whose outcome its caller needs to know.
    pub(crate) fn is_mutating(&self) -> bool {
        match self {
            ControlRequest::Client(client) => client.method != ClientMethod::Get,
            ControlRequest::Agent(_) => false,
            ControlRequest::Operator(operator) => operator.kind != OperatorRequestKind::Read,
        }
    }

    /// The epoch that the requesting agent knows; `None` for other callers.
    pub(crate) fn agent_epoch(&self) -> Option<u64> {
        match self {
            ControlRequest::Agent(sync) => Some(sync.epoch),
            ControlRequest::Client(_) | ControlRequest::Operator(_) => None,
        }
    }
}

/// The outcome of a [`ControlRequest`].
#[derive(Clone, Debug)]
pub enum ControlOutcome {
    /// The scheduler's response; all writes that it depends on are committed.
    Response(SchedulerResponse),
    /// This machine is not the primary or has stepped down. The request made no change whose outcome its
    /// caller needs to know.
    NotPrimary(ClusterView),
    /// The primary stepped down before the commit: the change may or may not take effect.
    Unknown,
}

/// Whether a response states that nothing was changed.
pub(crate) fn is_rejection(response: &SchedulerResponse) -> bool {
    let status = match response {
        SchedulerResponse::Client(client) => client.status,
        SchedulerResponse::Operator(operator) => operator.status,
        SchedulerResponse::Agent(_) => return false,
    };
    !(200..300).contains(&status)
}
