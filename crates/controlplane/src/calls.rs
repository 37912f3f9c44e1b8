//! Calls of gates, agents and operators, how they end, and what is remembered of one that is not answered yet.

use streamusher_protocol::internal::{AgentSync, ClientCall, ClientMethod, ClusterView};
use streamusher_scheduler::{OperatorOrder, OrderKind, Reply};

/// A call from outside.
#[derive(Clone, Debug)]
pub enum Call {
    /// Of a gate, for a client.
    Client(ClientCall),
    /// Of an agent.
    Agent(AgentSync),
    /// Of an operator.
    Operator(OperatorOrder),
}

/// How a call ends.
#[derive(Clone, Debug)]
pub enum Answer {
    /// As the scheduler says; committed.
    Reply(Reply),
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
    pub fn of(call: &Call) -> Outstanding {
        let mutating = match call {
            Call::Client(call) => call.method != ClientMethod::Get,
            Call::Agent(_) => false,
            Call::Operator(order) => order.kind != OrderKind::Read,
        };
        let agent_epoch = match call {
            Call::Agent(sync) => Some(sync.epoch),
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
pub(crate) fn is_refusal(reply: &Reply) -> bool {
    match reply {
        Reply::Client(reply) => !(200..300).contains(&reply.status),
        Reply::Operator(reply) => !(200..300).contains(&reply.status),
        Reply::Agent(_) => false,
    }
}
