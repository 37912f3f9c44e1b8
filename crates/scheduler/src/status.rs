//! Status of the scheduler, for operators.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_fair_share::{RankingVersion, UserUsage};
use streamusher_protocol::heartbeat::WorkerState;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Status of the whole scheduler. The JSON keys are an interface for operator tools.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SchedulerStatus {
    /// Version of the current configuration; `None` before the first one.
    pub configuration: Option<u64>,
    /// Epoch of the primary.
    pub epoch: u64,
    /// Number of pending jobs for each queue that has any.
    #[serde(rename = "queues")]
    pub pending_jobs: BTreeMap<Arc<str>, u64>,
    /// Number of runs that hold capacity of a worker.
    pub runs: usize,
    /// Users' decayed usage; `None` if fair share is disabled.
    #[serde(rename = "share_debt")]
    pub fair_share: Option<FairShareStatus>,
    /// Number of units that are ready and have no worker.
    #[serde(rename = "waiting")]
    pub pending_units: usize,
    /// All known workers, ordered by identifier.
    pub workers: Vec<WorkerStatus>,
}

/// Status of one worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Agent that reports the worker; `None` before any agent has reported it.
    pub agent: Option<Arc<str>>,
    /// Whether the worker has deregistered, or its lease has expired without a heartbeat.
    #[serde(rename = "gone")]
    pub terminated: bool,
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Time until the worker's lease expires, in milliseconds.
    #[serde(rename = "lease_left_ms")]
    pub lease_remaining_ms: Millis,
    /// Whether the worker may be assigned new runs.
    #[serde(rename = "open")]
    pub schedulable: bool,
    /// Number of runs that hold capacity of the worker.
    pub runs: usize,
    /// Service whose tasks the worker runs.
    pub service: Arc<str>,
    /// Whether the worker or its agent has exceeded its unresponsiveness time-out.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// State that the worker last reported.
    pub state: WorkerState,
    /// Zone of the worker.
    pub zone: Arc<str>,
}

/// Decayed usage of the users with the largest usage.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FairShareStatus {
    /// Age of the newest ranking version, in milliseconds.
    pub age_ms: Millis,
    /// Number of all users with usage.
    #[serde(rename = "count")]
    pub user_count: usize,
    /// Users with the largest usage, in descending order; at most 100 are listed.
    pub users: Vec<UserUsage>,
    /// Identifies the newest ranking version.
    pub version: RankingVersion,
}
