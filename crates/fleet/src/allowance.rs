//! Where the data path acquires units of a quota, while the state's thread adds and reclaims them: one atomic word that
//! both exchange.
//!
//! The word holds the own units, the borrowed ones, and those in use, so that a unit in use cannot be reclaimed and a
//! reclaimed one cannot be acquired. Borrowed units expire at a time that each acquisition compares with its clock: a
//! process that was stopped past the end of its lease acquires none of them, whatever it had before.

use crate::incarnation::Micros;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Bits of the word that hold the units in use.
const IN_USE_BITS: u32 = 24;
/// Bits of the word that hold the own units, and as many for the borrowed ones.
const HELD_BITS: u32 = 20;
const MAX_IN_USE: u64 = (1 << IN_USE_BITS) - 1;
/// The most units that a quota may have.
pub const MAX_QUOTA_UNITS: u64 = (1 << HELD_BITS) - 1;

/// Units that a member holds of a quota, in use or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldUnits {
    /// Units of the member's share that are not lent.
    pub own: u64,
    /// Units borrowed from other members.
    pub borrowed: u64,
}

impl HeldUnits {
    /// Own and borrowed units together.
    pub fn total(self) -> u64 {
        self.own + self.borrowed
    }
}

/// What [`QuotaLeases`](crate::quota::QuotaLeases) need of the place where units are acquired. [`QuotaAllowance`] is the
/// one of the data path; a model checker has one without atomics.
pub trait Allowance {
    /// Units in use.
    fn in_use(&self) -> u64;
    /// Units held.
    fn held(&self) -> HeldUnits;
    /// Sets the units held, none of which may decrease, and when the borrowed ones expire.
    fn grow(&mut self, held: HeldUnits, borrowed_until: Micros);
    /// Takes away up to so many own units that are not in use; returns how many.
    fn reclaim_own(&mut self, max_units: u64) -> u64;
    /// Takes away up to so many borrowed units that are not in use; returns how many.
    fn reclaim_borrowed(&mut self, max_units: u64) -> u64;
    /// Leaves so many borrowed units, which expire then; the others have expired, in use or not.
    fn expire_borrowed(&mut self, remaining: u64, borrowed_until: Micros);
}

/// The units of one quota at one member, shared by the data path and the state's thread.
#[derive(Debug, Default)]
pub struct QuotaAllowance {
    /// [`Units`], packed: in use in the low 24 bits, borrowed in the next 20, own in the next 20.
    packed: AtomicU64,
    /// When the borrowed units expire; only raised while no borrowed unit expires earlier.
    borrowed_until: AtomicU64,
    /// Nothing is acquired from then on, until the state's thread has extended it.
    valid_until: AtomicU64,
    /// Failed acquisitions since they were last taken.
    denied: AtomicU64,
}

#[derive(Clone, Copy)]
struct Units {
    in_use: u64,
    held: HeldUnits,
}

impl Units {
    fn unpack(packed: u64) -> Units {
        Units {
            in_use: packed & MAX_IN_USE,
            held: HeldUnits {
                borrowed: (packed >> IN_USE_BITS) & MAX_QUOTA_UNITS,
                own: (packed >> (IN_USE_BITS + HELD_BITS)) & MAX_QUOTA_UNITS,
            },
        }
    }

    fn pack(self) -> u64 {
        debug_assert!(self.in_use <= MAX_IN_USE);
        debug_assert!(self.held.borrowed <= MAX_QUOTA_UNITS && self.held.own <= MAX_QUOTA_UNITS);
        self.in_use | self.held.borrowed << IN_USE_BITS | self.held.own << (IN_USE_BITS + HELD_BITS)
    }
}

impl QuotaAllowance {
    /// Takes one unit into use; returns whether there was one at this time.
    pub fn try_acquire(&self, now: Micros) -> bool {
        let acquired = self.update(|mut units| {
            if units.in_use >= self.usable(now, units.held) {
                return None;
            }
            units.in_use += 1;
            Some(units)
        });
        if !acquired {
            self.denied.fetch_add(1, Ordering::Relaxed);
        }
        acquired
    }

    /// Takes a unit out of use that was acquired before.
    pub fn release(&self) {
        let released = self.update(|mut units| {
            units.in_use = units.in_use.checked_sub(1)?;
            Some(units)
        });
        debug_assert!(released, "a unit was released that was never acquired");
    }

    /// Units that could be acquired at this time.
    pub fn available(&self, now: Micros) -> u64 {
        let units = self.load();
        self.usable(now, units.held).saturating_sub(units.in_use)
    }

    /// Units of those held that may be in use at this time.
    fn usable(&self, now: Micros, held: HeldUnits) -> u64 {
        if cfg!(feature = "mutant-lease") {
            return held.total();
        }
        if now >= self.valid_until.load(Ordering::Acquire) {
            return 0;
        }
        if now < self.borrowed_until.load(Ordering::Acquire) {
            held.total()
        } else {
            held.own
        }
    }

    /// Allows acquisitions before this time: the state's thread runs, and will run again before then.
    pub fn set_valid_until(&self, until: Micros) {
        self.valid_until.store(until, Ordering::Release);
    }

    /// Failed acquisitions since this was last called.
    pub fn take_denied(&self) -> u64 {
        self.denied.swap(0, Ordering::AcqRel)
    }

    /// Units in use.
    pub fn in_use(&self) -> u64 {
        self.load().in_use
    }

    /// Units held.
    pub fn held(&self) -> HeldUnits {
        self.load().held
    }

    /// See [`Allowance::grow`].
    pub fn grow(&self, held: HeldUnits, borrowed_until: Micros) {
        self.borrowed_until.store(borrowed_until, Ordering::Release);
        self.update(|units| {
            debug_assert!(held.own >= units.held.own && held.borrowed >= units.held.borrowed);
            Some(Units {
                in_use: units.in_use,
                held: HeldUnits {
                    own: held.own.min(MAX_QUOTA_UNITS),
                    borrowed: held.borrowed.min(MAX_QUOTA_UNITS),
                },
            })
        });
    }

    /// See [`Allowance::reclaim_own`]. Borrowed units expire, so own ones must cover all that is in use.
    pub fn reclaim_own(&self, max_units: u64) -> u64 {
        let mut reclaimed = 0;
        self.update(|mut units| {
            reclaimed = max_units.min(units.held.own.saturating_sub(units.in_use));
            units.held.own -= reclaimed;
            Some(units)
        });
        reclaimed
    }

    /// See [`Allowance::reclaim_borrowed`].
    pub fn reclaim_borrowed(&self, max_units: u64) -> u64 {
        let mut reclaimed = 0;
        self.update(|mut units| {
            reclaimed = max_units
                .min(units.held.borrowed)
                .min(units.held.total().saturating_sub(units.in_use));
            units.held.borrowed -= reclaimed;
            Some(units)
        });
        reclaimed
    }

    fn expire_borrowed(&self, remaining: u64, borrowed_until: Micros) {
        self.update(|mut units| {
            units.held.borrowed = remaining.min(MAX_QUOTA_UNITS);
            Some(units)
        });
        self.borrowed_until.store(borrowed_until, Ordering::Release);
    }

    fn load(&self) -> Units {
        Units::unpack(self.packed.load(Ordering::Acquire))
    }

    /// Replaces the units by what `change` makes of them, tried again while others change them; returns whether it made
    /// anything of them.
    fn update(&self, mut change: impl FnMut(Units) -> Option<Units>) -> bool {
        self.packed
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |packed| {
                change(Units::unpack(packed)).map(Units::pack)
            })
            .is_ok()
    }
}

impl Allowance for Arc<QuotaAllowance> {
    fn in_use(&self) -> u64 {
        QuotaAllowance::in_use(self)
    }

    fn held(&self) -> HeldUnits {
        QuotaAllowance::held(self)
    }

    fn grow(&mut self, held: HeldUnits, borrowed_until: Micros) {
        QuotaAllowance::grow(self, held, borrowed_until);
    }

    fn reclaim_own(&mut self, max_units: u64) -> u64 {
        QuotaAllowance::reclaim_own(self, max_units)
    }

    fn reclaim_borrowed(&mut self, max_units: u64) -> u64 {
        QuotaAllowance::reclaim_borrowed(self, max_units)
    }

    fn expire_borrowed(&mut self, remaining: u64, borrowed_until: Micros) {
        QuotaAllowance::expire_borrowed(self, remaining, borrowed_until);
    }
}
