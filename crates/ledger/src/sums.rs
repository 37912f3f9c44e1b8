//! Usage totals by tenant and class. All arithmetic uses integers and reports overflow.

use crate::entry::{Answer, Row};
use crate::marks::Delivery;
use serde::{Deserialize, Serialize};

/// Usage of one tenant in one class. Fields without a unit suffix count operations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Served operations whose answer was written to the client in full.
    pub served: u64,
    /// Billable usage of the operations in `served`, in slot-microseconds.
    pub slot_us: u128,
    /// Operations answered with a busy reply.
    pub busy: u64,
    /// Operations that failed.
    pub failed: u64,
    /// Operations whose client disconnected before there was an answer or while it was being written.
    pub gone: u64,
    /// Running time of attempts that gave no answer, in microseconds. Not billed.
    pub wasted_us: u128,
    /// Served operations for which it is unknown whether the client received the answer. Not included in
    /// `served`.
    pub doubts: u64,
    /// Usage of the operations in `doubts`, in slot-microseconds. Not included in `slot_us`.
    pub doubt_slot_us: u128,
    /// Net number of operations added (positive) or removed (negative) by corrections.
    pub corrected: i64,
    /// Net slot-microseconds added (positive) or removed (negative) by corrections.
    pub corrected_slot_us: i128,
}

/// A total exceeds the range of its integer type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a usage total exceeds the range of its integer type")]
pub struct Overflow;

impl Usage {
    /// Adds one entry to the totals.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if a total exceeds the range of its integer type.
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

    /// Adds the signed amounts of one correction to the totals.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if a total exceeds the range of its integer type.
    pub fn correct(&mut self, operations: i64, slot_us: i128) -> Result<(), Overflow> {
        self.corrected = self.corrected.checked_add(operations).ok_or(Overflow)?;
        self.corrected_slot_us = self
            .corrected_slot_us
            .checked_add(slot_us)
            .ok_or(Overflow)?;
        Ok(())
    }

    /// Adds all totals of `other`.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if a total exceeds the range of its integer type.
    pub fn add(&mut self, other: &Usage) -> Result<(), Overflow> {
        let add_count = |a: u64, b: u64| a.checked_add(b).ok_or(Overflow);
        let add_amount = |a: u128, b: u128| a.checked_add(b).ok_or(Overflow);
        *self = Usage {
            served: add_count(self.served, other.served)?,
            slot_us: add_amount(self.slot_us, other.slot_us)?,
            busy: add_count(self.busy, other.busy)?,
            failed: add_count(self.failed, other.failed)?,
            gone: add_count(self.gone, other.gone)?,
            wasted_us: add_amount(self.wasted_us, other.wasted_us)?,
            doubts: add_count(self.doubts, other.doubts)?,
            doubt_slot_us: add_amount(self.doubt_slot_us, other.doubt_slot_us)?,
            corrected: self
                .corrected
                .checked_add(other.corrected)
                .ok_or(Overflow)?,
            corrected_slot_us: self
                .corrected_slot_us
                .checked_add(other.corrected_slot_us)
                .ok_or(Overflow)?,
        };
        Ok(())
    }

    /// Number of operations to bill, corrections included. Operations in doubt are not billed.
    pub fn billed(&self) -> i128 {
        i128::from(self.served) + i128::from(self.corrected)
    }

    /// Slot-microseconds to bill, corrections included.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if the total exceeds the range of its integer type.
    pub fn billed_slot_us(&self) -> Result<i128, Overflow> {
        i128::try_from(self.slot_us)
            .ok()
            .and_then(|s| s.checked_add(self.corrected_slot_us))
            .ok_or(Overflow)
    }

    /// Number of entries counted, including those in doubt. Corrections are not counted.
    pub fn entries(&self) -> u64 {
        self.served + self.busy + self.failed + self.gone + self.doubts
    }
}
