//! The allowance of one quota: the data path acquires units from it while the state thread adds and reclaims
//! them. Both exchange one atomic word.
//!
//! The word holds the own units, the borrowed units and the units in use, so that a unit in use cannot be
//! reclaimed and a reclaimed one cannot be acquired. Borrowed units expire at a time that each acquisition
//! compares with its clock: a process that was stopped past the end of its lease acquires none of them,
//! however many it held before.

use crate::incarnation::Micros;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Bits of the word for the units in use.
const IN_USE_BITS: u32 = 24;
/// Bits of the word for the own units, and for the borrowed units.
const HELD_BITS: u32 = 20;
const MAX_IN_USE: u64 = (1 << IN_USE_BITS) - 1;
/// Maximum number of units that a quota may have.
pub const MAX_QUOTA_UNITS: u64 = (1 << HELD_BITS) - 1;

/// Units of a quota that a member holds, whether in use or not.
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

/// The operations that [`QuotaLeases`](crate::quota::QuotaLeases) needs from the store of units. The data
/// path uses [`QuotaAllowance`]; the model checker uses an implementation without atomics.
pub trait Allowance {
    /// Units in use.
    fn in_use(&self) -> u64;
    /// Units held, whether in use or not.
    fn held(&self) -> HeldUnits;
    /// Sets the units held, none of which may decrease, and the expiry of the borrowed ones.
    fn grow(&mut self, held: HeldUnits, borrowed_until: Micros);
    /// Removes up to `max_units` own units that are not in use; returns how many.
    fn reclaim_own(&mut self, max_units: u64) -> u64;
    /// Removes up to `max_units` borrowed units that are not in use; returns how many.
    fn reclaim_borrowed(&mut self, max_units: u64) -> u64;
    /// Keeps `remaining` borrowed units, which expire at `borrowed_until`; the others have expired, even if
    /// in use.
    fn expire_borrowed(&mut self, remaining: u64, borrowed_until: Micros);
}

/// The units of one quota at one member, shared by the data path and the state thread.
#[derive(Debug, Default)]
pub struct QuotaAllowance {
    /// Packed [`Units`]: in use in the low 24 bits, borrowed in the next 20, own in the next 20.
    packed: AtomicU64,
    /// Expiry of the borrowed units; raised only while no borrowed unit expires earlier.
    borrowed_until: AtomicU64,
    /// No unit can be acquired from this time on, until the state thread extends it.
    valid_until: AtomicU64,
    /// Failed acquisitions since the last call of `take_denied`.
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
    /// Acquires one unit; returns false if none is available at this time.
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

    /// Releases an acquired unit.
    pub fn release(&self) {
        let released = self.update(|mut units| {
            units.in_use = units.in_use.checked_sub(1)?;
            Some(units)
        });
        debug_assert!(released, "release without a matching acquisition");
    }

    /// Units that can be acquired at this time.
    pub fn available(&self, now: Micros) -> u64 {
        let units = self.load();
        self.usable(now, units.held).saturating_sub(units.in_use)
    }

    /// Number of the held units that may be in use at this time.
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

    /// Allows acquisitions until this time; the state thread must run again before then to extend it.
    pub fn set_valid_until(&self, until: Micros) {
        self.valid_until.store(until, Ordering::Release);
    }

    /// Returns the number of failed acquisitions since the previous call.
    pub fn take_denied(&self) -> u64 {
        self.denied.swap(0, Ordering::AcqRel)
    }

    /// Units in use.
    pub fn in_use(&self) -> u64 {
        self.load().in_use
    }

    /// Units held, whether in use or not.
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

    /// See [`Allowance::reclaim_own`]. Because borrowed units expire, the remaining own units must cover all
    /// units in use.
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

    /// Applies `change` to the units atomically, with retries under contention; returns whether `change`
    /// returned a new value.
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
