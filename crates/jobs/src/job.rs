//! State of one job: releases its iterations, makes units ready and ends the job.
//!
//! The module `run_events` handles the events of the job's runs.

use crate::backoff::RestartPolicy;
use crate::completion::{Completion, IterationEnd};
use crate::effects::Effects;
use crate::iterations::Iterations;
use crate::latency::LatencyBreakdown;
use crate::plan::JobPlan;
use crate::policy::QueuePolicy;
use crate::position::UnitPosition;
use crate::unit::{Readiness, UnitPhase};
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::JobId;
use streamusher_protocol::unit::UnitId;
use streamusher_protocol::{Millis, Now};

/// A job that has not ended, or that has ended while runs of it are still assigned.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    /// Policy of the job's queue.
    pub(crate) policy: QueuePolicy,
    /// The request, and the step graph derived from it.
    pub(crate) plan: JobPlan,
    /// Time of the submission, in milliseconds since 1970.
    pub(crate) submitted_unix_ms: Millis,
    /// Final state; `None` until the job ends.
    pub(crate) final_state: Option<JobState>,
    /// At least one run of the job has been assigned.
    pub(crate) has_started: bool,
    pub(crate) iterations: Iterations,
    /// A release timer is set for the next iteration.
    pub(crate) release_timer_set: bool,
}

impl Job {
    /// Creates a newly submitted job.
    pub(crate) fn new(
        id: JobId,
        policy: QueuePolicy,
        plan: JobPlan,
        submitted_unix_ms: Millis,
    ) -> Job {
        Job {
            id,
            policy,
            plan,
            submitted_unix_ms,
            final_state: None,
            has_started: false,
            iterations: Iterations::default(),
            release_timer_set: false,
        }
    }

    /// State of the job as it is reported to clients.
    pub(crate) fn state(&self) -> JobState {
        let open_state = if self.has_started {
            JobState::Running
        } else {
            JobState::Pending
        };
        self.final_state.unwrap_or(open_state)
    }

    /// Whether the job has ended. Runs of an ended job may still be assigned.
    pub(crate) fn has_ended(&self) -> bool {
        self.final_state.is_some()
    }

    /// Due time of an iteration, or the time of submission if that is later; in milliseconds since 1970.
    pub(crate) fn due_unix_ms(&self, iteration: u32) -> Millis {
        self.plan.due_unix_ms(iteration).max(self.submitted_unix_ms)
    }

    /// Restart policy of a step's units.
    pub(crate) fn restart_policy(&self, step: u32) -> RestartPolicy {
        self.policy.restart_policy(self.plan.is_long_running(step))
    }

    pub(crate) fn unit_id(&self, position: UnitPosition) -> UnitId {
        let is_gang = self.plan.step(position.step).is_some_and(|s| s.gang);
        position.id(&self.id, is_gang)
    }

    /// Releases all iterations that are due, within the limit of open tasks.
    pub(crate) fn release_due_iterations(&mut self, now: Now, effects: &mut Effects) {
        while !self.has_ended() && self.iterations.may_release(&self.plan) {
            if self.plan.due_unix_ms(self.iterations.next) > now.unix_ms {
                return;
            }
            let Some(iteration) = self.iterations.release_next(&self.plan) else {
                continue;
            };
            self.start_iteration(now, iteration, effects);
        }
    }

    fn start_iteration(&mut self, now: Now, iteration: u32, effects: &mut Effects) {
        for step in 0..self.plan.step_count() {
            if self.plan.dependency_counts[step as usize] == 0 {
                self.make_step_ready(now, iteration, step, effects);
            }
        }
    }

    /// Sets a timer for the due time of the next iteration, unless one is set already or no further iteration
    /// may be released yet.
    pub(crate) fn set_release_timer(&mut self, effects: &mut Effects) {
        let may_release = !self.has_ended() && self.iterations.may_release(&self.plan);
        if self.release_timer_set || !may_release {
            return;
        }
        self.release_timer_set = true;
        let due_unix_ms = self.plan.due_unix_ms(self.iterations.next);
        effects.timers.set_release(due_unix_ms, &self.id);
    }

    /// Handles the expiry of the release timer.
    pub(crate) fn on_release_timer(&mut self, now: Now, effects: &mut Effects) {
        self.release_timer_set = false;
        self.release_due_iterations(now, effects);
    }

    /// Makes all units of a step ready. The dependencies of the step must be done.
    pub(crate) fn make_step_ready(
        &mut self,
        now: Now,
        iteration: u32,
        step: u32,
        effects: &mut Effects,
    ) {
        let Some(step_state) = self.iterations.step(iteration, step) else {
            return;
        };
        for unit in step_state.unit_indexes() {
            let position = UnitPosition {
                iteration,
                step,
                unit,
            };
            self.make_unit_ready(now, position, effects);
        }
    }

    /// Makes a unit wait for placement, at once or after a backoff. The job fails if the unit has no attempt
    /// left.
    pub(crate) fn make_unit_ready(
        &mut self,
        now: Now,
        position: UnitPosition,
        effects: &mut Effects,
    ) {
        let restart = self.restart_policy(position.step);
        let Some(iteration) = self.iterations.open.get(&position.iteration) else {
            return;
        };
        let preceding = iteration.latest_breakdown.clone();
        let Some(unit) = self.iterations.unit_mut(position) else {
            return;
        };
        match unit.make_ready(now.steady_ms, restart, &preceding) {
            Readiness::Closed => {}
            Readiness::AttemptsExhausted => {
                let breakdown = unit.latency.breakdown().clone();
                self.fail(now, position.iteration, breakdown, effects);
            }
            Readiness::BackingOff { until_ms } => {
                let id = self.unit_id(position);
                effects.timers.set_backoff_end(until_ms, id);
            }
            Readiness::Waiting => {
                effects.ready_units.insert(self.unit_id(position));
            }
        }
    }

    /// Makes a unit ready after its backoff. Does nothing unless the unit is still in the backoff that ends
    /// at `until_ms`.
    pub(crate) fn on_backoff_elapsed(
        &mut self,
        now: Now,
        until_ms: Millis,
        id: &UnitId,
        effects: &mut Effects,
    ) {
        let Some(unit) = self.iterations.unit_mut(UnitPosition::from_id(id)) else {
            return;
        };
        if unit.end_backoff(now.steady_ms, until_ms) {
            effects.ready_units.insert(id.clone());
        }
    }

    /// Fails the job because one of its units has no attempt left.
    pub(crate) fn fail(
        &mut self,
        now: Now,
        iteration: u32,
        breakdown: LatencyBreakdown,
        effects: &mut Effects,
    ) {
        if !self.has_ended() {
            let completion = self.completion(now, iteration, false, breakdown);
            effects.completions.push(completion);
        }
        self.finish(JobState::Failed, effects);
    }

    /// Builds the completion of an iteration that ends now.
    pub(crate) fn completion(
        &self,
        now: Now,
        iteration: u32,
        succeeded: bool,
        breakdown: LatencyBreakdown,
    ) -> Completion {
        let end = IterationEnd {
            iteration,
            succeeded,
            due_unix_ms: self.due_unix_ms(iteration),
            ended_unix_ms: now.unix_ms,
            estimated_work_ms: self.plan.critical_path_ms,
            breakdown,
        };
        Completion::new(&self.id, &self.policy, end)
    }

    /// Ends the job: no further run starts, and its assigned runs are to be stopped.
    pub(crate) fn finish(&mut self, state: JobState, effects: &mut Effects) {
        if self.has_ended() {
            return;
        }
        self.final_state = Some(state);
        effects.changed_jobs.insert(self.id.clone());
        for (&iteration, iteration_state) in &mut self.iterations.open {
            for (step, step_state) in (0..).zip(&mut iteration_state.steps) {
                for unit in step_state.unit_indexes() {
                    let position = UnitPosition {
                        iteration,
                        step,
                        unit,
                    };
                    let abandoned = step_state.abandon_unit(unit);
                    if abandoned.was_waiting {
                        effects.revoke_unit(position.id(&self.id, step_state.is_gang));
                    }
                    let runs = abandoned.runs.into_iter();
                    effects
                        .runs_to_stop
                        .extend(runs.map(|run| run.id(&self.id, position)));
                }
            }
        }
    }

    /// Applies a changed policy. Units that wait for placement are reissued. The job fails if one of them has
    /// no attempt left under the new policy.
    pub(crate) fn apply_policy(&mut self, policy: QueuePolicy, effects: &mut Effects) {
        self.policy = policy;
        effects.changed_jobs.insert(self.id.clone());
        let mut is_exhausted = false;
        for (&iteration, iteration_state) in &self.iterations.open {
            for (step, step_state) in (0..).zip(&iteration_state.steps) {
                let restart = self.restart_policy(step);
                for (unit, state) in (0..).zip(&step_state.units) {
                    if state.phase != UnitPhase::Waiting {
                        continue;
                    }
                    is_exhausted |= restart.is_exhausted(state.failed_attempts);
                    let position = UnitPosition {
                        iteration,
                        step,
                        unit,
                    };
                    effects.reissue_unit(position.id(&self.id, step_state.is_gang));
                }
            }
        }
        if is_exhausted {
            self.finish(JobState::Failed, effects);
        }
    }

    /// Marks the records of all started tasks of an iteration as changed, so that they are removed together
    /// with it.
    pub(crate) fn mark_task_records_changed(&self, iteration: u32, effects: &mut Effects) {
        let Some(iteration_state) = self.iterations.open.get(&iteration) else {
            return;
        };
        for (step, step_state) in (0..).zip(&iteration_state.steps) {
            for task in step_state.task_indexes() {
                let position = UnitPosition {
                    iteration,
                    step,
                    unit: step_state.unit_of(task),
                };
                if step_state
                    .unit(position.unit)
                    .is_some_and(|unit| unit.run > 0)
                {
                    effects
                        .changed_tasks
                        .insert(position.task_id(&self.id, task));
                }
            }
        }
    }
}
