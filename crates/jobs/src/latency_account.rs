//! Accounting of one unit's time, from when its turn came to its end.

use crate::latency::{LatencyBreakdown, LatencyStage, RunTimings};
use streamusher_protocol::Millis;

/// Where a unit's time went so far, with that of the chain of units before it. Times are of the steady clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyAccount {
    breakdown: LatencyBreakdown,
    /// Up to when the time is in `breakdown`.
    accounted_until_ms: Millis,
    /// Timings of the newest run, once it has ended.
    run_timings: Option<RunTimings>,
}

impl LatencyAccount {
    /// Starts to account as the unit's turn comes, after a chain of units that took this time.
    pub(crate) fn start_after(&mut self, now_ms: Millis, chain: LatencyBreakdown) {
        self.breakdown = chain;
        self.accounted_until_ms = now_ms;
    }

    /// Starts to account at a new primary, which has not seen what happened before.
    pub(crate) fn restart(&mut self, now_ms: Millis) {
        self.accounted_until_ms = now_ms;
    }

    /// Adds the time since the last call to a stage.
    pub(crate) fn add_elapsed(&mut self, now_ms: Millis, stage: LatencyStage) {
        let elapsed_ms = now_ms.saturating_sub(self.accounted_until_ms);
        self.breakdown.add(stage, elapsed_ms);
        self.accounted_until_ms = now_ms;
    }

    /// Adds the time since the last call as placement saw it: waits for these reasons.
    pub(crate) fn add_waits(&mut self, now_ms: Millis, waits: &LatencyBreakdown) {
        for (stage, waited_ms) in waits.stages() {
            self.breakdown.add(stage, waited_ms);
        }
        self.accounted_until_ms = now_ms;
    }

    /// Adds the time since the last call as that of a run that succeeded.
    pub(crate) fn add_successful_run(&mut self, now_ms: Millis) {
        let elapsed_ms = now_ms.saturating_sub(self.accounted_until_ms);
        match self.run_timings.take() {
            Some(timings) => timings.add_to(&mut self.breakdown, elapsed_ms),
            None => self.breakdown.add(LatencyStage::Worked, elapsed_ms),
        }
        self.accounted_until_ms = now_ms;
    }

    /// Sets the timings of the newest run, or clears them as a run starts.
    pub(crate) fn set_run_timings(&mut self, timings: Option<RunTimings>) {
        self.run_timings = timings;
    }

    /// The time accounted so far.
    pub(crate) fn breakdown(&self) -> &LatencyBreakdown {
        &self.breakdown
    }
}
