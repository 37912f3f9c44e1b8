//! Workers as the caller describes them, and as placement reports them to operators.

use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::unit::WorkerId;

/// A worker as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Its identifier, new for each start of the worker's process.
    pub id: WorkerId,
    /// The service whose units it runs.
    pub service: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its labels: the kind first, then the rack.
    pub labels: Vec<Arc<str>>,
    /// Its capacity when nothing runs there.
    pub capacity: Resources,
    /// Whether it may be given new work: it is heard of and does not drain.
    pub schedulable: bool,
}

/// A worker with what placement knows of it, for status pages.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerStatus {
    /// The worker.
    pub info: WorkerInfo,
    /// Capacity allocated to runs that are ordered, at work or stopping.
    pub used: Resources,
    /// Number of runs that hold an allocation.
    pub runs: usize,
    /// Number of unit copies in its queue.
    pub queued: usize,
    /// Penalty for its failures, in tasks; see `docs/design/placement.md`.
    pub penalty: f64,
    /// Run time on this worker over the usual run time of its service.
    pub slowness: f64,
}
