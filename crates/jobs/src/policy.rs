//! Policy of a queue: the part of its configuration that applies to its jobs.

use crate::backoff::RestartPolicy;
use crate::millis::saturating_millis;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Policy of a queue, which controls the scheduling of its jobs.
///
/// A job keeps the policy that was configured at its submission until
/// [`JobTable::apply_configuration`](crate::JobTable::apply_configuration) replaces it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Name of the queue's route.
    pub queue: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task, or of a gang, that fails the job; 0 counts as 1.
    pub max_attempts: u32,
    /// Factor of the latency objective on the work on the job's critical path.
    pub stretch: f64,
    /// Constant part of the latency objective, in milliseconds.
    pub target_latency_ms: Millis,
}

impl QueuePolicy {
    /// Copies the policy with a stretch that a JSON record can represent: 0 replaces infinity and NaN.
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

    /// Restart policy of the units of this queue's jobs.
    pub(crate) fn restart_policy(&self, is_long_running: bool) -> RestartPolicy {
        if is_long_running {
            RestartPolicy::Unlimited
        } else {
            RestartPolicy::Limited {
                attempts: self.max_attempts.max(1),
            }
        }
    }

    /// Share of a step in the slack of its job, in proportion to the step's part of the critical path. The
    /// slack is the latency objective minus the estimated work.
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

    /// Latency objective of a job with this amount of work on its critical path, in milliseconds.
    pub(crate) fn objective_ms(&self, work_ms: Millis) -> Millis {
        let stretched_ms = saturating_millis(self.stretch.max(0.0) * work_ms as f64);
        self.target_latency_ms.saturating_add(stretched_ms)
    }
}
