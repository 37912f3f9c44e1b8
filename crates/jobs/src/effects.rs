//! What changes to jobs bring about outside of them, collected until it is taken.

use crate::completion::Completion;
use crate::timers::Timers;
use std::collections::BTreeSet;
use streamusher_protocol::task::{JobId, RunId, TaskId};
use streamusher_protocol::unit::UnitId;

/// Effects since the last call of [`JobTable::take_changes`](crate::JobTable::take_changes), and the timers that are
/// set. Records are only named here and encoded when taken, so that several changes to one of them cost one write.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// Jobs whose record changed.
    pub(crate) changed_jobs: BTreeSet<JobId>,
    /// Tasks whose record changed.
    pub(crate) changed_tasks: BTreeSet<TaskId>,
    /// Units that became ready for placement.
    pub(crate) ready_units: BTreeSet<UnitId>,
    /// Units that were taken as ready before and must not start any more.
    pub(crate) revoked_units: BTreeSet<UnitId>,
    /// Runs to stop.
    pub(crate) runs_to_stop: BTreeSet<RunId>,
    /// Iterations that ended.
    pub(crate) completions: Vec<Completion>,
    /// What is to be done at a later time.
    pub(crate) timers: Timers,
}

impl Effects {
    /// Revokes a unit that is ready.
    pub(crate) fn revoke_unit(&mut self, unit: UnitId) {
        if !self.ready_units.remove(&unit) {
            self.revoked_units.insert(unit);
        }
    }

    /// Revokes a ready unit and makes it ready again, as placement has to see what changed of it.
    pub(crate) fn reissue_unit(&mut self, unit: UnitId) {
        if self.ready_units.insert(unit.clone()) {
            self.revoked_units.insert(unit);
        }
    }
}
