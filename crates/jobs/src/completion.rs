//! End of an iteration, compared with the latency objective of its queue.

use crate::latency::{LatencyBreakdown, LatencyStage};
use crate::policy::QueuePolicy;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::task::JobId;
use streamusher_protocol::Millis;

/// A completed iteration, or the iteration in which its job failed. The JSON form is part of a log line that
/// tools parse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Identifier of the job.
    pub job: JobId,
    /// Number of the iteration, counted from 0.
    pub iteration: u32,
    /// Queue of the job.
    pub queue: Arc<str>,
    /// Service whose workers ran the tasks.
    pub service: Arc<str>,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Constant part of the queue's latency objective, in milliseconds.
    pub target_latency_ms: Millis,
    /// Factor of the queue's latency objective on the work.
    pub stretch: f64,
    /// Every task is done. Otherwise a unit had no attempt left.
    #[serde(rename = "is_done")]
    pub succeeded: bool,
    /// Due time of the iteration, or the time of submission if that is later; in milliseconds since 1970.
    pub due_unix_ms: Millis,
    /// Time from `due_unix_ms` to the end of the iteration, in milliseconds.
    #[serde(rename = "took_ms")]
    pub latency_ms: Millis,
    /// Latency objective of the queue for the amount of work that the iteration turned out to need, in
    /// milliseconds.
    pub objective_ms: Millis,
    /// Latency by stage, along the chain of units on which the end of the iteration depended. The sum equals
    /// `latency_ms`, unless the steady clock measured more time than the system clock.
    #[serde(rename = "spent_ms")]
    pub breakdown: LatencyBreakdown,
}

/// Input from which a [`Completion`] is computed.
pub(crate) struct IterationEnd {
    pub(crate) iteration: u32,
    /// Every task is done.
    pub(crate) succeeded: bool,
    /// Due time of the iteration, or the time of submission if that is later; in milliseconds since 1970.
    pub(crate) due_unix_ms: Millis,
    /// End of the iteration, in milliseconds since 1970.
    pub(crate) ended_unix_ms: Millis,
    /// Estimated work on the critical path, in milliseconds.
    pub(crate) estimated_work_ms: Millis,
    /// Time that was accounted, by stage.
    pub(crate) breakdown: LatencyBreakdown,
}

impl Completion {
    /// Whether the iteration succeeded within its latency objective.
    pub fn met_objective(&self) -> bool {
        self.succeeded && self.latency_ms <= self.objective_ms
    }

    /// Builds the completion of an iteration. Time that was not accounted is [`LatencyStage::Unknown`]. The
    /// objective is computed from the measured work, or from the estimated work if the iteration failed or if
    /// at least half of its time was not accounted.
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
