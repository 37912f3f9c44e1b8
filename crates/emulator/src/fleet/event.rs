//! What can happen in a fleet.

use super::calls::{Asked, Outcome};
use super::client::ClientEvent;
use super::heals::Heal;
use super::operator::OperatorEvent;
use crate::network::MachineId;
use crate::plant::{Timer, WorkerIndex};
use std::sync::Arc;
use streamusher_controlplane::driver::Recovery;
use streamusher_coordination::Message;
use streamusher_protocol::heartbeat::{Heartbeat, HeartbeatResponse};

/// Something that happens at a time.
#[derive(Debug)]
pub(crate) enum Event {
    /// A machine's process starts.
    Start { machine: MachineId },
    /// A process is told the time.
    Tick { machine: MachineId, boot: u64 },
    /// An agent is told the time when it wants to be.
    Wake { machine: MachineId, boot: u64 },
    /// A change of the disk is synced, or was refused.
    Persisted {
        machine: MachineId,
        boot: u64,
        ticket: u64,
        failed: bool,
    },
    /// A new primary's scheduler is recovered.
    Recovered {
        machine: MachineId,
        boot: u64,
        recovery: Box<Recovery>,
    },
    /// A message between core machines arrives.
    Core {
        to: MachineId,
        from: Arc<str>,
        message: Message,
    },
    /// A call arrives.
    Request {
        call: u64,
        to: MachineId,
        asked: Asked,
    },
    /// A copy of a call that was held up on its way arrives.
    LateCopy {
        call: u64,
        to: MachineId,
        asked: Asked,
    },
    /// A call's answer arrives, or the news that it broke.
    Response { call: u64, outcome: Outcome },
    /// The caller waits no longer.
    CallTimeout { call: u64 },
    /// The primary learns that a caller has left.
    Abandoned {
        machine: MachineId,
        boot: u64,
        request: u64,
    },
    /// A worker's heartbeat arrives at its agent.
    Heartbeat {
        machine: MachineId,
        worker: WorkerIndex,
        life: u32,
        heartbeat: Box<Heartbeat>,
    },
    /// Its answer arrives at the worker.
    HeartbeatAnswer {
        worker: WorkerIndex,
        life: u32,
        sequence: u64,
        answer: Arc<HeartbeatResponse>,
    },
    /// Nobody listened.
    HeartbeatFailed {
        worker: WorkerIndex,
        life: u32,
        sequence: u64,
    },
    /// A worker's deregistration arrives at its agent.
    Deregister {
        machine: MachineId,
        worker: WorkerIndex,
        life: u32,
        instance: Arc<str>,
    },
    /// A worker ends after its deregistration.
    WorkerGone { worker: WorkerIndex, life: u32 },
    /// A worker's own timer.
    WorkerTimer {
        worker: WorkerIndex,
        life: u32,
        timer: Timer,
    },
    /// A worker comes up.
    WorkerStart { worker: WorkerIndex },
    /// A client does something.
    Client(ClientEvent),
    /// An operator does something.
    Operator(OperatorEvent),
    /// A trouble of the schedule begins.
    Fault(usize),
    /// A trouble ends.
    Heal(Heal),
    /// Rules of time are checked.
    Check,
}

impl Event {
    /// The machine that must be awake for it.
    pub(crate) fn machine(&self) -> Option<MachineId> {
        match self {
            Event::Tick { machine, .. }
            | Event::Wake { machine, .. }
            | Event::Persisted { machine, .. }
            | Event::Recovered { machine, .. }
            | Event::Abandoned { machine, .. }
            | Event::Heartbeat { machine, .. }
            | Event::Deregister { machine, .. }
            | Event::LateCopy { to: machine, .. }
            | Event::Core { to: machine, .. } => Some(*machine),
            _ => None,
        }
    }
}
