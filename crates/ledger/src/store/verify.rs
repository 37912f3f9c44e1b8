//! Checks that a store still holds what was written: every block, every correction, every seal, the chain of seals.

use super::{Store, StoreError};
use crate::seal;
use std::collections::BTreeSet;

/// What was checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Verified {
    /// Entries read.
    pub entries: u64,
    /// Closed periods whose seals hold.
    pub seals: u64,
    /// Corrections whose MACs hold.
    pub corrections: u64,
}

impl Store {
    /// Checks all of it. `each` hears of every block, with its entries. The first thing that does not hold is the
    /// error, and names the entry if it is one.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] for the first thing that is not what was written; else what the database reports.
    pub fn verify(&self, mut each: impl FnMut(u64)) -> Result<Verified, StoreError> {
        let sound: String = self
            .db
            .query_row("PRAGMA integrity_check(1)", [], |r| r.get(0))
            .map_err(self.failed())?;
        let mut done = Verified::default();
        let names = self.names()?;
        let mut before = vec![0u8; 32];
        let seals = self.seals()?;
        for period in self.periods()? {
            let sealed = seals.iter().find(|s| s.period == period);
            let mut chain = seal::Chain::new(&before, &self.instance, period);
            let (mut entries, mut used) = (0, BTreeSet::new());
            self.blocks(period, |block| {
                let mut count = 0;
                for row in block.rows() {
                    let row = row.map_err(|bad| self.bad_row(&block, bad.0))?;
                    let named = names.contains_key(&row.tenant) && names.contains_key(&row.class);
                    used.extend([row.tenant, row.class]);
                    if !named || !(block.first..=block.last).contains(&row.seq) {
                        return Err(self.bad_row(&block, count));
                    }
                    count += 1;
                }
                if count != block.entries {
                    return Err(self.bad_row(&block, count));
                }
                chain.block(block.epoch, block.first, block.hash);
                each(block.entries);
                entries += count;
                Ok::<(), StoreError>(())
            })?;
            if let Some(s) = sealed {
                let in_use = names.iter().filter(|(n, _)| used.contains(n));
                chain.names(&in_use.map(|(n, name)| (*n, name.clone())).collect());
                chain.marks(&s.marks_bytes);
            }
            for (no, body) in self.raw_corrections(period)? {
                chain.correction(no, &body);
                done.corrections += 1;
            }
            if let Some(s) = sealed {
                if s.before != before || s.entries != entries || chain.finish()[..] != s.hash[..] {
                    return Err(self.damaged(format!("the seal of {period} does not hold")));
                }
                before.clone_from(&s.hash);
                done.seals += 1;
            }
            done.entries += entries;
        }
        if sound != "ok" {
            return Err(self.damaged(sound.replace('\n', " ")));
        }
        Ok(done)
    }
}
