//! Requests of gates and agents to the control plane, sent over HTTP/1.1 with JSON bodies on the internal
//! port.

use crate::heartbeat::{
    FinishedRun, Resources, RunningTask, StartCommand, StopCommand, WorkerState,
};
use crate::task::{JobId, RunId};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Path at which an agent reports its worker and waits for commands. Takes [`AgentSync`] and returns
/// [`AgentCommands`].
pub const AGENT_SYNC_PATH: &str = "/internal/agent/sync";
/// Path at which a gate forwards a client's request. Takes [`ClientRequest`] and returns [`ClientResponse`].
pub const CLIENT_REQUEST_PATH: &str = "/internal/client/call";
/// Path at which a gate renews its lease. Takes [`GateLeaseRequest`] and returns [`GateLeaseResponse`].
pub const GATE_LEASE_PATH: &str = "/internal/gate/lease";
/// Path of the messages of the relay tree that distributes the configuration.
pub const RELAY_PATH: &str = "/internal/relay";
/// Path that returns the current members of the control plane as a [`ClusterView`].
pub const CLUSTER_PATH: &str = "/internal/cluster";
/// Path that returns a [`ClusterView`] as soon as a newer epoch is known. Takes [`ClusterWatch`].
pub const CLUSTER_WATCH_PATH: &str = "/internal/cluster/watch";
/// Path of the messages between control machines.
pub const COORDINATION_PATH: &str = "/internal/core/messages";
/// Path that returns the status of any process, for operators.
pub const STATUS_PATH: &str = "/internal/status";

/// Path at which the primary explains the state of one job or user. Takes [`ExplainRequest`].
pub const EXPLAIN_PATH: &str = "/internal/explain";

/// Offset of the control plane's internal port in the machine's port range.
pub const CONTROL_PORT_OFFSET: u16 = 0;
/// Offset of the gate's internal port in the machine's port range.
pub const GATE_PORT_OFFSET: u16 = 1;
/// Offset of the agent's internal port in the machine's port range.
pub const AGENT_PORT_OFFSET: u16 = 2;

/// The addresses of a control machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CoreAddress {
    /// The `ip:port` for the internal protocol.
    pub internal: Arc<str>,
    /// The `ip:port` for workers and operators.
    pub control: Arc<str>,
}

/// The state of the control plane as known to one control machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    /// The newest epoch that the control machine knows.
    pub epoch: u64,
    /// The primary of that epoch; `None` if it is unknown or suspected to have failed.
    pub primary: Option<CoreAddress>,
    /// All control machines.
    pub members: Vec<CoreAddress>,
}

/// Requests the view of a control machine (long poll). The response is sent once the machine knows a newer
/// epoch or the wait time expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterWatch {
    /// The newest epoch that the client knows.
    pub epoch: u64,
    /// Maximum time for which the response may be delayed.
    pub wait_ms: Millis,
}

/// An operator's query to the primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainRequest {
    /// Requests the state of a job and the reason why each of its waiting units waits.
    Job(JobId),
    /// Requests the user's recent usage.
    User(Arc<str>),
}

/// Response (status 421) of a process that is not the primary to a request that only the primary handles. The
/// request had no effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotPrimary {
    /// Where the primary may be reached, as far as the responding process knows.
    pub view: ClusterView,
}

/// The state of a worker, as reported by its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// ID of the worker; each start of the worker has a new one.
    pub instance: Arc<str>,
    /// Sequence number of the heartbeat on which the report is based.
    pub sequence: u64,
    /// The service whose tasks the worker runs.
    pub service: Arc<str>,
    /// Zone of the worker.
    pub zone: Arc<str>,
    /// Total capacity of the worker.
    pub capacity: Resources,
    /// Labels by which steps select workers: the worker's kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Whether the worker accepts new runs.
    pub state: WorkerState,
    /// While the worker drains: the minimum time for which it continues to run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<Millis>,
    /// Whether the worker has deregistered, or its lease has expired without a heartbeat. In either case
    /// nothing runs on it any more, and no run that was sent to it will start.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gone: bool,
    /// Milliseconds since the worker's last heartbeat.
    #[serde(default)]
    pub silent_ms: Millis,
    /// Runs in progress.
    pub running: Vec<RunningTask>,
    /// Runs that have ended and are not acknowledged yet.
    pub finished: Vec<FinishedRun>,
    /// Runs whose start commands were sent in responses after the reported heartbeat; they may have started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub offered: Vec<RunId>,
}

/// An agent's report (long poll). The primary responds when there are new commands or `wait_ms` has elapsed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentSync {
    /// Name of the agent's machine.
    pub agent: Arc<str>,
    /// Random number that each start of the agent draws anew.
    pub boot: u64,
    /// Sequence number of the report, which increases with each report since the agent started.
    pub sequence: u64,
    /// The highest epoch whose commands the agent has accepted.
    pub epoch: u64,
    /// Revision of the most recent commands that the agent holds.
    pub revision: u64,
    /// Maximum time for which the response may be delayed.
    pub wait_ms: Millis,
    /// State of the agent's worker; `None` until a worker has sent a heartbeat.
    pub worker: Option<WorkerReport>,
}

/// The primary's commands for an agent's worker. `start` and `stop` replace those of earlier revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentCommands {
    /// Epoch of the primary, which the worker receives as its fencing token.
    pub epoch: u64,
    /// Revision number, which increases with each change of the commands for this agent's worker.
    pub revision: u64,
    /// Lease of the reported worker: the agent may extend its runs until this many milliseconds after the time
    /// on its clock at which it sent its report. 0 if the report did not renew the lease that the primary
    /// counts for the worker.
    pub lease_ms: Millis,
    /// ID of the worker that the commands are for. An agent discards commands for another instance.
    pub instance: Option<Arc<str>>,
    /// Acknowledges the ended runs up to this number.
    pub last_seen: u64,
    /// Runs to start that the worker has not reported yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<StartCommand>,
    /// Runs to stop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<StopCommand>,
    /// The current members of the control plane, if those known to the agent differ.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<ClusterView>,
}

/// Method of a client's request concerning a job or queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ClientMethod {
    /// Returns the state of a job or queue.
    Get,
    /// Submits a job.
    Post,
    /// Cancels a job.
    Delete,
}

/// A client's request, forwarded by a gate. The primary selects the queue according to its own configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientRequest {
    /// HTTP method of the client's request.
    pub method: ClientMethod,
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Path of the client's request.
    pub path: Arc<str>,
    /// Body of the request, as the client sent it.
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
    /// JSON body for the client; empty if there is none.
    #[serde(default)]
    pub body: Arc<str>,
    /// Time after which the client may retry a rejected request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
}

/// Request of a gate to renew its lease as a member of the relay tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLeaseRequest {
    /// Internal `ip:port` of the gate.
    pub address: Arc<str>,
    /// Version of the relay membership that the gate knows; 0 if it knows none.
    #[serde(rename = "roster")]
    pub membership_version: u64,
}

/// The primary's response to a [`GateLeaseRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateLeaseResponse {
    /// Version of the most recent committed configuration; 0 if there is none.
    #[serde(rename = "configuration")]
    pub configuration_version: u64,
    /// Version of the most recent relay membership; 0 while a new primary has none.
    #[serde(rename = "roster")]
    pub membership_version: u64,
    /// The members of the relay tree, if the gate knows a different version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<Vec<Arc<str>>>,
}
