//! The tenants' tally: all lives of all names in sums, the same at each member that holds the same.

use crate::counts::Counts;
use crate::units::{Key, Unit, Units};
use std::collections::BTreeMap;

/// The tenants' tally as one member has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tally {
    /// The start of the earliest life counted, Unix time in microseconds: nothing before it is in the tally.
    pub since: u64,
    /// The same at each member that holds the same.
    pub digest: String,
    /// Sums, and served answers in doubt.
    pub rows: BTreeMap<Key, (Units, u64)>,
}

impl Counts {
    /// The tally: all lives of all names, by tenant and period. Served answers of lives that are gone, neither known to
    /// be written nor known not to be, are counted as doubtful beside it: their clients may have them or not.
    pub fn tally(&self) -> Tally {
        let mut rows: BTreeMap<Key, (Units, u64)> = BTreeMap::new();
        let doubts = |u: &Units| {
            u.get(Unit::Served)
                .saturating_sub(u.get(Unit::Written))
                .saturating_sub(u.get(Unit::Unwritten))
        };
        for named in self.names.values() {
            let newest = named.lives.keys().next_back().copied();
            let lives = named.lives.iter().flat_map(|(no, h)| {
                h.rows
                    .iter()
                    .map(move |(k, r)| (k, &r.1, Some(*no) != newest))
            });
            for (key, units, gone) in named
                .base
                .rows
                .iter()
                .map(|(k, u)| (k, u, true))
                .chain(lives)
            {
                let row = rows.entry(key.clone()).or_default();
                row.0.add(units);
                row.1 = row.1.saturating_add(if gone { doubts(units) } else { 0 });
            }
        }
        let since = self
            .names
            .values()
            .map(|n| n.first)
            .filter(|f| *f > 0)
            .min()
            .unwrap_or(self.me.no);
        let mut hash = blake3::Hasher::new();
        for (key, (units, doubtful)) in &rows {
            hash.update(&key.period.to_le_bytes())
                .update(&(key.tenant.len() as u64).to_le_bytes());
            hash.update(key.tenant.as_bytes())
                .update(&doubtful.to_le_bytes());
            for n in units.0 {
                hash.update(&n.to_le_bytes());
            }
        }
        Tally {
            since,
            digest: hash.finalize().to_hex()[..16].to_string(),
            rows,
        }
    }
}
