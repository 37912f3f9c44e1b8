//! Observations of workers, as members exchange them.
//!
//! Observations are encoded by position: the order of fields and variants is part of the datagram format.

use crate::incarnation::Incarnation;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The kind of a worker's fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerFault {
    /// The worker takes longer than others of its kind.
    Slow,
    /// Attempts at the worker fail.
    Failing,
    /// The worker has just started.
    Cold,
    /// The worker rejects requests because of overload.
    Full,
}

/// One incarnation of a worker. It is encoded as a pair.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(Arc<str>, u64)", into = "(Arc<str>, u64)")]
pub struct WorkerIncarnation {
    /// The worker's name in discovery.
    pub name: Arc<str>,
    /// The start of the worker's process, Unix time in milliseconds.
    pub started_ms: u64,
}

impl From<(Arc<str>, u64)> for WorkerIncarnation {
    fn from((name, started_ms): (Arc<str>, u64)) -> Self {
        WorkerIncarnation { name, started_ms }
    }
}

impl From<WorkerIncarnation> for (Arc<str>, u64) {
    fn from(worker: WorkerIncarnation) -> Self {
        (worker.name, worker.started_ms)
    }
}

/// One member's observation of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The worker incarnation that was observed.
    pub worker: WorkerIncarnation,
    /// The member that made the observation.
    pub observer: Incarnation,
    /// Increases with each observation of the observer: a later one of the same worker replaces the earlier.
    pub sequence: u64,
    /// The fault; `None` retracts an earlier observation.
    pub fault: Option<WorkerFault>,
    /// The observer's confidence, 1 to 100.
    pub weight: u8,
    /// The remaining lifetime of the observation, in milliseconds.
    pub remaining_ms: u32,
}
