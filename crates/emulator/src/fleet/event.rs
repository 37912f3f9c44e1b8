//! Events of a fleet.

use super::rpc_message::{CallId, RpcOutcome, RpcRequest};
use crate::network::{Link, MachineId};
use crate::workers::effect::{WorkerIndex, WorkerTimer};
use std::sync::Arc;
use streamusher_controlplane::driver::Recovery as SchedulerRecovery;
use streamusher_coordination::Message;
use streamusher_protocol::heartbeat::{Heartbeat, HeartbeatResponse};
use streamusher_protocol::internal::ClientResponse;
use streamusher_protocol::Millis;

/// Something that happens at a time.
#[derive(Debug)]
pub(crate) enum Event {
    /// A machine's process starts.
    Start { machine: MachineId },
    /// A process does what is due by its clock.
    Tick { machine: MachineId, boot: u64 },
    /// An agent does what is due, between two ticks.
    AgentWakeup { machine: MachineId, boot: u64 },
    /// A change of the disk is synced, or was refused.
    Persisted {
        machine: MachineId,
        boot: u64,
        ticket: u64,
        failed: bool,
    },
    /// A new primary's scheduler is recovered.
    SchedulerRecovered {
        machine: MachineId,
        boot: u64,
        recovery: Box<SchedulerRecovery>,
    },
    /// A message between control machines arrives.
    ControlMessage {
        receiver: MachineId,
        sender: Arc<str>,
        message: Message,
    },
    /// A call arrives.
    CallArrives {
        call: CallId,
        receiver: MachineId,
        request: RpcRequest,
    },
    /// A delayed copy of a call arrives, whose response nobody waits for.
    CallCopyArrives {
        call: CallId,
        receiver: MachineId,
        request: RpcRequest,
    },
    /// The response to a call arrives, or the news that the connection broke.
    CallReturns { call: CallId, outcome: RpcOutcome },
    /// The caller waits no longer.
    CallTimeout { call: CallId },
    /// The called process learns that the caller has left.
    CallAbandoned {
        machine: MachineId,
        boot: u64,
        request: u64,
    },
    /// A worker's heartbeat arrives at its agent.
    Heartbeat {
        machine: MachineId,
        worker: WorkerIndex,
        incarnation: u32,
        heartbeat: Box<Heartbeat>,
    },
    /// The response to a heartbeat arrives at the worker.
    HeartbeatResponse {
        worker: WorkerIndex,
        incarnation: u32,
        sequence: u64,
        response: Arc<HeartbeatResponse>,
    },
    /// No agent listened to a heartbeat.
    HeartbeatFailed {
        worker: WorkerIndex,
        incarnation: u32,
        sequence: u64,
    },
    /// A worker's deregistration arrives at its agent.
    Deregister {
        machine: MachineId,
        worker: WorkerIndex,
        incarnation: u32,
        instance: Arc<str>,
    },
    /// A worker ends after its deregistration.
    WorkerLeaves {
        worker: WorkerIndex,
        incarnation: u32,
    },
    /// A worker's own timer fires.
    WorkerTimer {
        worker: WorkerIndex,
        incarnation: u32,
        timer: WorkerTimer,
    },
    /// A worker comes up.
    WorkerStart { worker: WorkerIndex },
    /// A client does something.
    Client(ClientEvent),
    /// An operator does something.
    Operator(OperatorEvent),
    /// A fault of the schedule is injected.
    Fault { index: usize },
    /// The fleet recovers from a fault.
    Recovery(FaultRecovery),
    /// Promises with a time are checked.
    Check,
}

impl Event {
    /// The machine that must be awake for it.
    pub(crate) fn machine(&self) -> Option<MachineId> {
        match self {
            Event::Tick { machine, .. }
            | Event::AgentWakeup { machine, .. }
            | Event::Persisted { machine, .. }
            | Event::SchedulerRecovered { machine, .. }
            | Event::CallAbandoned { machine, .. }
            | Event::Heartbeat { machine, .. }
            | Event::Deregister { machine, .. }
            | Event::CallCopyArrives {
                receiver: machine, ..
            }
            | Event::ControlMessage {
                receiver: machine, ..
            } => Some(*machine),
            _ => None,
        }
    }
}

/// What a client does. `job` is the job's place among those submitted, `request` numbers the clients' requests.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// Draws and submits a job of the ordinary traffic, perhaps one that can never succeed.
    NewJob { hopeless: bool },
    /// Draws and submits a job of a workload's class.
    NewJobOfClass { class: usize },
    /// Sends a job, again if it was not accepted.
    Submit { job: usize },
    /// Sends a job once more although it was accepted.
    Resubmit { job: usize },
    /// Queries a job.
    Query { job: usize },
    /// Cancels a job.
    Cancel { job: usize },
    /// Queries a job at the end of the simulation.
    FinalQuery { job: usize },
    /// A request reaches a gate.
    RequestArrives { request: u64 },
    /// A response arrives; none if the connection broke or nothing came in time.
    ResponseArrives {
        request: u64,
        response: Option<ClientResponse>,
    },
}

/// What an operator does.
#[derive(Debug)]
pub(crate) enum OperatorEvent {
    /// Sends the first configuration.
    FirstConfiguration,
    /// Reads the configuration; at the end of the simulation until it succeeds.
    Read { is_final: bool },
    /// Sends a request again.
    Retry { request: usize },
    /// Makes one of several changes.
    Change,
}

/// A rolling restart in progress.
#[derive(Clone, Debug)]
pub(crate) struct RollingRestart {
    /// The machine whose turn it is.
    pub(crate) machine: MachineId,
    /// The machines that follow.
    pub(crate) remaining: Vec<MachineId>,
    /// From the start of one to the leaving of the next.
    pub(crate) gap_ms: Millis,
}

/// What ends a fault.
#[derive(Debug)]
pub(crate) enum FaultRecovery {
    /// A frozen machine wakes, unless it was frozen again for longer.
    Thaw { machine: MachineId },
    /// Links of a machine are open again.
    UnblockLinks {
        links: Vec<Link>,
        machine: MachineId,
    },
    /// A disk works as before.
    RepairDisk { machine: MachineId },
    /// A time of day that had jumped jumps back.
    StepClockBack { machine: MachineId, by_ms: i64 },
    /// No more messages are lost.
    EndMessageLoss,
    /// Links of a machine are as fast as before.
    RestoreLinkSpeed { machine: MachineId },
    /// A worker is as fast as before.
    RestoreWorkerSpeed { worker: WorkerIndex },
    /// A worker fails no more runs.
    EndRunFailures { worker: WorkerIndex },
    /// A control machine is told to leave, as one of several in turn.
    Leave(RollingRestart),
    /// It is started again if it has left.
    RestartIfLeft(RollingRestart),
    /// A machine's process is started again.
    Restart { machine: MachineId },
    /// A control machine joins at a new address.
    AddControlMachine,
}
