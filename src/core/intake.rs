//! Operations come in, clients leave: what is taken, what is joined to an earlier one, what is turned away.

use super::{Answer, Front, Operation, SubmitError};
use super::{Core, Due, Entered, Input, Kept, TenantError, Used, Waiter};
use crate::interface::{JobId, Micros};
use std::rc::Rc;
use std::sync::Arc;

/// Kept back of a client's time, so that the last byte of an answer lands before the client gives up: the way
/// to the client and a slow moment of this machine.
const MARGIN_US: Micros = 25_000;
/// Kept back besides where answers are booked first, for the disk; an eighth of the client's time at most.
const BOOKING_US: Micros = 50_000;
/// Of what is kept back, the part that an answer still needs to its client once it is let go.
const WAY_US: Micros = 15_000;

impl Core {
    /// Takes an operation; `front` gets its one final answer under the number `ticket`.
    pub fn submit(
        &mut self,
        now: Micros,
        mut operation: Operation,
        front: Rc<dyn Front>,
        ticket: u64,
    ) -> Result<JobId, SubmitError> {
        if let Some(tenants) = &self.tenants {
            operation.tenant = Some(tenants.resolve(operation.tenant.as_deref()).map_err(
                |why| match why {
                    TenantError::Malformed => SubmitError::InvalidTenant,
                    TenantError::Unlisted => SubmitError::Unlisted,
                },
            )?);
        }
        if now >= self.last_call {
            return Err(SubmitError::Stopping);
        }
        if self
            .recorders
            .iter()
            .any(|recorder| !recorder.accepts_operations())
        {
            self.counters.refused_unbilled += 1;
            return Err(SubmitError::BillingUnavailable);
        }
        let waiter = |joined| Waiter {
            front: front.clone(),
            ticket,
            id: operation.id.clone(),
            tenant: operation.tenant.clone(),
            joined,
        };
        let kept_back = self.kept_back(operation.remaining_us);
        let deadline = now
            .saturating_add(operation.remaining_us.saturating_sub(kept_back))
            .min(self.last_call);
        let by = deadline.saturating_add(kept_back.saturating_sub(WAY_US));
        let key = operation
            .idempotency_key
            .clone()
            .filter(|_| self.joins_repeats);
        let key = key
            .filter(|_| self.is_keyed(operation.class))
            .map(|k| (operation.class.0, k));
        if let Some(kept) = key
            .as_ref()
            .and_then(|k| self.kept.get(k))
            .filter(|k| now < k.until)
        {
            // Guards against a second run of a keyed job that was handed in twice, by whichever front.
            let (job, answer) = (kept.job, kept.answer.clone());
            self.counters.operations += 1;
            self.counters.repeats_joined += 1;
            match (
                answer,
                self.operations.get_mut(&job).filter(|o| !o.answered),
            ) {
                (None, Some(entered)) => {
                    if entered.started {
                        front.started(ticket);
                    }
                    entered.waiting.push(waiter(true));
                }
                (answer, _) => {
                    let answer = answer.unwrap_or(Answer::Failed { late: false });
                    let key = operation.idempotency_key.clone();
                    let used = Used::nothing(operation.class, operation.slots, key, by);
                    let waiter = waiter(true);
                    self.give(now, &used, waiter, &answer);
                }
            }
            return Ok(job);
        }
        if self.by_id.contains_key(&operation.id) {
            return Err(SubmitError::DuplicateId);
        }
        if self.operations.len() >= self.max_open {
            return Err(SubmitError::AtCapacity);
        }
        let job = JobId(self.next_job);
        self.next_job += 1;
        self.counters.operations += 1;
        self.owed += 1;
        self.at(deadline, Due::Deadline(job));
        self.by_id.insert(operation.id.clone(), job);
        if let Some(key) = key {
            self.forget_old_keys(now);
            self.kept.insert(
                key,
                Kept {
                    job,
                    until: Micros::MAX,
                    answer: None,
                },
            );
        }
        let (waiting, operation) = (vec![waiter(false)], Arc::new(operation));
        let (steps, winner) = (Vec::new(), None);
        let (answered, started, right) = (false, false, None);
        let entered = Entered {
            operation,
            waiting,
            steps,
            winner,
            deadline,
            by,
            answered,
            started,
            right,
        };
        self.operations.insert(job, entered);
        self.enter(now, job, deadline);
        Ok(job)
    }

    /// An operation waits for the first pool config, for half of its time at most: guards against work sent by an
    /// earlier life's list to a worker that has left since.
    fn enter(&mut self, now: Micros, job: JobId, deadline: Micros) {
        if !self.awaits_first() {
            return self.inputs.push(Input::Arrived(job));
        }
        self.early.push(job);
        self.at(now + deadline.saturating_sub(now) / 2, Due::Early(job));
        self.sources.iter().for_each(|s| s.expedite());
    }

    fn awaits_first(&self) -> bool {
        self.sources.iter().any(|s| s.awaits_first_config())
    }

    /// Those that waited for the first pool config go on once there is one, or none is to be had.
    pub(super) fn admit_early(&mut self) {
        if !self.early.is_empty() && !self.awaits_first() {
            self.inputs.extend(
                std::mem::take(&mut self.early)
                    .into_iter()
                    .map(Input::Arrived),
            );
        }
    }

    /// One has waited long enough.
    pub(super) fn admit_late(&mut self, job: JobId) {
        if let Some(at) = self.early.iter().position(|j| *j == job) {
            self.early.remove(at);
            self.inputs.push(Input::Arrived(job));
        }
    }

    /// Kept back of a client's time.
    fn kept_back(&self, remaining_us: Micros) -> Micros {
        MARGIN_US
            + if self.recorders.is_empty() {
                0
            } else {
                BOOKING_US.min(remaining_us / 8)
            }
    }

    /// Whatever is in hand, or still comes, is answered by then. Guards against operations that a stop would leave
    /// without an answer, as their clients would wait for longer than the program may go on.
    pub fn answer_all_by(&mut self, when: Micros) {
        self.last_call = when;
        let mut cut = Vec::new();
        for (job, entered) in self
            .operations
            .iter_mut()
            .filter(|(_, o)| !o.answered && o.deadline > when)
        {
            entered.deadline = when;
            entered.by = entered.by.min(when.saturating_add(BOOKING_US));
            cut.push(*job);
        }
        cut.into_iter()
            .for_each(|job| self.at(when, Due::Deadline(job)));
        self.answer_pending_by(when.saturating_add(BOOKING_US));
    }

    /// The client behind one ticket has gone away; others may still wait for the same operation.
    pub fn client_disconnected(
        &mut self,
        now: Micros,
        job: JobId,
        front: &Rc<dyn Front>,
        ticket: u64,
    ) {
        let Some(entered) = self.operations.get_mut(&job).filter(|o| !o.answered) else {
            return;
        };
        let is_it = |w: &Waiter| w.ticket == ticket && Rc::ptr_eq(&w.front, front);
        let Some(at) = entered.waiting.iter().position(is_it) else {
            return;
        };
        let waiter = entered.waiting.remove(at);
        // Counted here: a result may come in the same batch, before the decisions hear of the leaving.
        self.counters.clients_gone += 1;
        let (nobody, used) = (entered.waiting.is_empty(), entered.used(now));
        self.book_gone(now, &used, &waiter);
        if nobody {
            self.inputs.push(Input::Gone(job));
        }
    }
}
