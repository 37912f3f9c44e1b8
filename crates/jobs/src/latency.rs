//! Latency breakdown: where the time of an iteration went along the chain of units that its end waited for, each
//! millisecond in one stage.

use crate::millis::saturating_millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// What a unit spends its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LatencyStage {
    /// Waited while no worker accepted work, or none that the unit may run at.
    WaitedForWorker,
    /// Waited while no worker that could run it had the capacity free.
    #[serde(rename = "waited_for_room")]
    WaitedForCapacity,
    /// Waited while capacity was being reserved for it.
    WaitedForReservation,
    /// Waited while capacity was free that was reserved for others, or at workers that the unit avoids.
    #[serde(rename = "waited_with_room_free")]
    WaitedWithCapacityFree,
    /// Waited for the end of the backoff after a failure.
    #[serde(rename = "paused")]
    BackedOff,
    /// From the placement decision to the first report of the run, and from the run's end to its report.
    #[serde(rename = "ordered")]
    Dispatched,
    /// Ran, up to what the run would have taken at a worker of usual speed near its data.
    Worked,
    /// Ran for longer than that: at a slow worker, or away from its data.
    RanSlowly,
    /// Ran in vain: the run failed.
    Failed,
    /// Ran in vain: the run was stopped, for one of higher priority or to be moved.
    Stopped,
    /// Ran in vain: the run was lost with its worker, or its lease expired.
    Lost,
    /// Not observed: before the present primary took over, or before the unit was revoked and made ready again.
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

/// Milliseconds in each stage, at most `u32::MAX` in one; encoded as a map of the stages that have any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "BTreeMap<LatencyStage, Millis>",
    into = "BTreeMap<LatencyStage, Millis>"
)]
pub struct LatencyBreakdown([u32; LatencyStage::ALL.len()]);

impl LatencyBreakdown {
    /// Adds time to a stage.
    pub fn add(&mut self, stage: LatencyStage, spent_ms: Millis) {
        let spent_ms = u32::try_from(spent_ms).unwrap_or(u32::MAX);
        let total = &mut self.0[stage as usize];
        *total = total.saturating_add(spent_ms);
    }

    /// Time in a stage, in milliseconds.
    pub fn in_stage(&self, stage: LatencyStage) -> Millis {
        self.0[stage as usize].into()
    }

    /// Time in all stages, in milliseconds.
    pub fn total_ms(&self) -> Millis {
        self.0.iter().map(|spent_ms| Millis::from(*spent_ms)).sum()
    }

    /// The stages that have any time, with their milliseconds, in the order of [`LatencyStage::ALL`].
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

/// How long a run took, as far as its worker's reports show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimings {
    /// From the first report that showed the run to its end, in milliseconds.
    pub ran_ms: Millis,
    /// Factor by which it took longer than at a worker of usual speed near its data; 1 where that is not known.
    pub slowness: f64,
}

impl RunTimings {
    /// Splits the time of a finished run, from the placement decision to its end, into stages.
    pub(crate) fn add_to(self, breakdown: &mut LatencyBreakdown, elapsed_ms: Millis) {
        let ran_ms = self.ran_ms.min(elapsed_ms);
        let worked_ms = saturating_millis(ran_ms as f64 / self.slowness.max(1.0));
        breakdown.add(LatencyStage::Dispatched, elapsed_ms - ran_ms);
        breakdown.add(LatencyStage::Worked, worked_ms);
        breakdown.add(LatencyStage::RanSlowly, ran_ms - worked_ms);
    }
}
