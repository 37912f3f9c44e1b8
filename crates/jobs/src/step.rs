//! One step of one iteration: its units, and which of its tasks are assigned to which workers.

use crate::position::{RunSlot, UnitPosition};
use crate::run_assignment::RunAssignment;
use crate::unit::{UnitPhase, UnitState};
use std::ops::Range;
use std::sync::Arc;
use streamusher_protocol::job::StepRequest;
use streamusher_protocol::task::{JobId, RunId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Now;

/// A run of a task of the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskRun {
    /// The task within the step.
    pub(crate) task: u32,
    /// Run number.
    pub(crate) run: u32,
}

impl TaskRun {
    /// The run's identifier.
    pub(crate) fn id(self, job: &JobId, unit: UnitPosition) -> RunId {
        RunId {
            task: unit.task_id(job, self.task),
            run: self.run,
        }
    }
}

/// What was left of a unit when its job ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AbandonedUnit {
    /// It waited for placement.
    pub(crate) was_waiting: bool,
    /// Its runs, which are to be stopped.
    pub(crate) runs: Vec<TaskRun>,
}

/// The state of a task, apart from that of its unit.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    /// Worker that the unit's newest run of it is assigned to, until that run is over.
    pub(crate) worker: Option<WorkerId>,
    /// That run's result is not wanted any more.
    pub(crate) stopping: bool,
    /// Checkpoint that this run reported last.
    pub(crate) reported_checkpoint: Option<Arc<str>>,
    /// Of a hedged task: a run that goes on beside the newest.
    pub(crate) earlier: Option<RunAssignment>,
}

/// One step of one iteration.
#[derive(Clone, Debug)]
pub(crate) struct StepState {
    /// All its tasks are one unit.
    pub(crate) is_gang: bool,
    /// Steps that must be done first.
    pub(crate) open_dependencies: u32,
    /// Units that are not done.
    pub(crate) open_units: usize,
    /// Its units: one for each task, or a single one for a gang.
    pub(crate) units: Vec<UnitState>,
    /// Its tasks.
    pub(crate) tasks: Vec<TaskState>,
}

impl StepState {
    /// A step of which nothing has started.
    pub(crate) fn new(request: &StepRequest, dependency_count: u32) -> StepState {
        let task_count = request.count as usize;
        let unit_count = if request.gang { 1 } else { task_count };
        StepState {
            is_gang: request.gang,
            open_dependencies: dependency_count,
            open_units: unit_count,
            units: vec![UnitState::default(); unit_count],
            tasks: vec![TaskState::default(); task_count],
        }
    }

    /// The positions of its units.
    pub(crate) fn unit_indexes(&self) -> Range<u32> {
        index_range(self.units.len())
    }

    /// The positions of its tasks.
    pub(crate) fn task_indexes(&self) -> Range<u32> {
        index_range(self.tasks.len())
    }

    /// The unit that a task is part of.
    pub(crate) fn unit_of(&self, task: u32) -> u32 {
        if self.is_gang {
            0
        } else {
            task
        }
    }

    /// The tasks of a unit.
    pub(crate) fn tasks_of(&self, unit: u32) -> Range<u32> {
        if self.is_gang {
            self.task_indexes()
        } else {
            unit..unit.saturating_add(1)
        }
    }

    /// The task whose record holds the unit's state: its first.
    pub(crate) fn record_task(&self, unit: u32) -> u32 {
        if self.is_gang {
            0
        } else {
            unit
        }
    }

    /// A unit.
    pub(crate) fn unit(&self, unit: u32) -> Option<&UnitState> {
        self.units.get(unit as usize)
    }

    /// A unit, to change it.
    pub(crate) fn unit_mut(&mut self, unit: u32) -> Option<&mut UnitState> {
        self.units.get_mut(unit as usize)
    }

    /// A task.
    pub(crate) fn task(&self, task: u32) -> Option<&TaskState> {
        self.tasks.get(task as usize)
    }

    /// A task together with its unit, to change both.
    pub(crate) fn task_and_unit_mut(
        &mut self,
        task: u32,
    ) -> Option<(&mut TaskState, &mut UnitState)> {
        let unit = self.unit_of(task);
        let task = self.tasks.get_mut(task as usize)?;
        Some((task, self.units.get_mut(unit as usize)?))
    }

    /// Whether a task of the unit has an earlier run, so that another one is speculative.
    pub(crate) fn has_earlier_run(&self, unit: u32) -> bool {
        self.tasks_of(unit)
            .filter_map(|task| self.task(task))
            .any(|task| task.earlier.is_some())
    }

    /// The runs of a task that occupy a worker, the newest first.
    pub(crate) fn assigned_runs(&self, task: u32) -> impl Iterator<Item = RunAssignment> {
        let unit = self.unit(self.unit_of(task));
        let task = self.task(task);
        let newest = task.zip(unit).and_then(|(task, unit)| {
            Some(RunAssignment {
                run: unit.run,
                worker: task.worker.clone()?,
                stopping: task.stopping,
                started_from: unit.started_from.clone(),
                assigned_unix_ms: unit.assigned_unix_ms,
            })
        });
        let earlier = task.and_then(|task| task.earlier.clone());
        newest.into_iter().chain(earlier)
    }

    /// Which of a task's assigned runs has this number.
    pub(crate) fn run_slot(&self, task: u32, run: u32) -> Option<RunSlot> {
        let unit = self.unit(self.unit_of(task))?;
        let task = self.task(task)?;
        if task.worker.is_some() && unit.run == run {
            return Some(RunSlot::Newest);
        }
        let is_earlier = task
            .earlier
            .as_ref()
            .is_some_and(|earlier| earlier.run == run);
        is_earlier.then_some(RunSlot::Earlier)
    }

    /// Whether the result of a task's run is still wanted.
    pub(crate) fn is_wanted(&self, task: u32, slot: RunSlot) -> bool {
        let Some(task) = self.task(task) else {
            return false;
        };
        match (&task.earlier, slot) {
            (Some(earlier), RunSlot::Earlier) => !earlier.stopping,
            _ => !task.stopping,
        }
    }

    /// The number of the next run of a unit that waits for placement; none if it does not wait.
    pub(crate) fn next_run(&self, unit: u32) -> Option<u32> {
        let unit = self.unit(unit)?;
        if unit.phase != UnitPhase::Waiting {
            return None;
        }
        unit.run.checked_add(1)
    }

    /// Assigns a unit's tasks to workers, in the order of its tasks.
    pub(crate) fn start_unit(&mut self, now: Now, unit: u32, run: u32, workers: &[WorkerId]) {
        let tasks = self.tasks_of(unit);
        for (task, worker) in self.tasks[as_indexes(&tasks)].iter_mut().zip(workers) {
            task.worker = Some(worker.clone());
            task.stopping = false;
            task.reported_checkpoint = None;
        }
        if let Some(unit) = self.unit_mut(unit) {
            unit.assign(now, run, tasks.end - tasks.start);
        }
    }

    /// Frees the worker of a run that is over.
    pub(crate) fn release_worker(&mut self, task: u32, slot: RunSlot) -> Option<WorkerId> {
        let (task, unit) = self.task_and_unit_mut(task)?;
        match slot {
            RunSlot::Earlier => task.earlier.take().map(|earlier| earlier.worker),
            RunSlot::Newest => {
                task.stopping = false;
                task.reported_checkpoint = None;
                unit.assigned_tasks -= 1;
                task.worker.take()
            }
        }
    }

    /// Marks all runs of a unit as not wanted any more, and returns those that were wanted before.
    pub(crate) fn mark_stopping(&mut self, unit: u32) -> Vec<TaskRun> {
        let Some(run) = self.unit(unit).map(|unit| unit.run) else {
            return Vec::new();
        };
        let mut marked = Vec::new();
        let tasks = self.tasks_of(unit);
        for (index, task) in tasks.clone().zip(&mut self.tasks[as_indexes(&tasks)]) {
            if task.worker.is_some() && !task.stopping {
                task.stopping = true;
                marked.push(TaskRun { task: index, run });
            }
            if let Some(earlier) = task.earlier.as_mut().filter(|earlier| !earlier.stopping) {
                earlier.stopping = true;
                let run = earlier.run;
                marked.push(TaskRun { task: index, run });
            }
        }
        marked
    }

    /// Takes a checkpoint that a run reported. It counts for the whole unit, and only from the newest run: two runs
    /// that report in turn would write the record each time.
    pub(crate) fn note_checkpoint(&mut self, task: u32, slot: RunSlot, checkpoint: &str) {
        if checkpoint.is_empty() || slot == RunSlot::Earlier {
            return;
        }
        let Some((task, unit)) = self.task_and_unit_mut(task) else {
            return;
        };
        let known = task
            .reported_checkpoint
            .as_deref()
            .unwrap_or(&unit.started_from);
        if known != checkpoint {
            let checkpoint: Arc<str> = checkpoint.into();
            task.reported_checkpoint = Some(checkpoint.clone());
            unit.checkpoint = checkpoint;
        }
    }

    /// Lets the unit avoid the worker of a run. False if it avoids that worker already.
    pub(crate) fn avoid_worker_of(&mut self, task: u32, slot: RunSlot) -> bool {
        let Some((task, unit)) = self.task_and_unit_mut(task) else {
            return false;
        };
        let worker = match (&task.earlier, slot) {
            (Some(earlier), RunSlot::Earlier) => Some(&earlier.worker),
            _ => task.worker.as_ref(),
        };
        worker.is_some_and(|worker| unit.avoid(worker))
    }

    /// Lets a task wait for a speculative run at another worker while its only run goes on. False if it has another
    /// one, or if the run's result is not wanted.
    pub(crate) fn hedge(&mut self, task: u32) -> bool {
        let Some((task, unit)) = self.task_and_unit_mut(task) else {
            return false;
        };
        if unit.phase != UnitPhase::Assigned || task.stopping || task.earlier.is_some() {
            return false;
        }
        let Some(worker) = task.worker.take() else {
            return false;
        };
        unit.avoid(&worker);
        unit.assigned_tasks -= 1;
        unit.phase = UnitPhase::Waiting;
        task.reported_checkpoint = None;
        task.earlier = Some(RunAssignment {
            run: unit.run,
            worker,
            stopping: false,
            started_from: unit.started_from.clone(),
            assigned_unix_ms: unit.assigned_unix_ms,
        });
        true
    }

    /// Closes a unit as its job ended.
    pub(crate) fn abandon_unit(&mut self, unit: u32) -> AbandonedUnit {
        let runs = self.runs_to_abandon(unit);
        let Some(unit) = self.unit_mut(unit) else {
            return AbandonedUnit {
                was_waiting: false,
                runs,
            };
        };
        let was_waiting = unit.phase == UnitPhase::Waiting;
        if unit.phase != UnitPhase::Done {
            unit.phase = UnitPhase::Abandoned;
        }
        AbandonedUnit { was_waiting, runs }
    }

    /// The runs of a unit that are to be stopped as its job ends: all of them, except that the newest run of a unit that
    /// is done ends by itself.
    fn runs_to_abandon(&self, unit: u32) -> Vec<TaskRun> {
        let is_assigned = |unit: &&UnitState| unit.phase == UnitPhase::Assigned;
        let newest_run = self.unit(unit).filter(is_assigned).map(|unit| unit.run);
        let mut runs = Vec::new();
        for index in self.tasks_of(unit) {
            let Some(task) = self.task(index) else {
                continue;
            };
            if let Some(earlier) = &task.earlier {
                let run = earlier.run;
                runs.push(TaskRun { task: index, run });
            }
            if let Some(run) = newest_run.filter(|_| task.worker.is_some()) {
                runs.push(TaskRun { task: index, run });
            }
        }
        runs
    }
}

/// All positions of a list. Requests are limited to far fewer entries than `u32` can count.
fn index_range(length: usize) -> Range<u32> {
    0..u32::try_from(length).unwrap_or(u32::MAX)
}

fn as_indexes(range: &Range<u32>) -> Range<usize> {
    range.start as usize..range.end as usize
}
