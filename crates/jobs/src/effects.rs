//! Effects of job changes on the replicated state and on the scheduler, collected until they are taken.

use crate::completion::Completion;
use crate::timers::Timers;
use std::collections::BTreeSet;
use streamusher_protocol::task::{JobId, RunId, TaskId};
use streamusher_protocol::unit::UnitId;

/// Effects since the last call of [`JobTable::take_changes`](crate::JobTable::take_changes), and the timers
/// that are set. Only the identifiers of changed records are kept; a record is encoded when the effects are
/// taken, so that several changes to it cost one write.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// Jobs whose record changed.
    pub(crate) changed_jobs: BTreeSet<JobId>,
    /// Tasks whose record changed.
    pub(crate) changed_tasks: BTreeSet<TaskId>,
    /// Units that became ready for placement.
    pub(crate) ready_units: BTreeSet<UnitId>,
    /// Units that an earlier call returned as ready and that must not start any more.
    pub(crate) revoked_units: BTreeSet<UnitId>,
    /// Assigned runs that their workers should stop.
    pub(crate) runs_to_stop: BTreeSet<RunId>,
    /// Iterations that ended.
    pub(crate) completions: Vec<Completion>,
    /// Timers that are set. They are not taken with the other effects.
    pub(crate) timers: Timers,
}

impl Effects {
    /// Revokes a ready unit. A unit that has not been taken as ready yet is only removed from the ready
    /// units.
    pub(crate) fn revoke_unit(&mut self, unit: UnitId) {
        if !self.ready_units.remove(&unit) {
            self.revoked_units.insert(unit);
        }
    }

    /// Revokes a ready unit and makes it ready again, so that placement receives its changed properties.
    pub(crate) fn reissue_unit(&mut self, unit: UnitId) {
        if self.ready_units.insert(unit.clone()) {
            self.revoked_units.insert(unit);
        }
    }
}
