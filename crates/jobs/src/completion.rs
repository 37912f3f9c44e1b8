//! How an iteration of a job ended, beside what its queue asks for.

use crate::job::Job;
use crate::latency::{LatencyBreakdown, LatencyStage};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::task::JobId;
use streamusher_protocol::{Millis, Now};

/// An iteration that is done, or the one in which its job failed.
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
    /// Its queue's priority.
    pub priority: u32,
    /// Part of the objective, from its queue.
    pub target_latency_ms: Millis,
    /// Factor of the objective on the work, from its queue.
    pub stretch: f64,
    /// Every task is done; otherwise an attempt too many failed.
    #[serde(rename = "is_done")]
    pub succeeded: bool,
    /// When it was due or, if that was later, handed in; since 1970.
    pub due_unix_ms: Millis,
    /// From then to its end.
    #[serde(rename = "took_ms")]
    pub latency_ms: Millis,
    /// How long it might take by its queue's terms, with the work as it turned out.
    pub objective_ms: Millis,
    /// Where the time went along the chain of tasks that its end waited for; the sum is `took_ms`.
    #[serde(rename = "spent_ms")]
    pub breakdown: LatencyBreakdown,
}

impl Completion {
    /// Whether it ended well and in time.
    pub fn met_objective(&self) -> bool {
        self.succeeded && self.latency_ms <= self.objective_ms
    }
}

impl Job {
    /// How an iteration ended that ends now. What of its time was not seen is unknown; the objective counts the work on the
    /// chain as it turned out, and the estimated one where most was not seen.
    pub(crate) fn completion(
        &self,
        now: Now,
        iteration: u32,
        is_done: bool,
        mut spent: LatencyBreakdown,
    ) -> Completion {
        let due_unix_ms = self.plan.due_at(iteration).max(self.submitted);
        let took_ms = now.unix_ms.saturating_sub(due_unix_ms);
        let unknown_ms = took_ms.saturating_sub(spent.total_ms());
        spent.add(LatencyStage::Unknown, unknown_ms);
        let is_seen = is_done && 2 * unknown_ms < took_ms;
        let seen_ms = spent.in_stage(LatencyStage::Worked) + spent.in_stage(LatencyStage::Failed);
        let work_ms = if is_seen { seen_ms } else { self.plan.chain_ms };
        let stretched_ms = (self.terms.stretch.max(0.0) * work_ms as f64) as Millis;
        Completion {
            job: self.id.clone(),
            iteration,
            queue: self.terms.queue.clone(),
            service: self.terms.service.clone(),
            priority: self.terms.priority,
            target_latency_ms: self.terms.target_latency_ms,
            stretch: self.terms.stretch,
            succeeded: is_done,
            due_unix_ms,
            latency_ms: took_ms,
            objective_ms: self.terms.target_latency_ms.saturating_add(stretched_ms),
            breakdown: spent,
        }
    }
}
