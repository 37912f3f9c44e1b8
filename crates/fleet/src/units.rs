//! What is counted, and by what.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Unit {
    /// Final answers with a worker's result.
    Served,
    /// Busy replies.
    Refused,
    /// Operations that failed.
    Failed,
    /// Operations whose clients left before the answer.
    Gone,
    /// Attempts.
    Attempts,
    /// Worker time of the attempts that gave the answers, in microseconds.
    UsedUs,
    /// Worker time of all others, in microseconds.
    WastedUs,
    /// Served answers written to the last byte.
    Written,
    /// Served answers that could not be written: their clients had left.
    Unwritten,
    /// Answers that went out before enough other members held their count.
    Unsure,
}

/// Units in all.
pub const UNITS: usize = 10;
/// Their names, in order.
pub const NAMES: [&str; UNITS] = [
    "served",
    "refused",
    "failed",
    "gone",
    "attempts",
    "used_us",
    "wasted_us",
    "written",
    "unwritten",
    "unsure",
];

/// A value for each unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Units(pub [u64; UNITS]);

impl Units {
    /// One unit alone.
    pub fn one(unit: Unit, n: u64) -> Units {
        let mut units = Units::default();
        units.0[unit as usize] = n;
        units
    }

    /// The value of a unit.
    pub fn get(&self, unit: Unit) -> u64 {
        self.0[unit as usize]
    }

    /// Adds; a member that lies about its own counts cannot make a sum wrap.
    pub fn add(&mut self, other: &Units) {
        self.0
            .iter_mut()
            .zip(other.0)
            .for_each(|(a, b)| *a = a.saturating_add(b));
    }

    /// The larger of each; whether that changed anything.
    pub(crate) fn join(&mut self, other: &Units) -> bool {
        let before = *self;
        self.0
            .iter_mut()
            .zip(other.0)
            .for_each(|(a, b)| *a = (*a).max(b));
        *self != before
    }
}

/// The row of a tenant in a period; periods are numbered, later ones higher.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The period.
    pub period: u32,
    /// The tenant.
    pub tenant: Arc<str>,
}

/// Rows by their keys.
pub type Rows = BTreeMap<Key, Units>;
