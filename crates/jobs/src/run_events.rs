//! Events of a job's runs: start, end, checkpoints, stalls and hedging.

use crate::assignment::workers_in_task_order;
use crate::changes::StartedRun;
use crate::effects::Effects;
use crate::job::Job;
use crate::latency::{LatencyBreakdown, RunTimings};
use crate::position::{RunPosition, RunSlot, UnitPosition};
use crate::run_result::RunResult;
use crate::unit::{UnitOutcome, UnitPhase};
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::RunId;
use streamusher_protocol::unit::{TaskAssignment, UnitId, WorkerId};
use streamusher_protocol::Now;

impl Job {
    /// Assigns the tasks of a waiting unit to workers. Starts nothing unless the unit waits for placement and
    /// the assignments name each of its tasks exactly once.
    pub(crate) fn start_unit(
        &mut self,
        now: Now,
        id: &UnitId,
        assignments: &[TaskAssignment],
        effects: &mut Effects,
    ) -> Vec<StartedRun> {
        let position = UnitPosition::from_id(id);
        let Some(step) = self.iterations.step_of_mut(position) else {
            return Vec::new();
        };
        if step.is_gang != id.index.is_none() {
            return Vec::new();
        }
        let Some(run) = step.next_run(position.unit) else {
            return Vec::new();
        };
        let tasks = step.tasks_of(position.unit);
        let Some(workers) = workers_in_task_order(id, tasks.clone(), assignments) else {
            return Vec::new();
        };
        step.start_unit(now, position.unit, run, &workers);
        effects.ready_units.remove(id);
        self.iterations
            .count_assigned(position.iteration, tasks.end - tasks.start);
        self.has_started = true;
        tasks
            .zip(workers)
            .map(|(task, worker)| self.started_run(position, task, run, worker, effects))
            .collect()
    }

    fn started_run(
        &self,
        position: UnitPosition,
        task: u32,
        run: u32,
        worker: WorkerId,
        effects: &mut Effects,
    ) -> StartedRun {
        let task = position.task_id(&self.id, task);
        effects.changed_tasks.insert(task.clone());
        let unit = self.iterations.unit(position);
        StartedRun {
            run: RunId { task, run },
            worker,
            spec: self.plan.request.spec.clone(),
            checkpoint: unit.map_or_else(Default::default, |unit| unit.checkpoint.clone()),
        }
    }

    /// Handles the end of a run. Returns false if the run is not recorded as assigned.
    pub(crate) fn on_run_over(
        &mut self,
        now: Now,
        run: &RunId,
        result: RunResult,
        checkpoint: &str,
        effects: &mut Effects,
    ) -> bool {
        let Some(position) = self.iterations.run_position(run) else {
            return false;
        };
        self.record_checkpoint(position, checkpoint);
        let worker = self.release_worker(position, run, effects);
        if !self.has_ended() {
            self.apply_run_result(now, position, result, worker.as_ref(), effects);
        }
        self.remove_iteration_if_over(position.unit().iteration, effects);
        true
    }

    fn release_worker(
        &mut self,
        position: RunPosition,
        run: &RunId,
        effects: &mut Effects,
    ) -> Option<WorkerId> {
        let worker = self.iterations.release_worker(position);
        effects.runs_to_stop.remove(run);
        effects.changed_tasks.insert(run.task.clone());
        self.mark_unit_record_changed(position.unit(), effects);
        worker
    }

    /// Marks the record that holds the state of a unit as changed.
    fn mark_unit_record_changed(&self, unit: UnitPosition, effects: &mut Effects) {
        if let Some(step) = self.iterations.step_of(unit) {
            let task = step.record_task(unit.unit);
            effects.changed_tasks.insert(unit.task_id(&self.id, task));
        }
    }

    fn apply_run_result(
        &mut self,
        now: Now,
        position: RunPosition,
        result: RunResult,
        worker: Option<&WorkerId>,
        effects: &mut Effects,
    ) {
        let unit_position = position.unit();
        let restart = self.restart_policy(unit_position.step);
        let Some(unit) = self.iterations.unit_mut(unit_position) else {
            return;
        };
        match unit.on_run_over(now, position.slot, result, worker, restart) {
            UnitOutcome::AlreadyDone => {}
            UnitOutcome::Done => self.on_unit_done(now, unit_position, effects),
            UnitOutcome::AttemptsExhausted => {
                let breakdown = unit.latency.breakdown().clone();
                self.fail(now, unit_position.iteration, breakdown, effects);
            }
            UnitOutcome::RunAgain if position.slot == RunSlot::Earlier => {
                self.reissue_if_waiting(unit_position, effects);
            }
            UnitOutcome::RunAgain => self.stop_others_or_restart(now, unit_position, effects),
        }
    }

    /// Called when the earlier run of a hedged task is over. A second run that still waits is then the only
    /// run, no longer a speculative one, and is reissued as such.
    fn reissue_if_waiting(&mut self, position: UnitPosition, effects: &mut Effects) {
        let unit = self.iterations.unit(position);
        if unit.is_some_and(|unit| unit.phase == UnitPhase::Waiting) {
            effects.reissue_unit(self.unit_id(position));
        }
    }

    /// Stops the unit's other runs. If none is assigned, the unit becomes ready again.
    fn stop_others_or_restart(&mut self, now: Now, position: UnitPosition, effects: &mut Effects) {
        let Some(unit) = self.iterations.unit(position) else {
            return;
        };
        if unit.assigned_tasks == 0 {
            self.make_unit_ready(now, position, effects);
            return;
        }
        let others = self.mark_stopping(position, effects);
        effects.runs_to_stop.extend(others);
    }

    /// Marks all assigned runs of the unit as stopping and returns those that were not marked before.
    fn mark_stopping(&mut self, position: UnitPosition, effects: &mut Effects) -> Vec<RunId> {
        let Some(step) = self.iterations.step_of_mut(position) else {
            return Vec::new();
        };
        let marked = step.mark_stopping(position.unit);
        let runs: Vec<RunId> = marked
            .into_iter()
            .map(|run| run.id(&self.id, position))
            .collect();
        let tasks = runs.iter().map(|run| run.task.clone());
        effects.changed_tasks.extend(tasks);
        runs
    }

    /// Handles the completion of a unit. The other tasks of a gang end by themselves at the same time and are
    /// not stopped; the other run of a hedged task is stopped.
    fn on_unit_done(&mut self, now: Now, position: UnitPosition, effects: &mut Effects) {
        let others = self.mark_stopping(position, effects);
        if self.plan.is_hedged(position.step) {
            effects.runs_to_stop.extend(others);
        }
        let unit = self.iterations.unit(position);
        if unit.is_some_and(|unit| unit.phase == UnitPhase::Waiting) {
            effects.revoke_unit(self.unit_id(position));
        }
        let Some(iteration) = self.iterations.open.get_mut(&position.iteration) else {
            return;
        };
        let unblocked = iteration.on_unit_done(&self.plan, position.step, position.unit);
        let is_complete = iteration.is_complete();
        let breakdown = iteration.latest_breakdown.clone();
        for step in unblocked {
            self.make_step_ready(now, position.iteration, step, effects);
        }
        if is_complete {
            self.iterations.completed += 1;
            let completion = self.completion(now, position.iteration, true, breakdown);
            effects.completions.push(completion);
        }
        if self.iterations.completed == self.plan.iteration_count() {
            self.finish(JobState::Succeeded, effects);
        }
    }

    /// Removes an iteration that is done and has no assigned run. The job's record then lists it as finished.
    fn remove_iteration_if_over(&mut self, iteration: u32, effects: &mut Effects) {
        if !self.iterations.is_over(iteration) {
            return;
        }
        self.mark_task_records_changed(iteration, effects);
        self.iterations.finish(iteration);
        effects.changed_jobs.insert(self.id.clone());
    }

    /// Records a checkpoint that a run reported while running.
    pub(crate) fn on_checkpoint(&mut self, run: &RunId, checkpoint: &str) {
        if let Some(position) = self.iterations.run_position(run) {
            self.record_checkpoint(position, checkpoint);
        }
    }

    fn record_checkpoint(&mut self, run: RunPosition, checkpoint: &str) {
        if !self.plan.has_checkpoints(run.unit().step) {
            return;
        }
        if let Some(step) = self.iterations.step_of_mut(run.unit()) {
            step.record_checkpoint(run.task.task, run.slot, checkpoint);
        }
    }

    /// Handles a run that makes no progress: its unit avoids the worker from now on.
    pub(crate) fn on_run_stalled(&mut self, run: &RunId, effects: &mut Effects) {
        let Some(position) = self.iterations.run_position(run) else {
            return;
        };
        let Some(step) = self.iterations.step_of_mut(position.unit()) else {
            return;
        };
        if step.avoid_worker_of(position.task.task, position.slot) {
            self.mark_unit_record_changed(position.unit(), effects);
        }
    }

    /// Makes a hedged task wait for a speculative run while its only run continues. Returns false if the run
    /// is not the task's only one, or if the task is not hedged.
    pub(crate) fn hedge(&mut self, run: &RunId, effects: &mut Effects) -> bool {
        let Some(position) = self.iterations.run_position(run) else {
            return false;
        };
        let unit = position.unit();
        let may_hedge = !self.has_ended() && self.plan.is_hedged(unit.step);
        if position.slot == RunSlot::Earlier || !may_hedge {
            return false;
        }
        let Some(step) = self.iterations.step_of_mut(unit) else {
            return false;
        };
        if !step.hedge(position.task.task) {
            return false;
        }
        effects.changed_tasks.insert(run.task.clone());
        effects.ready_units.insert(self.unit_id(unit));
        true
    }

    /// Accounts for the time that a unit waited for placement, by stage. Does nothing while the earlier run
    /// of a hedged task continues, because the time belongs to that run.
    pub(crate) fn record_wait(&mut self, now: Now, id: &UnitId, waits: &LatencyBreakdown) {
        let position = UnitPosition::from_id(id);
        let Some(step) = self.iterations.step_of_mut(position) else {
            return;
        };
        if step.has_earlier_run(position.unit) {
            return;
        }
        if let Some(unit) = step.unit_mut(position.unit) {
            unit.latency.add_waits(now.steady_ms, waits);
        }
    }

    /// Records the timings of a run that has ended.
    pub(crate) fn record_run_timings(&mut self, run: &RunId, timings: RunTimings) {
        let Some(position) = self.iterations.run_position(run) else {
            return;
        };
        if let Some(unit) = self.iterations.unit_mut(position.unit()) {
            unit.latency.set_run_timings(Some(timings));
        }
    }

    /// Whether a run is assigned and its result is still accepted.
    pub(crate) fn is_current(&self, run: &RunId) -> bool {
        if self.has_ended() {
            return false;
        }
        let Some(position) = self.iterations.run_position(run) else {
            return false;
        };
        self.iterations
            .step_of(position.unit())
            .is_some_and(|step| step.accepts_result(position.task.task, position.slot))
    }
}
