//! Calls of gates, agents and operators, how they end, and what is remembered of one that is not answered yet.

use streamusher_protocol::internal::{AgentSync, ClientMethod, ClientRequest, ClusterView};
use streamusher_scheduler::{OperatorRequest, OperatorRequestKind, SchedulerResponse};

/// A call from outside.
#[derive(Clone, Debug)]
pub enum ControlRequest {
    /// Of a gate, for a client.
    Client(ClientRequest),
    /// Of an agent.
    Agent(AgentSync),
    /// Of an operator.
    Operator(OperatorRequest),
}

/// How a call ends.
#[derive(Clone, Debug)]
pub enum ControlOutcome {
    /// As the scheduler says; committed.
    Reply(SchedulerResponse),
    /// Nothing was done.
    NotPrimary(ClusterView),
    /// It may come into force, or may not.
    Unknown,
}

/// A call that was handed to the scheduler and is not answered yet.
pub(crate) struct Outstanding {
    /// Whether it asks for a change.
    pub mutating: bool,
    /// It changed nothing, and its reply says so.
    pub refused: bool,
    /// The epoch that its agent knows.
    pub agent_epoch: Option<u64>,
}

impl Outstanding {
    /// What matters of a call.
    pub fn of(call: &ControlRequest) -> Outstanding {
        let mutating = match call {
            ControlRequest::Client(call) => call.method != ClientMethod::Get,
            ControlRequest::Agent(_) => false,
            ControlRequest::Operator(order) => order.kind != OperatorRequestKind::Read,
        };
        let agent_epoch = match call {
            ControlRequest::Agent(sync) => Some(sync.epoch),
            _ => None,
        };
        Outstanding {
            mutating,
            refused: false,
            agent_epoch,
        }
    }
}

/// Whether the reply says that nothing was changed.
pub(crate) fn is_refusal(reply: &SchedulerResponse) -> bool {
    match reply {
        SchedulerResponse::Client(reply) => !(200..300).contains(&reply.status),
        SchedulerResponse::Operator(reply) => !(200..300).contains(&reply.status),
        SchedulerResponse::Agent(_) => false,
    }
}
