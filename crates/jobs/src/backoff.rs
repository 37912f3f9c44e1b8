//! When a unit may be started again: the limit of failed attempts, and the backoff between restarts.

use streamusher_protocol::Millis;

/// Failures in a row after which a restart is not delayed yet.
const FAILURES_WITHOUT_BACKOFF: u32 = 1;
/// First delay; doubled with each further failure.
const INITIAL_BACKOFF_MS: Millis = 100;
/// Longest delay. Short, as a long-running task is of use only while it runs.
const MAX_BACKOFF_MS: Millis = 2_000;
/// Doublings after which the delay is at its maximum in any case.
const MAX_DOUBLINGS: u32 = 8;

/// When a unit may be started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartPolicy {
    /// At once, until this many attempts failed.
    Limited {
        /// Failed attempts that end the job; at least 1.
        attempts: u32,
    },
    /// Long-running: whatever ended the last run, after a backoff that grows with failures in a row.
    Unlimited,
}

impl RestartPolicy {
    /// Whether this many failed attempts are too many.
    pub(crate) fn is_exhausted(self, failed_attempts: u32) -> bool {
        match self {
            RestartPolicy::Limited { attempts } => failed_attempts >= attempts,
            RestartPolicy::Unlimited => false,
        }
    }

    /// How long to wait before the next run; 0 for no wait.
    pub(crate) fn backoff_ms(self, failed_attempts: u32) -> Millis {
        match self {
            RestartPolicy::Limited { .. } => 0,
            RestartPolicy::Unlimited => exponential_backoff_ms(failed_attempts),
        }
    }
}

fn exponential_backoff_ms(failures_in_a_row: u32) -> Millis {
    if failures_in_a_row <= FAILURES_WITHOUT_BACKOFF {
        return 0;
    }
    let doublings = (failures_in_a_row - FAILURES_WITHOUT_BACKOFF - 1).min(MAX_DOUBLINGS);
    (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS)
}
