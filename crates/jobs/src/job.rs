//! One job: the release of its iterations, which units of it are ready, and how it ends.
//!
//! What follows from the runs of its tasks is in the module `run_events`.

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

/// A job that has not ended, or of which runs are left.
#[derive(Debug)]
pub(crate) struct Job {
    /// Its identifier.
    pub(crate) id: JobId,
    /// Policy of its queue.
    pub(crate) policy: QueuePolicy,
    /// Its request.
    pub(crate) plan: JobPlan,
    /// When it was submitted, in milliseconds since 1970.
    pub(crate) submitted_unix_ms: Millis,
    /// Its final state, once it has ended.
    pub(crate) final_state: Option<JobState>,
    /// A run of it has been assigned.
    pub(crate) has_started: bool,
    /// Its iterations.
    pub(crate) iterations: Iterations,
    /// A timer is set for its next iteration.
    pub(crate) release_timer_set: bool,
}

impl Job {
    /// A job that was just submitted.
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

    /// Its state, as shown to clients.
    pub(crate) fn state(&self) -> JobState {
        let open_state = if self.has_started {
            JobState::Running
        } else {
            JobState::Pending
        };
        self.final_state.unwrap_or(open_state)
    }

    /// Whether it has ended, perhaps with runs left.
    pub(crate) fn has_ended(&self) -> bool {
        self.final_state.is_some()
    }

    /// When an iteration was due or, if that was later, submitted; since 1970.
    pub(crate) fn due_unix_ms(&self, iteration: u32) -> Millis {
        self.plan.due_unix_ms(iteration).max(self.submitted_unix_ms)
    }

    /// When a step's units may be started again.
    pub(crate) fn restart_policy(&self, step: u32) -> RestartPolicy {
        self.policy.restart_policy(self.plan.is_long_running(step))
    }

    /// The identifier of a unit.
    pub(crate) fn unit_id(&self, position: UnitPosition) -> UnitId {
        let is_gang = self.plan.step(position.step).is_some_and(|s| s.gang);
        position.id(&self.id, is_gang)
    }

    /// Releases all iterations that are due, as far as the limit of open tasks allows.
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

    /// Sets a timer for the next iteration, unless it waits for something else than its time.
    pub(crate) fn set_release_timer(&mut self, effects: &mut Effects) {
        let may_release = !self.has_ended() && self.iterations.may_release(&self.plan);
        if self.release_timer_set || !may_release {
            return;
        }
        self.release_timer_set = true;
        let due_unix_ms = self.plan.due_unix_ms(self.iterations.next);
        effects.timers.set_release(due_unix_ms, &self.id);
    }

    /// The timer for the next iteration has elapsed.
    pub(crate) fn on_release_timer(&mut self, now: Now, effects: &mut Effects) {
        self.release_timer_set = false;
        self.release_due_iterations(now, effects);
    }

    /// Makes all units of a step ready whose dependencies are done.
    pub(crate) fn make_step_ready(
        &mut self,
        now: Now,
        iteration: u32,
        step: u32,
        effects: &mut Effects,
    ) {
        let Some(content) = self.iterations.step(iteration, step) else {
            return;
        };
        for unit in content.unit_indexes() {
            let position = UnitPosition {
                iteration,
                step,
                unit,
            };
            self.make_unit_ready(now, position, effects);
        }
    }

    /// Lets a unit wait for placement, now or after a backoff; the job fails if the unit has no attempt left.
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
        let chain = iteration.latest_breakdown.clone();
        let Some(unit) = self.iterations.unit_mut(position) else {
            return;
        };
        match unit.make_ready(now.steady_ms, restart, &chain) {
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

    /// Makes a unit ready whose backoff has elapsed, if it is still in the backoff that was set until this time.
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

    /// Ends the job as one of its units has no attempt left.
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

    /// The completion of an iteration that ends now.
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

    /// Ends the job: nothing of it starts any more, and its runs are to be stopped.
    pub(crate) fn finish(&mut self, state: JobState, effects: &mut Effects) {
        if self.has_ended() {
            return;
        }
        self.final_state = Some(state);
        effects.changed_jobs.insert(self.id.clone());
        for (&iteration, content) in &mut self.iterations.open {
            for (step, content) in (0..).zip(&mut content.steps) {
                for unit in content.unit_indexes() {
                    let position = UnitPosition {
                        iteration,
                        step,
                        unit,
                    };
                    let abandoned = content.abandon_unit(unit);
                    if abandoned.was_waiting {
                        effects.revoke_unit(position.id(&self.id, content.is_gang));
                    }
                    let runs = abandoned.runs.into_iter();
                    effects
                        .runs_to_stop
                        .extend(runs.map(|run| run.id(&self.id, position)));
                }
            }
        }
    }

    /// Applies a changed policy. Units that wait for placement are reissued; the job fails if one of them has no attempt
    /// left by the new policy.
    pub(crate) fn apply_policy(&mut self, policy: QueuePolicy, effects: &mut Effects) {
        self.policy = policy;
        effects.changed_jobs.insert(self.id.clone());
        let mut is_exhausted = false;
        for (&iteration, content) in &self.iterations.open {
            for (step, content) in (0..).zip(&content.steps) {
                let restart = self.restart_policy(step);
                for (unit, state) in (0..).zip(&content.units) {
                    if state.phase != UnitPhase::Waiting {
                        continue;
                    }
                    is_exhausted |= restart.is_exhausted(state.failed_attempts);
                    let position = UnitPosition {
                        iteration,
                        step,
                        unit,
                    };
                    effects.reissue_unit(position.id(&self.id, content.is_gang));
                }
            }
        }
        if is_exhausted {
            self.finish(JobState::Failed, effects);
        }
    }

    /// Names the records of an iteration's tasks as changed, so that they are removed with it.
    pub(crate) fn forget_tasks(&self, iteration: u32, effects: &mut Effects) {
        let Some(content) = self.iterations.open.get(&iteration) else {
            return;
        };
        for (step, content) in (0..).zip(&content.steps) {
            for task in content.task_indexes() {
                let position = UnitPosition {
                    iteration,
                    step,
                    unit: content.unit_of(task),
                };
                if content.unit(position.unit).is_some_and(|unit| unit.run > 0) {
                    effects
                        .changed_tasks
                        .insert(position.task_id(&self.id, task));
                }
            }
        }
    }
}
