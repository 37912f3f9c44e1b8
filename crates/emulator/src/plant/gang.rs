//! Runs that work only together.

use super::{Plant, Timer, WorkerIndex};
use crate::catalog::Catalog;
use std::collections::BTreeMap;
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::unit::StepId;
use streamusher_protocol::Millis;

/// The members of one run of a gang that are present.
#[derive(Clone, Debug, Default)]
pub struct Gang {
    members: BTreeMap<u32, (WorkerIndex, RunId)>,
    working: bool,
    breaking: bool,
}

fn key(id: &RunId) -> (StepId, u32) {
    (StepId::of_task(&id.task), id.run)
}

impl Plant {
    pub(super) fn join_gang(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        id: &RunId,
    ) {
        let wanted = catalog.step(&id.task).map_or(1, |step| step.count) as usize;
        let gang = self.gangs.entry(key(id)).or_default();
        gang.members.insert(id.task.index, (index, id.clone()));
        if gang.members.len() >= wanted {
            gang.working = true;
            self.pace_gang(now, catalog, id);
        } else {
            let at = now + self.bounds.gang_ms;
            self.timer(at, index, Timer::Alone(id.clone()));
        }
    }

    /// Sets all members to the speed of the slowest.
    pub(super) fn pace_gang(&mut self, now: Millis, catalog: &Catalog, id: &RunId) {
        let Some(gang) = self.gangs.get(&key(id)).filter(|gang| gang.working) else {
            return;
        };
        let members: Vec<(WorkerIndex, RunId)> = gang.members.values().cloned().collect();
        let same_rack = catalog.step(&id.task).is_some_and(|step| step.same_rack);
        let first_rack = members
            .first()
            .map(|(worker, _)| self.workers[*worker].kind.rack.clone());
        let spread = members
            .iter()
            .any(|(worker, _)| Some(&self.workers[*worker].kind.rack) != first_rack.as_ref());
        let share = if same_rack && spread {
            1.0 / self.bounds.far_x
        } else {
            1.0
        };
        let rates = members
            .iter()
            .map(|(worker, member)| self.own_rate(catalog, *worker, member));
        let slowest = rates.fold(f64::MAX, f64::min);
        for (worker, member) in members {
            self.set_rate(now, worker, &member, slowest * share);
        }
    }

    pub(super) fn alone_due(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        id: &RunId,
    ) {
        let waits = self.gangs.get(&key(id)).is_some_and(|gang| !gang.working);
        let stopping = self.workers[index]
            .running
            .get(id)
            .is_none_or(|run| run.stopping);
        if waits && !stopping {
            self.end(now, catalog, index, id, RunEnd::GangIncomplete);
        }
    }

    /// All members end done together.
    pub(super) fn end_gang_done(&mut self, now: Millis, catalog: &Catalog, id: &RunId) {
        let Some(gang) = self.gangs.remove(&key(id)) else {
            return;
        };
        for (worker, member) in gang.members.into_values() {
            self.end(now, catalog, worker, &member, RunEnd::Done);
        }
    }

    /// A member is no longer there: the others are broken.
    pub(super) fn leave_gang(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        id: &RunId,
        how: RunEnd,
    ) {
        let Some(gang) = self.gangs.get_mut(&key(id)) else {
            return;
        };
        if how == RunEnd::Done
            || gang
                .members
                .get(&id.task.index)
                .is_none_or(|(worker, _)| *worker != index)
        {
            return;
        }
        gang.members.remove(&id.task.index);
        if gang.breaking {
            return;
        }
        gang.breaking = true;
        let others: Vec<(WorkerIndex, RunId)> = gang.members.values().cloned().collect();
        self.gangs.remove(&key(id));
        for (worker, member) in others {
            let stopping = self.workers[worker]
                .running
                .get(&member)
                .is_some_and(|run| run.stopping);
            if !stopping {
                self.end(now, catalog, worker, &member, RunEnd::GangBroken);
            }
        }
    }
}
