//! Verifies the integrity of a store: all blocks, corrections and seals, and the chain of seals.

use super::{Store, StoreError};
use crate::seal;
use std::collections::BTreeSet;

/// Number of items that were verified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Verified {
    /// Entries read.
    pub entries: u64,
    /// Closed periods whose seals match.
    pub seals: u64,
    /// Corrections whose MACs match.
    pub corrections: u64,
}

impl Store {
    /// Verifies the whole store. `on_block` is called after each block with the number of its entries. Stops
    /// at the first mismatch; the error names the entry if it concerns one.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] for the first mismatch, otherwise the database error.
    pub fn verify(&self, mut on_block: impl FnMut(u64)) -> Result<Verified, StoreError> {
        let integrity: String = self
            .db
            .query_row("PRAGMA integrity_check(1)", [], |r| r.get(0))
            .map_err(self.database_error())?;
        let mut verified = Verified::default();
        let names = self.names()?;
        let mut previous_seal = vec![0u8; 32];
        let seals = self.seals()?;
        for period in self.periods()? {
            let period_seal = seals.iter().find(|sealed| sealed.period == period);
            let mut chain = seal::Chain::new(&previous_seal, &self.instance, period);
            let (mut entries, mut used_names) = (0, BTreeSet::new());
            self.blocks(period, |block| {
                let mut count = 0;
                for row in block.rows() {
                    let row = row.map_err(|bad| self.bad_row(&block, bad.0))?;
                    let has_names =
                        names.contains_key(&row.tenant) && names.contains_key(&row.class);
                    used_names.extend([row.tenant, row.class]);
                    if !has_names || !(block.first..=block.last).contains(&row.seq) {
                        return Err(self.bad_row(&block, count));
                    }
                    count += 1;
                }
                if count != block.entries {
                    return Err(self.bad_row(&block, count));
                }
                chain.block(block.epoch, block.first, block.hash);
                on_block(block.entries);
                entries += count;
                Ok::<(), StoreError>(())
            })?;
            if let Some(sealed) = period_seal {
                let in_use = names.iter().filter(|(id, _)| used_names.contains(id));
                chain.names(&in_use.map(|(id, name)| (*id, name.clone())).collect());
                chain.marks(&sealed.marks_bytes);
            }
            for (number, body) in self.raw_corrections(period)? {
                chain.correction(number, &body);
                verified.corrections += 1;
            }
            if let Some(sealed) = period_seal {
                if sealed.before != previous_seal
                    || sealed.entries != entries
                    || chain.finish()[..] != sealed.hash[..]
                {
                    return Err(
                        self.damaged(format!("the seal of {period} does not match its content"))
                    );
                }
                previous_seal.clone_from(&sealed.hash);
                verified.seals += 1;
            }
            verified.entries += entries;
        }
        if integrity != "ok" {
            return Err(self.damaged(integrity.replace('\n', " ")));
        }
        Ok(verified)
    }
}
