//! All iterations of a job: which are released, which are finished, and where their runs are assigned.

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

/// Iterations of a job.
#[derive(Debug, Default)]
pub(crate) struct Iterations {
    /// Iterations that are released and not finished.
    pub(crate) open: BTreeMap<u32, Iteration>,
    /// Next iteration to release.
    pub(crate) next: u32,
    /// Iterations that are done and have no assigned run.
    pub(crate) finished: FinishedIterations,
    /// Number of iterations in which every task is done, including those with assigned runs.
    pub(crate) completed: u32,
    /// Number of runs that are assigned to workers.
    pub(crate) assigned_runs: u32,
}

impl Iterations {
    /// Whether the job has a further iteration and the limit of open tasks admits it.
    pub(crate) fn may_release(&self, plan: &JobPlan) -> bool {
        let open = self.open.len() as u64;
        let is_within_task_limit =
            open == 0 || (open + 1).saturating_mul(plan.tasks_per_iteration) <= MAX_TASKS;
        self.next < plan.iteration_count() && is_within_task_limit
    }

    /// Releases the next iteration. Returns its number, or `None` if it is finished already.
    pub(crate) fn release_next(&mut self, plan: &JobPlan) -> Option<u32> {
        let iteration = self.next;
        self.next += 1;
        if self.finished.contains(iteration) {
            return None;
        }
        self.open.insert(iteration, Iteration::new(plan));
        Some(iteration)
    }

    /// Whether an open iteration is done and has no assigned run.
    pub(crate) fn is_over(&self, iteration: u32) -> bool {
        self.open.get(&iteration).is_some_and(Iteration::is_over)
    }

    /// Removes an iteration that is over and marks it as finished.
    pub(crate) fn finish(&mut self, iteration: u32) {
        self.open.remove(&iteration);
        self.finished.insert(iteration);
    }

    /// A step of an open iteration.
    pub(crate) fn step(&self, iteration: u32, step: u32) -> Option<&StepState> {
        self.open.get(&iteration)?.step(step)
    }

    pub(crate) fn step_mut(&mut self, iteration: u32, step: u32) -> Option<&mut StepState> {
        self.open.get_mut(&iteration)?.step_mut(step)
    }

    /// A unit of an open iteration.
    pub(crate) fn unit(&self, position: UnitPosition) -> Option<&UnitState> {
        self.step(position.iteration, position.step)?
            .unit(position.unit)
    }

    pub(crate) fn unit_mut(&mut self, position: UnitPosition) -> Option<&mut UnitState> {
        self.step_mut(position.iteration, position.step)?
            .unit_mut(position.unit)
    }

    /// The step to which a unit belongs.
    pub(crate) fn step_of(&self, position: UnitPosition) -> Option<&StepState> {
        self.step(position.iteration, position.step)
    }

    pub(crate) fn step_of_mut(&mut self, position: UnitPosition) -> Option<&mut StepState> {
        self.step_mut(position.iteration, position.step)
    }

    /// Position of a task; `None` unless its iteration is open and the task exists.
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

    /// Position of a run; `None` unless it is assigned to a worker.
    pub(crate) fn run_position(&self, run: &RunId) -> Option<RunPosition> {
        let task = self.task_position(&run.task)?;
        let slot = self.step_of(task.unit)?.run_slot(task.task, run.run)?;
        Some(RunPosition { task, slot })
    }

    /// Adds to the number of assigned runs.
    pub(crate) fn count_assigned(&mut self, iteration: u32, added: u32) {
        self.assigned_runs += added;
        if let Some(iteration) = self.open.get_mut(&iteration) {
            iteration.assigned_runs += added;
        }
    }

    /// Releases the worker of a run that is over, and returns it.
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
