//! Workers as the caller describes them, and as placement reports them to operators.

use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::unit::WorkerId;

/// A worker as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Identifier, new for each start of the worker's process.
    pub id: WorkerId,
    /// Service whose units the worker runs.
    pub service: Arc<str>,
    /// Zone that the worker is in.
    pub zone: Arc<str>,
    /// Labels of the worker: the kind first, then the rack.
    pub labels: Vec<Arc<str>>,
    /// Total capacity of the worker when it runs nothing.
    pub capacity: Resources,
    /// Whether new tasks may be assigned to the worker: it sends heartbeats and is not draining.
    pub schedulable: bool,
}

/// Status of a worker, for status pages.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerStatus {
    /// Worker as last reported.
    pub info: WorkerInfo,
    /// Capacity allocated to runs that are ordered, running or stopping.
    pub used: Resources,
    /// Number of runs that hold an allocation.
    pub runs: usize,
    /// Number of unit copies in the worker's queue.
    pub queued: usize,
    /// Penalty for the worker's failures, measured in tasks; see `docs/design/placement.md`.
    pub penalty: f64,
    /// Ratio of the run time on this worker to the average of its service.
    pub slowness: f64,
}
