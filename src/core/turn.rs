//! The batch loop: feeds due timers and queued inputs to the balancer and executes its actions.

use super::{Answer, Core, Input, QuotaGrant, StepEvent, StepId, StepOutcome, TimerKind};
use crate::interface::{Action, Event, JobId, Micros, Request, TenantId};
use crate::settings::name_hash;
use std::cmp::Reverse;

impl Core {
    /// When the next timer is due; `None` if no timer is set.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|t| t.0 .0)
    }

    /// Handles all queued inputs and due timers as one batch, sends `BatchEnd` and executes the balancer's
    /// actions; repeats while these end route steps.
    pub fn turn(&mut self, now: Micros) {
        let mut overdue = Vec::new();
        self.admit_waiting();
        self.queue_due_timers(now);
        self.process_inputs(now, &mut overdue);
        if !overdue.is_empty() {
            // An operation may arrive at its deadline, for which the balancer sets a timer that is due at
            // once. Guards against failing such an operation: it has not run, and the balancer rejects it.
            self.queue_due_timers(now);
            self.process_inputs(now, &mut overdue);
        }
        // The balancer answers by the deadline. Guards against an operation left without any answer.
        for job in overdue {
            self.finish(now, job, Answer::Failed { late: true });
        }
        self.remove_finished();
    }

    /// Queues due timers as inputs.
    fn queue_due_timers(&mut self, now: Micros) {
        while let Some(Reverse((at, _, kind))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.inputs.push(match kind {
                TimerKind::Balancer(token) => Input::Timer(token),
                TimerKind::Deadline(job) => Input::Deadline(job),
                TimerKind::PoolWait(job) => {
                    self.admit_after_pool_wait(job);
                    continue;
                }
                TimerKind::PendingAnswer(id) => {
                    self.expire_answer(id);
                    continue;
                }
            });
        }
    }

    /// Handles inputs until none is left and collects the operations whose deadline is among them.
    fn process_inputs(&mut self, now: Micros, overdue: &mut Vec<JobId>) {
        while !self.inputs.is_empty() {
            let mut actions = Vec::new();
            for input in std::mem::take(&mut self.inputs) {
                if let Input::Deadline(job) = input {
                    overdue.push(job);
                }
                self.handle_input(now, input, &mut actions);
            }
            self.balancer.handle(now, Event::BatchEnd, &mut actions);
            for action in actions {
                self.execute(now, action);
            }
        }
    }

    pub(super) fn schedule(&mut self, when: Micros, kind: TimerKind) {
        self.last_timer += 1;
        self.timers.push(Reverse((when, self.last_timer, kind)));
    }

    fn handle_input(&mut self, now: Micros, input: Input, actions: &mut Vec<Action>) {
        let event = match input {
            Input::Arrived(job) => {
                // An operation that waited for the first pool config may already be answered, or its client
                // disconnected.
                let Some(open) = self
                    .operations
                    .get_mut(&job)
                    .filter(|operation| !operation.answered)
                else {
                    return;
                };
                let operation = &open.operation;
                let grant = self.quotas.as_ref().map_or(QuotaGrant::Unlimited, |q| {
                    q.acquire(now, operation.tenant.as_deref())
                });
                let quota_free = grant.free();
                open.quota_permit = grant.into_permit(self.quotas.as_ref());
                Event::Arrived(Request {
                    job,
                    class: operation.class,
                    tenant: operation
                        .tenant
                        .as_deref()
                        .and_then(|t| self.site.tenants.find(t))
                        .map(TenantId),
                    free_quota_share: quota_free,
                    expires_in_us: open.deadline.saturating_sub(now),
                    expected_work_us: None,
                    slots: operation.slots,
                    affinity_key: operation.subject.as_deref().map(name_hash),
                })
            }
            Input::Disconnected(job) => {
                let Some(open) = self.operations.get_mut(&job) else {
                    return;
                };
                if open.answered || !open.waiters.is_empty() {
                    return; // answered meanwhile, or a repeat has joined
                }
                self.close(now, job, Answer::Failed { late: false });
                Event::ClientGone { job }
            }
            Input::Step(step, step_event) => match self.apply_step_event(now, step, step_event) {
                Some(event) => event,
                None => return,
            },
            Input::PoolConfig {
                source,
                complete,
                members,
            } => self.apply_pool_config(source, complete, members),
            Input::PoolConfigFailed => Event::DiscoveryFailed,
            Input::ProbeEnded(worker, ok, report) => Event::ProbeEnded {
                worker,
                answered: ok,
                report,
            },
            Input::PeerObservation(worker, weight) => Event::PeerObservation {
                worker,
                confidence: weight,
            },
            Input::Timer(token) => Event::Timer { token },
            Input::Deadline(job) => {
                let Some(open) = self.operations.get(&job) else {
                    return;
                };
                for attempt in (0..open.steps.len()).filter(|&i| !open.steps[i].ended) {
                    let step = StepId {
                        job,
                        attempt: attempt as u32,
                    };
                    self.cancel_step(step);
                    self.inputs.push(Input::Step(
                        step,
                        StepEvent::Ended(StepOutcome::TimedOut, None),
                    ));
                }
                return;
            }
        };
        self.balancer.handle(now, event, actions);
    }

    /// The only place that gives an operation its final answer, once per operation.
    pub(super) fn finish(&mut self, now: Micros, job: JobId, answer: Answer) {
        let Some(open) = self.operations.get_mut(&job).filter(|open| !open.answered) else {
            return;
        };
        let (waiters, usage) = (std::mem::take(&mut open.waiters), open.usage(now));
        waiters
            .into_iter()
            .for_each(|waiter| self.answer_waiter(now, &usage, waiter, &answer));
        self.close(now, job, answer);
    }

    /// Removes answered operations without a step in flight.
    fn remove_finished(&mut self) {
        self.operations.retain(|_, open| {
            let done = open.answered && open.steps.iter().all(|s| s.ended);
            if done {
                self.by_id.remove(&open.operation.id);
            }
            !done
        });
    }
}
