//! The batch loop: timers that are due and what has come in are fed to the decisions, and what they decide is carried out.

use super::{Answer, Core, Due, Input, QuotaGrant, StepEvent, StepId, StepOutcome};
use crate::interface::{Action, Event, JobId, Micros, Request, TenantId};
use crate::settings::mark;
use std::cmp::Reverse;

impl Core {
    /// When the next timer falls due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|t| t.0 .0)
    }

    /// Feeds all that has come in, says `Settled`, carries out what is decided; again, while that itself
    /// ends route steps.
    pub fn turn(&mut self, now: Micros) {
        let mut overdue = Vec::new();
        self.admit_early();
        self.fall_due(now);
        self.take_in(now, &mut overdue);
        if !overdue.is_empty() {
            // An operation may come in at its deadline, and the decisions ask for a timer that is due at once: guards
            // against one that fails, of which nothing has run and which they refuse.
            self.fall_due(now);
            self.take_in(now, &mut overdue);
        }
        // The decisions answer by the deadline; guards against an operation left without any answer.
        for job in overdue {
            self.finish(now, job, Answer::Failed { late: true });
        }
        self.sweep();
    }

    /// Timers that are due become inputs.
    fn fall_due(&mut self, now: Micros) {
        while let Some(Reverse((at, _, due))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.inputs.push(match due {
                Due::Module(token) => Input::Timer(token),
                Due::Deadline(job) => Input::Deadline(job),
                Due::Early(job) => {
                    self.admit_late(job);
                    continue;
                }
                Due::PendingAnswer(id) => {
                    self.overdue(id);
                    continue;
                }
            });
        }
    }

    /// Feeds what has come in, until nothing is left; deadlines among it are noted.
    fn take_in(&mut self, now: Micros, overdue: &mut Vec<JobId>) {
        while !self.inputs.is_empty() {
            let mut out = Vec::new();
            for input in std::mem::take(&mut self.inputs) {
                if let Input::Deadline(job) = input {
                    overdue.push(job);
                }
                self.feed(now, input, &mut out);
            }
            self.balancer.handle(now, Event::BatchEnd, &mut out);
            for action in out {
                self.carry_out(now, action);
            }
        }
    }

    pub(super) fn at(&mut self, when: Micros, due: Due) {
        self.timer_no += 1;
        self.timers.push(Reverse((when, self.timer_no, due)));
    }

    fn feed(&mut self, now: Micros, input: Input, out: &mut Vec<Action>) {
        let event = match input {
            Input::Arrived(job) => {
                // One that waited for the first list may have been answered, or its client have gone.
                let Some(entered) = self.operations.get_mut(&job).filter(|o| !o.answered) else {
                    return;
                };
                let o = &entered.operation;
                let taken = self.quotas.as_ref().map_or(QuotaGrant::Unlimited, |q| {
                    q.acquire(now, o.tenant.as_deref())
                });
                let quota_free = taken.free();
                entered.right = taken.right(self.quotas.as_ref());
                Event::Arrived(Request {
                    job,
                    class: o.class,
                    tenant: o
                        .tenant
                        .as_deref()
                        .and_then(|t| self.site.tenants.known(t))
                        .map(TenantId),
                    free_quota_share: quota_free,
                    expires_in_us: entered.deadline.saturating_sub(now),
                    expected_work_us: None,
                    slots: o.slots,
                    affinity_key: o.subject.as_deref().map(mark),
                })
            }
            Input::Gone(job) => {
                let Some(entered) = self.operations.get_mut(&job) else {
                    return;
                };
                if entered.answered || !entered.waiting.is_empty() {
                    return; // answered meanwhile, or a repeat has joined
                }
                self.close(now, job, Answer::Failed { late: false });
                Event::ClientGone { job }
            }
            Input::Step(step, news) => match self.step_news(now, step, news) {
                Some(event) => event,
                None => return,
            },
            Input::List {
                source,
                complete,
                members,
            } => self.list(source, complete, members),
            Input::ListFailed => Event::DiscoveryFailed,
            Input::Probed(worker, ok, report) => Event::ProbeEnded {
                worker,
                answered: ok,
                report,
            },
            Input::Judged(worker, weight) => Event::PeerObservation {
                worker,
                confidence: weight,
            },
            Input::Timer(token) => Event::Timer { token },
            Input::Deadline(job) => {
                let Some(entered) = self.operations.get(&job) else {
                    return;
                };
                for attempt in (0..entered.steps.len()).filter(|&i| !entered.steps[i].ended) {
                    let step = StepId {
                        job,
                        attempt: attempt as u32,
                    };
                    self.call_off(step);
                    self.inputs.push(Input::Step(
                        step,
                        StepEvent::Ended(StepOutcome::TimedOut, None),
                    ));
                }
                return;
            }
        };
        self.balancer.handle(now, event, out);
    }

    /// The one place that hands out final answers, once an operation.
    pub(super) fn finish(&mut self, now: Micros, job: JobId, answer: Answer) {
        let Some(entered) = self.operations.get_mut(&job).filter(|o| !o.answered) else {
            return;
        };
        let (waiting, used) = (std::mem::take(&mut entered.waiting), entered.used(now));
        waiting
            .into_iter()
            .for_each(|waiter| self.give(now, &used, waiter, &answer));
        self.close(now, job, answer);
    }

    /// Drops operations that are answered and have nothing out.
    fn sweep(&mut self) {
        self.operations.retain(|_, o| {
            let done = o.answered && o.steps.iter().all(|s| s.ended);
            if done {
                self.by_id.remove(&o.operation.id);
            }
            !done
        });
    }
}
