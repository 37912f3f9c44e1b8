//! Delivery marks: which answers are known to have been written to their clients, as ranges of sequence
//! numbers in one epoch.
//!
//! Answers are written nearly in the order in which they were booked, so a few ranges cover millions of them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A set of numbers, stored as ranges that are neither adjacent nor overlapping.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranges(BTreeMap<u64, u64>);

impl Ranges {
    /// Adds one number.
    pub fn add(&mut self, number: u64) {
        self.add_range(number, number);
    }

    /// Adds all numbers from `first` to `last`, both inclusive.
    pub fn add_range(&mut self, first: u64, last: u64) {
        debug_assert!(first <= last, "the range {first}..={last} is reversed");
        let (mut first, mut last) = (first, last);
        if let Some((&start, &end)) = self.0.range(..=first).next_back() {
            if end >= last {
                return;
            }
            if end.checked_add(1).is_none_or(|next| next >= first) {
                first = start;
            }
        }
        let adjacent_end = last.saturating_add(1);
        while let Some((&start, &end)) = self.0.range(first..=adjacent_end).next() {
            self.0.remove(&start);
            last = last.max(end);
        }
        self.0.insert(first, last);
    }

    /// Whether the set contains the number.
    pub fn contains(&self, number: u64) -> bool {
        self.0
            .range(..=number)
            .next_back()
            .is_some_and(|(_, &last)| number <= last)
    }

    /// Whether the set contains all numbers from `first` to `last`, both inclusive.
    pub fn covers(&self, first: u64, last: u64) -> bool {
        self.0
            .range(..=first)
            .next_back()
            .is_some_and(|(_, &end)| last <= end)
    }

    /// Iterates over the ranges in ascending order. Both ends are inclusive.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.0.iter().map(|(&start, &end)| (start, end))
    }

    /// Returns the numbers missing between `from` and the largest number in the set, as inclusive ranges.
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

    /// Returns the largest number in the set.
    pub fn last(&self) -> Option<u64> {
        self.0.last_key_value().map(|(_, &last)| last)
    }

    /// Adds all numbers of another set.
    pub fn merge(&mut self, other: &Ranges) {
        other
            .iter()
            .for_each(|(start, end)| self.add_range(start, end));
    }
}

/// Delivery state of the answers of one epoch. Answers in neither set are in doubt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// Answers written to the client in full.
    pub written: Ranges,
    /// Answers that could not be written because the client had disconnected.
    #[serde(rename = "broke")]
    pub undelivered: Ranges,
}

/// Known delivery state of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The answer was written to the client in full.
    Written,
    /// The answer could not be written.
    Undelivered,
    /// Unknown: the instance ended after it committed the entry and before it recorded the delivery.
    InDoubt,
}

impl Marks {
    /// Returns the delivery state of the answer with this sequence number.
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
