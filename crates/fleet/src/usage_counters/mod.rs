//! Usage counters by incarnation, tenant, period and metric that converge at every member: a delta-state
//! grow-only counter (Almeida, Shoker, Baquero: Delta state replicated data types, section 5), disseminated
//! by the reconciliation of Scuttlebutt (van Renesse and others: Efficient reconciliation and flow control
//! for anti-entropy protocols, section 3).
//!
//! Only an incarnation itself increments its counters. Each change gets the next version of that incarnation,
//! and each row keeps the version that last changed it; so a member that holds an incarnation up to version v
//! lacks exactly the rows above v. Rows are merged by taking the larger value of each metric: the result is
//! the same in any order and with any repetition.
//!
//! **Compaction.** All incarnations of a name except the newest have ended. Once every member that is not
//! forgotten has reported the same version of such an incarnation as this member holds, no member can hold
//! more: the rows are final and are added to the name's base, together with the number of the last
//! incarnation compacted. Invariant, asserted: no row of an incarnation exists beside a base that includes
//! it, so none is counted twice. A base is itself merged by a join: the larger number wins, and for equal
//! numbers the larger sums, which are sums over the same incarnations. A member that missed the compaction
//! drops its rows of those incarnations when it adopts the base, and rows of compacted incarnations that
//! other members still send are rejected.

mod compaction;
mod delta;
mod member_usage;

pub use delta::{BaseRow, Delta, IncarnationVersion, UsageDigest, VersionSummary, VersionedRow};

use crate::incarnation::{Incarnation, Micros};
use crate::usage::{UsageKey, UsageValues};
use crate::usage_totals::UsageTotals;
use compaction::{CompactionRule, CompactionTracker};
use member_usage::{BasePart, IncarnationRows, MemberUsage};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// Periods kept before the newest one seen.
const RETAINED_PERIODS: u32 = 64;

/// Size of the stored counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSize {
    /// Incarnations that are not compacted.
    pub incarnations: usize,
    /// Rows, compacted or not.
    pub rows: usize,
}

/// All usage counters that one member holds.
#[derive(Clone, Debug)]
pub struct UsageCounters {
    local: Incarnation,
    members: BTreeMap<Arc<str>, MemberUsage>,
    compaction: CompactionTracker,
    newest_period: u32,
    rejected_late: u64,
}

impl UsageCounters {
    /// Creates the counters of an incarnation that starts now and knows no other.
    pub fn new(local: Incarnation) -> UsageCounters {
        let mut own = MemberUsage::default();
        own.note_incarnation(local.number);
        own.incarnations
            .insert(local.number, IncarnationRows::default());
        UsageCounters {
            members: BTreeMap::from([(local.name.clone(), own)]),
            local,
            compaction: CompactionTracker::default(),
            newest_period: 0,
            rejected_late: 0,
        }
    }

    /// Increments the local counters; returns the version that includes the increment.
    pub fn increment(&mut self, key: UsageKey, values: &UsageValues) -> u64 {
        self.newest_period = self.newest_period.max(key.period);
        self.members
            .entry(self.local.name.clone())
            .or_default()
            .incarnations
            .entry(self.local.number)
            .or_default()
            .increment(key, values)
    }

    /// The version of the local incarnation's counters.
    pub fn own_version(&self) -> u64 {
        self.version_of(&self.local)
    }

    /// The version up to which an incarnation is held; `u64::MAX` if it is compacted.
    pub fn version_of(&self, incarnation: &Incarnation) -> u64 {
        let Some(usage) = self.members.get(&incarnation.name) else {
            return 0;
        };
        if incarnation.number <= usage.base.up_to {
            return u64::MAX;
        }
        usage
            .incarnations
            .get(&incarnation.number)
            .map_or(0, |rows| rows.version)
    }

    /// Summaries of at most `limit` names after `after`.
    pub fn summaries(&self, after: Option<&Arc<str>>, limit: usize) -> Vec<VersionSummary> {
        let start = after.map_or(Bound::Unbounded, |name| Bound::Excluded(name.clone()));
        self.members
            .range::<Arc<str>, _>((start, Bound::Unbounded))
            .take(limit)
            .map(|(name, usage)| usage.summary(name))
            .collect()
    }

    /// The deltas that the peer with this digest lacks, at most `max_deltas`. Also records the versions that
    /// the peer holds.
    pub fn deltas_for(
        &mut self,
        peer: &Arc<str>,
        digest: &UsageDigest,
        max_deltas: usize,
    ) -> Vec<Delta> {
        self.record_acknowledgements(peer, &digest.summaries);
        let remote: BTreeMap<&Arc<str>, &VersionSummary> = digest
            .summaries
            .iter()
            .map(|summary| (&summary.name, summary))
            .collect();
        let mut deltas = Vec::new();
        for (name, usage) in &self.members {
            if !digest.covers(name) {
                continue;
            }
            usage.deltas_for(name, remote.get(name).copied(), &mut deltas);
            if deltas.len() >= max_deltas {
                break;
            }
        }
        // Deltas are ordered by version: the ones cut off are sent with the next answer.
        deltas.truncate(max_deltas);
        deltas
    }

    fn record_acknowledgements(&mut self, peer: &Arc<str>, summaries: &[VersionSummary]) {
        for summary in summaries {
            let Some(usage) = self.members.get(&summary.name) else {
                continue;
            };
            for number in usage.superseded() {
                self.compaction.on_summary(peer, summary, number);
            }
        }
    }

    /// The changes of the local counters after a version.
    pub fn own_deltas_since(&self, version: u64) -> Vec<Delta> {
        let mut deltas = Vec::new();
        let own = self.members.get(&self.local.name);
        if let Some(rows) = own.and_then(|usage| usage.incarnations.get(&self.local.number)) {
            rows.deltas_since(&self.local, version, &mut deltas);
        }
        deltas
    }

    /// Merges a delta of another member; returns whether anything changed. Rows of periods later than
    /// `newest_period` are ignored: this limits the effect of a member with a wrong clock.
    pub fn merge(&mut self, delta: &Delta, newest_period: u32) -> bool {
        match delta {
            Delta::Incarnation {
                incarnation,
                after,
                up_to,
                rows,
            } => {
                let Some(held) = self.rows_to_merge(incarnation) else {
                    return false;
                };
                let mut changed = false;
                let mut newest = 0;
                for row in rows.iter().filter(|row| row.key.period <= newest_period) {
                    newest = newest.max(row.key.period);
                    changed |= held.join_row(row);
                }
                changed |= held.advance(*after, *up_to);
                self.newest_period = self.newest_period.max(newest);
                changed
            }
            Delta::Base {
                name,
                first_incarnation,
                up_to,
                total_rows,
                rows,
            } => {
                let part = BasePart {
                    first_incarnation: *first_incarnation,
                    up_to: *up_to,
                    total_rows: *total_rows,
                    rows,
                };
                self.merge_base(name, &part, newest_period)
            }
        }
    }

    /// The rows of an incarnation into which a delta may be merged; `None` for the local incarnation and for
    /// compacted ones.
    fn rows_to_merge(&mut self, incarnation: &Incarnation) -> Option<&mut IncarnationRows> {
        if *incarnation == self.local {
            return None; // no other member may change the local counters
        }
        let usage = self.members.entry(incarnation.name.clone()).or_default();
        if incarnation.number <= usage.base.up_to && !cfg!(feature = "mutant-fold") {
            self.rejected_late += 1;
            return None;
        }
        usage.note_incarnation(incarnation.number);
        Some(usage.incarnations.entry(incarnation.number).or_default())
    }

    fn merge_base(&mut self, name: &Arc<str>, part: &BasePart<'_>, newest_period: u32) -> bool {
        if *name == self.local.name && part.up_to >= self.local.number {
            return false; // a running incarnation is never compacted
        }
        let usage = self.members.entry(name.clone()).or_default();
        let Some(changed) = usage.merge_base(part, newest_period) else {
            return false;
        };
        self.compaction.forget_up_to(name, part.up_to);
        changed
    }

    /// Compacts the earliest incarnations of each name that are final: superseded for `delay`, within which
    /// the last datagrams about them arrive, and held at the same version by each of `others`, the members
    /// that are not forgotten. Returns how many were compacted.
    pub fn compact(&mut self, now: Micros, delay: Micros, others: &[Arc<str>]) -> usize {
        let rule = CompactionRule { now, delay, others };
        let mut compacted = 0;
        for (name, usage) in &mut self.members {
            let incarnation = |number| Incarnation {
                name: name.clone(),
                number,
            };
            let superseded: Vec<u64> = usage.superseded().collect();
            for number in &superseded {
                self.compaction.on_superseded(incarnation(*number), now);
            }
            for number in superseded {
                let version = usage.incarnations[&number].version;
                let earliest = incarnation(number);
                if !self.compaction.is_final(&earliest, version, &rule) {
                    break;
                }
                usage.compact_earliest();
                self.compaction.forget(&earliest);
                compacted += 1;
            }
        }
        compacted
    }

    /// Drops periods far before the newest one.
    pub fn drop_old_periods(&mut self) {
        let oldest = self.newest_period.saturating_sub(RETAINED_PERIODS);
        for usage in self.members.values_mut() {
            usage.drop_periods_before(oldest);
        }
    }

    /// The size of the stored counters.
    pub fn size(&self) -> UsageSize {
        let usages = self.members.values();
        UsageSize {
            incarnations: usages.clone().map(|usage| usage.incarnations.len()).sum(),
            rows: usages.map(MemberUsage::row_count).sum(),
        }
    }

    /// Number of deltas that arrived after the compaction of their incarnation and were rejected.
    pub fn rejected_late(&self) -> u64 {
        self.rejected_late
    }

    /// The totals over all incarnations of all names, by tenant and period.
    pub fn totals(&self) -> UsageTotals {
        let since = self
            .members
            .values()
            .map(|usage| usage.first_incarnation)
            .filter(|number| *number > 0)
            .min()
            .unwrap_or(self.local.number);
        let contributions = self.members.values().flat_map(MemberUsage::contributions);
        UsageTotals::sum(since, contributions)
    }
}
