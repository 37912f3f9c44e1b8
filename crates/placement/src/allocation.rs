//! The allocation of a run: what it holds of its worker, and how it is released.

use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

/// What a run holds of its worker, with what placement needs to know of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    /// The unit that the run belongs to.
    pub unit: UnitId,
    /// The resources that the run takes.
    pub resources: Resources,
    /// The service that it runs for.
    pub service: Arc<str>,
    /// The queue that its job was submitted to.
    pub queue: Arc<str>,
    /// The slack of its unit when it was enqueued, in milliseconds.
    pub slack_ms: Millis,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// The run writes checkpoints.
    pub checkpoints: bool,
    /// It runs until its job is cancelled.
    pub long_running: bool,
    /// It is a member of a gang.
    pub gang_member: bool,
    /// Estimated run time in milliseconds; 0 where there is none.
    pub estimated_ms: Millis,
}

impl Allocation {
    /// Whether it counts as demand that comes and goes. Gangs and long-running tasks hold their capacity for long:
    /// reserving as much again for the next of them would be of no use.
    pub(crate) fn counts_as_demand(&self) -> bool {
        !self.gang_member && !self.long_running
    }
}

impl From<&Unit> for Allocation {
    /// The allocation of one task of a unit.
    fn from(unit: &Unit) -> Allocation {
        Allocation {
            unit: unit.id.clone(),
            resources: unit.resources,
            service: unit.service.clone(),
            queue: unit.queue.clone(),
            slack_ms: unit.slack_ms,
            priority: unit.priority,
            checkpoints: unit.checkpoints,
            long_running: unit.long_running,
            gang_member: unit.id.index.is_none(),
            estimated_ms: unit.estimated_ms,
        }
    }
}

/// Why an allocation is released.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReleaseReason {
    /// The worker reported the end of the run.
    Finished {
        /// The outcome of the run.
        outcome: RunEnd,
        /// How long it ran, in milliseconds.
        ran_ms: Millis,
    },
    /// The worker is lost, and the run with it.
    Lost,
    /// The run was withdrawn before it began.
    Withdrawn,
}
