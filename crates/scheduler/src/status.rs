//! The scheduler's status, as operators read it.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_fair_share::{RankingVersion, UserUsage};
use streamusher_protocol::heartbeat::WorkerState;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// State of the whole scheduler. The JSON keys are an interface of operators' tools.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SchedulerStatus {
    /// Version of the current configuration.
    pub configuration: Option<u64>,
    /// The primary's epoch.
    pub epoch: u64,
    /// Pending jobs of each queue that has any.
    #[serde(rename = "queues")]
    pub pending_jobs: BTreeMap<Arc<str>, u64>,
    /// Runs that hold capacity of a worker.
    pub runs: usize,
    /// Users' decayed usage; none where fair share is switched off.
    #[serde(rename = "share_debt")]
    pub fair_share: Option<FairShareStatus>,
    /// Units that are ready and have no worker.
    #[serde(rename = "waiting")]
    pub pending_units: usize,
    /// All known workers, by identifier.
    pub workers: Vec<WorkerStatus>,
}

/// State of one worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// The agent that reports it; none before any has.
    pub agent: Option<Arc<str>>,
    /// It has deregistered, or its lease expired without a heartbeat.
    #[serde(rename = "gone")]
    pub terminated: bool,
    /// Its identifier.
    pub id: WorkerId,
    /// Time until its lease expires, in milliseconds.
    #[serde(rename = "lease_left_ms")]
    pub lease_remaining_ms: Millis,
    /// It may be given work.
    #[serde(rename = "open")]
    pub schedulable: bool,
    /// Runs that hold capacity of it.
    pub runs: usize,
    /// The service whose tasks it runs.
    pub service: Arc<str>,
    /// It, or its agent, has not been heard for too long.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// As it reported itself.
    pub state: WorkerState,
    /// Its zone.
    pub zone: Arc<str>,
}

/// Decayed usage of the users that used most.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FairShareStatus {
    /// Age of the version, in milliseconds.
    pub age_ms: Millis,
    /// Number of all users with usage.
    #[serde(rename = "count")]
    pub user_count: usize,
    /// Users with the largest usage, largest first.
    pub users: Vec<UserUsage>,
    /// The newest ranking version.
    pub version: RankingVersion,
}
