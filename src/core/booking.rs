//! Final answers where they are booked first: each is kept back until all bookkeepers have it, or its time is up.
//!
//! Invariants: each waiting client is answered once, and in time. A result goes out before a bookkeeper has it only if
//! that bookkeeper allows it; else the client is told [`Answer::Withheld`] and the result is booked as not written.

use super::{Answer, Core, Due, Entered, Front, Micros};
use crate::interface::ClassId;
use std::rc::Rc;
use std::sync::Arc;

/// How an operation ended, for a bookkeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// With a worker's result.
    Served,
    /// With a busy reply.
    Busy,
    /// It failed.
    Failed,
    /// Its client had gone away.
    Gone,
}

/// What is to be booked for one final answer.
#[derive(Clone, Copy, Debug)]
pub struct UsageRecord<'a> {
    /// The operation's id.
    pub operation: &'a str,
    /// Whose it was.
    pub tenant: Option<&'a Arc<str>>,
    /// Its class.
    pub class: ClassId,
    /// How it ended.
    pub outcome: OperationOutcome,
    /// It took the answer of an earlier operation of the same key; nothing ran for it.
    pub joined: bool,
    /// The slots it takes.
    pub slots: f64,
    /// How long the attempt ran that gave the answer.
    pub run_us: Micros,
    /// How long all its other attempts ran.
    pub wasted_us: Micros,
    /// Attempts sent.
    pub attempts: u32,
    /// What its repeats have in common.
    pub idempotency_key: Option<&'a str>,
}

/// What a bookkeeper says of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordStatus {
    /// It is held until [`Core::on_durable`] tells of this number, and no longer than until then.
    Hold {
        /// The entry's number, larger than any before.
        number: u64,
        /// On the core's clock.
        until: Micros,
    },
    /// It is booked under this number, and need not wait for it.
    Open {
        /// The entry's number, larger than any before.
        number: u64,
    },
    /// It is not booked, and goes out now.
    Unbooked,
    /// It is not booked, and must not go out.
    Refused,
}

/// What becomes of an answer whose time is up before it is known to be booked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueAction {
    /// It goes out.
    Release,
    /// It does not go out: its client is told [`Answer::Withheld`].
    Withhold,
}

/// Books final answers. None of its calls may block or call the core.
pub trait UsageRecorder {
    /// Whether new operations are taken.
    fn accepts_operations(&self) -> bool;
    /// Books an answer that must be out `by` then.
    fn record(&self, now: Micros, by: Micros, account: &UsageRecord) -> RecordStatus;
    /// The time of an answer is up, and it is not known to be booked. One that is withheld is also told as not written.
    fn on_overdue(&self, number: u64, outcome: OperationOutcome) -> OverdueAction;
    /// The answer of this number was written to its client to the last byte, or could not be.
    fn written(&self, number: u64, whole: bool);
}

/// Goes with a final answer to its front, which says when the last byte is written. Dropping it says that it was
/// not: the client had left.
#[derive(Default)]
#[must_use]
pub struct Receipt(Vec<(Rc<dyn UsageRecorder>, u64)>);

impl Receipt {
    /// The answer was written to the last byte.
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

/// Someone who waits for an operation's answer.
pub(super) struct Waiter {
    pub(super) front: Rc<dyn Front>,
    pub(super) ticket: u64,
    /// The id of its own request.
    pub(super) id: String,
    pub(super) tenant: Option<Arc<str>>,
    pub(super) joined: bool,
}

/// A final answer that some bookkeeper does not have yet.
pub(super) struct PendingAnswer {
    front: Rc<dyn Front>,
    ticket: u64,
    answer: Answer,
    entries: Vec<BookedEntry>,
}

/// An entry of one bookkeeper.
#[derive(Clone, Copy)]
struct BookedEntry {
    recorder: usize,
    number: u64,
    /// The answer waits for it.
    waits: bool,
}

/// What all bookkeepers said of one answer.
struct Bookings {
    entries: Vec<BookedEntry>,
    /// The last moment for those that it waits for.
    until: Micros,
    /// One of them does not let it go out.
    refused: bool,
}

/// What an operation used, and what its account needs besides.
pub(super) struct Used {
    class: ClassId,
    slots: f64,
    key: Option<String>,
    by: Micros,
    run_us: Micros,
    wasted_us: Micros,
    attempts: u32,
}

impl Entered {
    pub(super) fn used(&self, now: Micros) -> Used {
        let o = &self.operation;
        let mut used = Used {
            class: o.class,
            slots: o.slots,
            key: o.idempotency_key.clone(),
            by: self.by,
            run_us: 0,
            wasted_us: 0,
            attempts: self.steps.len() as u32,
        };
        for (i, step) in self.steps.iter().enumerate() {
            let wins = self.winner == Some(i);
            // A winner whose start was never told ran since it was sent, as far as is known.
            let Some(from) = step.started.or(wins.then_some(step.sent)) else {
                continue;
            };
            let ran = step.ended_at.unwrap_or(now).saturating_sub(from);
            *if wins {
                &mut used.run_us
            } else {
                &mut used.wasted_us
            } += ran;
        }
        used
    }
}

impl Answer {
    /// How its operation ended, for bookkeepers.
    fn outcome(&self) -> OperationOutcome {
        match self {
            Answer::Served(_) => OperationOutcome::Served,
            Answer::Busy { .. } => OperationOutcome::Busy,
            Answer::Failed { .. } | Answer::Withheld => OperationOutcome::Failed,
        }
    }
}

impl Core {
    /// Has final answers booked from now on, by this one too; its number.
    pub fn attach_recorder(&mut self, recorder: Rc<dyn UsageRecorder>) -> usize {
        self.recorders.push(recorder);
        self.recorders.len() - 1
    }

    /// A bookkeeper has all its entries up to this number: answers that wait for nothing else go out.
    pub fn on_durable(&mut self, recorder: usize, upto: u64) {
        let mut ready = Vec::new();
        for (id, pending) in &mut self.pending_answers {
            let mut entries = pending
                .entries
                .iter_mut()
                .filter(|entry| entry.waits && entry.recorder == recorder);
            // Numbers rise with the answers: behind one that is not there yet none is.
            match entries.next() {
                Some(entry) if entry.number <= upto => entry.waits = false,
                Some(_) => break,
                None => continue,
            }
            if pending.entries.iter().all(|entry| !entry.waits) {
                ready.push(*id);
            }
        }
        ready.into_iter().for_each(|id| self.release(id));
    }

    /// Nothing becomes durable at a bookkeeper for now: the time of all answers that wait for it is up.
    pub fn expire_held_answers(&mut self, recorder: usize) {
        let pending: Vec<u64> = self.pending_answers.keys().copied().collect();
        for id in pending {
            self.expire(id, |entry| entry.recorder == recorder);
        }
    }

    /// The time of an answer is up, whoever has not booked it yet.
    pub(super) fn overdue(&mut self, id: u64) {
        self.expire(id, |_| true);
    }

    /// An answer waits no longer for such entries: it goes out, or is withheld.
    fn expire(&mut self, id: u64, is_over: impl Fn(&BookedEntry) -> bool) {
        let Some(pending) = self.pending_answers.get_mut(&id) else {
            return;
        };
        let outcome = pending.answer.outcome();
        let mut is_withheld = false;
        for entry in &mut pending.entries {
            if !entry.waits || !is_over(entry) {
                continue;
            }
            entry.waits = false;
            match self.recorders[entry.recorder].on_overdue(entry.number, outcome) {
                OverdueAction::Release => self.counters.answers_before_booked += 1,
                OverdueAction::Withhold => is_withheld = true,
            }
        }
        if is_withheld {
            self.withhold(id);
        } else if pending.entries.iter().all(|entry| !entry.waits) {
            self.release(id);
        }
    }

    fn release(&mut self, id: u64) {
        if let Some(pending) = self.pending_answers.remove(&id) {
            let receipt = self.receipt(&pending.entries);
            self.hand_out(&pending.front, pending.ticket, &pending.answer, receipt);
        }
    }

    fn withhold(&mut self, id: u64) {
        if let Some(pending) = self.pending_answers.remove(&id) {
            self.hand_out_withheld(&pending.front, pending.ticket, &pending.entries);
        }
    }

    /// One final answer for one who waits: booked first, where there are bookkeepers.
    pub(super) fn give(&mut self, now: Micros, used: &Used, waiter: Waiter, answer: &Answer) {
        let bookings = self.book(now, used, &waiter, answer.outcome());
        let Waiter { front, ticket, .. } = waiter;
        if bookings.refused {
            return self.hand_out_withheld(&front, ticket, &bookings.entries);
        }
        if bookings.entries.iter().all(|entry| !entry.waits) {
            let receipt = self.receipt(&bookings.entries);
            return self.hand_out(&front, ticket, answer, receipt);
        }
        self.last_pending += 1;
        let id = self.last_pending;
        self.pending_answers.insert(
            id,
            PendingAnswer {
                front,
                ticket,
                answer: answer.clone(),
                entries: bookings.entries,
            },
        );
        match bookings.until > now {
            true => self.at(bookings.until, Due::PendingAnswer(id)),
            false => self.overdue(id),
        }
    }

    /// Answers that are kept back for their entries are answered by then too.
    pub(super) fn answer_pending_by(&mut self, when: Micros) {
        let pending: Vec<u64> = self.pending_answers.keys().copied().collect();
        for id in pending {
            self.at(when, Due::PendingAnswer(id));
        }
    }

    /// Books the end of a request whose client has gone away: nothing is handed out.
    pub(super) fn book_gone(&mut self, now: Micros, used: &Used, waiter: &Waiter) {
        self.book(now, used, waiter, OperationOutcome::Gone);
    }

    fn book(
        &mut self,
        now: Micros,
        used: &Used,
        waiter: &Waiter,
        outcome: OperationOutcome,
    ) -> Bookings {
        let own = |n: Micros| if waiter.joined { 0 } else { n };
        let account = UsageRecord {
            operation: &waiter.id,
            tenant: waiter.tenant.as_ref(),
            class: used.class,
            outcome,
            joined: waiter.joined,
            slots: used.slots,
            run_us: own(used.run_us),
            wasted_us: own(used.wasted_us),
            attempts: if waiter.joined { 0 } else { used.attempts },
            idempotency_key: used.key.as_deref(),
        };
        let mut bookings = Bookings {
            entries: Vec::with_capacity(self.recorders.len()),
            until: now,
            refused: false,
        };
        for (number, recorder) in self.recorders.iter().enumerate() {
            let booking = recorder.record(now, used.by, &account);
            if matches!(booking, RecordStatus::Unbooked | RecordStatus::Refused) {
                self.counters.answers_unbooked += 1;
            }
            bookings.add(number, booking);
        }
        bookings
    }

    /// What a front says of an answer's delivery goes to all that have booked it.
    fn receipt(&self, entries: &[BookedEntry]) -> Receipt {
        let booked = entries
            .iter()
            .map(|entry| (self.recorders[entry.recorder].clone(), entry.number));
        Receipt(booked.collect())
    }

    /// The client is told that it does not get the result, and the bookkeepers that it was not written.
    fn hand_out_withheld(&mut self, front: &Rc<dyn Front>, ticket: u64, entries: &[BookedEntry]) {
        drop(self.receipt(entries));
        self.hand_out(front, ticket, &Answer::Withheld, Receipt::default());
    }

    /// The one place where final answers go out.
    fn hand_out(&mut self, front: &Rc<dyn Front>, ticket: u64, answer: &Answer, receipt: Receipt) {
        self.counters.answer(answer);
        front.answer(ticket, answer, receipt);
    }
}

impl Bookings {
    fn add(&mut self, recorder: usize, booking: RecordStatus) {
        let (number, waits) = match booking {
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
        self.entries.push(BookedEntry {
            recorder,
            number,
            waits,
        });
    }
}

impl Used {
    /// For a repeat that is answered as an earlier operation ended: nothing ran for it.
    pub(super) fn nothing(class: ClassId, slots: f64, key: Option<String>, by: Micros) -> Used {
        Used {
            class,
            slots,
            key,
            by,
            run_us: 0,
            wasted_us: 0,
            attempts: 0,
        }
    }
}
