//! Accounting of the time of one unit, from when its step is unblocked until the unit is done.

use crate::latency::{LatencyBreakdown, LatencyStage, RunTimings};
use streamusher_protocol::Millis;

/// Time spent so far by a unit and by the chain of units before it. All times are of the steady clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyAccount {
    breakdown: LatencyBreakdown,
    /// Time up to which `breakdown` accounts for the unit.
    accounted_until_ms: Millis,
    /// Timings of the newest run; `None` until it has ended.
    run_timings: Option<RunTimings>,
}

impl LatencyAccount {
    /// Starts the accounting when the unit's step is unblocked. `preceding` is the latency of the chain of
    /// units before it.
    pub(crate) fn start_after(&mut self, now_ms: Millis, preceding: LatencyBreakdown) {
        self.breakdown = preceding;
        self.accounted_until_ms = now_ms;
    }

    /// Starts the accounting at a new primary, which did not observe the time before.
    pub(crate) fn restart(&mut self, now_ms: Millis) {
        self.accounted_until_ms = now_ms;
    }

    /// Adds the time since the last accounted instant to a stage.
    pub(crate) fn add_elapsed(&mut self, now_ms: Millis, stage: LatencyStage) {
        let elapsed_ms = now_ms.saturating_sub(self.accounted_until_ms);
        self.breakdown.add(stage, elapsed_ms);
        self.accounted_until_ms = now_ms;
    }

    /// Adds a wait for placement as placement accounted it, by stage.
    pub(crate) fn add_waits(&mut self, now_ms: Millis, waits: &LatencyBreakdown) {
        for (stage, waited_ms) in waits.stages() {
            self.breakdown.add(stage, waited_ms);
        }
        self.accounted_until_ms = now_ms;
    }

    /// Adds the time since the last accounted instant as that of a successful run.
    pub(crate) fn add_successful_run(&mut self, now_ms: Millis) {
        let elapsed_ms = now_ms.saturating_sub(self.accounted_until_ms);
        match self.run_timings.take() {
            Some(timings) => timings.add_to(&mut self.breakdown, elapsed_ms),
            None => self.breakdown.add(LatencyStage::Worked, elapsed_ms),
        }
        self.accounted_until_ms = now_ms;
    }

    /// Sets the timings of the newest run, or clears them when a run starts.
    pub(crate) fn set_run_timings(&mut self, timings: Option<RunTimings>) {
        self.run_timings = timings;
    }

    pub(crate) fn breakdown(&self) -> &LatencyBreakdown {
        &self.breakdown
    }
}
