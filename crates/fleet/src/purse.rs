//! Where the data path spends rights, and the state's thread gives and takes them back: one word that both exchange.
//!
//! The word holds what is own, what is borrowed, and what is in use, so that a right in use cannot be taken away and one
//! that was taken away cannot be spent. Borrowed rights end at a time of their own, which the spender compares with its
//! clock at each spending: a process that was stopped past its lease spends none of them, whatever it had before.

use crate::life::Micros;
use std::sync::atomic::{AtomicU64, Ordering::*};

/// The most units that a budget may have: 20 bits are kept for each part of the word.
pub const MOST_UNITS: u64 = (1 << 20) - 1;

/// One budget's rights at one member.
#[derive(Debug, Default)]
pub struct Purse {
    /// In use in the low 24 bits, borrowed in the next 20, own in the next 20.
    word: AtomicU64,
    /// When what is borrowed ends; only raised while nothing that ends earlier is borrowed.
    until: AtomicU64,
    /// Nothing is spent from then on, until the state's thread has looked at the clock again.
    fresh: AtomicU64,
    denied: AtomicU64,
}

#[derive(Clone, Copy)]
struct Word {
    used: u64,
    borrowed: u64,
    own: u64,
}

fn open(word: u64) -> Word {
    Word {
        used: word & 0xff_ffff,
        borrowed: (word >> 24) & MOST_UNITS,
        own: (word >> 44) & MOST_UNITS,
    }
}

fn close(w: Word) -> u64 {
    debug_assert!(w.used <= 0xff_ffff && w.borrowed <= MOST_UNITS && w.own <= MOST_UNITS);
    w.used | w.borrowed << 24 | w.own << 44
}

impl Purse {
    /// Takes one unit into use, if there is one at this time.
    pub fn spend(&self, now: Micros) -> bool {
        let may = |word: u64| {
            let mut w = open(word);
            (w.used < self.rights_at(now, w)).then(|| {
                w.used += 1;
                close(w)
            })
        };
        let spent = self.word.fetch_update(AcqRel, Acquire, may).is_ok();
        if !spent {
            self.denied.fetch_add(1, Relaxed);
        }
        spent
    }

    /// Units that could be spent at this time.
    pub fn free(&self, now: Micros) -> u64 {
        let w = open(self.word.load(Acquire));
        self.rights_at(now, w).saturating_sub(w.used)
    }

    fn rights_at(&self, now: Micros, w: Word) -> u64 {
        if cfg!(feature = "mutant-lease") {
            return w.own + w.borrowed;
        }
        match now < self.fresh.load(Acquire) {
            true => {
                w.own
                    + if now < self.until.load(Acquire) {
                        w.borrowed
                    } else {
                        0
                    }
            }
            false => 0,
        }
    }

    /// The state's thread is awake, and will be again before then.
    pub fn refresh(&self, until: Micros) {
        self.fresh.store(until, Release);
    }

    /// A unit is no longer in use.
    pub fn give_back(&self) {
        let one_less = |word: u64| {
            let mut w = open(word);
            w.used = w.used.checked_sub(1)?;
            Some(close(w))
        };
        let done = self.word.fetch_update(AcqRel, Acquire, one_less).is_ok();
        debug_assert!(done, "a unit was given back that was never spent");
    }

    /// Units in use.
    pub fn used(&self) -> u64 {
        open(self.word.load(Acquire)).used
    }

    /// Spendings denied since this was last asked.
    pub fn take_denied(&self) -> u64 {
        self.denied.swap(0, AcqRel)
    }

    /// More is own or borrowed, the borrowed part until then: it may always grow.
    pub fn grow(&self, own: u64, borrowed: u64, until: Micros) {
        let set = |word: u64| {
            let w = open(word);
            debug_assert!(own >= w.own && borrowed >= w.borrowed);
            Some(close(Word {
                own: own.min(MOST_UNITS),
                borrowed: borrowed.min(MOST_UNITS),
                ..w
            }))
        };
        self.until.store(until, Release);
        let _ = self.word.fetch_update(AcqRel, Acquire, set);
    }

    /// Takes away up to so many own units that are not in use; how many were taken. What is in use is covered by own
    /// units and by those borrowed, which end: own ones are taken only as far as the rest covers what is in use.
    pub fn take_own(&self, most: u64) -> u64 {
        let mut taken = 0;
        let less = |word: u64| {
            let mut w = open(word);
            taken = most.min(w.own.saturating_sub(w.used));
            w.own -= taken;
            Some(close(w))
        };
        let _ = self.word.fetch_update(AcqRel, Acquire, less);
        taken
    }

    /// Takes away up to so many borrowed units that are not in use; how many were taken.
    pub fn take_borrowed(&self, most: u64) -> u64 {
        let mut taken = 0;
        let less = |word: u64| {
            let mut w = open(word);
            taken = most
                .min(w.borrowed)
                .min((w.own + w.borrowed).saturating_sub(w.used));
            w.borrowed -= taken;
            Some(close(w))
        };
        let _ = self.word.fetch_update(AcqRel, Acquire, less);
        taken
    }

    /// Borrowed units have ended, in use or not; what is left of them ends then.
    pub(crate) fn end_borrowed(&self, left: u64, until: Micros) {
        let set = |word: u64| {
            Some(close(Word {
                borrowed: left.min(MOST_UNITS),
                ..open(word)
            }))
        };
        let _ = self.word.fetch_update(AcqRel, Acquire, set);
        self.until.store(until, Release);
    }

    /// What is own and what is borrowed.
    pub fn rights(&self) -> (u64, u64) {
        let w = open(self.word.load(Acquire));
        (w.own, w.borrowed)
    }
}
