//! The counters of one member name: its incarnations, and the compacted base of the earlier ones.

use super::delta::{BaseRow, Delta, IncarnationVersion, VersionSummary, VersionedRow};
use crate::incarnation::Incarnation;
use crate::usage::{UsageKey, UsageRows, UsageValues};
use crate::usage_totals::Contribution;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of rows in one [`Delta`], so that it fits into a datagram with its names and values.
const ROWS_PER_DELTA: usize = 4;
/// Maximum number of incarnations in a [`VersionSummary`]. Later ones follow once compaction has removed the
/// earliest.
const MAX_INCARNATIONS_PER_SUMMARY: usize = 24;

/// The counters of a row, and the version that last changed them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct VersionedValues {
    version: u64,
    values: UsageValues,
}

/// The rows of one incarnation, complete up to `version`.
#[derive(Clone, Debug, Default)]
pub(super) struct IncarnationRows {
    pub(super) version: u64,
    rows: BTreeMap<UsageKey, VersionedValues>,
}

impl IncarnationRows {
    /// Adds to a row under the next version, and returns that version.
    pub(super) fn increment(&mut self, key: UsageKey, values: &UsageValues) -> u64 {
        self.version += 1;
        let row = self.rows.entry(key).or_default();
        row.version = self.version;
        row.values.add(values);
        self.version
    }

    /// Joins a row; returns whether its counters changed.
    pub(super) fn join_row(&mut self, row: &VersionedRow) -> bool {
        let held = self.rows.entry(row.key.clone()).or_default();
        held.version = held.version.max(row.version);
        held.values.join(&row.values)
    }

    /// Advances the version if a delta that covers these versions leaves no gap; returns whether it did.
    pub(super) fn advance(&mut self, after: u64, up_to: u64) -> bool {
        let advances = after <= self.version && up_to > self.version;
        if advances {
            self.version = up_to;
        }
        advances
    }

    /// Appends the deltas of the changes after a version.
    pub(super) fn deltas_since(
        &self,
        incarnation: &Incarnation,
        version: u64,
        deltas: &mut Vec<Delta>,
    ) {
        let rows = self.rows_since(version);
        let mut after = version;
        let mut chunks = rows.chunks(ROWS_PER_DELTA).peekable();
        while let Some(chunk) = chunks.next() {
            // Each version changes one row, so a delta covers the versions up to that of its last row. Rows
            // that arrived out of order may have later versions than the one held: they do not advance the
            // delta further.
            let up_to = match (chunks.peek(), chunk.last()) {
                (Some(_), Some(last)) => last.version.min(self.version),
                _ => self.version,
            };
            deltas.push(Delta::Incarnation {
                incarnation: incarnation.clone(),
                after,
                up_to,
                rows: chunk.to_vec(),
            });
            after = up_to;
        }
        if rows.is_empty() && self.version > version {
            deltas.push(Delta::Incarnation {
                incarnation: incarnation.clone(),
                after,
                up_to: self.version,
                rows: Vec::new(),
            });
        }
    }

    /// Rows that changed after a version, ordered by version.
    fn rows_since(&self, version: u64) -> Vec<VersionedRow> {
        let mut rows: Vec<VersionedRow> = self
            .rows
            .iter()
            .filter(|(_, row)| row.version > version)
            .map(|(key, row)| VersionedRow {
                key: key.clone(),
                version: row.version,
                values: row.values,
            })
            .collect();
        rows.sort_by_key(|row| row.version);
        rows
    }

    /// Adds all rows to sums.
    fn add_to(&self, sums: &mut UsageRows) {
        for (key, row) in &self.rows {
            sums.entry(key.clone()).or_default().add(&row.values);
        }
    }
}

/// The sums of a name's incarnations up to `up_to`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CompactedBase {
    pub(super) up_to: u64,
    rows: UsageRows,
}

impl CompactedBase {
    /// A checksum of the rows.
    pub(super) fn checksum(&self) -> u32 {
        let mut hash = blake3::Hasher::new();
        for (key, values) in &self.rows {
            hash.update(&key.period.to_le_bytes());
            hash.update(key.tenant.as_bytes());
            hash.update(&[0]);
            for value in values.0 {
                hash.update(&value.to_le_bytes());
            }
        }
        let mut checksum = [0; 4];
        checksum.copy_from_slice(&hash.finalize().as_bytes()[..4]);
        u32::from_le_bytes(checksum)
    }
}

/// A base received in parts: its identity and the rows received so far.
#[derive(Clone, Debug, Default)]
struct IncomingBase {
    up_to: u64,
    total_rows: u64,
    rows: UsageRows,
}

/// A part of a base, as received from a peer.
pub(super) struct BasePart<'a> {
    pub(super) first_incarnation: u64,
    pub(super) up_to: u64,
    pub(super) total_rows: u64,
    pub(super) rows: &'a [BaseRow],
}

/// The counters of one name. Invariant: all `incarnations` are later than `base.up_to`, so no row is counted
/// twice.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberUsage {
    pub(super) base: CompactedBase,
    pub(super) incarnations: BTreeMap<u64, IncarnationRows>,
    /// The number of the earliest known incarnation; 0 if none is known.
    pub(super) first_incarnation: u64,
    incoming_base: Option<IncomingBase>,
}

impl MemberUsage {
    /// Records that an incarnation is known.
    pub(super) fn note_incarnation(&mut self, number: u64) {
        self.first_incarnation = if self.first_incarnation == 0 {
            number
        } else {
            self.first_incarnation.min(number)
        };
    }

    /// The number of the newest incarnation that is not compacted.
    pub(super) fn newest(&self) -> Option<u64> {
        self.incarnations.keys().next_back().copied()
    }

    /// The numbers of incarnations that a newer one has superseded, earliest first.
    pub(super) fn superseded(&self) -> impl Iterator<Item = u64> + '_ {
        let count = self.incarnations.len().saturating_sub(1);
        self.incarnations.keys().take(count).copied()
    }

    /// The versions held, for a digest.
    pub(super) fn summary(&self, name: &Arc<str>) -> VersionSummary {
        let incarnations = self.incarnations.iter().take(MAX_INCARNATIONS_PER_SUMMARY);
        VersionSummary {
            name: name.clone(),
            compacted_up_to: self.base.up_to,
            base_checksum: self.base.checksum(),
            incarnations: incarnations
                .map(|(number, rows)| IncarnationVersion {
                    number: *number,
                    version: rows.version,
                })
                .collect(),
        }
    }

    /// Appends the deltas that a peer with the state `remote` lacks; `None` means that the peer holds nothing
    /// of this name.
    pub(super) fn deltas_for(
        &self,
        name: &Arc<str>,
        remote: Option<&VersionSummary>,
        deltas: &mut Vec<Delta>,
    ) {
        let remote_base = remote.map_or(0, |summary| summary.compacted_up_to);
        let remote_checksum = remote.map_or(0, |summary| summary.base_checksum);
        let same_base = self.base.up_to == remote_base && remote_base > 0;
        if self.base.up_to > remote_base || same_base && self.base.checksum() != remote_checksum {
            self.base_deltas(name, deltas);
        }
        for (number, rows) in &self.incarnations {
            let remote_version = remote
                .and_then(|summary| summary.incarnations.iter().find(|i| i.number == *number))
                .map_or(0, |held| held.version);
            if *number > remote_base && rows.version > remote_version {
                let incarnation = Incarnation {
                    name: name.clone(),
                    number: *number,
                };
                rows.deltas_since(&incarnation, remote_version, deltas);
            }
        }
    }

    fn base_deltas(&self, name: &Arc<str>, deltas: &mut Vec<Delta>) {
        let rows: Vec<BaseRow> = self
            .base
            .rows
            .iter()
            .map(|(key, values)| BaseRow {
                key: key.clone(),
                values: *values,
            })
            .collect();
        let mut parts: Vec<Vec<BaseRow>> = rows.chunks(ROWS_PER_DELTA).map(<[_]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        deltas.extend(parts.into_iter().map(|part| Delta::Base {
            name: name.clone(),
            first_incarnation: self.first_incarnation,
            up_to: self.base.up_to,
            total_rows: rows.len() as u64,
            rows: part,
        }));
    }

    /// Merges a part of a peer's base, without rows of periods later than `newest_period`. Once the base is
    /// complete it replaces the local base and the incarnations that it covers, and the result is whether
    /// that changed anything; `None` before that.
    pub(super) fn merge_base(&mut self, part: &BasePart<'_>, newest_period: u32) -> Option<bool> {
        if part.up_to < self.base.up_to {
            return None;
        }
        self.note_incarnation(part.first_incarnation);
        let incoming = self.collect_base(part, newest_period)?;
        // Local sums over the same incarnations never exceed what those incarnations counted, so the join
        // does not either.
        let mut own = self.base.rows.clone();
        let later = match part.up_to.checked_add(1) {
            Some(first) => self.incarnations.split_off(&first),
            None => BTreeMap::new(),
        };
        for rows in std::mem::replace(&mut self.incarnations, later).into_values() {
            rows.add_to(&mut own);
        }
        let mut sums = incoming;
        for (key, values) in &own {
            sums.entry(key.clone()).or_default().join(values);
        }
        let changed = self.base.up_to != part.up_to || self.base.rows != sums;
        self.base = CompactedBase {
            up_to: part.up_to,
            rows: sums,
        };
        self.assert_incarnations_follow_base();
        Some(changed)
    }

    /// Adds a part to the incoming base; returns its rows once all of them have arrived.
    fn collect_base(&mut self, part: &BasePart<'_>, newest_period: u32) -> Option<UsageRows> {
        let is_same = |incoming: &IncomingBase| {
            incoming.up_to == part.up_to && incoming.total_rows == part.total_rows
        };
        let mut incoming = self
            .incoming_base
            .take()
            .filter(is_same)
            .unwrap_or_else(|| IncomingBase {
                up_to: part.up_to,
                total_rows: part.total_rows,
                rows: UsageRows::new(),
            });
        for row in part
            .rows
            .iter()
            .filter(|row| row.key.period <= newest_period)
        {
            let values = incoming.rows.entry(row.key.clone()).or_default();
            values.join(&row.values);
        }
        if (incoming.rows.len() as u64) < part.total_rows {
            self.incoming_base = Some(incoming);
            return None;
        }
        Some(incoming.rows)
    }

    /// Moves the earliest incarnation's rows into the base, if a newer one remains.
    pub(super) fn compact_earliest(&mut self) {
        if self.incarnations.len() < 2 {
            return;
        }
        let Some((number, rows)) = self.incarnations.pop_first() else {
            return;
        };
        rows.add_to(&mut self.base.rows);
        self.base.up_to = number;
        self.assert_incarnations_follow_base();
    }

    fn assert_incarnations_follow_base(&self) {
        debug_assert!(self
            .incarnations
            .keys()
            .all(|number| *number > self.base.up_to));
    }

    /// Drops rows of periods before this one.
    pub(super) fn drop_periods_before(&mut self, period: u32) {
        self.base.rows.retain(|key, _| key.period >= period);
        for rows in self.incarnations.values_mut() {
            rows.rows.retain(|key, _| key.period >= period);
        }
    }

    /// Rows held, in the base and in incarnations.
    pub(super) fn row_count(&self) -> usize {
        let detailed = self.incarnations.values().map(|rows| rows.rows.len());
        self.base.rows.len() + detailed.sum::<usize>()
    }

    /// All rows, for the totals.
    pub(super) fn contributions(&self) -> impl Iterator<Item = Contribution<'_>> {
        let newest = self.newest();
        let base = self.base.rows.iter().map(|(key, values)| Contribution {
            key,
            values,
            ended: true,
        });
        let detailed = self.incarnations.iter().flat_map(move |(number, rows)| {
            rows.rows.iter().map(move |(key, row)| Contribution {
                key,
                values: &row.values,
                ended: Some(*number) != newest,
            })
        });
        base.chain(detailed)
    }
}
