//! Usage totals by tenant and period over all members, with a digest for comparing members.

use crate::usage::{UsageKey, UsageMetric, UsageValues};
use std::collections::BTreeMap;

/// Hexadecimal characters kept of the digest.
const DIGEST_CHARACTERS: usize = 16;

/// The sum of one usage row over all incarnations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageTotal {
    /// The sum of each metric.
    pub values: UsageValues,
    /// Served answers of ended incarnations that were counted neither as written nor as unwritten: it is
    /// unknown whether their clients received them.
    pub doubtful: u64,
}

/// Usage totals as held by one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageTotals {
    /// The start of the earliest incarnation counted, Unix time in microseconds: usage before it is not
    /// included.
    pub since: u64,
    /// Hash of the rows: equal for members with equal rows.
    pub digest: String,
    /// Totals by tenant and period.
    pub rows: BTreeMap<UsageKey, UsageTotal>,
}

/// The contribution of one incarnation, or of a compacted base, to a row.
pub(crate) struct Contribution<'a> {
    pub(crate) key: &'a UsageKey,
    pub(crate) values: &'a UsageValues,
    /// The incarnation has ended: answers that it has not reported as written will never be reported.
    pub(crate) ended: bool,
}

impl UsageTotals {
    pub(crate) fn sum<'a>(
        since: u64,
        contributions: impl Iterator<Item = Contribution<'a>>,
    ) -> UsageTotals {
        let mut rows: BTreeMap<UsageKey, UsageTotal> = BTreeMap::new();
        for contribution in contributions {
            let total = rows.entry(contribution.key.clone()).or_default();
            total.values.add(contribution.values);
            if contribution.ended {
                let doubtful = unresolved_answers(contribution.values);
                total.doubtful = total.doubtful.saturating_add(doubtful);
            }
        }
        UsageTotals {
            since,
            digest: digest(&rows),
            rows,
        }
    }
}

/// Served answers that were counted neither as written nor as unwritten.
fn unresolved_answers(values: &UsageValues) -> u64 {
    values
        .get(UsageMetric::Served)
        .saturating_sub(values.get(UsageMetric::Written))
        .saturating_sub(values.get(UsageMetric::Unwritten))
}

fn digest(rows: &BTreeMap<UsageKey, UsageTotal>) -> String {
    let mut hash = blake3::Hasher::new();
    for (key, total) in rows {
        hash.update(&key.period.to_le_bytes());
        hash.update(&(key.tenant.len() as u64).to_le_bytes());
        hash.update(key.tenant.as_bytes());
        hash.update(&total.doubtful.to_le_bytes());
        for value in total.values.0 {
            hash.update(&value.to_le_bytes());
        }
    }
    hash.finalize().to_hex()[..DIGEST_CHARACTERS].to_string()
}
