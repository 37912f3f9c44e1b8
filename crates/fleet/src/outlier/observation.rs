//! What members tell each other of workers.
//!
//! Observations are encoded by position: the order of fields and variants is part of the datagram format.

use crate::incarnation::Incarnation;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerFault {
    /// It takes longer than others of its kind.
    Slow,
    /// Attempts fail there.
    Failing,
    /// It has just started.
    Cold,
    /// It rejects requests because of overload.
    Full,
}

/// One incarnation of a worker. Encoded as a pair.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(Arc<str>, u64)", into = "(Arc<str>, u64)")]
pub struct WorkerIncarnation {
    /// Its name in discovery.
    pub name: Arc<str>,
    /// When it started, Unix time in milliseconds.
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
    /// The worker.
    pub worker: WorkerIncarnation,
    /// The member that made the observation.
    pub observer: Incarnation,
    /// Increases with each observation of the observer: a later one of the same worker replaces the earlier.
    pub sequence: u64,
    /// The fault; none takes an earlier observation back.
    pub fault: Option<WorkerFault>,
    /// How sure the observer is, 1 to 100.
    pub weight: u8,
    /// How much longer the observation holds, in milliseconds.
    pub remaining_ms: u32,
}
