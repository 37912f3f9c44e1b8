//! Requests of gates and agents to the control plane, over HTTP/1.1 with JSON bodies on the internal port.

use crate::heartbeat::{
    FinishedRun, Resources, RunningTask, StartCommand, StopCommand, WorkerState,
};
use crate::task::{JobId, RunId};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Path at which an agent reports its worker and waits for commands: [`AgentSync`] to [`AgentCommands`].
pub const AGENT_SYNC_PATH: &str = "/internal/agent/sync";
/// Path at which a gate forwards a client's request: [`ClientRequest`] to [`ClientResponse`].
pub const CLIENT_REQUEST_PATH: &str = "/internal/client/call";
/// Path at which a gate renews its lease: [`GateLeaseRequest`] to [`GateLeaseResponse`].
pub const GATE_LEASE_PATH: &str = "/internal/gate/lease";
/// Path of the messages of the configuration's relay tree.
pub const RELAY_PATH: &str = "/internal/relay";
/// Path of the present members of the control plane: [`ClusterView`].
pub const CLUSTER_PATH: &str = "/internal/cluster";
/// Path of the same as soon as a newer epoch is known: [`ClusterWatch`] to [`ClusterView`].
pub const CLUSTER_WATCH_PATH: &str = "/internal/cluster/watch";
/// Path of the messages between control machines.
pub const COORDINATION_PATH: &str = "/internal/core/messages";
/// Path of the status of any process, for operators.
pub const STATUS_PATH: &str = "/internal/status";

/// Path at which the primary explains the state of one job or user: [`ExplainRequest`].
pub const EXPLAIN_PATH: &str = "/internal/explain";

/// Offset in the machine's port range of the control plane's internal port.
pub const CONTROL_PORT_OFFSET: u16 = 0;
/// Offset in the machine's port range of the gate's internal port.
pub const GATE_PORT_OFFSET: u16 = 1;
/// Offset in the machine's port range of the agent's internal port.
pub const AGENT_PORT_OFFSET: u16 = 2;

/// A control machine, as others reach it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CoreAddress {
    /// `ip:port` of the internal protocol.
    pub internal: Arc<str>,
    /// `ip:port` for workers and operators.
    pub control: Arc<str>,
}

/// What a control machine knows of the control plane.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    /// The newest epoch known.
    pub epoch: u64,
    /// The primary of that epoch, unless it is unknown or suspected to be lost.
    pub primary: Option<CoreAddress>,
    /// All control machines.
    pub members: Vec<CoreAddress>,
}

/// Asks a control machine for its view once it knows a newer epoch, or when the time is over (long poll).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterWatch {
    /// The newest epoch that the client knows.
    pub epoch: u64,
    /// How long the response may be delayed.
    pub wait_ms: Millis,
}

/// A question of an operator to the primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainRequest {
    /// The state of a job, and why each of its waiting units waits.
    Job(JobId),
    /// The user's recent usage.
    User(Arc<str>),
}

/// Response (status 421) of a process that is not the primary to a request that only the primary handles. Nothing was done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotPrimary {
    /// Where the primary may be reached.
    pub view: ClusterView,
}

/// The state of a worker, as its agent knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's id; new for each start of the worker.
    pub instance: Arc<str>,
    /// The sequence of the heartbeat that is reported.
    pub sequence: u64,
    /// The service whose tasks it runs.
    pub service: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its whole capacity.
    pub capacity: Resources,
    /// Labels by which steps select workers: its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Whether it takes new runs.
    pub state: WorkerState,
    /// While it drains: for how long it will still run, at least.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<Millis>,
    /// It has deregistered, or its lease expired without a heartbeat: nothing runs there any more, and nothing that it was
    /// sent will start.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gone: bool,
    /// Milliseconds since its last heartbeat.
    #[serde(default)]
    pub silent_ms: Millis,
    /// Runs that are being executed.
    pub running: Vec<RunningTask>,
    /// Runs that have ended and were not acknowledged yet.
    pub finished: Vec<FinishedRun>,
    /// Runs that were commanded in responses after the reported heartbeat: they may have started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub offered: Vec<RunId>,
}

/// An agent's report. The primary responds when there are new commands or `wait_ms` is over (long poll).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentSync {
    /// Name of the agent's machine.
    pub agent: Arc<str>,
    /// Drawn at random at each start of the agent.
    pub boot: u64,
    /// Rises with each report since the start of the agent.
    pub sequence: u64,
    /// The highest epoch whose commands the agent has taken.
    pub epoch: u64,
    /// Revision of the newest commands that it has.
    pub revision: u64,
    /// How long the response may be delayed.
    pub wait_ms: Millis,
    /// Its worker, once one has sent a heartbeat.
    pub worker: Option<WorkerReport>,
}

/// The primary's commands for an agent's worker. `start` and `stop` replace those of earlier revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentCommands {
    /// The primary's epoch; handed to the worker as its fencing token.
    pub epoch: u64,
    /// Rises with each change of the commands for this agent's worker.
    pub revision: u64,
    /// Lease: the agent may extend runs until its clock at the sending of its report plus this.
    pub lease_ms: Millis,
    /// The worker that the commands are for; an agent drops commands for another instance.
    pub instance: Option<Arc<str>>,
    /// Ended runs up to this number are acknowledged.
    pub last_seen: u64,
    /// Runs to start that the worker has not reported yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<StartCommand>,
    /// Runs to stop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<StopCommand>,
    /// The present members of the control plane, where the agent knows others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<ClusterView>,
}

/// What a client asks of a job or a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ClientMethod {
    /// State of a job or of a queue.
    Get,
    /// Submits a job.
    Post,
    /// Cancels a job.
    Delete,
}

/// A client's request, forwarded by a gate. The primary chooses the queue by its own configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientRequest {
    /// The method.
    pub method: ClientMethod,
    /// The Host header.
    pub host: Arc<str>,
    /// The path.
    pub path: Arc<str>,
    /// The body, as the client sent it.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub body: Arc<str>,
    /// Version of the configuration that the gate applies.
    #[serde(default)]
    #[serde(rename = "configuration")]
    pub configuration_version: u64,
}

/// The primary's response to a client's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientResponse {
    /// HTTP status for the client.
    pub status: u16,
    /// JSON body for the client; empty for none.
    #[serde(default)]
    pub body: Arc<str>,
    /// After how long to try again, where the request was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
}

/// A gate renews its lease as a member of the relay tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLeaseRequest {
    /// Internal `ip:port` of the gate.
    pub address: Arc<str>,
    /// Version of the relay membership that it knows; 0 for none.
    #[serde(rename = "roster")]
    pub membership_version: u64,
}

/// The primary's response to a [`GateLeaseRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLeaseResponse {
    /// Version of the newest committed configuration; 0 for none.
    #[serde(rename = "configuration")]
    pub configuration_version: u64,
    /// Version of the newest relay membership; 0 while a new primary has none.
    #[serde(rename = "roster")]
    pub membership_version: u64,
    /// The members, where the gate knows another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<Vec<Arc<str>>>,
}
