//! Gangs: groups of runs that make progress only while all members are present.

use super::effect::WorkerIndex;
use std::collections::BTreeMap;
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::unit::StepId;

/// A present member of a gang.
#[derive(Clone, Debug)]
pub(crate) struct GangMember {
    pub(crate) worker: WorkerIndex,
    pub(crate) run: RunId,
}

/// Key of a gang: its members share the step and the run number.
type GangKey = (StepId, u32);

fn key(run: &RunId) -> GangKey {
    (StepId::of_task(&run.task), run.run)
}

#[derive(Clone, Debug, Default)]
struct Gang {
    /// Members by task index.
    members: BTreeMap<u32, GangMember>,
    complete: bool,
}

impl Gang {
    fn members(&self) -> Vec<GangMember> {
        self.members.values().cloned().collect()
    }
}

/// Gangs of all workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gangs {
    gangs: BTreeMap<GangKey, Gang>,
}

impl Gangs {
    /// Adds a member to its gang of `size` members. Returns whether the gang is complete.
    pub(crate) fn join(&mut self, worker: WorkerIndex, run: &RunId, size: usize) -> bool {
        let gang = self.gangs.entry(key(run)).or_default();
        let member = GangMember {
            worker,
            run: run.clone(),
        };
        gang.members.insert(run.task.index, member);
        if gang.members.len() >= size {
            gang.complete = true;
            return true;
        }
        false
    }

    /// Returns the members of a run's gang if the gang is complete.
    pub(crate) fn members_of_complete(&self, run: &RunId) -> Option<Vec<GangMember>> {
        let gang = self.gangs.get(&key(run)).filter(|gang| gang.complete);
        gang.map(Gang::members)
    }

    /// Whether a run still waits for other members of its gang.
    pub(crate) fn is_incomplete(&self, run: &RunId) -> bool {
        let gang = self.gangs.get(&key(run));
        gang.is_some_and(|gang| !gang.complete)
    }

    /// Removes a finished gang and returns its members.
    pub(crate) fn finish(&mut self, run: &RunId) -> Vec<GangMember> {
        let gang = self.gangs.remove(&key(run));
        gang.map_or_else(Vec::new, |gang| gang.members())
    }

    /// Removes a member, which breaks its gang. Returns the other members.
    pub(crate) fn leave(
        &mut self,
        worker: WorkerIndex,
        run: &RunId,
        outcome: RunEnd,
    ) -> Vec<GangMember> {
        let Some(gang) = self.gangs.get_mut(&key(run)) else {
            return Vec::new();
        };
        let member = gang.members.get(&run.task.index);
        let is_member = member.is_some_and(|member| member.worker == worker);
        if outcome == RunEnd::Done || !is_member {
            return Vec::new();
        }
        gang.members.remove(&run.task.index);
        let others = gang.members();
        self.gangs.remove(&key(run));
        others
    }
}
