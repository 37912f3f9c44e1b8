//! Operations arrive and clients disconnect: accepts operations, joins repeats to earlier ones, or rejects
//! them.

use super::{Answer, Front, Operation, SubmitError};
use super::{
    Core, Input, KeyedOperation, OpenOperation, OperationUsage, TenantError, TimerKind, Waiter,
};
use crate::interface::{JobId, Micros};
use std::rc::Rc;
use std::sync::Arc;

/// Part of the client's time reserved so that the last byte of an answer arrives before the client's
/// time-out: covers the network to the client and a brief stall of this machine.
const ANSWER_MARGIN_US: Micros = 25_000;
/// Reserved in addition where answers are recorded first, for the disk; at most an eighth of the client's
/// time.
const RECORDING_MARGIN_US: Micros = 50_000;
/// The part of the reserved time that an answer still needs to reach its client once it is sent.
const DELIVERY_US: Micros = 15_000;

impl Core {
    /// Accepts an operation; `front` receives its one final answer under the number `ticket`.
    pub fn submit(
        &mut self,
        now: Micros,
        mut operation: Operation,
        front: Rc<dyn Front>,
        ticket: u64,
    ) -> Result<JobId, SubmitError> {
        if let Some(tenants) = &self.tenants {
            operation.tenant = Some(tenants.resolve(operation.tenant.as_deref()).map_err(
                |error| match error {
                    TenantError::Malformed => SubmitError::InvalidTenant,
                    TenantError::Unlisted => SubmitError::Unlisted,
                },
            )?);
        }
        if now >= self.final_deadline {
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
        let reserved_us = self.reserved_us(operation.remaining_us);
        let deadline = now
            .saturating_add(operation.remaining_us.saturating_sub(reserved_us))
            .min(self.final_deadline);
        let answer_by = deadline.saturating_add(reserved_us.saturating_sub(DELIVERY_US));
        let key = operation
            .idempotency_key
            .clone()
            .filter(|_| self.joins_repeats);
        let key = key
            .filter(|_| self.is_keyed(operation.class))
            .map(|k| (operation.class.0, k));
        if let Some(keyed) = key
            .as_ref()
            .and_then(|k| self.keyed_operations.get(k))
            .filter(|k| now < k.until)
        {
            // Guards against a second run of a keyed operation that was submitted twice, by any front.
            let (job, answer) = (keyed.job, keyed.answer.clone());
            self.counters.operations += 1;
            self.counters.repeats_joined += 1;
            match (
                answer,
                self.operations.get_mut(&job).filter(|o| !o.answered),
            ) {
                (None, Some(open)) => {
                    if open.started {
                        front.started(ticket);
                    }
                    open.waiters.push(waiter(true));
                }
                (answer, _) => {
                    let answer = answer.unwrap_or(Answer::Failed { late: false });
                    let key = operation.idempotency_key.clone();
                    let usage =
                        OperationUsage::joined(operation.class, operation.slots, key, answer_by);
                    let waiter = waiter(true);
                    self.answer_waiter(now, &usage, waiter, &answer);
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
        self.unanswered += 1;
        self.schedule(deadline, TimerKind::Deadline(job));
        self.by_id.insert(operation.id.clone(), job);
        if let Some(key) = key {
            self.evict_expired_keys(now);
            self.keyed_operations.insert(
                key,
                KeyedOperation {
                    job,
                    until: Micros::MAX,
                    answer: None,
                },
            );
        }
        let (waiters, operation) = (vec![waiter(false)], Arc::new(operation));
        let (steps, winning_step) = (Vec::new(), None);
        let (answered, started, quota_permit) = (false, false, None);
        let open = OpenOperation {
            operation,
            waiters,
            steps,
            winning_step,
            deadline,
            answer_by,
            answered,
            started,
            quota_permit,
        };
        self.operations.insert(job, open);
        self.admit_or_wait(now, job, deadline);
        Ok(job)
    }

    /// Holds an operation until the first pool config, for at most half of its time. The known list may be
    /// from an earlier process; this guards against sending work to a worker that has left since.
    fn admit_or_wait(&mut self, now: Micros, job: JobId, deadline: Micros) {
        if !self.awaits_pool_config() {
            return self.inputs.push(Input::Arrived(job));
        }
        self.awaiting_pool.push(job);
        self.schedule(
            now + deadline.saturating_sub(now) / 2,
            TimerKind::PoolWait(job),
        );
        self.sources.iter().for_each(|s| s.expedite());
    }

    fn awaits_pool_config(&self) -> bool {
        self.sources.iter().any(|s| s.awaits_first_config())
    }

    /// Admits the operations that waited for the first pool config once no source delays operations for it
    /// any more.
    pub(super) fn admit_waiting(&mut self) {
        if !self.awaiting_pool.is_empty() && !self.awaits_pool_config() {
            self.inputs.extend(
                std::mem::take(&mut self.awaiting_pool)
                    .into_iter()
                    .map(Input::Arrived),
            );
        }
    }

    /// Admits an operation that has waited as long as it may for the first pool config.
    pub(super) fn admit_after_pool_wait(&mut self, job: JobId) {
        if let Some(index) = self.awaiting_pool.iter().position(|j| *j == job) {
            self.awaiting_pool.remove(index);
            self.inputs.push(Input::Arrived(job));
        }
    }

    /// Part of the client's time that is reserved for recording and delivery.
    fn reserved_us(&self, remaining_us: Micros) -> Micros {
        ANSWER_MARGIN_US
            + if self.recorders.is_empty() {
                0
            } else {
                RECORDING_MARGIN_US.min(remaining_us / 8)
            }
    }

    /// Ensures that all operations, present and future, are answered by `when`. Guards against operations
    /// that a shutdown would leave unanswered because their clients wait longer than the process may run.
    pub fn answer_all_by(&mut self, when: Micros) {
        self.final_deadline = when;
        let mut shortened = Vec::new();
        for (job, open) in self
            .operations
            .iter_mut()
            .filter(|(_, o)| !o.answered && o.deadline > when)
        {
            open.deadline = when;
            open.answer_by = open.answer_by.min(when.saturating_add(RECORDING_MARGIN_US));
            shortened.push(*job);
        }
        shortened
            .into_iter()
            .for_each(|job| self.schedule(when, TimerKind::Deadline(job)));
        self.limit_pending_answers(when.saturating_add(RECORDING_MARGIN_US));
    }

    /// The client of one ticket has disconnected; others may still wait for the same operation.
    pub fn client_disconnected(
        &mut self,
        now: Micros,
        job: JobId,
        front: &Rc<dyn Front>,
        ticket: u64,
    ) {
        let Some(open) = self.operations.get_mut(&job).filter(|o| !o.answered) else {
            return;
        };
        let is_this_client = |w: &Waiter| w.ticket == ticket && Rc::ptr_eq(&w.front, front);
        let Some(index) = open.waiters.iter().position(is_this_client) else {
            return;
        };
        let waiter = open.waiters.remove(index);
        // Counted here, as a result may arrive in the same batch before the balancer sees the disconnect.
        self.counters.clients_gone += 1;
        let (abandoned, usage) = (open.waiters.is_empty(), open.usage(now));
        self.record_disconnect(now, &usage, &waiter);
        if abandoned {
            self.inputs.push(Input::Disconnected(job));
        }
    }
}
