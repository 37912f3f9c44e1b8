//! A processor share that is a quota: a process runs until its part of each period is spent, then not until the next period.

use streamusher_protocol::Millis;

/// Length of a period.
const PERIOD_MS: Millis = 100;
/// Periods of successive machines begin so much later: they are not in step.
const PHASE_STEP_MS: Millis = 37;

/// A quota that is always spent: the process runs at the beginning of each period only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CpuQuota {
    /// How long the process runs in each period of 100 ms; from 1 on.
    pub slice_ms: Millis,
}

impl CpuQuota {
    /// When a machine that stands still runs again; none while it runs.
    pub(crate) fn resumes_at(self, machine: usize, now: Millis) -> Option<Millis> {
        let phase_ms = machine as Millis * PHASE_STEP_MS % PERIOD_MS;
        let in_period_ms = (now + PERIOD_MS - phase_ms) % PERIOD_MS;
        let resumes_at = now + (PERIOD_MS - in_period_ms);
        (in_period_ms >= self.slice_ms).then_some(resumes_at)
    }
}
