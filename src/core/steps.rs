//! Route steps: executes the balancer's actions through the drivers and converts step events to balancer
//! events.

use super::{Answer, Core, Input, StepEvent, StepId, StepOutcome, StepState, TimerKind};
use crate::interface::{Action, AttemptEnd, Event, JobId, Micros, WorkerId};

impl Core {
    /// Applies a step event and returns it as a balancer event; `None` if the step had already ended.
    pub(super) fn apply_step_event(
        &mut self,
        now: Micros,
        step: StepId,
        step_event: StepEvent,
    ) -> Option<Event> {
        let StepId { job, attempt } = step;
        let open = self.operations.get_mut(&job)?;
        let state = open
            .steps
            .get_mut(attempt as usize)
            .filter(|state| !state.ended)?;
        Some(match step_event {
            StepEvent::Started => {
                open.started = true;
                state.started_at = state.started_at.or(Some(now));
                open.waiters.iter().for_each(|w| w.front.started(w.ticket));
                Event::Started { job, attempt }
            }
            StepEvent::Progress(done) => Event::Progress { job, attempt, done },
            StepEvent::Ended(outcome, report) => {
                (state.ended, state.may_have_run, state.ended_at) =
                    (true, outcome.may_have_run(), Some(now));
                if matches!(outcome, StepOutcome::Served(_)) {
                    open.winning_step = Some(attempt as usize);
                }
                self.counters.record_step_outcome(&outcome);
                let worker = &self.workers[state.worker.0 as usize].member;
                self.observer
                    .iter()
                    .for_each(|w| w.step_ended(worker, &outcome));
                let attempt_outcome = outcome.attempt_outcome();
                if let StepOutcome::Served(result) = outcome {
                    self.finish(now, job, Answer::Served(result));
                }
                let is_final = self.operations[&job].answered;
                Event::AttemptEnded(AttemptEnd {
                    job,
                    attempt,
                    outcome: attempt_outcome,
                    is_final,
                    report,
                })
            }
        })
    }

    pub(super) fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { job, worker } => self.send(now, job, worker),
            Action::Cancel { job, attempt } => {
                let step = StepId { job, attempt };
                let Some(open) = self.operations.get(&job) else {
                    return;
                };
                if open.steps.get(attempt as usize).is_some_and(|s| !s.ended) {
                    self.cancel_step(step);
                    self.inputs.push(Input::Step(
                        step,
                        StepEvent::Ended(StepOutcome::Cancelled, None),
                    ));
                }
            }
            Action::Reject {
                job,
                retry_after_us,
            } => self.finish(now, job, Answer::Busy { retry_after_us }),
            Action::Fail { job } => {
                let late = self.operations.get(&job).is_some_and(|o| now >= o.deadline);
                self.finish(now, job, Answer::Failed { late });
            }
            Action::Schedule { delay_us, token } => {
                self.schedule(now.saturating_add(delay_us), TimerKind::Balancer(token))
            }
            Action::Probe { worker } => {
                let target = &self.workers[worker.0 as usize];
                self.drivers[target.driver].probe(worker, &target.member);
            }
            Action::Subscribe => self.sources.iter().for_each(|s| s.subscribe()),
        }
    }

    pub(super) fn send(&mut self, now: Micros, job: JobId, worker: WorkerId) {
        let Some(open) = self.operations.get_mut(&job) else {
            return;
        };
        let step = StepId {
            job,
            attempt: open.steps.len() as u32,
        };
        // A worker runs at most one attempt of an operation: an attempt still open there was lost with its
        // earlier process.
        let earlier = open
            .steps
            .iter()
            .position(|s| s.worker == worker && !s.ended);
        let expired = open.answered || now >= open.deadline;
        open.steps.push(StepState {
            worker,
            given_to_driver: !expired,
            begun: false,
            sent_at: now,
            started_at: None,
            ended_at: None,
            ended: false,
            may_have_run: false,
        });
        if let Some(attempt) = earlier.map(|a| a as u32) {
            let step = StepId { job, attempt };
            self.cancel_step(step);
            self.inputs
                .push(Input::Step(step, StepEvent::Ended(StepOutcome::Lost, None)));
        }
        if expired {
            self.inputs.push(Input::Step(
                step,
                StepEvent::Ended(StepOutcome::NotSent, None),
            ));
            return;
        }
        self.counters.steps += 1;
        let (open, target) = (&self.operations[&job], &self.workers[worker.0 as usize]);
        self.drivers[target.driver].send(
            step,
            &open.operation,
            &target.member,
            open.deadline - now,
        );
    }

    /// Whether a step may still begin, and the time left for it. A driver asks this when its connection is
    /// established, before the first byte. The connection may come up late: by then the client may have
    /// disconnected, the operation be answered, the worker leave, or the window of a key be over. Without
    /// permission the step must end as [`StepOutcome::NotSent`].
    pub fn may_begin(&self, now: Micros, step: StepId) -> Option<Micros> {
        let open = self.operations.get(&step.job)?;
        let is_wanted = !open.answered && !open.waiters.is_empty() && now < open.deadline;
        let is_in_flight = open
            .steps
            .get(step.attempt as usize)
            .is_some_and(|s| !s.ended);
        let may_begin =
            is_wanted && is_in_flight && self.balancer.may_begin(now, step.job, step.attempt);
        may_begin.then(|| open.deadline - now)
    }

    /// Like [`Core::may_begin`], for a driver that then begins the step at once: call-backs of the worker
    /// refer to this step from then on.
    pub fn begin(&mut self, now: Micros, step: StepId) -> Option<Micros> {
        let remaining_us = self.may_begin(now, step)?;
        let open = self.operations.get_mut(&step.job)?;
        open.steps.get_mut(step.attempt as usize)?.begun = true;
        Some(remaining_us)
    }

    /// Cancels a step at its driver, if it was passed to one.
    pub(super) fn cancel_step(&self, step: StepId) {
        let Some(open) = self.operations.get(&step.job) else {
            return;
        };
        let state = &open.steps[step.attempt as usize];
        if !state.given_to_driver {
            return;
        }
        let worker = &self.workers[state.worker.0 as usize];
        self.drivers[worker.driver].cancel(step, &open.operation, &worker.member);
    }
}
