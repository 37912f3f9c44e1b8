//! What is read from a store: periods, blocks, sums, doubts and corrections. Nothing here writes.

use super::{lock_held, marked, Store, StoreError};
use crate::correction::{Correction, Subject};
use crate::entry::{Answer, Micros, Row, RowReader};
use crate::marks::{Delivery, Marks};
use crate::period::Period;
use crate::seal;
use crate::sums::Usage;
use rusqlite::OptionalExtension;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A block as it lies in the store.
pub struct Block<'a> {
    /// The epoch of its entries.
    pub epoch: u64,
    /// The number of its first entry.
    pub first: u64,
    /// The number of its last one.
    pub last: u64,
    /// How many it holds.
    pub entries: u64,
    /// The hash that it was written with.
    pub hash: &'a [u8],
    /// Its bytes.
    pub body: &'a [u8],
    /// The number and time that its first entry counts from.
    pub base: (u64, Micros),
}

impl<'a> Block<'a> {
    /// Its entries.
    pub fn rows(&self) -> RowReader<'a> {
        RowReader::new(self.body, self.base)
    }
}

/// A closed period.
#[derive(Clone, Debug)]
pub struct Seal {
    /// The period.
    pub period: Period,
    /// When it was closed.
    pub closed: Micros,
    /// Its entries.
    pub entries: u64,
    /// What was known then of the answers, by epoch.
    pub marks: BTreeMap<u64, Marks>,
    /// The same, as it was sealed.
    pub marks_bytes: Vec<u8>,
    /// The seal before it.
    pub before: Vec<u8>,
    /// Its seal.
    pub hash: Vec<u8>,
}

/// One life of the dispatcher.
#[derive(Clone, Debug)]
pub struct Epoch {
    /// Its number.
    pub epoch: u64,
    /// The last number given to an entry that is in the store.
    pub last: u64,
    /// What is known of its answers.
    pub marks: Marks,
}

/// Served, and nobody can tell whether the client has the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// The period that holds it.
    pub period: Period,
    /// Its epoch.
    pub epoch: u64,
    /// The entry.
    pub row: Row,
    /// Its tenant.
    pub tenant: String,
    /// Its class.
    pub class: String,
}

/// A correction's number and its bytes.
pub type RawCorrection = (u64, Vec<u8>);

/// Sums by tenant and class.
pub type Lines = BTreeMap<(String, String), Usage>;

impl Store {
    /// The closed periods, the oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn seals(&self) -> Result<Vec<Seal>, StoreError> {
        let failed = self.failed();
        let sql = "SELECT period, closed, entries, marks, before, hash FROM seals ORDER BY period";
        let mut found = self.db.prepare_cached(sql).map_err(&failed)?;
        let mut rows = found.query([]).map_err(&failed)?;
        let mut seals = Vec::new();
        while let Some(row) = rows.next().map_err(&failed)? {
            let start = row.get(0).map_err(&failed)?;
            let period = self.period(start)?;
            let marks_bytes: Vec<u8> = row.get(3).map_err(&failed)?;
            let marks = postcard::from_bytes(&marks_bytes)
                .map_err(|_| self.damaged(format!("the seal of {period} cannot be read")))?;
            let number = |n| row.get::<_, i64>(n).map(|n| n as u64).map_err(&failed);
            let bytes = |n| row.get(n).map_err(&failed);
            let (closed, entries, before, hash) = (number(1)?, number(2)?, bytes(4)?, bytes(5)?);
            seals.push(Seal {
                period,
                closed,
                entries,
                marks,
                marks_bytes,
                before,
                hash,
            });
        }
        Ok(seals)
    }

    /// The seal of a period; none if it is not closed.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn seal_of(&self, period: Period) -> Result<Option<Seal>, StoreError> {
        Ok(self.seals()?.into_iter().find(|s| s.period == period))
    }

    /// The periods with entries or corrections that are not closed, the oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn open_periods(&self) -> Result<Vec<Period>, StoreError> {
        let sql =
            "SELECT DISTINCT period FROM (SELECT period FROM blocks WHERE period > ?1 UNION ALL
            SELECT period FROM corrections WHERE period > ?1) ORDER BY period";
        let failed = self.failed();
        let sealed = self
            .db
            .query_row("SELECT max(period) FROM seals", [], |r| r.get(0));
        let sealed: Option<i64> = sealed.map_err(&failed)?;
        let mut found = self.db.prepare_cached(sql).map_err(&failed)?;
        let starts = found
            .query_map([sealed.unwrap_or(-1)], |r| r.get::<_, i64>(0))
            .map_err(&failed)?;
        starts.map(|s| self.period(s.map_err(&failed)?)).collect()
    }

    /// All periods with anything in them, closed or not, the oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn periods(&self) -> Result<Vec<Period>, StoreError> {
        let all: BTreeSet<Period> = self.seals()?.into_iter().map(|s| s.period).collect();
        Ok(all.into_iter().chain(self.open_periods()?).collect())
    }

    /// All entries in it, by the blocks' own counts.
    ///
    /// # Errors
    ///
    /// What the database reports.
    pub fn entries(&self) -> Result<u64, StoreError> {
        let all = self
            .db
            .query_row("SELECT coalesce(sum(entries), 0) FROM blocks", [], |r| {
                r.get::<_, i64>(0)
            });
        Ok(all.map_err(self.failed())? as u64)
    }

    /// The epochs, the oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn epochs(&self) -> Result<Vec<Epoch>, StoreError> {
        let failed = self.failed();
        let sql = "SELECT epoch, last, marks FROM epochs ORDER BY epoch";
        let mut found = self.db.prepare_cached(sql).map_err(&failed)?;
        let mut rows = found.query([]).map_err(&failed)?;
        let mut epochs = Vec::new();
        while let Some(row) = rows.next().map_err(&failed)? {
            let read = || -> rusqlite::Result<(i64, i64, Vec<u8>)> {
                Ok((row.get(0)?, row.get(1)?, row.get(2)?))
            };
            let (epoch, last, marks) = read().map_err(&failed)?;
            let marks = marked::from_bytes(epoch as u64, &marks).ok_or_else(|| {
                self.damaged(format!(
                    "the marks of epoch {epoch} are not what was written"
                ))
            })?;
            epochs.push(Epoch {
                epoch: epoch as u64,
                last: last as u64,
                marks,
            });
        }
        Ok(epochs)
    }

    /// The epoch that a dispatcher writes now: what it has not marked yet is in hand, not in doubt.
    ///
    /// # Errors
    ///
    /// What the database reports.
    pub fn live_epoch(&self) -> Result<Option<u64>, StoreError> {
        let held = lock_held(&self.path);
        let last = self
            .db
            .query_row("SELECT max(epoch) FROM epochs WHERE ended = 0", [], |r| {
                r.get(0)
            });
        let last: Option<i64> = last.map_err(self.failed())?;
        Ok(last.filter(|_| held).map(|e| e as u64))
    }

    /// The names by their numbers.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn names(&self) -> Result<BTreeMap<u32, String>, StoreError> {
        let failed = self.failed();
        let mut found = self
            .db
            .prepare_cached("SELECT id, name, sum FROM names")
            .map_err(&failed)?;
        let rows = found
            .query_map([], |r| Ok((r.get(0)?, r.get(1)?, r.get(2)?)))
            .map_err(&failed)?;
        let checked = |row: rusqlite::Result<(u32, String, u32)>| {
            let (n, name, sum) = row.map_err(&failed)?;
            match marked::name(n, &name) == sum {
                true => Ok((n, name)),
                false => Err(self.damaged(format!("name {n} is not what was written"))),
            }
        };
        rows.map(checked).collect()
    }

    /// Goes through the blocks of a period in order. Each is checked first: no sum is made over what was changed.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] at the first block that is not what was written, what the database reports, and what
    /// `each` returns.
    pub fn blocks<E: From<StoreError>>(
        &self,
        period: Period,
        mut each: impl FnMut(Block) -> Result<(), E>,
    ) -> Result<(), E> {
        let failed = self.failed();
        let sql = "SELECT epoch, first, last, entries, hash, body FROM blocks WHERE period = ?1
            ORDER BY epoch, first";
        let mut found = self.db.prepare_cached(sql).map_err(&failed)?;
        let mut rows = found.query([period.start_s()]).map_err(&failed)?;
        while let Some(row) = rows.next().map_err(&failed)? {
            let read = || -> rusqlite::Result<Block> {
                let (epoch, first, last, entries): (i64, i64, i64, i64) =
                    (row.get(0)?, row.get(1)?, row.get(2)?, row.get(3)?);
                let blob = |n| row.get_ref(n)?.as_blob().map_err(rusqlite::Error::from);
                let base = (first as u64, period.start_s() as u64 * 1_000_000);
                let (hash, body) = (blob(4)?, blob(5)?);
                Ok(Block {
                    epoch: epoch as u64,
                    first: first as u64,
                    last: last as u64,
                    entries: entries as u64,
                    hash,
                    body,
                    base,
                })
            };
            let block = read().map_err(&failed)?;
            self.check_block(period, &block)?;
            each(block)?;
        }
        Ok(())
    }

    fn check_block(&self, period: Period, block: &Block) -> Result<(), StoreError> {
        let &Block {
            epoch,
            first,
            last,
            entries,
            ..
        } = block;
        if seal::block(
            &seal::BlockPosition {
                period,
                epoch,
                first,
                last,
                entries,
            },
            block.body,
        )[..]
            == *block.hash
        {
            return Ok(());
        }
        match block.rows().find_map(Result::err) {
            Some(bad) => Err(self.bad_row(block, bad.0)),
            None => {
                let what = format!("the block of entries {first} to {last} of epoch {epoch}");
                Err(self.damaged(format!("{what} is not what was written")))
            }
        }
    }

    /// What is known of the answers in a period, by epoch: as its seal has it, or as it stands now.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn marks(&self, period: Period) -> Result<BTreeMap<u64, Marks>, StoreError> {
        Ok(match self.seal_of(period)? {
            Some(seal) => seal.marks,
            None => self
                .epochs()?
                .into_iter()
                .map(|e| (e.epoch, e.marks))
                .collect(),
        })
    }

    /// The sums of a period, by tenant and class. What is served and not known to be written is kept apart.
    ///
    /// # Errors
    ///
    /// As for [`Store::sums_and_names`].
    pub fn sums(&self, period: Period) -> Result<Lines, StoreError> {
        Ok(self.sums_and_names(period)?.0)
    }

    /// The same, and the names that the period's entries use by their numbers, in one pass.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if an entry, a name or a correction is not what was written, or a sum overflows;
    /// else what the database reports.
    pub fn sums_and_names(
        &self,
        period: Period,
    ) -> Result<(Lines, BTreeMap<u32, String>), StoreError> {
        let (mut names, marks) = (self.names()?, self.marks(period)?);
        let mut by_number: HashMap<(u32, u32), Usage> = HashMap::new();
        self.blocks(period, |block| {
            let marks = marks.get(&block.epoch);
            for row in block.rows() {
                let row = row.map_err(|bad| self.bad_row(&block, bad.0))?;
                let delivery = marks.map_or(Delivery::InDoubt, |m| m.delivery(row.seq));
                let line = by_number.entry((row.tenant, row.class)).or_default();
                line.count(&row, delivery)
                    .map_err(|e| self.damaged(e.to_string()))?;
            }
            Ok::<(), StoreError>(())
        })?;
        let used: BTreeSet<u32> = by_number
            .keys()
            .flat_map(|&(tenant, class)| [tenant, class])
            .collect();
        let mut lines = Lines::new();
        for ((tenant, class), sum) in by_number {
            let name = |n| {
                names
                    .get(&n)
                    .cloned()
                    .ok_or_else(|| self.damaged(format!("no name {n}")))
            };
            lines.insert((name(tenant)?, name(class)?), sum);
        }
        for (_, c) in self.corrections(period)? {
            let line = lines.entry((c.tenant, c.class)).or_default();
            line.correct(c.operations, c.slot_us)
                .map_err(|e| self.damaged(e.to_string()))?;
        }
        names.retain(|n, _| used.contains(n));
        Ok((lines, names))
    }

    pub(crate) fn bad_row(&self, block: &Block, index: u64) -> StoreError {
        self.damaged(format!(
            "entry {} of epoch {} is not what was written",
            block.first.saturating_add(index),
            block.epoch
        ))
    }

    /// The corrections that stand in a period, with their numbers.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn corrections(&self, period: Period) -> Result<Vec<(u64, Correction)>, StoreError> {
        let raw = self.raw_corrections(period)?;
        raw.into_iter()
            .map(|(no, body)| {
                let c = postcard::from_bytes(&body);
                c.map(|c| (no, c))
                    .map_err(|_| self.damaged(format!("correction {no} cannot be read")))
            })
            .collect()
    }

    /// The same as bytes, their MACs checked.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn raw_corrections(&self, period: Period) -> Result<Vec<RawCorrection>, StoreError> {
        let failed = self.failed();
        let sql = "SELECT no, body, mac FROM corrections WHERE period = ?1 ORDER BY no";
        let mut found = self.db.prepare_cached(sql).map_err(&failed)?;
        let read = |r: &rusqlite::Row| Ok((r.get::<_, i64>(0)? as u64, r.get(1)?, r.get(2)?));
        let rows = found.query_map([period.start_s()], read).map_err(&failed)?;
        let checked = |row: rusqlite::Result<(u64, Vec<u8>, Vec<u8>)>| {
            let (no, body, mac) = row.map_err(&failed)?;
            match Correction::mac(&body, &self.key, &self.instance, no)[..] == mac[..] {
                true => Ok((no, body)),
                false => Err(self.damaged(format!("correction {no} is not what was written"))),
            }
        };
        rows.map(checked).collect()
    }

    /// The correction that settled a doubt, if one has.
    ///
    /// # Errors
    ///
    /// What the database reports.
    pub fn settled(&self, epoch: u64, seq: u64) -> Result<Option<u64>, StoreError> {
        let sql = "SELECT correction FROM settled WHERE epoch = ?1 AND seq = ?2";
        let mut found = self.db.prepare_cached(sql).map_err(self.failed())?;
        let no = found
            .query_row([epoch as i64, seq as i64], |r| r.get::<_, i64>(0))
            .optional();
        Ok(no.map_err(self.failed())?.map(|n| n as u64))
    }

    /// Served entries that nobody can tell of whether their clients have the answers, and that no correction has
    /// settled. Those that a running dispatcher has in hand are not among them.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn doubts(&self) -> Result<Vec<Doubt>, StoreError> {
        let (names, live) = (self.names()?, self.live_epoch()?);
        let name = |n: u32| {
            names
                .get(&n)
                .cloned()
                .ok_or_else(|| self.damaged(format!("no name {n}")))
        };
        let mut doubts = Vec::new();
        for period in self.periods()? {
            let marks = self.marks(period)?;
            self.blocks(period, |block| {
                let none = Marks::default();
                let known = marks.get(&block.epoch).unwrap_or(&none);
                if Some(block.epoch) == live || known.written.covers(block.first, block.last) {
                    return Ok(());
                }
                for row in block.rows() {
                    let row = row.map_err(|bad| self.bad_row(&block, bad.0))?;
                    let open = row.answer == Answer::Served
                        && known.delivery(row.seq) == Delivery::InDoubt;
                    if open && self.settled(block.epoch, row.seq)?.is_none() {
                        let (tenant, class) = (name(row.tenant)?, name(row.class)?);
                        doubts.push(Doubt {
                            period,
                            epoch: block.epoch,
                            row,
                            tenant,
                            class,
                        });
                    }
                }
                Ok::<(), StoreError>(())
            })?;
        }
        Ok(doubts)
    }
}

/// How a doubt is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settle {
    /// As served: the client is taken to have its answer.
    Bill,
    /// As not served.
    Waive,
}

impl Doubt {
    /// The correction that settles it.
    pub fn settle(&self, how: Settle, now: Micros, author: &str, reason: &str) -> Correction {
        let (epoch, seq) = (self.epoch, self.row.seq);
        let (subject, operations, slot_us) = match how {
            Settle::Bill => (
                Subject::Billed { epoch, seq },
                1,
                i128::from(self.row.slot_us()),
            ),
            Settle::Waive => (Subject::Waived { epoch, seq }, 0, 0),
        };
        Correction {
            time_us: now,
            corrected_period: self.period,
            subject,
            tenant: self.tenant.clone(),
            class: self.class.clone(),
            operations,
            slot_us,
            author: author.into(),
            reason: reason.into(),
        }
    }
}
