//! Restart policy of units: the limit of failed attempts, and the backoff between restarts.

use streamusher_protocol::Millis;

/// Number of consecutive failures after which the restart is not delayed yet.
const FAILURES_WITHOUT_BACKOFF: u32 = 1;
/// First delay; it doubles with each further failure.
const INITIAL_BACKOFF_MS: Millis = 100;
/// Longest delay. It is short because a long-running task is useful only while it runs.
const MAX_BACKOFF_MS: Millis = 2_000;
/// Number of doublings after which the delay has reached its maximum in any case.
const MAX_DOUBLINGS: u32 = 8;

/// Rule for starting a unit again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartPolicy {
    /// Restart at once until the limit of failed attempts is reached.
    Limited {
        /// Number of failed attempts that fail the job; at least 1.
        attempts: u32,
    },
    /// Long-running: restart after any end of a run, with a backoff that grows with consecutive failures.
    Unlimited,
}

impl RestartPolicy {
    /// Whether the number of failed attempts has reached the limit.
    pub(crate) fn is_exhausted(self, failed_attempts: u32) -> bool {
        match self {
            RestartPolicy::Limited { attempts } => failed_attempts >= attempts,
            RestartPolicy::Unlimited => false,
        }
    }

    /// Delay before the next run, in milliseconds; 0 for an immediate restart.
    pub(crate) fn backoff_ms(self, failed_attempts: u32) -> Millis {
        match self {
            RestartPolicy::Limited { .. } => 0,
            RestartPolicy::Unlimited => exponential_backoff_ms(failed_attempts),
        }
    }
}

fn exponential_backoff_ms(consecutive_failures: u32) -> Millis {
    if consecutive_failures <= FAILURES_WITHOUT_BACKOFF {
        return 0;
    }
    let doublings = (consecutive_failures - FAILURES_WITHOUT_BACKOFF - 1).min(MAX_DOUBLINGS);
    (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS)
}
