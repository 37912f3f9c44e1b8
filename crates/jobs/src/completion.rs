//! The end of an iteration, compared with the latency objective of its queue.

use crate::latency::{LatencyBreakdown, LatencyStage};
use crate::policy::QueuePolicy;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::task::JobId;
use streamusher_protocol::Millis;

/// An iteration that is done, or the one in which its job failed. Its JSON is part of a log line that tools parse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// The job.
    pub job: JobId,
    /// The iteration.
    pub iteration: u32,
    /// Its queue.
    pub queue: Arc<str>,
    /// The service whose workers ran it.
    pub service: Arc<str>,
    /// Priority of its queue.
    pub priority: u32,
    /// Constant part of the objective, from its queue, in milliseconds.
    pub target_latency_ms: Millis,
    /// Factor of the objective on the work, from its queue.
    pub stretch: f64,
    /// Every task is done; otherwise a unit had no attempt left.
    #[serde(rename = "is_done")]
    pub succeeded: bool,
    /// When it was due or, if that was later, submitted; in milliseconds since 1970.
    pub due_unix_ms: Millis,
    /// From then to its end, in milliseconds.
    #[serde(rename = "took_ms")]
    pub latency_ms: Millis,
    /// Latency objective of its queue for the work as it turned out, in milliseconds.
    pub objective_ms: Millis,
    /// Where the time went along the chain of units that its end waited for; the sum is `latency_ms`, unless time was
    /// accounted that the time of day does not show.
    #[serde(rename = "spent_ms")]
    pub breakdown: LatencyBreakdown,
}

/// What a completion is computed from.
pub(crate) struct IterationEnd {
    /// The iteration.
    pub(crate) iteration: u32,
    /// Every task is done.
    pub(crate) succeeded: bool,
    /// When it was due or submitted, since 1970.
    pub(crate) due_unix_ms: Millis,
    /// When it ended, since 1970.
    pub(crate) ended_unix_ms: Millis,
    /// Estimated work on the critical path.
    pub(crate) estimated_work_ms: Millis,
    /// The time that was accounted.
    pub(crate) breakdown: LatencyBreakdown,
}

impl Completion {
    /// Whether the iteration succeeded within its latency objective.
    pub fn met_objective(&self) -> bool {
        self.succeeded && self.latency_ms <= self.objective_ms
    }

    /// The completion of an iteration. Time that was not accounted is [`LatencyStage::Unknown`]. The objective counts
    /// the work as it turned out, or as it was estimated where at least half of the time was not accounted.
    pub(crate) fn new(job: &JobId, policy: &QueuePolicy, end: IterationEnd) -> Completion {
        let mut breakdown = end.breakdown;
        let latency_ms = end.ended_unix_ms.saturating_sub(end.due_unix_ms);
        let unknown_ms = latency_ms.saturating_sub(breakdown.total_ms());
        breakdown.add(LatencyStage::Unknown, unknown_ms);
        let is_accounted = end.succeeded && 2 * unknown_ms < latency_ms;
        let work_ms = if is_accounted {
            breakdown.in_stage(LatencyStage::Worked) + breakdown.in_stage(LatencyStage::Failed)
        } else {
            end.estimated_work_ms
        };
        Completion {
            job: job.clone(),
            iteration: end.iteration,
            queue: policy.queue.clone(),
            service: policy.service.clone(),
            priority: policy.priority,
            target_latency_ms: policy.target_latency_ms,
            stretch: policy.stretch,
            succeeded: end.succeeded,
            due_unix_ms: end.due_unix_ms,
            latency_ms,
            objective_ms: policy.objective_ms(work_ms),
            breakdown,
        }
    }
}
