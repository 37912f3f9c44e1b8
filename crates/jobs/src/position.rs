//! Where tasks, runs and units stand in their job.

use crate::job::Job;
use crate::names::unit_id;
use crate::step::{Member, Step, UnitState};
use streamusher_protocol::task::{RunId, TaskId};
use streamusher_protocol::unit::UnitId;

/// A task's place in its job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// The iteration.
    pub iteration: u32,
    /// The step.
    pub step: usize,
    /// The unit within the step.
    pub unit: usize,
    /// The task within the step.
    pub member: usize,
    /// The run meant is the one beside which a newer one waits or runs.
    pub is_earlier: bool,
}

impl Job {
    /// Where a task stands.
    pub fn place(&self, task: &TaskId) -> Option<Place> {
        let step = self.step_at(task.iteration, task.step as usize)?;
        let member = task.index as usize;
        if member >= step.members.len() {
            return None;
        }
        let unit = step.unit_of(member);
        let (iteration, step) = (task.iteration, task.step as usize);
        Some(Place {
            iteration,
            step,
            unit,
            member,
            is_earlier: false,
        })
    }

    /// Where a run stands that is recorded as assigned.
    pub fn place_of_run(&self, run: &RunId) -> Option<Place> {
        let place = self.place(&run.task)?;
        let (unit, member) = self.state_of(place)?;
        if member.worker.is_some() && unit.run == run.run {
            return Some(place);
        }
        let is_earlier = member
            .earlier
            .as_ref()
            .is_some_and(|earlier| earlier.run == run.run);
        is_earlier.then_some(Place {
            is_earlier,
            ..place
        })
    }

    /// A step of an iteration that is not over.
    pub fn step_at(&self, iteration: u32, step: usize) -> Option<&Step> {
        self.iterations.get(&iteration)?.steps.get(step)
    }

    /// The same, to change it.
    pub fn step_mut(&mut self, iteration: u32, step: usize) -> Option<&mut Step> {
        self.iterations.get_mut(&iteration)?.steps.get_mut(step)
    }

    /// A unit.
    pub fn unit_mut(&mut self, iteration: u32, step: usize, unit: usize) -> Option<&mut UnitState> {
        self.step_mut(iteration, step)?.units.get_mut(unit)
    }

    /// A task's unit and its own state.
    pub fn state_of(&self, place: Place) -> Option<(&UnitState, &Member)> {
        let step = self.step_at(place.iteration, place.step)?;
        Some((step.units.get(place.unit)?, step.members.get(place.member)?))
    }

    /// Whether a step's tasks run until the job is cancelled.
    pub fn lasts(&self, step: usize) -> bool {
        self.plan
            .request
            .steps
            .get(step)
            .is_some_and(|s| s.long_running)
    }

    /// Whether copies of a step's tasks may run at the same time.
    pub fn is_hedged(&self, step: usize) -> bool {
        self.plan
            .request
            .steps
            .get(step)
            .is_some_and(|s| s.hedged && !s.gang && !s.long_running)
    }

    /// A unit's identifier.
    pub fn unit_id(&self, iteration: u32, step: usize, unit: usize) -> UnitId {
        let gang = self.plan.request.steps.get(step).is_some_and(|s| s.gang);
        unit_id(&self.id, iteration, step, unit, gang)
    }

    /// A task's identifier.
    pub fn task_id(&self, iteration: u32, step: usize, member: usize) -> TaskId {
        TaskId {
            job: self.id.clone(),
            iteration,
            step: step as u32,
            index: member as u32,
        }
    }
}
