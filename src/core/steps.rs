//! Route steps: what the decisions ask for goes to the drivers, what drivers tell goes to the decisions.

use super::{Answer, Core, Due, Input, RouteStep, StepEvent, StepId, StepOutcome};
use crate::interface::{Action, AttemptEnd, Event, JobId, Micros, WorkerId};

impl Core {
    /// What a driver tells of a step, as an event; none if the step has ended before.
    pub(super) fn step_news(
        &mut self,
        now: Micros,
        step: StepId,
        news: StepEvent,
    ) -> Option<Event> {
        let StepId { job, attempt } = step;
        let entered = self.operations.get_mut(&job)?;
        let s = entered
            .steps
            .get_mut(attempt as usize)
            .filter(|s| !s.ended)?;
        Some(match news {
            StepEvent::Started => {
                entered.started = true;
                s.started = s.started.or(Some(now));
                entered
                    .waiting
                    .iter()
                    .for_each(|w| w.front.started(w.ticket));
                Event::Started { job, attempt }
            }
            StepEvent::Progress(done) => Event::Progress { job, attempt, done },
            StepEvent::Ended(ending, report) => {
                (s.ended, s.ran, s.ended_at) = (true, ending.may_have_run(), Some(now));
                if matches!(ending, StepOutcome::Served(_)) {
                    entered.winner = Some(attempt as usize);
                }
                self.counters.ending(&ending);
                let worker = &self.workers[s.worker.0 as usize].member;
                self.witness
                    .iter()
                    .for_each(|w| w.step_ended(worker, &ending));
                let code = ending.attempt_outcome();
                if let StepOutcome::Served(result) = ending {
                    self.finish(now, job, Answer::Served(result));
                }
                let complete = self.operations[&job].answered;
                Event::AttemptEnded(AttemptEnd {
                    job,
                    attempt,
                    outcome: code,
                    is_final: complete,
                    report,
                })
            }
        })
    }

    pub(super) fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { job, worker } => self.send(now, job, worker),
            Action::Cancel { job, attempt } => {
                let step = StepId { job, attempt };
                let Some(entered) = self.operations.get(&job) else {
                    return;
                };
                if entered
                    .steps
                    .get(attempt as usize)
                    .is_some_and(|s| !s.ended)
                {
                    self.call_off(step);
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
            Action::Schedule {
                delay_us: wait_us,
                token,
            } => self.at(now.saturating_add(wait_us), Due::Module(token)),
            Action::Probe { worker } => {
                let w = &self.workers[worker.0 as usize];
                self.drivers[w.driver].probe(worker, &w.member);
            }
            Action::Subscribe => self.sources.iter().for_each(|s| s.subscribe()),
        }
    }

    pub(super) fn send(&mut self, now: Micros, job: JobId, worker: WorkerId) {
        let Some(entered) = self.operations.get_mut(&job) else {
            return;
        };
        let step = StepId {
            job,
            attempt: entered.steps.len() as u32,
        };
        // A worker gets one attempt of an operation at a time: one to its earlier life died with it.
        let earlier = entered
            .steps
            .iter()
            .position(|s| s.worker == worker && !s.ended);
        let useless = entered.answered || now >= entered.deadline;
        entered.steps.push(RouteStep {
            worker,
            handed: !useless,
            begun: false,
            sent: now,
            started: None,
            ended_at: None,
            ended: false,
            ran: false,
        });
        if let Some(attempt) = earlier.map(|a| a as u32) {
            let step = StepId { job, attempt };
            self.call_off(step);
            self.inputs
                .push(Input::Step(step, StepEvent::Ended(StepOutcome::Lost, None)));
        }
        if useless {
            self.inputs.push(Input::Step(
                step,
                StepEvent::Ended(StepOutcome::NotSent, None),
            ));
            return;
        }
        self.counters.steps += 1;
        let (entered, w) = (&self.operations[&job], &self.workers[worker.0 as usize]);
        self.drivers[w.driver].send(step, &entered.operation, &w.member, entered.deadline - now);
    }

    /// Whether a step may still begin, and the time that is left for it: a driver asks this when its connection is
    /// there, before the first byte. A connection may come up late, and by then the client may have gone, the
    /// operation be answered, the worker leave, or the window of a key be over. With none the step is to end as
    /// [`StepOutcome::NotSent`].
    pub fn may_begin(&self, now: Micros, step: StepId) -> Option<Micros> {
        let entered = self.operations.get(&step.job)?;
        let wanted = !entered.answered && !entered.waiting.is_empty() && now < entered.deadline;
        let out = entered
            .steps
            .get(step.attempt as usize)
            .is_some_and(|s| !s.ended);
        let may = wanted && out && self.balancer.may_begin(now, step.job, step.attempt);
        may.then(|| entered.deadline - now)
    }

    /// The same for a driver that then begins the step at once: what its worker tells from then on is of this step.
    pub fn begin(&mut self, now: Micros, step: StepId) -> Option<Micros> {
        let remaining_us = self.may_begin(now, step)?;
        let entered = self.operations.get_mut(&step.job)?;
        entered.steps.get_mut(step.attempt as usize)?.begun = true;
        Some(remaining_us)
    }

    /// Has the driver give a step up that is still out.
    pub(super) fn call_off(&self, step: StepId) {
        let Some(entered) = self.operations.get(&step.job) else {
            return;
        };
        let s = &entered.steps[step.attempt as usize];
        if !s.handed {
            return; // no driver has heard of it
        }
        let w = &self.workers[s.worker.0 as usize];
        self.drivers[w.driver].cancel(step, &entered.operation, &w.member);
    }
}
