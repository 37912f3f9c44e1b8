//! Final answers where they are booked first: each is held until its entry is durable, or its time is up.
//!
//! Invariant: an answer is handed out once; with a bookkeeper that keeps up, never before it is booked.

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
pub struct Receipt(Option<(Rc<dyn Bookkeeper>, u64)>);

impl Receipt {
    /// The answer was written to the last byte.
    pub fn written(mut self) {
        if let Some((keeper, number)) = self.0.take() {
            keeper.written(number, true);
        }
    }
}

impl Drop for Receipt {
    fn drop(&mut self) {
        if let Some((keeper, number)) = self.0.take() {
            keeper.written(number, false);
        }
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

/// A final answer whose entry is not durable yet.
pub(super) struct Held {
    front: Rc<dyn Front>,
    ticket: u64,
    answer: Answer,
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
            let Some(from) = step.started.or(wins.then_some(step.sent)) else { continue };
            let ran = step.ended_at.unwrap_or(now).saturating_sub(from);
            *if wins { &mut used.run_us } else { &mut used.wasted_us } += ran;
        }
        used
    }
}

impl Core {
    /// Has final answers booked from now on.
    pub fn attach_bookkeeper(&mut self, keeper: Rc<dyn Bookkeeper>) {
        self.keeper = Some(keeper);
    }

    /// All entries up to this number are durable: their answers go out.
    pub fn durable(&mut self, upto: u64) {
        let later = self.held.split_off(&upto.saturating_add(1));
        for (number, held) in std::mem::replace(&mut self.held, later) {
            self.hand_out(&held.front, held.ticket, &held.answer, Some(number));
        }
    }

    /// Nothing becomes durable for now: all that is held goes out.
    pub fn hold_no_longer(&mut self) {
        while let Some(number) = self.held.keys().next().copied() {
            self.overdue(number);
        }
    }

    pub(super) fn overdue(&mut self, number: u64) {
        let Some(held) = self.held.remove(&number) else { return };
        self.counters.answers_before_booked += 1;
        self.keeper.iter().for_each(|k| k.overdue(number));
        self.hand_out(&held.front, held.ticket, &held.answer, Some(number));
    }

    /// One final answer for one who waits: booked first, where there is a bookkeeper.
    pub(super) fn give(&mut self, now: Micros, used: &Used, waiter: Waiter, answer: &Answer) {
        let ended = match answer {
            Answer::Served(_) => Ended::Served,
            Answer::Busy { .. } => Ended::Busy,
            Answer::Failed { .. } => Ended::Failed,
        };
        let Waiter { front, ticket, .. } = &waiter;
        match self.book(now, used, &waiter, ended) {
            None => self.hand_out(front, *ticket, answer, None),
            Some(Booking::Unbooked) => {
                self.counters.answers_unbooked += 1;
                self.hand_out(front, *ticket, answer, None);
            }
            Some(Booking::Hold { number, until }) => {
                self.held
                    .insert(number, Held { front: front.clone(), ticket: *ticket, answer: answer.clone() });
                match until > now {
                    true => self.at(until, Due::Held(number)),
                    false => self.overdue(number),
                }
            }
        }
    }

    /// Books the end of a request whose client has gone away: nothing is handed out.
    pub(super) fn book_gone(&mut self, now: Micros, used: &Used, waiter: &Waiter) {
        if let Some(Booking::Unbooked) = self.book(now, used, waiter, Ended::Gone) {
            self.counters.answers_unbooked += 1;
        }
    }

    fn book(&self, now: Micros, used: &Used, waiter: &Waiter, ended: Ended) -> Option<Booking> {
        let keeper = self.keeper.as_ref()?;
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
        Some(keeper.book(now, used.by, &account))
    }

    /// The one place where final answers go out.
    fn hand_out(&mut self, front: &Rc<dyn Front>, ticket: u64, answer: &Answer, number: Option<u64>) {
        self.counters.answer(answer);
        let receipt = self.keeper.clone().zip(number);
        front.answer(ticket, answer, Receipt(receipt));
    }
}

impl Used {
    /// For a repeat that is answered as an earlier operation ended: nothing ran for it.
    pub(super) fn nothing(class: ClassId, slots: f64, key: Option<String>, by: Micros) -> Used {
        Used { class, slots, key, by, run_us: 0, wasted_us: 0, attempts: 0 }
    }
}
