//! What the configuration says of a queue, as far as its jobs need it.

use crate::backoff::RestartPolicy;
use crate::millis::saturating_millis;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// The policy of a queue, by which its jobs are scheduled.
///
/// A job keeps the policy that was configured when it was submitted until
/// [`JobTable::apply_configuration`](crate::JobTable::apply_configuration) brings a newer one.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Name of the queue's route.
    pub queue: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task, or of a gang, after which the job fails. 0 counts as 1.
    pub max_attempts: u32,
    /// Factor of the latency objective on the job's critical path.
    pub stretch: f64,
    /// Constant part of the latency objective, in milliseconds.
    pub target_latency_ms: Millis,
}

impl QueuePolicy {
    /// The same policy with a stretch that a JSON record can hold: 0 in place of infinity and NaN.
    pub(crate) fn sanitized(&self) -> QueuePolicy {
        let stretch = if self.stretch.is_finite() {
            self.stretch
        } else {
            0.0
        };
        QueuePolicy {
            stretch,
            ..self.clone()
        }
    }

    /// When a unit of this queue's jobs may be started again.
    pub(crate) fn restart_policy(&self, is_long_running: bool) -> RestartPolicy {
        if is_long_running {
            RestartPolicy::Unlimited
        } else {
            RestartPolicy::Limited {
                attempts: self.max_attempts.max(1),
            }
        }
    }

    /// A step's part of its job's slack, by its share of the critical path. The slack is what the latency objective
    /// leaves beside the estimated work.
    pub(crate) fn slack_ms(&self, estimated_ms: Millis, critical_path_ms: Millis) -> Millis {
        let critical_path_ms = critical_path_ms as f64;
        let stretched_ms = (self.stretch - 1.0).max(0.0) * critical_path_ms;
        let slack_ms = self.target_latency_ms as f64 + stretched_ms;
        let share = if critical_path_ms > 0.0 {
            (estimated_ms as f64 / critical_path_ms).min(1.0)
        } else {
            1.0
        };
        saturating_millis(share * slack_ms)
    }

    /// The latency objective of a job with this much work on its critical path.
    pub(crate) fn objective_ms(&self, work_ms: Millis) -> Millis {
        let stretched_ms = saturating_millis(self.stretch.max(0.0) * work_ms as f64);
        self.target_latency_ms.saturating_add(stretched_ms)
    }
}
