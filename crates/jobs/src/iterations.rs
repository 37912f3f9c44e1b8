//! All iterations of a job: which were released, which are finished, and where its runs are.

use crate::finished_iterations::FinishedIterations;
use crate::iteration::Iteration;
use crate::plan::JobPlan;
use crate::position::{RunPosition, TaskPosition, UnitPosition};
use crate::step::StepState;
use crate::unit::UnitState;
use crate::validation::MAX_TASKS;
use std::collections::BTreeMap;
use streamusher_protocol::task::{RunId, TaskId};
use streamusher_protocol::unit::WorkerId;

/// The iterations of a job.
#[derive(Debug, Default)]
pub(crate) struct Iterations {
    /// Iterations that were released and are not finished.
    pub(crate) open: BTreeMap<u32, Iteration>,
    /// The next iteration to release.
    pub(crate) next: u32,
    /// Iterations that are done and of which no run is left.
    pub(crate) finished: FinishedIterations,
    /// Number of iterations of which every task is done, also those with runs left.
    pub(crate) completed: u32,
    /// Runs that are assigned to workers.
    pub(crate) assigned_runs: u32,
}

impl Iterations {
    /// Whether the job has another iteration and its open tasks leave room for it.
    pub(crate) fn may_release(&self, plan: &JobPlan) -> bool {
        let open = self.open.len() as u64;
        let has_room =
            open == 0 || (open + 1).saturating_mul(plan.tasks_per_iteration) <= MAX_TASKS;
        self.next < plan.iteration_count() && has_room
    }

    /// Releases the next iteration, and returns it unless it is finished already.
    pub(crate) fn release_next(&mut self, plan: &JobPlan) -> Option<u32> {
        let iteration = self.next;
        self.next += 1;
        if self.finished.contains(iteration) {
            return None;
        }
        self.open.insert(iteration, Iteration::new(plan));
        Some(iteration)
    }

    /// Whether an open iteration is done and no run of it is left.
    pub(crate) fn is_over(&self, iteration: u32) -> bool {
        self.open.get(&iteration).is_some_and(Iteration::is_over)
    }

    /// Forgets an iteration that is over, except that it is finished.
    pub(crate) fn finish(&mut self, iteration: u32) {
        self.open.remove(&iteration);
        self.finished.insert(iteration);
    }

    /// A step of an open iteration.
    pub(crate) fn step(&self, iteration: u32, step: u32) -> Option<&StepState> {
        self.open.get(&iteration)?.step(step)
    }

    /// A step of an open iteration, to change it.
    pub(crate) fn step_mut(&mut self, iteration: u32, step: u32) -> Option<&mut StepState> {
        self.open.get_mut(&iteration)?.step_mut(step)
    }

    /// A unit of an open iteration.
    pub(crate) fn unit(&self, position: UnitPosition) -> Option<&UnitState> {
        self.step(position.iteration, position.step)?
            .unit(position.unit)
    }

    /// A unit of an open iteration, to change it.
    pub(crate) fn unit_mut(&mut self, position: UnitPosition) -> Option<&mut UnitState> {
        self.step_mut(position.iteration, position.step)?
            .unit_mut(position.unit)
    }

    /// The step of a unit.
    pub(crate) fn step_of(&self, position: UnitPosition) -> Option<&StepState> {
        self.step(position.iteration, position.step)
    }

    /// The step of a unit, to change it.
    pub(crate) fn step_of_mut(&mut self, position: UnitPosition) -> Option<&mut StepState> {
        self.step_mut(position.iteration, position.step)
    }

    /// The position of a task of an open iteration.
    pub(crate) fn task_position(&self, task: &TaskId) -> Option<TaskPosition> {
        let step = self.step(task.iteration, task.step)?;
        step.task(task.index)?;
        let unit = UnitPosition {
            iteration: task.iteration,
            step: task.step,
            unit: step.unit_of(task.index),
        };
        Some(TaskPosition {
            unit,
            task: task.index,
        })
    }

    /// The position of a run that is assigned to a worker.
    pub(crate) fn run_position(&self, run: &RunId) -> Option<RunPosition> {
        let task = self.task_position(&run.task)?;
        let slot = self.step_of(task.unit)?.run_slot(task.task, run.run)?;
        Some(RunPosition { task, slot })
    }

    /// Counts runs as assigned.
    pub(crate) fn count_assigned(&mut self, iteration: u32, added: u32) {
        self.assigned_runs += added;
        if let Some(iteration) = self.open.get_mut(&iteration) {
            iteration.assigned_runs += added;
        }
    }

    /// Frees the worker of a run that is over.
    pub(crate) fn release_worker(&mut self, run: RunPosition) -> Option<WorkerId> {
        let iteration = self.open.get_mut(&run.unit().iteration)?;
        let worker = iteration
            .step_mut(run.unit().step)?
            .release_worker(run.task.task, run.slot);
        iteration.assigned_runs -= 1;
        self.assigned_runs -= 1;
        worker
    }
}
