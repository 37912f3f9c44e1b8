//! Latency breakdown of an iteration. It covers the chain of units on which the end of the iteration
//! depended, and attributes each millisecond to exactly one stage.

use crate::millis::saturating_millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// Stage to which the time of a unit is attributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LatencyStage {
    /// Waiting, while no worker accepted work or the unit was not allowed to run at any worker that did.
    WaitedForWorker,
    /// Waiting, while no worker that is able to run the unit had enough free capacity.
    #[serde(rename = "waited_for_room")]
    WaitedForCapacity,
    /// Waiting, while capacity was being reserved for the unit.
    WaitedForReservation,
    /// Waiting, while the only free capacity was reserved for other units or was at workers that the unit
    /// avoids.
    #[serde(rename = "waited_with_room_free")]
    WaitedWithCapacityFree,
    /// Waiting for the end of the backoff after a failure.
    #[serde(rename = "paused")]
    BackedOff,
    /// From the placement decision to the first report of the run, and from the end of the run to its report.
    #[serde(rename = "ordered")]
    Dispatched,
    /// Running, up to the time that the run would have taken at a worker of usual speed near its data.
    Worked,
    /// Running beyond that time, because of a slow worker or remote data.
    RanSlowly,
    /// Running without result: the run failed.
    Failed,
    /// Running without result: the run was stopped, because of preemption or to move it.
    Stopped,
    /// Running without result: the run was lost with its worker, or its lease expired.
    Lost,
    /// Not observed: the time before the current primary took over, or before the unit was revoked and made
    /// ready again.
    Unknown,
}

impl LatencyStage {
    /// All stages, in the order of their declaration.
    pub const ALL: [LatencyStage; 12] = [
        LatencyStage::WaitedForWorker,
        LatencyStage::WaitedForCapacity,
        LatencyStage::WaitedForReservation,
        LatencyStage::WaitedWithCapacityFree,
        LatencyStage::BackedOff,
        LatencyStage::Dispatched,
        LatencyStage::Worked,
        LatencyStage::RanSlowly,
        LatencyStage::Failed,
        LatencyStage::Stopped,
        LatencyStage::Lost,
        LatencyStage::Unknown,
    ];
}

/// Milliseconds in each stage, at most `u32::MAX` per stage. Encoded as a map of the stages whose time is not
/// 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "BTreeMap<LatencyStage, Millis>",
    into = "BTreeMap<LatencyStage, Millis>"
)]
pub struct LatencyBreakdown([u32; LatencyStage::ALL.len()]);

impl LatencyBreakdown {
    /// Adds time to a stage. The sum saturates at `u32::MAX`.
    pub fn add(&mut self, stage: LatencyStage, spent_ms: Millis) {
        let spent_ms = u32::try_from(spent_ms).unwrap_or(u32::MAX);
        let total = &mut self.0[stage as usize];
        *total = total.saturating_add(spent_ms);
    }

    /// Time in one stage, in milliseconds.
    pub fn in_stage(&self, stage: LatencyStage) -> Millis {
        self.0[stage as usize].into()
    }

    /// Time in all stages, in milliseconds.
    pub fn total_ms(&self) -> Millis {
        self.0.iter().map(|spent_ms| Millis::from(*spent_ms)).sum()
    }

    /// The stages whose time is not 0 with their milliseconds, in the order of [`LatencyStage::ALL`].
    pub fn stages(&self) -> impl Iterator<Item = (LatencyStage, Millis)> + '_ {
        LatencyStage::ALL
            .into_iter()
            .map(|stage| (stage, self.in_stage(stage)))
            .filter(|(_, spent_ms)| *spent_ms > 0)
    }
}

impl From<BTreeMap<LatencyStage, Millis>> for LatencyBreakdown {
    fn from(stages: BTreeMap<LatencyStage, Millis>) -> LatencyBreakdown {
        let mut breakdown = LatencyBreakdown::default();
        for (stage, spent_ms) in stages {
            breakdown.add(stage, spent_ms);
        }
        breakdown
    }
}

impl From<LatencyBreakdown> for BTreeMap<LatencyStage, Millis> {
    fn from(breakdown: LatencyBreakdown) -> BTreeMap<LatencyStage, Millis> {
        breakdown.stages().collect()
    }
}

/// Duration of a run, derived from the reports of its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimings {
    /// Time from the first report that showed the run to its end, in milliseconds.
    pub ran_ms: Millis,
    /// Ratio of the run time to that at a worker of usual speed near the run's data; 1 if it is not known.
    pub slowness: f64,
}

impl RunTimings {
    /// Splits the time from the placement decision to the end of a successful run into stages.
    pub(crate) fn add_to(self, breakdown: &mut LatencyBreakdown, elapsed_ms: Millis) {
        let ran_ms = self.ran_ms.min(elapsed_ms);
        let worked_ms = saturating_millis(ran_ms as f64 / self.slowness.max(1.0));
        breakdown.add(LatencyStage::Dispatched, elapsed_ms - ran_ms);
        breakdown.add(LatencyStage::Worked, worked_ms);
        breakdown.add(LatencyStage::RanSlowly, ran_ms - worked_ms);
    }
}
