//! Read access to a store: periods, blocks, totals, doubts and corrections. Nothing in this module writes.

use super::{lock_held, marked, Store, StoreError};
use crate::correction::{Correction, Subject};
use crate::entry::{Answer, Micros, Row, RowReader};
use crate::marks::{Delivery, Marks};
use crate::period::Period;
use crate::seal;
use crate::sums::Usage;
use rusqlite::OptionalExtension;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A block of entries as stored.
pub struct Block<'a> {
    /// Epoch of the block's entries.
    pub epoch: u64,
    /// Sequence number of the first entry.
    pub first: u64,
    /// Sequence number of the last entry.
    pub last: u64,
    /// Number of entries in the block.
    pub entries: u64,
    /// Hash of the block, computed when it was written.
    pub hash: &'a [u8],
    /// Encoded entries.
    pub body: &'a [u8],
    /// Sequence number and time that the first entry is relative to.
    pub base: (u64, Micros),
}

impl<'a> Block<'a> {
    /// Decodes the entries of the block.
    pub fn rows(&self) -> RowReader<'a> {
        RowReader::new(self.body, self.base)
    }
}

/// A closed period with its seal.
#[derive(Clone, Debug)]
pub struct Seal {
    /// The period that is closed.
    pub period: Period,
    /// When the period was closed, in Unix time.
    pub closed: Micros,
    /// Number of entries in the period.
    pub entries: u64,
    /// Delivery marks at the time of closing, by epoch.
    pub marks: BTreeMap<u64, Marks>,
    /// The encoded `marks`, as covered by the seal.
    pub marks_bytes: Vec<u8>,
    /// Seal of the preceding period, all zeros for the first one.
    pub before: Vec<u8>,
    /// Seal of this period.
    pub hash: Vec<u8>,
}

/// One run of the dispatcher, from opening the store until it ends.
#[derive(Clone, Debug)]
pub struct Epoch {
    /// Number of the epoch, greater than that of any earlier one.
    pub epoch: u64,
    /// Highest sequence number of an entry in the store, 0 if there is none.
    pub last: u64,
    /// Delivery marks of the epoch's answers.
    pub marks: Marks,
}

/// A served entry for which it is unknown whether the client received the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// Period that holds the entry.
    pub period: Period,
    /// Epoch of the entry.
    pub epoch: u64,
    /// The entry in doubt.
    pub row: Row,
    /// Name of the tenant.
    pub tenant: String,
    /// Name of the service class.
    pub class: String,
}

/// Number and encoded form of a correction.
pub type RawCorrection = (u64, Vec<u8>);

/// Usage totals by tenant and class.
pub type Lines = BTreeMap<(String, String), Usage>;

impl Store {
    /// Returns all closed periods, the oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
    pub fn seals(&self) -> Result<Vec<Seal>, StoreError> {
        let database_error = self.database_error();
        let sql = "SELECT period, closed, entries, marks, before, hash FROM seals ORDER BY period";
        let mut statement = self.db.prepare_cached(sql).map_err(&database_error)?;
        let mut rows = statement.query([]).map_err(&database_error)?;
        let mut seals = Vec::new();
        while let Some(row) = rows.next().map_err(&database_error)? {
            let start = row.get(0).map_err(&database_error)?;
            let period = self.period(start)?;
            let marks_bytes: Vec<u8> = row.get(3).map_err(&database_error)?;
            let marks = postcard::from_bytes(&marks_bytes)
                .map_err(|_| self.damaged(format!("the seal of {period} cannot be decoded")))?;
            let number = |column| {
                row.get::<_, i64>(column)
                    .map(|value| value as u64)
                    .map_err(&database_error)
            };
            let bytes = |column| row.get(column).map_err(&database_error);
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

    /// Returns the seal of a period, or `None` if the period is not closed.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
    pub fn seal_of(&self, period: Period) -> Result<Option<Seal>, StoreError> {
        Ok(self.seals()?.into_iter().find(|s| s.period == period))
    }

    /// Returns the open periods that have entries or corrections, the oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
    pub fn open_periods(&self) -> Result<Vec<Period>, StoreError> {
        let sql =
            "SELECT DISTINCT period FROM (SELECT period FROM blocks WHERE period > ?1 UNION ALL
            SELECT period FROM corrections WHERE period > ?1) ORDER BY period";
        let database_error = self.database_error();
        let sealed = self
            .db
            .query_row("SELECT max(period) FROM seals", [], |r| r.get(0));
        let sealed: Option<i64> = sealed.map_err(&database_error)?;
        let mut statement = self.db.prepare_cached(sql).map_err(&database_error)?;
        let starts = statement
            .query_map([sealed.unwrap_or(-1)], |r| r.get::<_, i64>(0))
            .map_err(&database_error)?;
        starts
            .map(|s| self.period(s.map_err(&database_error)?))
            .collect()
    }

    /// Returns all periods that have entries or corrections, closed or open, the oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
    pub fn periods(&self) -> Result<Vec<Period>, StoreError> {
        let all: BTreeSet<Period> = self.seals()?.into_iter().map(|s| s.period).collect();
        Ok(all.into_iter().chain(self.open_periods()?).collect())
    }

    /// Returns the number of entries in the store, by the counts stored with the blocks.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the database cannot be read.
    pub fn entries(&self) -> Result<u64, StoreError> {
        let all = self
            .db
            .query_row("SELECT coalesce(sum(entries), 0) FROM blocks", [], |r| {
                r.get::<_, i64>(0)
            });
        Ok(all.map_err(self.database_error())? as u64)
    }

    /// Returns all epochs, the oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
    pub fn epochs(&self) -> Result<Vec<Epoch>, StoreError> {
        let database_error = self.database_error();
        let sql = "SELECT epoch, last, marks FROM epochs ORDER BY epoch";
        let mut statement = self.db.prepare_cached(sql).map_err(&database_error)?;
        let mut rows = statement.query([]).map_err(&database_error)?;
        let mut epochs = Vec::new();
        while let Some(row) = rows.next().map_err(&database_error)? {
            let decode = || -> rusqlite::Result<(i64, i64, Vec<u8>)> {
                Ok((row.get(0)?, row.get(1)?, row.get(2)?))
            };
            let (epoch, last, marks) = decode().map_err(&database_error)?;
            let marks = marked::from_bytes(epoch as u64, &marks).ok_or_else(|| {
                self.damaged(format!(
                    "the delivery marks of epoch {epoch} do not match their checksum"
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

    /// Returns the epoch that a running dispatcher writes, if any. Its answers without a delivery mark are in
    /// flight, not in doubt.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the database cannot be read.
    pub fn live_epoch(&self) -> Result<Option<u64>, StoreError> {
        let held = lock_held(&self.path);
        let last = self
            .db
            .query_row("SELECT max(epoch) FROM epochs WHERE ended = 0", [], |r| {
                r.get(0)
            });
        let last: Option<i64> = last.map_err(self.database_error())?;
        Ok(last.filter(|_| held).map(|e| e as u64))
    }

    /// Returns the names of tenants and classes by their ids.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
    pub fn names(&self) -> Result<BTreeMap<u32, String>, StoreError> {
        let database_error = self.database_error();
        let mut statement = self
            .db
            .prepare_cached("SELECT id, name, sum FROM names")
            .map_err(&database_error)?;
        let rows = statement
            .query_map([], |r| Ok((r.get(0)?, r.get(1)?, r.get(2)?)))
            .map_err(&database_error)?;
        let checked = |row: rusqlite::Result<(u32, String, u32)>| {
            let (id, name, checksum) = row.map_err(&database_error)?;
            match marked::name_checksum(id, &name) == checksum {
                true => Ok((id, name)),
                false => Err(self.damaged(format!("name {id} is not what was written"))),
            }
        };
        rows.map(checked).collect()
    }

    /// Passes the blocks of a period to `on_block` in order. Each block is verified first, so no total is
    /// computed over changed data.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] at the first damaged block, the database error, or the error that `on_block`
    /// returns.
    pub fn blocks<E: From<StoreError>>(
        &self,
        period: Period,
        mut on_block: impl FnMut(Block) -> Result<(), E>,
    ) -> Result<(), E> {
        let database_error = self.database_error();
        let sql = "SELECT epoch, first, last, entries, hash, body FROM blocks WHERE period = ?1
            ORDER BY epoch, first";
        let mut statement = self.db.prepare_cached(sql).map_err(&database_error)?;
        let mut rows = statement
            .query([period.start_s()])
            .map_err(&database_error)?;
        while let Some(row) = rows.next().map_err(&database_error)? {
            let decode = || -> rusqlite::Result<Block> {
                let (epoch, first, last, entries): (i64, i64, i64, i64) =
                    (row.get(0)?, row.get(1)?, row.get(2)?, row.get(3)?);
                let blob = |column| {
                    row.get_ref(column)?
                        .as_blob()
                        .map_err(rusqlite::Error::from)
                };
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
            let block = decode().map_err(&database_error)?;
            self.check_block(period, &block)?;
            on_block(block)?;
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

    /// Returns the delivery marks of a period by epoch: those in its seal if it is closed, otherwise the
    /// current ones.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
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

    /// Returns the usage totals of a period by tenant and class. Served entries without a delivery mark are
    /// totalled separately as doubts.
    ///
    /// # Errors
    ///
    /// Same as for [`Store::sums_and_names`].
    pub fn sums(&self, period: Period) -> Result<Lines, StoreError> {
        Ok(self.sums_and_names(period)?.0)
    }

    /// Returns the usage totals of a period together with the names that its entries use, by id, in one pass.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if an entry, a name or a correction is damaged, or a total overflows,
    /// otherwise the database error.
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
            let name = |id| {
                names.get(&id).cloned().ok_or_else(|| {
                    self.damaged(format!(
                        "an entry refers to name {id}, which does not exist"
                    ))
                })
            };
            lines.insert((name(tenant)?, name(class)?), sum);
        }
        for (_, correction) in self.corrections(period)? {
            let line = lines
                .entry((correction.tenant, correction.class))
                .or_default();
            line.correct(correction.operations, correction.slot_us)
                .map_err(|e| self.damaged(e.to_string()))?;
        }
        names.retain(|id, _| used.contains(id));
        Ok((lines, names))
    }

    pub(crate) fn bad_row(&self, block: &Block, index: u64) -> StoreError {
        self.damaged(format!(
            "entry {} of epoch {} is not what was written",
            block.first.saturating_add(index),
            block.epoch
        ))
    }

    /// Returns the corrections booked in a period, with their numbers.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
    pub fn corrections(&self, period: Period) -> Result<Vec<(u64, Correction)>, StoreError> {
        let raw = self.raw_corrections(period)?;
        raw.into_iter()
            .map(|(number, body)| {
                let correction = postcard::from_bytes(&body);
                correction
                    .map(|correction| (number, correction))
                    .map_err(|_| self.damaged(format!("correction {number} cannot be read")))
            })
            .collect()
    }

    /// Returns the encoded corrections booked in a period, with their numbers, after verifying their MACs.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
    pub fn raw_corrections(&self, period: Period) -> Result<Vec<RawCorrection>, StoreError> {
        let database_error = self.database_error();
        let sql = "SELECT no, body, mac FROM corrections WHERE period = ?1 ORDER BY no";
        let mut statement = self.db.prepare_cached(sql).map_err(&database_error)?;
        let decode = |r: &rusqlite::Row| Ok((r.get::<_, i64>(0)? as u64, r.get(1)?, r.get(2)?));
        let rows = statement
            .query_map([period.start_s()], decode)
            .map_err(&database_error)?;
        let checked = |row: rusqlite::Result<(u64, Vec<u8>, Vec<u8>)>| {
            let (number, body, mac) = row.map_err(&database_error)?;
            match Correction::mac(&body, &self.key, &self.instance, number)[..] == mac[..] {
                true => Ok((number, body)),
                false => Err(self.damaged(format!("correction {number} is not what was written"))),
            }
        };
        rows.map(checked).collect()
    }

    /// Returns the number of the correction that settled the doubt about an entry, if there is one.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the database cannot be read.
    pub fn settled(&self, epoch: u64, seq: u64) -> Result<Option<u64>, StoreError> {
        let sql = "SELECT correction FROM settled WHERE epoch = ?1 AND seq = ?2";
        let mut statement = self.db.prepare_cached(sql).map_err(self.database_error())?;
        let number = statement
            .query_row([epoch as i64, seq as i64], |r| r.get::<_, i64>(0))
            .optional();
        Ok(number
            .map_err(self.database_error())?
            .map(|value| value as u64))
    }

    /// Returns the served entries that have neither a delivery mark nor a correction that settles them.
    /// Entries whose answers are in flight in a running dispatcher are excluded.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored data is damaged, otherwise the database error.
    pub fn doubts(&self) -> Result<Vec<Doubt>, StoreError> {
        let (names, live) = (self.names()?, self.live_epoch()?);
        let name = |id: u32| {
            names.get(&id).cloned().ok_or_else(|| {
                self.damaged(format!(
                    "an entry refers to name {id}, which does not exist"
                ))
            })
        };
        let mut doubts = Vec::new();
        for period in self.periods()? {
            let marks = self.marks(period)?;
            self.blocks(period, |block| {
                let no_marks = Marks::default();
                let block_marks = marks.get(&block.epoch).unwrap_or(&no_marks);
                if Some(block.epoch) == live || block_marks.written.covers(block.first, block.last)
                {
                    return Ok(());
                }
                for row in block.rows() {
                    let row = row.map_err(|bad| self.bad_row(&block, bad.0))?;
                    let open = row.answer == Answer::Served
                        && block_marks.delivery(row.seq) == Delivery::InDoubt;
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

/// Outcome to which a doubt is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settle {
    /// Billed as served, on the assumption that the client received the answer.
    Bill,
    /// Not billed.
    Waive,
}

impl Doubt {
    /// Creates the correction that settles this doubt.
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
