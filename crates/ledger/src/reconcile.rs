//! Merges exports of any instances in any order, and tells what does not fit.
//!
//! [`Merged`] is a set of exported periods by their ids: merging is commutative, associative and idempotent, as it is
//! a union. It performs no I/O; [`crate::scan`] reads the files.

use crate::correction::Subject;
use crate::marks::Ranges;
use crate::period::Period;
use crate::store::Lines;
use crate::sums::{Overflow, Usage};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// An entry of one instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct EntryId {
    /// The instance.
    pub instance: String,
    /// The epoch.
    pub epoch: u64,
    /// The number in it.
    pub seq: u64,
}

/// A doubt as an export shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OpenDoubt {
    /// Where it stands.
    pub place: EntryId,
    /// Its period.
    pub period: Period,
    /// The operation's id.
    pub operation: String,
    /// Whose.
    pub tenant: String,
    /// Its class.
    pub class: String,
    /// What it would be billed, in slot-microseconds.
    pub slot_us: u64,
}

/// One exported period of one instance, read and found whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The instance.
    pub instance: String,
    /// The period.
    pub period: Period,
    /// The content's hash.
    pub id: String,
    /// Its seal.
    pub seal: String,
    /// The seal before it.
    pub before: String,
    /// Its entries.
    pub entries: u64,
    /// Its sums.
    pub lines: Lines,
    /// The numbers in it, by epoch.
    pub numbers: BTreeMap<u64, Ranges>,
    /// Its doubts.
    pub doubts: Vec<OpenDoubt>,
    /// What its corrections settle.
    pub settles: Vec<Subject>,
}

/// See the module's own page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged(BTreeMap<(String, Period), BTreeMap<String, Part>>);

/// What does not fit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Finding {
    /// A file is not what its manifest says, or cannot be read. Nothing of it is counted.
    Changed {
        /// The file and what is wrong with it.
        why: String,
    },
    /// Two exports of one instance and period differ. Neither is counted.
    Conflict {
        /// The instance.
        instance: String,
        /// The period.
        period: Period,
        /// Their ids.
        ids: Vec<String>,
    },
    /// A period's seal chains to one that is not here: an export is missing.
    Missing {
        /// The instance.
        instance: String,
        /// The period after the missing one.
        before: Period,
    },
    /// Numbers that no export holds: answers that were not booked, or entries that were lost.
    Gap {
        /// The instance.
        instance: String,
        /// The epoch.
        epoch: u64,
        /// The first number.
        first: u64,
        /// The last one.
        last: u64,
    },
    /// One idempotency key was answered by several instances.
    Repeated {
        /// The key's hash.
        key: String,
        /// The entries.
        places: Vec<EntryId>,
    },
    /// A doubt that no correction has settled.
    Doubt(OpenDoubt),
}

/// The bill: by tenant, class and period.
pub type Bill = BTreeMap<(String, String, Period), Usage>;

const ZEROS: &str = "0000000000000000000000000000000000000000000000000000000000000000";

impl Merged {
    /// Adds one exported period. Adding it again changes nothing.
    pub fn add(&mut self, part: Part) {
        let same = self
            .0
            .entry((part.instance.clone(), part.period))
            .or_default();
        same.entry(part.id.clone()).or_insert(part);
    }

    /// Adds all of another one.
    pub fn merge(&mut self, other: Merged) {
        other
            .0
            .into_values()
            .flat_map(BTreeMap::into_values)
            .for_each(|p| self.add(p));
    }

    /// Exported periods in it.
    pub fn len(&self) -> usize {
        self.0.values().map(BTreeMap::len).sum()
    }

    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Entries in it.
    pub fn entries(&self) -> u64 {
        self.parts().map(|p| p.entries).sum()
    }

    /// Those that stand alone for their instance and period.
    fn parts(&self) -> impl Iterator<Item = &Part> {
        self.0
            .values()
            .filter(|same| same.len() == 1)
            .flat_map(BTreeMap::values)
    }

    /// The bill of all that fits. `now_called` gives a tenant's present name.
    ///
    /// # Errors
    ///
    /// [`Overflow`] if a sum grows beyond what its number holds.
    pub fn bill(&self, now_called: impl Fn(&str) -> String) -> Result<Bill, Overflow> {
        let mut bill = Bill::new();
        for part in self.parts() {
            for ((tenant, class), sums) in &part.lines {
                let line = bill
                    .entry((now_called(tenant), class.clone(), part.period))
                    .or_default();
                line.add(sums)?;
            }
        }
        Ok(bill)
    }

    /// What does not fit, but for what only files show.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for ((instance, period), same) in self.0.iter().filter(|(_, same)| same.len() > 1) {
            let (instance, ids) = (instance.clone(), same.keys().cloned().collect());
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
                    .for_each(|(e, n)| numbers.entry(*e).or_default().merge(n));
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
