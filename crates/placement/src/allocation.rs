//! Allocation of a run: the capacity that it holds on its worker, and how it is released.

use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

/// Capacity that a run holds on its worker, with the properties of the run that placement needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Allocation {
    /// Unit that the run belongs to.
    pub unit: UnitId,
    /// Resources that the run holds.
    pub resources: Resources,
    /// Service that the run belongs to.
    pub service: Arc<str>,
    /// Queue that the run's job was submitted to.
    pub queue: Arc<str>,
    /// Slack of the unit when it was enqueued, in milliseconds.
    pub slack_ms: Millis,
    /// Priority of the run; 0 is the most urgent.
    pub priority: u32,
    /// Whether the run writes checkpoints.
    pub checkpoints: bool,
    /// Whether the run continues until its job is cancelled.
    pub long_running: bool,
    /// Whether the run is a member of a gang.
    pub gang_member: bool,
    /// Estimated run time in milliseconds; 0 if there is no estimate.
    pub estimated_ms: Millis,
}

impl Allocation {
    /// Whether the allocation counts as fluctuating demand. Gangs and long-running tasks do not: they hold
    /// their capacity for long, so keeping as much again free for the next of them would be useless.
    pub(crate) fn counts_as_demand(&self) -> bool {
        !self.gang_member && !self.long_running
    }
}

impl From<&Unit> for Allocation {
    /// Creates the allocation of one task of a unit.
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
        /// Outcome of the run.
        outcome: RunEnd,
        /// Run time in milliseconds.
        ran_ms: Millis,
    },
    /// The worker was lost, and the run with it.
    Lost,
    /// The run was withdrawn before it began.
    Withdrawn,
}
