//! Events of a fleet's simulation.

use super::rpc_message::{CallId, RpcOutcome, RpcRequest};
use crate::network::{Link, MachineId};
use crate::workers::effect::{WorkerIndex, WorkerTimer};
use std::sync::Arc;
use streamusher_controlplane::driver::Recovery as SchedulerRecovery;
use streamusher_coordination::Message;
use streamusher_protocol::heartbeat::{Heartbeat, HeartbeatResponse};
use streamusher_protocol::internal::ClientResponse;
use streamusher_protocol::Millis;

/// An event that is processed at a point of true time.
#[derive(Debug)]
pub(crate) enum Event {
    /// A machine's process starts.
    Start { machine: MachineId },
    /// The periodic tick of a process, by its own clock.
    Tick { machine: MachineId, boot: u64 },
    /// A wake-up of an agent between two ticks.
    AgentWakeup { machine: MachineId, boot: u64 },
    /// A write to a disk was synced or rejected.
    Persisted {
        machine: MachineId,
        boot: u64,
        ticket: u64,
        failed: bool,
    },
    /// The scheduler of a new primary is recovered.
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
    /// A delayed copy of a call arrives; no caller waits for its response.
    CallCopyArrives {
        call: CallId,
        receiver: MachineId,
        request: RpcRequest,
    },
    /// The response to a call arrives, or the notification that the connection broke.
    CallReturns { call: CallId, outcome: RpcOutcome },
    /// The caller stops waiting.
    CallTimeout { call: CallId },
    /// The called process is notified that the caller no longer waits.
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
    /// No agent process was running to receive a heartbeat.
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
    /// A timer of a worker fires.
    WorkerTimer {
        worker: WorkerIndex,
        incarnation: u32,
        timer: WorkerTimer,
    },
    /// A worker starts.
    WorkerStart { worker: WorkerIndex },
    /// An action of a client, or a message to or from one.
    Client(ClientEvent),
    /// An action of an operator.
    Operator(OperatorEvent),
    /// A fault of the schedule is injected.
    Fault { index: usize },
    /// The fleet recovers from a fault, or takes the next step of a rolling restart.
    Recovery(FaultRecovery),
    /// The checker checks guarantees with a deadline.
    Check,
}

impl Event {
    /// The machine that must be running to process the event. While the machine is suspended, the event is
    /// delayed.
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

/// An event of a client. `job` is the index among the submitted jobs; `request` is the number of a client
/// request.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// Draws and submits a job of the regular traffic, or one that can never succeed.
    NewJob { hopeless: bool },
    /// Draws and submits a job of a workload class.
    NewJobOfClass { class: usize },
    /// Submits a job, or retries a submission that was not accepted.
    Submit { job: usize },
    /// Submits a job again although it was accepted.
    Resubmit { job: usize },
    /// Queries a job.
    Query { job: usize },
    /// Cancels a job.
    Cancel { job: usize },
    /// Queries a job at the end of the simulation.
    FinalQuery { job: usize },
    /// A request reaches a gate.
    RequestArrives { request: u64 },
    /// A response arrives; `None` if the connection broke or the request timed out.
    ResponseArrives {
        request: u64,
        response: Option<ClientResponse>,
    },
}

/// An action of an operator.
#[derive(Debug)]
pub(crate) enum OperatorEvent {
    /// Sends the first configuration.
    FirstConfiguration,
    /// Reads the configuration; the final read at the end of the simulation is retried until it succeeds.
    Read { is_final: bool },
    /// Sends a request again.
    Retry { request: usize },
    /// Makes one random change of the newest known configuration.
    Change,
}

/// A rolling restart in progress.
#[derive(Clone, Debug)]
pub(crate) struct RollingRestart {
    /// The machine that is restarted now.
    pub(crate) machine: MachineId,
    /// The machines that are restarted afterwards.
    pub(crate) remaining: Vec<MachineId>,
    /// Time from the start of one machine until the next one is asked to leave.
    pub(crate) gap_ms: Millis,
}

/// The end of a fault, or a step of a rolling restart.
#[derive(Debug)]
pub(crate) enum FaultRecovery {
    /// A frozen machine resumes, unless it was frozen again for longer.
    Thaw { machine: MachineId },
    /// Links of a machine are unblocked.
    UnblockLinks {
        links: Vec<Link>,
        machine: MachineId,
    },
    /// A disk works normally again.
    RepairDisk { machine: MachineId },
    /// A wall clock that was stepped jumps back.
    StepClockBack { machine: MachineId, by_ms: i64 },
    /// Messages between control machines are no longer lost.
    EndMessageLoss,
    /// Links of a machine lose their added latency.
    RestoreLinkSpeed { machine: MachineId },
    /// A worker runs at its normal speed again.
    RestoreWorkerSpeed { worker: WorkerIndex },
    /// A worker no longer fails runs.
    EndRunFailures { worker: WorkerIndex },
    /// A control machine is asked to leave, as a step of a rolling restart.
    Leave(RollingRestart),
    /// The machine of a rolling restart is restarted if it has left.
    RestartIfLeft(RollingRestart),
    /// The process of a machine is started again.
    Restart { machine: MachineId },
    /// A control machine joins at a new address.
    AddControlMachine,
}
