//! Calls between processes: who calls, what is requested, and how it ends for the caller.

use crate::network::MachineId;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_protocol::internal::{AgentCommands, ClientResponse, ClusterView};
use streamusher_protocol::Millis;
use streamusher_scheduler::OperatorResponse;

/// Identifies a call within the fleet.
pub(crate) type CallId = u64;

/// Who calls. `boot` tells the starts of a machine's process apart.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// An agent, with the sequence number of its synchronization.
    Agent {
        machine: MachineId,
        boot: u64,
        sequence: u64,
    },
    /// A gate, for a client's request.
    Gate {
        machine: MachineId,
        boot: u64,
        client_request: u64,
    },
    /// A gate or an agent that looks for the primary.
    Discovery { machine: MachineId, boot: u64 },
    /// An operator, for a request that was sent at this time.
    Operator { request: usize, sent_at: Millis },
}

impl Caller {
    /// The machine on which the caller runs; operators are outside of the fleet.
    pub(crate) fn machine(&self) -> Option<MachineId> {
        match self {
            Caller::Agent { machine, .. }
            | Caller::Gate { machine, .. }
            | Caller::Discovery { machine, .. } => Some(*machine),
            Caller::Operator { .. } => None,
        }
    }
}

/// What is requested of a control machine.
#[derive(Clone, Debug)]
pub(crate) enum RpcRequest {
    /// Something that only the primary does.
    Primary(Box<ControlRequest>),
    /// Who is in the control plane.
    View,
}

impl RpcRequest {
    /// A request to the primary.
    pub(crate) fn primary(request: ControlRequest) -> RpcRequest {
        RpcRequest::Primary(Box::new(request))
    }
}

/// How a call ended for its caller.
#[derive(Clone, Debug)]
pub(crate) enum RpcOutcome {
    /// The response to an agent.
    Agent(Arc<AgentCommands>),
    /// The response to a gate.
    Client(ClientResponse),
    /// The response to an operator.
    Operator(OperatorResponse),
    /// Who is in the control plane.
    View(ClusterView),
    /// The machine is not the primary; nothing was done.
    NotPrimary(ClusterView),
    /// It may have been done or not.
    Unknown,
    /// The connection was refused: nothing was done.
    ConnectionRefused,
    /// The connection broke.
    ConnectionBroken,
    /// There was no response in time.
    TimedOut,
}

/// The number that the called process gave to a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptedCall {
    pub(crate) boot: u64,
    pub(crate) request: u64,
}

/// A call that is not over for its caller.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub(crate) caller: Caller,
    pub(crate) receiver: MachineId,
    /// Set while the called process works on it.
    pub(crate) accepted: Option<AcceptedCall>,
}

/// All calls that are not over for their callers.
#[derive(Debug, Default)]
pub(crate) struct OpenCalls {
    calls: BTreeMap<CallId, OpenCall>,
    last_id: CallId,
}

impl OpenCalls {
    /// A number for a new call.
    pub(crate) fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        self.last_id
    }

    pub(crate) fn insert(&mut self, id: CallId, caller: Caller, receiver: MachineId) {
        let call = OpenCall {
            caller,
            receiver,
            accepted: None,
        };
        self.calls.insert(id, call);
    }

    pub(crate) fn get(&self, id: CallId) -> Option<&OpenCall> {
        self.calls.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: CallId) -> Option<&mut OpenCall> {
        self.calls.get_mut(&id)
    }

    pub(crate) fn remove(&mut self, id: CallId) -> Option<OpenCall> {
        self.calls.remove(&id)
    }

    /// The calls of a machine's process.
    pub(crate) fn made_by(&self, machine: MachineId) -> Vec<CallId> {
        self.ids(|call| call.caller.machine() == Some(machine))
    }

    /// The calls that a machine's process works on.
    pub(crate) fn accepted_by(&self, machine: MachineId) -> Vec<CallId> {
        self.ids(|call| call.receiver == machine && call.accepted.is_some())
    }

    fn ids(&self, matches: impl Fn(&OpenCall) -> bool) -> Vec<CallId> {
        let calls = self.calls.iter().filter(|(_, call)| matches(call));
        calls.map(|(id, _)| *id).collect()
    }
}
