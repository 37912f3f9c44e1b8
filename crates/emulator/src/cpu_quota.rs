//! CPU quota: a process runs until it has used its share of a period, and is then suspended until the next
//! period.

use streamusher_protocol::Millis;

/// Length of a period.
const PERIOD_MS: Millis = 100;
/// Offset between the periods of successive machines, which keeps them out of phase.
const PHASE_STEP_MS: Millis = 37;

/// A quota that is always exhausted: the process runs only at the beginning of each period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CpuQuota {
    /// Time for which the process runs in each period of 100 ms; at least 1.
    pub slice_ms: Millis,
}

impl CpuQuota {
    /// Time at which a suspended machine resumes; `None` while it runs.
    pub(crate) fn resumes_at(self, machine: usize, now: Millis) -> Option<Millis> {
        let phase_ms = machine as Millis * PHASE_STEP_MS % PERIOD_MS;
        let in_period_ms = (now + PERIOD_MS - phase_ms) % PERIOD_MS;
        let resumes_at = now + (PERIOD_MS - in_period_ms);
        (in_period_ms >= self.slice_ms).then_some(resumes_at)
    }
}
