//! Where the time of an iteration went: along the chain of units that its end waited for, each millisecond in one stage.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// What a unit spends its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LatencyStage {
    /// Waited while no worker took its work, or none that it may run at.
    WaitedForWorker,
    /// Waited while no worker that could run it had the room free.
    #[serde(rename = "waited_for_room")]
    WaitedForCapacity,
    /// Waited while room was being gathered for it.
    WaitedForReservation,
    /// Waited with room free, which was kept for others or at workers that are avoided.
    #[serde(rename = "waited_with_room_free")]
    WaitedWithCapacityFree,
    /// Waited after a failure before it was restarted.
    #[serde(rename = "paused")]
    BackedOff,
    /// From the decision to the first report of the run, and from the run's end to its report.
    #[serde(rename = "ordered")]
    Dispatched,
    /// Ran, up to what the run would have taken at a usual worker near its data.
    Worked,
    /// Ran for longer than that: at a slow or sick worker, or away from its data.
    RanSlowly,
    /// Ran in vain: the run failed.
    Failed,
    /// Ran in vain: the run was stopped, for a more urgent one or to be moved.
    Stopped,
    /// Ran in vain: the run was lost with its worker, or its lease ended.
    Lost,
    /// Not told: before the present primary took over, or before the unit was put back into the queue with other terms.
    Unknown,
}

impl LatencyStage {
    /// All of them.
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

/// Milliseconds in each stage; stored as a map of the stages with any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "BTreeMap<LatencyStage, Millis>",
    into = "BTreeMap<LatencyStage, Millis>"
)]
pub struct LatencyBreakdown([u32; LatencyStage::ALL.len()]);

impl LatencyBreakdown {
    /// Adds to a stage.
    pub fn add(&mut self, stage: LatencyStage, spent_ms: Millis) {
        let spent_ms = u32::try_from(spent_ms).unwrap_or(u32::MAX);
        let total = &mut self.0[stage as usize];
        *total = total.saturating_add(spent_ms);
    }

    /// Time in a stage, in milliseconds.
    pub fn in_stage(&self, stage: LatencyStage) -> Millis {
        self.0[stage as usize].into()
    }

    /// Time in all stages.
    pub fn total_ms(&self) -> Millis {
        self.0.iter().map(|spent_ms| Millis::from(*spent_ms)).sum()
    }

    /// The stages with any time.
    pub fn stages(&self) -> impl Iterator<Item = (LatencyStage, Millis)> + '_ {
        LatencyStage::ALL
            .into_iter()
            .map(|stage| (stage, self.in_stage(stage)))
            .filter(|(_, spent_ms)| *spent_ms > 0)
    }
}

impl From<BTreeMap<LatencyStage, Millis>> for LatencyBreakdown {
    fn from(stages: BTreeMap<LatencyStage, Millis>) -> LatencyBreakdown {
        let mut spent = LatencyBreakdown::default();
        stages
            .into_iter()
            .for_each(|(stage, spent_ms)| spent.add(stage, spent_ms));
        spent
    }
}

impl From<LatencyBreakdown> for BTreeMap<LatencyStage, Millis> {
    fn from(spent: LatencyBreakdown) -> BTreeMap<LatencyStage, Millis> {
        spent.stages().collect()
    }
}

/// How a run went, as far as its worker's reports tell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimings {
    /// From the first report that showed it to its end.
    pub ran_ms: Millis,
    /// How much longer than at a usual worker near its data it took; 1 where nothing tells.
    pub slowness: f64,
}

impl RunTimings {
    /// Splits the time from a run's order to its end.
    pub(crate) fn add_done(self, held_ms: Millis, spent: &mut LatencyBreakdown) {
        let ran_ms = self.ran_ms.min(held_ms);
        let worked_ms = (ran_ms as f64 / self.slowness.max(1.0)) as Millis;
        spent.add(LatencyStage::Dispatched, held_ms - ran_ms);
        spent.add(LatencyStage::Worked, worked_ms);
        spent.add(LatencyStage::RanSlowly, ran_ms - worked_ms);
    }
}
