//! What a change to a job brings about outside of it, collected until it is taken.

use crate::completion::Completion;
use crate::timers::Timers;
use std::collections::BTreeSet;
use streamusher_protocol::task::{JobId, RunId, TaskId};
use streamusher_protocol::unit::UnitId;

/// Effects since the last call of `take_changes`, and what is planned. Records are named here and written out only
/// when taken, so that several changes to one of them cost one write.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// Jobs whose record changed.
    pub jobs: BTreeSet<JobId>,
    /// Tasks whose record changed.
    pub tasks: BTreeSet<TaskId>,
    /// Units to give out.
    pub ready: BTreeSet<UnitId>,
    /// Units given out before, to be taken back.
    pub revoked: BTreeSet<UnitId>,
    /// Runs to stop.
    pub stop: BTreeSet<RunId>,
    /// Iterations that ended.
    pub completions: Vec<Completion>,
    /// What is to be done later.
    pub timers: Timers,
}

impl Effects {
    /// Takes a waiting unit back.
    pub fn revoke(&mut self, unit: UnitId) {
        if !self.ready.remove(&unit) {
            self.revoked.insert(unit);
        }
    }

    /// Gives a waiting unit out anew.
    pub fn renew(&mut self, unit: UnitId) {
        if self.ready.insert(unit.clone()) {
            self.revoked.insert(unit);
        }
    }
}
