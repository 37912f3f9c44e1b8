//! Calls between processes: the caller, the request, and the outcome for the caller.

use crate::network::MachineId;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_protocol::internal::{AgentCommands, ClientResponse, ClusterView};
use streamusher_protocol::Millis;
use streamusher_scheduler::OperatorResponse;

/// Identifies a call within the fleet.
pub(crate) type CallId = u64;

/// The caller of a request. `boot` distinguishes the starts of a machine's process.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// An agent; `sequence` is the sequence number of its synchronization.
    Agent {
        machine: MachineId,
        boot: u64,
        sequence: u64,
    },
    /// A gate that forwards a client's request.
    Gate {
        machine: MachineId,
        boot: u64,
        client_request: u64,
    },
    /// A gate or an agent that searches for the primary.
    Discovery { machine: MachineId, boot: u64 },
    /// An operator whose request was sent at this time.
    Operator { request: usize, sent_at: Millis },
}

impl Caller {
    /// The machine on which the caller runs; `None` for operators, which are outside the fleet.
    pub(crate) fn machine(&self) -> Option<MachineId> {
        match self {
            Caller::Agent { machine, .. }
            | Caller::Gate { machine, .. }
            | Caller::Discovery { machine, .. } => Some(*machine),
            Caller::Operator { .. } => None,
        }
    }
}

/// A request to a control machine.
#[derive(Clone, Debug)]
pub(crate) enum RpcRequest {
    /// A request that only the primary handles.
    Primary(Box<ControlRequest>),
    /// A request for the membership of the control plane.
    View,
}

impl RpcRequest {
    /// Creates a request that only the primary handles.
    pub(crate) fn primary(request: ControlRequest) -> RpcRequest {
        RpcRequest::Primary(Box::new(request))
    }
}

/// The outcome of a call for its caller.
#[derive(Clone, Debug)]
pub(crate) enum RpcOutcome {
    /// The response to an agent.
    Agent(Arc<AgentCommands>),
    /// The response to a gate.
    Client(ClientResponse),
    /// The response to an operator.
    Operator(OperatorResponse),
    /// The membership of the control plane.
    View(ClusterView),
    /// The machine is not the primary; the request was not executed.
    NotPrimary(ClusterView),
    /// It is unknown whether the request was executed.
    Unknown,
    /// The connection was refused; the request was not executed.
    ConnectionRefused,
    /// The connection broke before a response arrived.
    ConnectionBroken,
    /// No response arrived within the time-out.
    TimedOut,
}

/// Identifies a call at the called process: its boot and the request number that it assigned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptedCall {
    pub(crate) boot: u64,
    pub(crate) request: u64,
}

/// A call whose caller still waits.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub(crate) caller: Caller,
    pub(crate) receiver: MachineId,
    /// Set while the called process handles the call.
    pub(crate) accepted: Option<AcceptedCall>,
}

/// All calls whose callers still wait.
#[derive(Debug, Default)]
pub(crate) struct OpenCalls {
    calls: BTreeMap<CallId, OpenCall>,
    last_id: CallId,
}

impl OpenCalls {
    /// Returns the id for a new call.
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

    /// The open calls made by a machine's process.
    pub(crate) fn made_by(&self, machine: MachineId) -> Vec<CallId> {
        self.ids(|call| call.caller.machine() == Some(machine))
    }

    /// The open calls that a machine's process is handling.
    pub(crate) fn accepted_by(&self, machine: MachineId) -> Vec<CallId> {
        self.ids(|call| call.receiver == machine && call.accepted.is_some())
    }

    fn ids(&self, matches: impl Fn(&OpenCall) -> bool) -> Vec<CallId> {
        let calls = self.calls.iter().filter(|(_, call)| matches(call));
        calls.map(|(id, _)| *id).collect()
    }
}
