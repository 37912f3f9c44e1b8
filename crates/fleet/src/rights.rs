//! Budgets over the whole fleet, held in rights: the escrow of bounded counters (Balegas and others), with leases.
//!
//! A budget's units are divided among **seats**, the members' names in the operators' file, the same at each member: a
//! seat's part is its own for good, and nobody else can make units. What a member does not need it lends; a loan ends
//! by itself. So no agreement is needed, and no part of the fleet can spend what another may.
//!
//! | who | may spend | until |
//! | --- | --- | --- |
//! | a seat's life | its part less what it has lent, and never lends below its floor | it ends |
//! | a borrower | what was granted | its own clock shows `lease` after it *asked* |
//! | the lender again | what it lent | its own clock shows `lease`, drift, `hold` and `margin` after it *granted* |
//! | a new life of a seat | nothing at first | the same time after its start, as its earlier life may have lent |
//!
//! A spent unit stays in use for `hold` at most, so one spent at the end of a lease is free again when the lender takes
//! the loan back. The borrower asked before the lender granted, and clocks drift by less than `drift`: the borrower's
//! time ends first, however long frames took.
//!
//! Invariant, asserted in `tests/rights.rs` and in the model: what all lives together have in use never exceeds the
//! budget. There is no slack beyond it.

use crate::life::{Life, Micros};
use crate::purse::Purse;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// One budget: jobs in hand at once, for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Whose.
    pub name: Arc<str>,
    /// Units over the whole fleet.
    pub units: u64,
}

/// What all members have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// The seats' names, in order.
    pub seats: Vec<Arc<str>>,
    /// The budgets, in order.
    pub budgets: Vec<Budget>,
    /// A seat does not lend its last units: so many of each budget, at most its part.
    pub floor: u64,
    /// How long a loan lasts.
    pub lease: Micros,
    /// The longest time that a spent unit is in use.
    pub hold: Micros,
    /// Added for slow moments of the two processes.
    pub margin: Micros,
}

/// Clocks of two members drift apart by no more than one part in so many: crystal clocks keep to one in 10,000.
const DRIFT: u64 = 1_000;

impl Terms {
    /// A seat's part of a budget; nothing for a name without a seat.
    pub fn part(&self, name: &str, budget: usize) -> u64 {
        let Some(seat) = self.seats.iter().position(|s| &**s == name) else {
            return 0;
        };
        let (units, n) = (self.budgets[budget].units, self.seats.len() as u64);
        units / n + u64::from((seat as u64) < units % n)
    }

    /// For how long a lender must take a loan for spent.
    pub fn away(&self) -> Micros {
        self.lease + self.lease / DRIFT + self.hold + self.hold / DRIFT + self.margin
    }

    /// A mark of these terms: members of other terms neither lend to each other nor borrow.
    pub fn mark(&self) -> u64 {
        let mut hash = blake3::Hasher::new();
        for seat in &self.seats {
            hash.update(seat.as_bytes()).update(&[0]);
        }
        for budget in &self.budgets {
            hash.update(budget.name.as_bytes())
                .update(&[1])
                .update(&budget.units.to_le_bytes());
        }
        for n in [self.lease, self.hold, self.margin] {
            hash.update(&n.to_le_bytes());
        }
        u64::from_le_bytes(
            hash.finalize().as_bytes()[..8]
                .try_into()
                .expect("eight bytes"),
        )
    }
}

/// A borrower asks a lender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ask {
    /// The mark of the asker's [`Terms`].
    pub terms: u64,
    /// The budget's number.
    pub budget: u16,
    /// Counts this asker's calls: a grant for an earlier one is void.
    pub seq: u64,
    /// On the asker's clock; comes back with the grant.
    pub at: Micros,
    /// Units of this lender that the asker keeps: it spends no more than these until the grant comes.
    pub keeps: u64,
    /// Units that it would have from this lender in all.
    pub wants: u64,
}

/// The lender's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Grant {
    /// As in the call.
    pub terms: u64,
    /// As in the call.
    pub budget: u16,
    /// As in the call.
    pub seq: u64,
    /// As in the call.
    pub at: Micros,
    /// Units that the asker may spend, in all, until `lease` after it asked.
    pub units: u64,
    /// Units that the lender could lend besides.
    pub spare: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Loan {
    seq: u64,
    /// Units and when they come back, by what was granted and not yet ended.
    grants: Vec<(u64, Micros)>,
}

impl Loan {
    fn out(&self) -> u64 {
        self.grants.iter().map(|g| g.0).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Borrowed {
    units: u64,
    until: Micros,
    /// The call that is out, if one is.
    seq: u64,
    asked: Micros,
    answered: bool,
    /// What the lender last said it could lend besides.
    spare: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Book {
    loans: BTreeMap<Life, Loan>,
    from: BTreeMap<Arc<str>, Borrowed>,
    /// What the data path would have in use if it could.
    wants: u64,
}

/// What the books need of a purse. [`Purse`] is the real one; a model has a plain one.
pub trait Pocket {
    /// Units in use.
    fn used(&self) -> u64;
    /// What is own and what is borrowed.
    fn rights(&self) -> (u64, u64);
    /// See [`Purse`].
    fn grow(&mut self, own: u64, borrowed: u64, until: Micros);
    /// See [`Purse`].
    fn take_own(&mut self, most: u64) -> u64;
    /// See [`Purse`].
    fn take_borrowed(&mut self, most: u64) -> u64;
    /// See [`Purse`].
    fn end_borrowed(&mut self, left: u64, until: Micros);
}

impl Pocket for Arc<Purse> {
    fn used(&self) -> u64 {
        Purse::used(self)
    }
    fn rights(&self) -> (u64, u64) {
        Purse::rights(self)
    }
    fn grow(&mut self, own: u64, borrowed: u64, until: Micros) {
        Purse::grow(self, own, borrowed, until)
    }
    fn take_own(&mut self, most: u64) -> u64 {
        Purse::take_own(self, most)
    }
    fn take_borrowed(&mut self, most: u64) -> u64 {
        Purse::take_borrowed(self, most)
    }
    fn end_borrowed(&mut self, left: u64, until: Micros) {
        Purse::end_borrowed(self, left, until)
    }
}

/// Units by member.
pub type Shares = Vec<(String, u64)>;

/// One life's books of all budgets, beside a pocket for each.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rights<P> {
    me: Life,
    terms: Arc<Terms>,
    mark: u64,
    started: Micros,
    seated: bool,
    seq: u64,
    books: Vec<Book>,
    /// One for each budget.
    pub pockets: Vec<P>,
}

/// Calls to one lender at a time, for a budget, in one round.
const CALLS: usize = 4;

impl<P: Pocket> Rights<P> {
    /// The books of a life that starts now, with empty pockets.
    pub fn new(me: Life, terms: Arc<Terms>, pockets: Vec<P>, now: Micros) -> Rights<P> {
        debug_assert_eq!(pockets.len(), terms.budgets.len());
        let (mark, books) = (terms.mark(), vec![Book::default(); terms.budgets.len()]);
        Rights {
            me,
            terms,
            mark,
            started: now,
            seated: false,
            seq: 0,
            books,
            pockets,
        }
    }

    /// Time has passed: a seat's part comes in once no earlier life can have lent it, loans come back, and what was
    /// borrowed ends.
    pub fn tick(&mut self, now: Micros) {
        if !self.seated && now >= self.started + self.terms.away() {
            self.seated = true;
            for (budget, pocket) in self.pockets.iter_mut().enumerate() {
                let (own, borrowed) = pocket.rights();
                let until = ends(&self.books[budget]);
                pocket.grow(
                    own + self.terms.part(&self.me.name, budget),
                    borrowed,
                    until,
                );
            }
        }
        for (book, pocket) in self.books.iter_mut().zip(&mut self.pockets) {
            let before: u64 = book.loans.values().map(Loan::out).sum();
            book.loans
                .values_mut()
                .for_each(|l| l.grants.retain(|g| g.1 > now));
            book.loans.retain(|_, l| !l.grants.is_empty());
            let back = before - book.loans.values().map(Loan::out).sum::<u64>();
            if back > 0 {
                let (own, borrowed) = pocket.rights();
                pocket.grow(own + back, borrowed, ends(book));
            }
            if book.from.values().any(|b| b.units > 0 && b.until <= now) {
                book.from
                    .values_mut()
                    .filter(|b| b.until <= now)
                    .for_each(|b| b.units = 0);
                pocket.end_borrowed(book.from.values().map(|b| b.units).sum(), ends(book));
            }
        }
    }

    /// What the data path would have in use of a budget, and whom to call for it: members that live, but this one.
    /// Gives back what is not needed. Call it in even rounds; each makes a few calls at most.
    pub fn want(
        &mut self,
        now: Micros,
        budget: usize,
        wants: u64,
        others: &[Arc<str>],
    ) -> Vec<(Arc<str>, Ask)> {
        self.tick(now);
        let (lease, part) = (self.terms.lease, |n: &str| self.terms.part(n, budget));
        let (book, pocket) = (&mut self.books[budget], &mut self.pockets[budget]);
        book.wants = wants;
        let (own, borrowed) = pocket.rights();
        let mut short = wants.saturating_sub(own + borrowed);
        // Too much by a quarter goes back, so that rights do not swing between members.
        let over = (own + borrowed)
            .saturating_sub(wants + wants / 4 + 1)
            .min(borrowed);
        let mut back = if over > 0 {
            pocket.take_borrowed(over)
        } else {
            0
        };
        let mut calls: Vec<(Arc<str>, u64, u64)> = Vec::new();
        for (lender, b) in &mut book.from {
            if b.units == 0 {
                continue;
            }
            let returned = b.units.min(back);
            (b.units, back) = (b.units - returned, back - returned);
            let renew = b.until.saturating_sub(now) < lease * 2 / 3;
            let waits = !b.answered && now.saturating_sub(b.asked) < lease / 6;
            if returned > 0 || renew && !waits {
                let more = short.min(b.spare.unwrap_or(0));
                short -= more;
                calls.push((lender.clone(), b.units, b.units + more));
            }
        }
        let mut lenders: Vec<(u64, &Arc<str>)> = Vec::new();
        if short > 0 {
            for name in others
                .iter()
                .filter(|n| part(n) > 0 && calls.iter().all(|c| c.0 != **n))
            {
                let known = book.from.get(name);
                let recent = known.is_some_and(|b| now.saturating_sub(b.asked) < lease / 12);
                // What a lender said holds for a while; then it may have more.
                let stale = known.is_none_or(|b| now.saturating_sub(b.asked) > lease / 3);
                let spare = if stale {
                    part(name)
                } else {
                    known.and_then(|b| b.spare).unwrap_or(0)
                };
                if spare > 0 && !recent {
                    lenders.push((spare, name));
                }
            }
            lenders.sort_by(|a, b| b.cmp(a));
        }
        for (spare, name) in lenders.into_iter().take(CALLS) {
            let keeps = book.from.get(name).map_or(0, |b| b.units);
            calls.push((name.clone(), keeps, keeps + short.min(spare)));
            short = short.saturating_sub(spare);
        }
        let out = calls.into_iter().map(|(name, keeps, wants)| {
            self.seq += 1;
            let b = book.from.entry(name.clone()).or_default();
            (b.seq, b.asked, b.answered) = (self.seq, now, false);
            (
                name,
                Ask {
                    terms: self.mark,
                    budget: budget as u16,
                    seq: self.seq,
                    at: now,
                    keeps,
                    wants,
                },
            )
        });
        let out = out.collect();
        debug_assert!(book.from.values().map(|b| b.units).sum::<u64>() >= pocket.rights().1);
        out
    }

    /// Another life asks; what it is granted.
    pub fn asked(&mut self, now: Micros, from: &Life, ask: &Ask) -> Option<Grant> {
        self.tick(now);
        let budget = usize::from(ask.budget);
        if ask.terms != self.mark || budget >= self.books.len() || from.name == self.me.name {
            return None;
        }
        let (book, pocket) = (&mut self.books[budget], &mut self.pockets[budget]);
        let loan = book.loans.entry(from.clone()).or_default();
        if ask.seq <= loan.seq {
            return None; // an earlier call, or the same again: its answer is void or on its way
        }
        loan.seq = ask.seq;
        // From this call on the asker spends no more than it keeps, and grants for earlier calls are void.
        let before = loan.out();
        loan.grants
            .iter_mut()
            .for_each(|g| g.0 = g.0.min(ask.keeps));
        loan.grants.retain(|g| g.0 > 0);
        let keeps = loan.out(); // what it says it keeps beyond what it was granted was never this lender's
        let back = before - keeps;
        let (own, borrowed) = pocket.rights();
        if back > 0 {
            pocket.grow(own + back, borrowed, ends(book));
        }
        let (own, _) = pocket.rights();
        let need = book
            .wants
            .max(self.terms.floor.min(self.terms.part(&self.me.name, budget)));
        let spare = own.saturating_sub(need);
        let loan = book.loans.get_mut(from).expect("just there");
        let units = if spare == 0 && own < need {
            keeps.saturating_sub(need - own).min(ask.wants) // it is needed here: less is renewed
        } else {
            let more = ask.wants.saturating_sub(keeps).min(spare);
            keeps.min(ask.wants) + pocket.take_own(more)
        };
        if units > 0 {
            loan.grants.push((units, now + self.terms.away()));
        }
        if loan.grants.is_empty() {
            // The number stays known for as long as the call may be repeated.
            loan.grants.push((0, now + self.terms.away()));
        }
        let spare = pocket.rights().0.saturating_sub(need);
        Some(Grant {
            terms: self.mark,
            budget: ask.budget,
            seq: ask.seq,
            at: ask.at,
            units,
            spare,
        })
    }

    /// A lender has answered.
    pub fn granted(&mut self, now: Micros, from: &Arc<str>, grant: &Grant) {
        self.tick(now);
        let budget = usize::from(grant.budget);
        if grant.terms != self.mark || budget >= self.books.len() {
            return;
        }
        let (book, pocket) = (&mut self.books[budget], &mut self.pockets[budget]);
        let until = grant.at + self.terms.lease;
        let Some(b) = book.from.get_mut(from) else {
            return;
        };
        // Only the last call's, once, and not when its time has passed on the way.
        if b.seq != grant.seq || b.asked != grant.at || b.answered || until <= now {
            return;
        }
        (b.answered, b.spare) = (true, Some(grant.spare));
        let most = self.terms.budgets[budget].units;
        let units = grant.units.min(most);
        if units >= b.units {
            (b.units, b.until) = (units, until);
            let all = book.from.values().map(|b| b.units).sum();
            let (own, borrowed) = pocket.rights();
            pocket.grow(own, borrowed.max(all), ends(book));
        } else {
            // Less is renewed: what is in use of the rest ends with the earlier lease.
            let taken = pocket.take_borrowed(b.units - units);
            b.units -= taken;
            if b.units == units {
                b.until = until;
            }
            let (own, borrowed) = pocket.rights();
            pocket.grow(own, borrowed, ends(book));
        }
    }

    /// What is lent, and to whom; what is borrowed, and from whom: units by name, for a budget.
    pub fn books(&self, budget: usize) -> (Shares, Shares) {
        let book = &self.books[budget];
        let lent = book
            .loans
            .iter()
            .map(|(l, loan)| (l.to_string(), loan.out()))
            .filter(|l| l.1 > 0);
        let from = book
            .from
            .iter()
            .map(|(n, b)| (n.to_string(), b.units))
            .filter(|b| b.1 > 0);
        (lent.collect(), from.collect())
    }

    /// Whether the seat's own part has come in.
    pub fn seated(&self) -> bool {
        self.seated
    }

    /// What is common to all members.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
}

/// The earliest end of what is borrowed; as late as can be, if nothing is.
fn ends(book: &Book) -> Micros {
    book.from
        .values()
        .filter(|b| b.units > 0)
        .map(|b| b.until)
        .min()
        .unwrap_or(Micros::MAX)
}
