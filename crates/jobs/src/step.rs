//! One step of one iteration: its units, and the assignments of its tasks to workers.

use crate::position::{RunSlot, UnitPosition};
use crate::run_assignment::RunAssignment;
use crate::unit::{UnitPhase, UnitState};
use std::ops::Range;
use std::sync::Arc;
use streamusher_protocol::job::StepRequest;
use streamusher_protocol::task::{JobId, RunId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Now;

/// Run of a task, within its step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskRun {
    /// Task within the step.
    pub(crate) task: u32,
    pub(crate) run: u32,
}

impl TaskRun {
    pub(crate) fn id(self, job: &JobId, unit: UnitPosition) -> RunId {
        RunId {
            task: unit.task_id(job, self.task),
            run: self.run,
        }
    }
}

/// Remainder of a unit whose job has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AbandonedUnit {
    /// The unit was waiting for placement.
    pub(crate) was_waiting: bool,
    /// Assigned runs of the unit that are to be stopped.
    pub(crate) runs: Vec<TaskRun>,
}

/// State of a task that is not shared with the other tasks of its unit.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    /// Worker to which the task's newest run is assigned; `None` once that run is over.
    pub(crate) worker: Option<WorkerId>,
    /// The newest run is being stopped; its result is ignored.
    pub(crate) stopping: bool,
    /// Checkpoint that the newest run reported last.
    pub(crate) reported_checkpoint: Option<Arc<str>>,
    /// Earlier run of a hedged task that continues beside the newest one.
    pub(crate) earlier: Option<RunAssignment>,
}

/// State of one step of one iteration.
#[derive(Clone, Debug)]
pub(crate) struct StepState {
    /// All tasks of the step form one unit.
    pub(crate) is_gang: bool,
    /// Number of distinct steps that must still be done before this one.
    pub(crate) open_dependencies: u32,
    /// Number of units that are not done.
    pub(crate) open_units: usize,
    /// One unit for each task, or a single unit for a gang.
    pub(crate) units: Vec<UnitState>,
    pub(crate) tasks: Vec<TaskState>,
}

impl StepState {
    /// Creates a step in which nothing has started.
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

    /// Indexes of all units.
    pub(crate) fn unit_indexes(&self) -> Range<u32> {
        index_range(self.units.len())
    }

    /// Indexes of all tasks.
    pub(crate) fn task_indexes(&self) -> Range<u32> {
        index_range(self.tasks.len())
    }

    /// Unit to which a task belongs.
    pub(crate) fn unit_of(&self, task: u32) -> u32 {
        if self.is_gang {
            0
        } else {
            task
        }
    }

    /// Tasks that belong to a unit.
    pub(crate) fn tasks_of(&self, unit: u32) -> Range<u32> {
        if self.is_gang {
            self.task_indexes()
        } else {
            unit..unit.saturating_add(1)
        }
    }

    /// First task of the unit, whose record holds the state of the unit.
    pub(crate) fn record_task(&self, unit: u32) -> u32 {
        if self.is_gang {
            0
        } else {
            unit
        }
    }

    pub(crate) fn unit(&self, unit: u32) -> Option<&UnitState> {
        self.units.get(unit as usize)
    }

    pub(crate) fn unit_mut(&mut self, unit: u32) -> Option<&mut UnitState> {
        self.units.get_mut(unit as usize)
    }

    pub(crate) fn task(&self, task: u32) -> Option<&TaskState> {
        self.tasks.get(task as usize)
    }

    /// A task and its unit, both mutable.
    pub(crate) fn task_and_unit_mut(
        &mut self,
        task: u32,
    ) -> Option<(&mut TaskState, &mut UnitState)> {
        let unit = self.unit_of(task);
        let task = self.tasks.get_mut(task as usize)?;
        Some((task, self.units.get_mut(unit as usize)?))
    }

    /// Whether a task of the unit has an earlier run, which makes a further run speculative.
    pub(crate) fn has_earlier_run(&self, unit: u32) -> bool {
        self.tasks_of(unit)
            .filter_map(|task| self.task(task))
            .any(|task| task.earlier.is_some())
    }

    /// Runs of a task that occupy a worker, the newest first.
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

    /// Slot of a task's assigned run with the given number.
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

    /// Whether the result of a task's run is still accepted.
    pub(crate) fn accepts_result(&self, task: u32, slot: RunSlot) -> bool {
        let Some(task) = self.task(task) else {
            return false;
        };
        match (&task.earlier, slot) {
            (Some(earlier), RunSlot::Earlier) => !earlier.stopping,
            _ => !task.stopping,
        }
    }

    /// Number of the next run of a unit. Returns `None` if the unit does not wait for placement.
    pub(crate) fn next_run(&self, unit: u32) -> Option<u32> {
        let unit = self.unit(unit)?;
        if unit.phase != UnitPhase::Waiting {
            return None;
        }
        unit.run.checked_add(1)
    }

    /// Assigns the tasks of a unit to workers. `workers` are in the order of the tasks.
    pub(crate) fn start_unit(&mut self, now: Now, unit: u32, run: u32, workers: &[WorkerId]) {
        let tasks = self.tasks_of(unit);
        for (task, worker) in self.tasks[to_usize_range(&tasks)].iter_mut().zip(workers) {
            task.worker = Some(worker.clone());
            task.stopping = false;
            task.reported_checkpoint = None;
        }
        if let Some(unit) = self.unit_mut(unit) {
            unit.assign(now, run, tasks.end - tasks.start);
        }
    }

    /// Releases the worker of a run that is over, and returns it.
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

    /// Marks all assigned runs of a unit as stopping and returns those that were not marked before.
    pub(crate) fn mark_stopping(&mut self, unit: u32) -> Vec<TaskRun> {
        let Some(run) = self.unit(unit).map(|unit| unit.run) else {
            return Vec::new();
        };
        let mut marked = Vec::new();
        let tasks = self.tasks_of(unit);
        for (index, task) in tasks.clone().zip(&mut self.tasks[to_usize_range(&tasks)]) {
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

    /// Records a checkpoint that a run reported. It applies to the whole unit. Checkpoints of an earlier run
    /// are ignored: two runs that report in turn would write the record each time.
    pub(crate) fn record_checkpoint(&mut self, task: u32, slot: RunSlot, checkpoint: &str) {
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

    /// Makes the unit avoid the worker of a run. Returns false if it avoids that worker already.
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

    /// Makes a task wait for a speculative run on another worker while its only run continues. Returns false
    /// if the task has another run, or if the run is being stopped.
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

    /// Abandons a unit because its job has ended.
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

    /// Runs of a unit that are to be stopped when its job ends: all assigned ones, except the newest run of a
    /// unit that is done, which ends by itself.
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

/// Indexes of a list. Requests are limited to far fewer entries than `u32` can count.
fn index_range(length: usize) -> Range<u32> {
    0..u32::try_from(length).unwrap_or(u32::MAX)
}

fn to_usize_range(range: &Range<u32>) -> Range<usize> {
    range.start as usize..range.end as usize
}
