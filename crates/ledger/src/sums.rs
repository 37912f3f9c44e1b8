//! Sums by tenant and class: whole numbers only, and never a silent overflow.

use crate::entry::{Answer, Row};
use crate::marks::Delivery;
use serde::{Deserialize, Serialize};

/// What was used, in one class by one tenant. All of it counts operations but for the two that name their unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Served, and the answer written.
    pub served: u64,
    /// What was served, in slot-microseconds.
    pub slot_us: u128,
    /// Busy replies.
    pub busy: u64,
    /// Failed.
    pub failed: u64,
    /// The client had gone, before there was an answer or while it was written.
    pub gone: u64,
    /// Running time of attempts that gave no answer, in microseconds: not billed.
    pub wasted_us: u128,
    /// Served, but nobody can tell whether the client has it: apart from `served`.
    pub doubts: u64,
    /// What those used, in slot-microseconds: apart from `slot_us`.
    pub doubt_slot_us: u128,
    /// Operations that corrections added or took away.
    pub corrected: i64,
    /// Slot-microseconds that corrections added or took away.
    pub corrected_slot_us: i128,
}

/// A sum grew beyond what its number holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a sum grew beyond what can be counted")]
pub struct Overflow;

impl Usage {
    /// Counts one entry.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if a sum grows beyond what its number holds.
    pub fn count(&mut self, row: &Row, delivery: Delivery) -> Result<(), Overflow> {
        let slot_us = u128::from(row.slot_us());
        let (count, amount) = match (row.answer, delivery) {
            (Answer::Served, Delivery::Written) => (&mut self.served, Some(&mut self.slot_us)),
            (Answer::Served, Delivery::InDoubt) => {
                (&mut self.doubts, Some(&mut self.doubt_slot_us))
            }
            (Answer::Served, Delivery::Undelivered) | (Answer::Gone, _) => (&mut self.gone, None),
            (Answer::Busy, _) => (&mut self.busy, None),
            (Answer::Failed, _) => (&mut self.failed, None),
        };
        *count = count.checked_add(1).ok_or(Overflow)?;
        if let Some(amount) = amount {
            *amount = amount.checked_add(slot_us).ok_or(Overflow)?;
        }
        self.wasted_us = self
            .wasted_us
            .checked_add(u128::from(row.wasted_us))
            .ok_or(Overflow)?;
        Ok(())
    }

    /// Counts a correction.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if a sum grows beyond what its number holds.
    pub fn correct(&mut self, operations: i64, slot_us: i128) -> Result<(), Overflow> {
        self.corrected = self.corrected.checked_add(operations).ok_or(Overflow)?;
        self.corrected_slot_us = self
            .corrected_slot_us
            .checked_add(slot_us)
            .ok_or(Overflow)?;
        Ok(())
    }

    /// Adds another sum.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if a sum grows beyond what its number holds.
    pub fn add(&mut self, o: &Usage) -> Result<(), Overflow> {
        let n = |a: u64, b: u64| a.checked_add(b).ok_or(Overflow);
        let w = |a: u128, b: u128| a.checked_add(b).ok_or(Overflow);
        *self = Usage {
            served: n(self.served, o.served)?,
            slot_us: w(self.slot_us, o.slot_us)?,
            busy: n(self.busy, o.busy)?,
            failed: n(self.failed, o.failed)?,
            gone: n(self.gone, o.gone)?,
            wasted_us: w(self.wasted_us, o.wasted_us)?,
            doubts: n(self.doubts, o.doubts)?,
            doubt_slot_us: w(self.doubt_slot_us, o.doubt_slot_us)?,
            corrected: self.corrected.checked_add(o.corrected).ok_or(Overflow)?,
            corrected_slot_us: self
                .corrected_slot_us
                .checked_add(o.corrected_slot_us)
                .ok_or(Overflow)?,
        };
        Ok(())
    }

    /// Operations to be billed, corrections included.
    pub fn billed(&self) -> i128 {
        i128::from(self.served) + i128::from(self.corrected)
    }

    /// Slot-microseconds to be billed, corrections included.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if a sum grows beyond what its number holds.
    pub fn billed_slot_us(&self) -> Result<i128, Overflow> {
        i128::try_from(self.slot_us)
            .ok()
            .and_then(|s| s.checked_add(self.corrected_slot_us))
            .ok_or(Overflow)
    }

    /// Entries counted.
    pub fn entries(&self) -> u64 {
        self.served + self.busy + self.failed + self.gone + self.doubts
    }
}
