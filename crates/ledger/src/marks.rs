//! Which answers are known to have been written to their clients, as ranges of numbers in one epoch.
//!
//! Answers are written nearly in the order in which they were booked, so a few ranges hold millions.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A set of numbers, kept as ranges that neither touch nor overlap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranges(BTreeMap<u64, u64>);

impl Ranges {
    /// Adds one number.
    pub fn add(&mut self, n: u64) {
        self.add_range(n, n);
    }

    /// Adds all numbers from the first to the last.
    pub fn add_range(&mut self, first: u64, last: u64) {
        debug_assert!(first <= last, "a range runs upwards");
        let (mut first, mut last) = (first, last);
        if let Some((&a, &b)) = self.0.range(..=first).next_back() {
            if b >= last {
                return;
            }
            if b.checked_add(1).is_none_or(|next| next >= first) {
                first = a;
            }
        }
        let reach = last.saturating_add(1);
        while let Some((&a, &b)) = self.0.range(first..=reach).next() {
            self.0.remove(&a);
            last = last.max(b);
        }
        self.0.insert(first, last);
    }

    /// Whether the number is in it.
    pub fn contains(&self, n: u64) -> bool {
        self.0
            .range(..=n)
            .next_back()
            .is_some_and(|(_, &last)| n <= last)
    }

    /// Whether all numbers from the first to the last are in it.
    pub fn covers(&self, first: u64, last: u64) -> bool {
        self.0
            .range(..=first)
            .next_back()
            .is_some_and(|(_, &end)| last <= end)
    }

    /// The ranges, upwards.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.0.iter().map(|(&a, &b)| (a, b))
    }

    /// The numbers missing between the first that could be and the largest that is in it, as ranges.
    pub fn gaps(&self, from: u64) -> Vec<(u64, u64)> {
        let mut gaps = Vec::new();
        let mut next = from;
        for (first, last) in self.iter() {
            if first > next {
                gaps.push((next, first - 1));
            }
            next = next.max(last.saturating_add(1));
        }
        gaps
    }

    /// The largest number in it.
    pub fn last(&self) -> Option<u64> {
        self.0.last_key_value().map(|(_, &last)| last)
    }

    /// Adds all of another one.
    pub fn merge(&mut self, other: &Ranges) {
        other.iter().for_each(|(a, b)| self.add_range(a, b));
    }
}

/// What is known of the answers of one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// Written to the last byte.
    pub written: Ranges,
    /// Could not be written: the client had left.
    #[serde(rename = "broke")]
    pub undelivered: Ranges,
}

/// Whether an answer reached its client, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It was written to the last byte.
    Written,
    /// It could not be written.
    Undelivered,
    /// Nobody can tell: the instance ended between its commit and the client.
    InDoubt,
}

impl Marks {
    /// What is known of one answer.
    pub fn delivery(&self, seq: u64) -> Delivery {
        if self.written.contains(seq) {
            Delivery::Written
        } else if self.undelivered.contains(seq) {
            Delivery::Undelivered
        } else {
            Delivery::InDoubt
        }
    }
}
