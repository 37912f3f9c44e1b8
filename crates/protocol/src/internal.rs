//! What gates and agents say to the control plane, over HTTP/1.1 with JSON bodies on the internal port.

use crate::heartbeat::{
    FinishedRun, Resources, RunningTask, StartCommand, StopCommand, WorkerState,
};
use crate::task::{JobId, RunId};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An agent reports its worker and waits for orders: [`AgentSync`] to [`AgentCommands`].
pub const AGENT_SYNC_PATH: &str = "/internal/agent/sync";
/// A gate passes on a client's call: [`ClientRequest`] to [`ClientResponse`].
pub const CLIENT_REQUEST_PATH: &str = "/internal/client/call";
/// A gate renews its lease: [`GateLeaseRequest`] to [`GateLeaseResponse`].
pub const GATE_LEASE_PATH: &str = "/internal/gate/lease";
/// Messages of the configuration's relay tree.
pub const RELAY_PATH: &str = "/internal/relay";
/// Who is in the control plane: answered with [`ClusterView`].
pub const CLUSTER_PATH: &str = "/internal/cluster";
/// The same as soon as a newer epoch is known: [`ClusterWatch`] to [`ClusterView`].
pub const CLUSTER_WATCH_PATH: &str = "/internal/cluster/watch";
/// Messages between core machines.
pub const COORDINATION_PATH: &str = "/internal/core/messages";
/// Status of any process, for operators.
pub const STATUS_PATH: &str = "/internal/status";

/// What the primary knows of one job or user: [`ExplainRequest`].
pub const EXPLAIN_PATH: &str = "/internal/explain";

/// Offset in the machine's port range of the control plane's internal port.
pub const CONTROL_PORT_OFFSET: u16 = 0;
/// Offset in the machine's port range of the gate's internal port.
pub const GATE_PORT_OFFSET: u16 = 1;
/// Offset in the machine's port range of the agent's internal port.
pub const AGENT_PORT_OFFSET: u16 = 2;

/// A core machine, as others reach it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CoreAddress {
    /// `ip:port` of the internal protocol.
    pub internal: Arc<str>,
    /// `ip:port` at which workers and operators call it.
    pub control: Arc<str>,
}

/// What a core machine knows of the control plane.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    /// The newest epoch known.
    pub epoch: u64,
    /// The primary of that epoch, where it is known and not thought lost.
    pub primary: Option<CoreAddress>,
    /// All core machines.
    pub members: Vec<CoreAddress>,
}

/// Asks a core machine for its view once it knows a newer epoch, or when the time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterWatch {
    /// The newest epoch that the caller knows.
    pub epoch: u64,
    /// How long the answer may be held.
    pub wait_ms: Millis,
}

/// An operator asks the primary about one thing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainRequest {
    /// Where a job stands, and why what waits of it waits.
    Job(JobId),
    /// What a user has lately used.
    User(Arc<str>),
}

/// The answer (status 421) of a process that is not the primary to what only the primary does. Nothing was done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotPrimary {
    /// Where the primary may be.
    pub view: ClusterView,
}

/// A worker as its agent sees it.
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
    /// Its whole room.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Whether it takes work.
    pub state: WorkerState,
    /// While it drains: how long it is still there, at least.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<Millis>,
    /// It has deregistered, or its hold was over without a heartbeat: nothing runs there any more, and nothing that
    /// was ordered will.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gone: bool,
    /// Milliseconds since its last heartbeat came.
    #[serde(default)]
    pub silent_ms: Millis,
    /// Runs at work.
    pub running: Vec<RunningTask>,
    /// Runs that have ended and were not acknowledged yet.
    pub finished: Vec<FinishedRun>,
    /// Runs ordered in answers after the reported heartbeat: they may have begun.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub offered: Vec<RunId>,
}

/// An agent's report; held by the primary until there are orders or `wait_ms` is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentSync {
    /// Name of the agent's machine.
    pub agent: Arc<str>,
    /// Drawn at random at each start of the agent.
    pub boot: u64,
    /// Rises with each call of one start.
    pub sequence: u64,
    /// The highest epoch that the agent has obeyed.
    pub epoch: u64,
    /// The newest orders that it holds, by their revision.
    pub revision: u64,
    /// How long the answer may be held.
    pub wait_ms: Millis,
    /// Its worker, once one has called.
    pub worker: Option<WorkerReport>,
}

/// The primary's orders. `start` and `stop` replace those of earlier revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentCommands {
    /// The primary's epoch; handed to the worker as its fencing token.
    pub epoch: u64,
    /// Rises with each change of what is ordered of this agent's worker.
    pub revision: u64,
    /// The agent may hold runs until its clock at the sending of its call plus this.
    pub lease_ms: Millis,
    /// The worker that is meant; orders for another instance are dropped.
    pub instance: Option<Arc<str>>,
    /// Ends up to this number are taken note of.
    pub last_seen: u64,
    /// Runs to start that were not seen at the worker yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<StartCommand>,
    /// Runs to stop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<StopCommand>,
    /// Where the control plane is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<ClusterView>,
}

/// What a client asks of a job or a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ClientMethod {
    /// State of a job or of a queue.
    Get,
    /// Hands in a job.
    Post,
    /// Cancels a job.
    Delete,
}

/// A client's call, passed on by a gate. The primary chooses the route by its own configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientRequest {
    /// What is asked.
    pub method: ClientMethod,
    /// The Host header.
    pub host: Arc<str>,
    /// The path.
    pub path: Arc<str>,
    /// The body, as the client sent it.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub body: Arc<str>,
    /// Version of the configuration by which the gate acts.
    #[serde(default)]
    #[serde(rename = "configuration")]
    pub configuration_version: u64,
}

/// The primary's answer to a client's call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientResponse {
    /// HTTP status for the client.
    pub status: u16,
    /// JSON body for the client; empty for none.
    #[serde(default)]
    pub body: Arc<str>,
    /// When to come back, where the call was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
}

/// A gate renews its lease as a member of the relay tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLeaseRequest {
    /// Internal `ip:port` of the gate.
    pub address: Arc<str>,
    /// Version of the roster that it knows; 0 for none.
    #[serde(rename = "roster")]
    pub membership_version: u64,
}

/// The primary's answer to a [`GateLeaseRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLeaseResponse {
    /// The newest configuration that is committed; 0 for none.
    #[serde(rename = "configuration")]
    pub configuration_version: u64,
    /// Version of the newest roster; 0 while a new primary has none.
    #[serde(rename = "roster")]
    pub membership_version: u64,
    /// The newest roster's members, where the gate knows another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<Vec<Arc<str>>>,
}
