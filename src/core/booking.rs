//! Final answers that are recorded before delivery: each is held until all recorders have stored it or its
//! hold time expires.
//!
//! Invariants: each waiting client is answered once, and in time. A result is sent before a recorder has
//! stored it only if that recorder allows it; otherwise the client receives [`Answer::Withheld`] and the
//! result is recorded as not written.

use super::{Answer, Core, Front, Micros, OpenOperation, TimerKind};
use crate::interface::ClassId;
use std::rc::Rc;
use std::sync::Arc;

/// How an operation ended, as reported to a recorder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// A worker's result was sent.
    Served,
    /// A busy reply was sent.
    Busy,
    /// The operation failed.
    Failed,
    /// The client disconnected before the answer.
    Gone,
}

/// Usage to record for one final answer.
#[derive(Clone, Copy, Debug)]
pub struct UsageRecord<'a> {
    /// The operation's id, as its client named it.
    pub operation: &'a str,
    /// Name of the tenant that the usage is recorded under; `None` where no tenants are configured and the
    /// client named none.
    pub tenant: Option<&'a Arc<str>>,
    /// Request class of the operation.
    pub class: ClassId,
    /// How the operation ended.
    pub outcome: OperationOutcome,
    /// Whether the request took the answer of an earlier operation with the same key; nothing ran for it.
    pub joined: bool,
    /// Slots that the operation takes.
    pub slots: f64,
    /// Running time of the attempt that gave the answer, in microseconds.
    pub run_us: Micros,
    /// Total running time of all other attempts, in microseconds.
    pub wasted_us: Micros,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Idempotency key that repeats of the operation share, if it has one.
    pub idempotency_key: Option<&'a str>,
}

/// A recorder's response to a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordStatus {
    /// Hold the answer until [`Core::on_durable`] reports this number, but no longer than `until`.
    Hold {
        /// Number of the entry, larger than any before.
        number: u64,
        /// Latest time to hold the answer, on the core's clock.
        until: Micros,
    },
    /// Recorded under this number; the answer does not wait for the entry.
    Open {
        /// Number of the entry, larger than any before.
        number: u64,
    },
    /// Not recorded; the answer is sent now.
    Unbooked,
    /// Not recorded; the answer must not be sent.
    Refused,
}

/// What to do with an answer whose hold ends before its entry is known to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueAction {
    /// Send the answer.
    Release,
    /// Withhold the answer; the client receives [`Answer::Withheld`].
    Withhold,
}

/// Records the usage of final answers. No method may block or call the core.
pub trait UsageRecorder {
    /// Whether new operations are accepted.
    fn accepts_operations(&self) -> bool;
    /// Records an answer that must be sent by `answer_by`.
    fn record(&self, now: Micros, answer_by: Micros, usage_record: &UsageRecord) -> RecordStatus;
    /// The hold of an answer has ended and its entry is not known to be stored. For a withheld answer
    /// `written` is also called, as incomplete.
    fn on_overdue(&self, number: u64, outcome: OperationOutcome) -> OverdueAction;
    /// The answer with this number was written to its client to the last byte, or, if not `is_complete`,
    /// could not be.
    fn written(&self, number: u64, is_complete: bool);
}

/// Accompanies a final answer to its front, which reports when the last byte is written. Dropping the receipt
/// reports that the answer was not written: the client had disconnected.
#[derive(Default)]
#[must_use]
pub struct Receipt(Vec<(Rc<dyn UsageRecorder>, u64)>);

impl Receipt {
    /// Reports that the answer was written to the last byte.
    pub fn written(mut self) {
        self.0
            .drain(..)
            .for_each(|(recorder, number)| recorder.written(number, true));
    }
}

impl Drop for Receipt {
    fn drop(&mut self) {
        self.0
            .drain(..)
            .for_each(|(recorder, number)| recorder.written(number, false));
    }
}

/// A client that waits for an operation's answer.
pub(super) struct Waiter {
    pub(super) front: Rc<dyn Front>,
    pub(super) ticket: u64,
    /// The id of this client's own request; for a joined repeat it is not the operation's.
    pub(super) id: String,
    pub(super) tenant: Option<Arc<str>>,
    pub(super) joined: bool,
}

/// A final answer that some recorder has not stored yet.
pub(super) struct PendingAnswer {
    front: Rc<dyn Front>,
    ticket: u64,
    answer: Answer,
    entries: Vec<RecordedEntry>,
}

/// An entry of one recorder for one answer.
#[derive(Clone, Copy)]
struct RecordedEntry {
    recorder: usize,
    number: u64,
    /// Whether the answer waits for the entry to be stored.
    awaited: bool,
}

/// The responses of all recorders to one answer.
struct RecordResult {
    entries: Vec<RecordedEntry>,
    /// The latest time to hold the answer for the awaited entries.
    until: Micros,
    /// Whether a recorder forbids sending the answer.
    refused: bool,
}

/// Resource usage of an operation, and the other inputs of its usage records.
pub(super) struct OperationUsage {
    class: ClassId,
    slots: f64,
    key: Option<String>,
    answer_by: Micros,
    run_us: Micros,
    wasted_us: Micros,
    attempts: u32,
}

impl OpenOperation {
    pub(super) fn usage(&self, now: Micros) -> OperationUsage {
        let operation = &self.operation;
        let mut usage = OperationUsage {
            class: operation.class,
            slots: operation.slots,
            key: operation.idempotency_key.clone(),
            answer_by: self.answer_by,
            run_us: 0,
            wasted_us: 0,
            attempts: self.steps.len() as u32,
        };
        for (index, step) in self.steps.iter().enumerate() {
            let is_winner = self.winning_step == Some(index);
            // A winning step without a start notification is taken to run from the time it was sent.
            let Some(started_at) = step.started_at.or(is_winner.then_some(step.sent_at)) else {
                continue;
            };
            let run_time = step.ended_at.unwrap_or(now).saturating_sub(started_at);
            *if is_winner {
                &mut usage.run_us
            } else {
                &mut usage.wasted_us
            } += run_time;
        }
        usage
    }
}

impl Answer {
    /// The operation's outcome as recorders see it.
    fn outcome(&self) -> OperationOutcome {
        match self {
            Answer::Served(_) => OperationOutcome::Served,
            Answer::Busy { .. } => OperationOutcome::Busy,
            Answer::Failed { .. } | Answer::Withheld => OperationOutcome::Failed,
        }
    }
}

impl Core {
    /// Adds a recorder for all final answers from now on; returns its number.
    pub fn attach_recorder(&mut self, recorder: Rc<dyn UsageRecorder>) -> usize {
        self.recorders.push(recorder);
        self.recorders.len() - 1
    }

    /// A recorder has stored all its entries up to this number: sends answers that await no other entry.
    pub fn on_durable(&mut self, recorder: usize, up_to: u64) {
        let mut ready = Vec::new();
        for (id, pending) in &mut self.pending_answers {
            let mut entries = pending
                .entries
                .iter_mut()
                .filter(|entry| entry.awaited && entry.recorder == recorder);
            // Entry numbers rise with the answers: after the first one that is not stored, no later one is.
            match entries.next() {
                Some(entry) if entry.number <= up_to => entry.awaited = false,
                Some(_) => break,
                None => continue,
            }
            if pending.entries.iter().all(|entry| !entry.awaited) {
                ready.push(*id);
            }
        }
        ready.into_iter().for_each(|id| self.release(id));
    }

    /// A recorder can store nothing for now: ends the wait of all answers that are held for it.
    pub fn expire_held_answers(&mut self, recorder: usize) {
        let pending: Vec<u64> = self.pending_answers.keys().copied().collect();
        for id in pending {
            self.expire_entries(id, |entry| entry.recorder == recorder);
        }
    }

    /// Ends the wait of an answer for all recorders.
    pub(super) fn expire_answer(&mut self, id: u64) {
        self.expire_entries(id, |_| true);
    }

    /// Ends the wait of an answer for the selected entries, then sends or withholds it.
    fn expire_entries(&mut self, id: u64, is_over: impl Fn(&RecordedEntry) -> bool) {
        let Some(pending) = self.pending_answers.get_mut(&id) else {
            return;
        };
        let outcome = pending.answer.outcome();
        let mut is_withheld = false;
        for entry in &mut pending.entries {
            if !entry.awaited || !is_over(entry) {
                continue;
            }
            entry.awaited = false;
            match self.recorders[entry.recorder].on_overdue(entry.number, outcome) {
                OverdueAction::Release => self.counters.answers_before_booked += 1,
                OverdueAction::Withhold => is_withheld = true,
            }
        }
        if is_withheld {
            self.withhold(id);
        } else if pending.entries.iter().all(|entry| !entry.awaited) {
            self.release(id);
        }
    }

    fn release(&mut self, id: u64) {
        if let Some(pending) = self.pending_answers.remove(&id) {
            let receipt = self.receipt(&pending.entries);
            self.send_answer(&pending.front, pending.ticket, &pending.answer, receipt);
        }
    }

    fn withhold(&mut self, id: u64) {
        if let Some(pending) = self.pending_answers.remove(&id) {
            self.send_withheld(&pending.front, pending.ticket, &pending.entries);
        }
    }

    /// Gives a waiting client its final answer, which is recorded first where there are recorders.
    pub(super) fn answer_waiter(
        &mut self,
        now: Micros,
        usage: &OperationUsage,
        waiter: Waiter,
        answer: &Answer,
    ) {
        let result = self.record(now, usage, &waiter, answer.outcome());
        let Waiter { front, ticket, .. } = waiter;
        if result.refused {
            return self.send_withheld(&front, ticket, &result.entries);
        }
        if result.entries.iter().all(|entry| !entry.awaited) {
            let receipt = self.receipt(&result.entries);
            return self.send_answer(&front, ticket, answer, receipt);
        }
        self.last_pending += 1;
        let id = self.last_pending;
        self.pending_answers.insert(
            id,
            PendingAnswer {
                front,
                ticket,
                answer: answer.clone(),
                entries: result.entries,
            },
        );
        match result.until > now {
            true => self.schedule(result.until, TimerKind::PendingAnswer(id)),
            false => self.expire_answer(id),
        }
    }

    /// Limits the wait of all held answers to `when`.
    pub(super) fn limit_pending_answers(&mut self, when: Micros) {
        let pending: Vec<u64> = self.pending_answers.keys().copied().collect();
        for id in pending {
            self.schedule(when, TimerKind::PendingAnswer(id));
        }
    }

    /// Records the end of a request whose client has disconnected; no answer is sent.
    pub(super) fn record_disconnect(
        &mut self,
        now: Micros,
        usage: &OperationUsage,
        waiter: &Waiter,
    ) {
        self.record(now, usage, waiter, OperationOutcome::Gone);
    }

    fn record(
        &mut self,
        now: Micros,
        usage: &OperationUsage,
        waiter: &Waiter,
        outcome: OperationOutcome,
    ) -> RecordResult {
        let own = |n: Micros| if waiter.joined { 0 } else { n };
        let usage_record = UsageRecord {
            operation: &waiter.id,
            tenant: waiter.tenant.as_ref(),
            class: usage.class,
            outcome,
            joined: waiter.joined,
            slots: usage.slots,
            run_us: own(usage.run_us),
            wasted_us: own(usage.wasted_us),
            attempts: if waiter.joined { 0 } else { usage.attempts },
            idempotency_key: usage.key.as_deref(),
        };
        let mut result = RecordResult {
            entries: Vec::with_capacity(self.recorders.len()),
            until: now,
            refused: false,
        };
        for (number, recorder) in self.recorders.iter().enumerate() {
            let status = recorder.record(now, usage.answer_by, &usage_record);
            if matches!(status, RecordStatus::Unbooked | RecordStatus::Refused) {
                self.counters.answers_unbooked += 1;
            }
            result.add(number, status);
        }
        result
    }

    /// A receipt that forwards the delivery report to all recorders of the answer.
    fn receipt(&self, entries: &[RecordedEntry]) -> Receipt {
        let booked = entries
            .iter()
            .map(|entry| (self.recorders[entry.recorder].clone(), entry.number));
        Receipt(booked.collect())
    }

    /// Sends [`Answer::Withheld`] and reports the result to the recorders as not written.
    fn send_withheld(&mut self, front: &Rc<dyn Front>, ticket: u64, entries: &[RecordedEntry]) {
        drop(self.receipt(entries));
        self.send_answer(front, ticket, &Answer::Withheld, Receipt::default());
    }

    /// The only place that sends final answers to fronts.
    fn send_answer(
        &mut self,
        front: &Rc<dyn Front>,
        ticket: u64,
        answer: &Answer,
        receipt: Receipt,
    ) {
        self.counters.record_answer(answer);
        front.answer(ticket, answer, receipt);
    }
}

impl RecordResult {
    fn add(&mut self, recorder: usize, status: RecordStatus) {
        let (number, awaited) = match status {
            RecordStatus::Hold { number, until } => {
                self.until = self.until.max(until);
                (number, true)
            }
            RecordStatus::Open { number } => (number, false),
            RecordStatus::Unbooked => return,
            RecordStatus::Refused => {
                self.refused = true;
                return;
            }
        };
        self.entries.push(RecordedEntry {
            recorder,
            number,
            awaited,
        });
    }
}

impl OperationUsage {
    /// Usage of a repeat that takes an earlier operation's answer: nothing ran for it.
    pub(super) fn joined(
        class: ClassId,
        slots: f64,
        key: Option<String>,
        answer_by: Micros,
    ) -> OperationUsage {
        OperationUsage {
            class,
            slots,
            key,
            answer_by,
            run_us: 0,
            wasted_us: 0,
            attempts: 0,
        }
    }
}
