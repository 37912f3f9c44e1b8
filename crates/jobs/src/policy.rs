//! What the record is told of its deployment and of its queues.

use std::sync::Arc;
use streamusher_protocol::Millis;

/// Bounds of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobSettings {
    /// How long an ended job's state can be asked for, in milliseconds.
    pub retention_ms: Millis,
}

/// What the configuration says of a queue, as far as its jobs need it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// The route's name.
    pub queue: Arc<str>,
    /// Whose workers run the tasks.
    pub service: Arc<str>,
    /// 0 comes first.
    pub priority: u32,
    /// Runs of a task, or of a gang, that may end failed.
    pub max_attempts: u32,
    /// Factor of the objective on the job's longest chain of work.
    pub stretch: f64,
    /// Part of the objective of a job's latency, in milliseconds.
    pub target_latency_ms: Millis,
}
