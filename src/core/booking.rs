//! Final answers where they are booked first: each is held until all bookkeepers have it, or its time is up.
//!
//! Invariant: an answer is handed out once; with bookkeepers that keep up, never before it is booked.

use super::{Answer, Core, Due, Entered, Front, Micros};
use crate::interface::ClassId;
use std::rc::Rc;
use std::sync::Arc;

/// How an operation ended, for a bookkeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
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
pub struct Account<'a> {
    /// The operation's id.
    pub operation: &'a str,
    /// Whose it was.
    pub tenant: Option<&'a Arc<str>>,
    /// Its class.
    pub class: ClassId,
    /// How it ended.
    pub ended: Ended,
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
pub enum Booking {
    /// It is held until [`Core::durable`] tells of this number, and no longer than until then.
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
}

/// Books final answers. None of its calls may block or call the core.
pub trait Bookkeeper {
    /// Whether new operations are taken.
    fn takes_work(&self) -> bool;
    /// Books an answer that must be out `by` then.
    fn book(&self, now: Micros, by: Micros, account: &Account) -> Booking;
    /// A held answer goes out although it is not known to be booked.
    fn overdue(&self, number: u64);
    /// The answer of this number was written to its client to the last byte, or could not be.
    fn written(&self, number: u64, whole: bool);
}

/// Goes with a final answer to its front, which says when the last byte is written. Dropping it says that it was
/// not: the client had left.
#[derive(Default)]
#[must_use]
pub struct Receipt(Vec<(Rc<dyn Bookkeeper>, u64)>);

impl Receipt {
    /// The answer was written to the last byte.
    pub fn written(mut self) {
        self.0
            .drain(..)
            .for_each(|(keeper, number)| keeper.written(number, true));
    }
}

impl Drop for Receipt {
    fn drop(&mut self) {
        self.0
            .drain(..)
            .for_each(|(keeper, number)| keeper.written(number, false));
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
    booked: Vec<Booked>,
}

/// An entry of one bookkeeper.
#[derive(Clone, Copy)]
struct Booked {
    keeper: usize,
    number: u64,
    /// The answer waits for it.
    waits: bool,
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

impl Core {
    /// Has final answers booked from now on, by this one too; its number.
    pub fn attach_bookkeeper(&mut self, keeper: Rc<dyn Bookkeeper>) -> usize {
        self.bookkeepers.push(keeper);
        self.bookkeepers.len() - 1
    }

    /// A bookkeeper has all its entries up to this number: answers that wait for nothing else go out.
    pub fn durable(&mut self, keeper: usize, upto: u64) {
        self.let_go(keeper, |booked| booked.number <= upto);
    }

    /// Nothing becomes durable at a bookkeeper for now: what waits for it alone goes out.
    pub fn hold_no_longer(&mut self, keeper: usize) {
        for held in self.pending_answers.values() {
            for booked in held.booked.iter().filter(|b| b.waits && b.keeper == keeper) {
                self.bookkeepers[keeper].overdue(booked.number);
                self.counters.answers_before_booked += 1;
            }
        }
        self.let_go(keeper, |_| true);
    }

    /// The answers that need not wait any more for such entries.
    fn let_go(&mut self, keeper: usize, there: impl Fn(&Booked) -> bool) {
        let mut free = Vec::new();
        for (no, held) in &mut self.pending_answers {
            let mut entries = held
                .booked
                .iter_mut()
                .filter(|b| b.waits && b.keeper == keeper);
            // Numbers rise with the answers: behind one that is not there yet none is.
            match entries.next() {
                Some(entry) if there(entry) => entry.waits = false,
                Some(_) => break,
                None => continue,
            }
            if held.booked.iter().all(|b| !b.waits) {
                free.push(*no);
            }
        }
        free.into_iter().for_each(|no| self.release(no));
    }

    /// The time of an answer is up: it goes out, whoever has not booked it yet.
    pub(super) fn overdue(&mut self, no: u64) {
        let Some(held) = self.pending_answers.get(&no) else {
            return;
        };
        for booked in held.booked.iter().filter(|b| b.waits) {
            self.counters.answers_before_booked += 1;
            self.bookkeepers[booked.keeper].overdue(booked.number);
        }
        self.release(no);
    }

    fn release(&mut self, no: u64) {
        if let Some(held) = self.pending_answers.remove(&no) {
            self.hand_out(&held.front, held.ticket, &held.answer, &held.booked);
        }
    }

    /// One final answer for one who waits: booked first, where there are bookkeepers.
    pub(super) fn give(&mut self, now: Micros, used: &Used, waiter: Waiter, answer: &Answer) {
        let ended = match answer {
            Answer::Served(_) => Ended::Served,
            Answer::Busy { .. } => Ended::Busy,
            Answer::Failed { .. } => Ended::Failed,
        };
        let (booked, until) = self.book(now, used, &waiter, ended);
        let Waiter { front, ticket, .. } = waiter;
        if booked.iter().all(|b| !b.waits) {
            return self.hand_out(&front, ticket, answer, &booked);
        }
        self.last_pending += 1;
        let no = self.last_pending;
        self.pending_answers.insert(
            no,
            PendingAnswer {
                front,
                ticket,
                answer: answer.clone(),
                booked,
            },
        );
        match until > now {
            true => self.at(until, Due::Held(no)),
            false => self.overdue(no),
        }
    }

    /// Books the end of a request whose client has gone away: nothing is handed out.
    pub(super) fn book_gone(&mut self, now: Micros, used: &Used, waiter: &Waiter) {
        self.book(now, used, waiter, Ended::Gone);
    }

    /// The entries, and until when the answer waits for those that it waits for.
    fn book(
        &mut self,
        now: Micros,
        used: &Used,
        waiter: &Waiter,
        ended: Ended,
    ) -> (Vec<Booked>, Micros) {
        let own = |n: Micros| if waiter.joined { 0 } else { n };
        let account = Account {
            operation: &waiter.id,
            tenant: waiter.tenant.as_ref(),
            class: used.class,
            ended,
            joined: waiter.joined,
            slots: used.slots,
            run_us: own(used.run_us),
            wasted_us: own(used.wasted_us),
            attempts: if waiter.joined { 0 } else { used.attempts },
            idempotency_key: used.key.as_deref(),
        };
        let (mut entries, mut latest) = (Vec::with_capacity(self.bookkeepers.len()), now);
        for (keeper, k) in self.bookkeepers.iter().enumerate() {
            match k.book(now, used.by, &account) {
                Booking::Hold { number, until } => {
                    entries.push(Booked {
                        keeper,
                        number,
                        waits: true,
                    });
                    latest = latest.max(until);
                }
                Booking::Open { number } => entries.push(Booked {
                    keeper,
                    number,
                    waits: false,
                }),
                Booking::Unbooked => self.counters.answers_unbooked += 1,
            }
        }
        (entries, latest)
    }

    /// The one place where final answers go out.
    fn hand_out(&mut self, front: &Rc<dyn Front>, ticket: u64, answer: &Answer, booked: &[Booked]) {
        self.counters.answer(answer);
        let receipt = booked
            .iter()
            .map(|b| (self.bookkeepers[b.keeper].clone(), b.number))
            .collect();
        front.answer(ticket, answer, Receipt(receipt));
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
