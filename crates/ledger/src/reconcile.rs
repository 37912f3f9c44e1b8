//! Merges exports of any instances in any order, and reports inconsistencies.
//!
//! [`Merged`] is a set of exported periods identified by their ids. Merging is a set union, and therefore
//! commutative, associative and idempotent. This module performs no I/O; [`crate::scan`] reads the files.

use crate::correction::Subject;
use crate::marks::Ranges;
use crate::period::Period;
use crate::store::Lines;
use crate::sums::{Overflow, Usage};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies one entry across instances.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct EntryId {
    /// Name of the instance that recorded the entry.
    pub instance: String,
    /// Epoch of the instance.
    pub epoch: u64,
    /// Sequence number of the entry in its epoch.
    pub seq: u64,
}

/// A served operation in an export for which it is unknown whether the client received the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OpenDoubt {
    /// The entry in doubt.
    pub place: EntryId,
    /// Period that holds the entry.
    pub period: Period,
    /// Operation id chosen by the client.
    pub operation: String,
    /// Tenant that the operation would be billed to.
    pub tenant: String,
    /// Service class of the operation.
    pub class: String,
    /// Slot-microseconds that would be billed.
    pub slot_us: u64,
}

/// One exported period of one instance, after its integrity was verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Name of the instance.
    pub instance: String,
    /// The exported period.
    pub period: Period,
    /// Id of the export: the hash of its content, in hex digits.
    pub id: String,
    /// Seal of the period, in hex digits.
    pub seal: String,
    /// Seal of the preceding period, in hex digits.
    pub before: String,
    /// Number of entries in the period.
    pub entries: u64,
    /// Usage totals by tenant and class.
    pub lines: Lines,
    /// Sequence numbers in the period, by epoch.
    pub numbers: BTreeMap<u64, Ranges>,
    /// Entries in doubt.
    pub doubts: Vec<OpenDoubt>,
    /// Subjects of the corrections booked in the period.
    pub settles: Vec<Subject>,
}

/// The union of exported periods. See the module documentation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged(BTreeMap<(String, Period), BTreeMap<String, Part>>);

/// An inconsistency found while reading or merging exports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Finding {
    /// A file does not match its manifest or cannot be read. None of its content is counted.
    Changed {
        /// The file and the problem.
        why: String,
    },
    /// Several exports of the same instance and period differ. None of them is counted.
    Conflict {
        /// Name of the instance.
        instance: String,
        /// The exported period.
        period: Period,
        /// Ids of the conflicting exports.
        ids: Vec<String>,
    },
    /// The seal that a period's seal chains to is not among the exports, so an export is missing.
    Missing {
        /// Name of the instance.
        instance: String,
        /// The period that follows the missing one.
        before: Period,
    },
    /// Sequence numbers that no export contains: answers that were not booked, or entries that were lost.
    Gap {
        /// Name of the instance.
        instance: String,
        /// Epoch of the instance.
        epoch: u64,
        /// First missing number.
        first: u64,
        /// Last missing number, inclusive.
        last: u64,
    },
    /// Several instances answered requests with the same idempotency key.
    Repeated {
        /// Hash of the idempotency key, in hex digits.
        key: String,
        /// The entries with this key.
        places: Vec<EntryId>,
    },
    /// An entry in doubt that no correction has settled.
    Doubt(OpenDoubt),
}

/// Usage to be billed, by tenant, class and period.
pub type Bill = BTreeMap<(String, String, Period), Usage>;

const ZEROS: &str = "0000000000000000000000000000000000000000000000000000000000000000";

impl Merged {
    /// Adds one exported period. Adding the same period again has no effect.
    pub fn add(&mut self, part: Part) {
        let candidates = self
            .0
            .entry((part.instance.clone(), part.period))
            .or_default();
        candidates.entry(part.id.clone()).or_insert(part);
    }

    /// Adds all exported periods of another set.
    pub fn merge(&mut self, other: Merged) {
        other
            .0
            .into_values()
            .flat_map(BTreeMap::into_values)
            .for_each(|p| self.add(p));
    }

    /// Number of exported periods, including conflicting ones.
    pub fn len(&self) -> usize {
        self.0.values().map(BTreeMap::len).sum()
    }

    /// Whether there are no exported periods.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of entries in all periods that are not in conflict.
    pub fn entries(&self) -> u64 {
        self.parts().map(|part| part.entries).sum()
    }

    /// Exported periods without a conflicting export of the same instance and period.
    fn parts(&self) -> impl Iterator<Item = &Part> {
        self.0
            .values()
            .filter(|candidates| candidates.len() == 1)
            .flat_map(BTreeMap::values)
    }

    /// Computes the bill over all periods that are not in conflict. `current_name` maps a tenant to its
    /// present name.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if a total exceeds the range of its integer type.
    pub fn bill(&self, current_name: impl Fn(&str) -> String) -> Result<Bill, Overflow> {
        let mut bill = Bill::new();
        for part in self.parts() {
            for ((tenant, class), sums) in &part.lines {
                let line = bill
                    .entry((current_name(tenant), class.clone(), part.period))
                    .or_default();
                line.add(sums)?;
            }
        }
        Ok(bill)
    }

    /// Returns the inconsistencies between the merged exports. Problems of individual files are reported by
    /// [`crate::scan`].
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for ((instance, period), candidates) in
            self.0.iter().filter(|(_, candidates)| candidates.len() > 1)
        {
            let (instance, ids) = (instance.clone(), candidates.keys().cloned().collect());
            findings.push(Finding::Conflict {
                instance,
                period: *period,
                ids,
            });
        }
        let mut by_instance: BTreeMap<&str, Vec<&Part>> = BTreeMap::new();
        self.parts()
            .for_each(|p| by_instance.entry(&p.instance).or_default().push(p));
        for (instance, parts) in by_instance {
            let mut before = ZEROS;
            let mut numbers: BTreeMap<u64, Ranges> = BTreeMap::new();
            let mut settled = BTreeSet::new();
            for part in &parts {
                if part.before != before {
                    findings.push(Finding::Missing {
                        instance: instance.into(),
                        before: part.period,
                    });
                }
                before = &part.seal;
                part.numbers
                    .iter()
                    .for_each(|(epoch, ranges)| numbers.entry(*epoch).or_default().merge(ranges));
                settled.extend(part.settles.iter().filter_map(|subject| match subject {
                    Subject::Usage => None,
                    Subject::Billed { epoch, seq } | Subject::Waived { epoch, seq } => {
                        Some((*epoch, *seq))
                    }
                }));
            }
            for (epoch, numbers) in numbers {
                findings.extend(
                    numbers
                        .gaps(1)
                        .into_iter()
                        .map(|(first, last)| Finding::Gap {
                            instance: instance.into(),
                            epoch,
                            first,
                            last,
                        }),
                );
            }
            let doubts = parts.iter().flat_map(|p| &p.doubts);
            let open = doubts.filter(|d| !settled.contains(&(d.place.epoch, d.place.seq)));
            findings.extend(open.cloned().map(Finding::Doubt));
        }
        findings
    }
}
