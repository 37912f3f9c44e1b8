//! Write access to a store: epochs, commits, closing of periods and corrections. Each operation is one
//! transaction.

use super::{marked, Store, StoreError};
use crate::correction::{Correction, Subject};
use crate::entry::{pack, Entry, Micros, Row};
use crate::marks::Marks;
use crate::period::{Period, Span};
use crate::seal;
use rusqlite::{params, OptionalExtension, Transaction, TransactionBehavior};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Size of most rows in a block. Only an allocation hint.
const TYPICAL_ROW_BYTES: usize = 48;

/// A period that was just closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closed {
    /// The closed period.
    pub period: Period,
    /// Seal of the period.
    pub hash: [u8; 32],
}

impl Store {
    /// Runs `operation` in one transaction. Acquires the write lock at the start; otherwise the transaction
    /// could fail to get the lock only at its end.
    fn in_transaction<T>(
        &mut self,
        operation: impl FnOnce(&Transaction, &mut HashMap<Arc<str>, u32>) -> rusqlite::Result<T>,
    ) -> Result<T, StoreError> {
        let (db, names, path) = (&mut self.db, &mut self.names, &self.path);
        let run = || {
            let transaction = db.transaction_with_behavior(TransactionBehavior::Immediate)?;
            let outcome = operation(&transaction, names)?;
            transaction.commit()?;
            Ok(outcome)
        };
        let outcome = run();
        if outcome.is_err() {
            names.clear(); // may contain ids of names that were rolled back
        }
        outcome.map_err(|e| StoreError::from_database(path, e))
    }

    /// Begins a new epoch. Its number is greater than any before and not less than the Unix time in
    /// microseconds, so that a store that was lost and created anew does not reuse an epoch.
    pub(super) fn begin_epoch(&mut self, now: Micros) -> Result<(), StoreError> {
        let marks = Marks::default();
        let epoch = self.in_transaction(|transaction, _| {
            let last: Option<i64> =
                transaction.query_row("SELECT max(epoch) FROM epochs", [], |r| r.get(0))?;
            let epoch = (now as i64).max(last.unwrap_or(0) + 1);
            transaction.execute("UPDATE epochs SET ended = ?1 WHERE ended = 0", [now as i64])?;
            transaction.execute(
                "INSERT INTO epochs VALUES(?1, ?2, 0, 0, ?3)",
                params![epoch, now as i64, marked::to_bytes(epoch as u64, &marks)],
            )?;
            Ok(epoch)
        })?;
        self.epoch = Some((epoch as u64, 0, marks));
        Ok(())
    }

    /// Writes entries and delivery marks in one commit, which is on disk when this returns. An entry whose
    /// period is already closed is booked in the first open period, so a clock that steps back never reopens
    /// a period.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the store was opened for a command. [`StoreError::Full`],
    /// [`StoreError::ReadOnly`] or [`StoreError::InUse`] if the store cannot be written; nothing is stored
    /// then. Otherwise the database error.
    pub fn commit(
        &mut self,
        entries: &[Entry],
        written: &[u64],
        undelivered: &[u64],
    ) -> Result<(), StoreError> {
        let span = self.span;
        let (epoch, last, previous_marks) = self
            .epoch
            .clone()
            .ok_or_else(|| self.damaged("opened for a command, not for writing entries"))?;
        let mut marks = previous_marks;
        written.iter().for_each(|seq| marks.written.add(*seq));
        undelivered
            .iter()
            .for_each(|seq| marks.undelivered.add(*seq));
        let last = entries.last().map_or(last, |e| e.seq).max(last);
        let bytes = marked::to_bytes(epoch, &marks);
        self.in_transaction(|transaction, names| {
            let first_open = first_open(transaction, span)?;
            let mut by_period: BTreeMap<Period, Vec<Row>> = BTreeMap::new();
            for entry in entries {
                let period = booked_in(span, entry.time_us, first_open);
                let tenant = name_id(transaction, names, &entry.tenant)?;
                let class = name_id(transaction, names, &entry.class)?;
                let row = Row::from_entry(entry, tenant, class);
                by_period.entry(period).or_default().push(row);
            }
            for (period, rows) in by_period {
                insert_block(transaction, period, epoch, &rows)?;
            }
            let mut update = transaction
                .prepare_cached("UPDATE epochs SET last = ?1, marks = ?2 WHERE epoch = ?3")?;
            update.execute(params![last as i64, bytes, epoch as i64])?;
            Ok(())
        })?;
        self.epoch = Some((epoch, last, marks));
        Ok(())
    }

    /// Closes all periods with entries or corrections that ended at least `lateness_us` ago, the oldest
    /// first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if a period is damaged. That period is not sealed; the periods before it stay
    /// closed. Otherwise the database error.
    pub fn close_due(
        &mut self,
        now: Micros,
        lateness_us: Micros,
    ) -> Result<Vec<Closed>, StoreError> {
        let mut closed = Vec::new();
        for period in self.open_periods()? {
            if period.end_us().saturating_add(lateness_us) > now {
                break;
            }
            let hash = self.seal(period, now)?;
            closed.push(Closed { period, hash });
        }
        Ok(closed)
    }

    /// Closes all periods up to and including `last`, even if they have not ended, for example when an
    /// installation is decommissioned. Not allowed while a dispatcher writes, because its answers in flight
    /// would stay in doubt for good.
    ///
    /// # Errors
    ///
    /// [`StoreError::InUse`] while a dispatcher writes, otherwise the same as for [`Store::close_due`].
    pub fn close_through(&mut self, last: Period, now: Micros) -> Result<Vec<Closed>, StoreError> {
        if self.live_epoch()?.is_some() {
            return Err(StoreError::InUse(self.path.clone()));
        }
        let due = self.open_periods()?.into_iter().take_while(|p| *p <= last);
        due.map(|period| {
            Ok(Closed {
                period,
                hash: self.seal(period, now)?,
            })
        })
        .collect()
    }

    /// Seals one period, which fixes its content and the delivery marks of its answers. The seal chains to
    /// the preceding one.
    fn seal(&mut self, period: Period, now: Micros) -> Result<[u8; 32], StoreError> {
        let instance = self.instance.clone();
        // Read first, because a damaged period must not be sealed.
        let (_, names) = self.sums_and_names(period)?;
        self.in_transaction(|transaction, _| {
            let before = transaction.query_row("SELECT hash FROM seals ORDER BY period DESC LIMIT 1", [], |r| r.get(0));
            let before: Vec<u8> = match before {
                Err(rusqlite::Error::QueryReturnedNoRows) => vec![0; 32],
                other => other?,
            };
            let mut chain = seal::Chain::new(&before, &instance, period);
            let mut entries = 0i64;
            let mut marks: BTreeMap<u64, Marks> = BTreeMap::new();
            let mut blocks = transaction.prepare(
                "SELECT epoch, first, entries, hash FROM blocks WHERE period = ?1 ORDER BY epoch, first",
            )?;
            let mut rows = blocks.query([period.start_s()])?;
            while let Some(row) = rows.next()? {
                let (epoch, first): (i64, i64) = (row.get(0)?, row.get(1)?);
                chain.block(epoch as u64, first as u64, row.get_ref(3)?.as_blob().unwrap_or(&[]));
                entries += row.get::<_, i64>(2)?;
                if let std::collections::btree_map::Entry::Vacant(new) = marks.entry(epoch as u64) {
                    new.insert(marks_of_epoch(transaction, epoch)?);
                }
            }
            let marks = postcard::to_stdvec(&marks).expect("a plain struct can always be encoded");
            chain.names(&names);
            chain.marks(&marks);
            let mut corrections =
                transaction.prepare("SELECT no, body, mac FROM corrections WHERE period = ?1 ORDER BY no")?;
            let mut rows = corrections.query([period.start_s()])?;
            while let Some(row) = rows.next()? {
                let number: i64 = row.get(0)?;
                chain.correction(number as u64, row.get_ref(1)?.as_blob().unwrap_or(&[]));
            }
            let hash = chain.finish();
            transaction.execute(
                "INSERT INTO seals(period, closed, entries, marks, before, hash) VALUES(?1, ?2, ?3, ?4, ?5, ?6)",
                params![period.start_s(), now as i64, entries, marks, before, &hash[..]],
            )?;
            Ok(hash)
        })
    }

    /// Books a correction in the period of its time, or in the first open period if that one is closed.
    /// Returns the correction's number.
    ///
    /// # Errors
    ///
    /// Same as for [`Store::correct_all`].
    pub fn correct(&mut self, correction: &Correction) -> Result<u64, StoreError> {
        Ok(self.correct_all(std::slice::from_ref(correction))?[0])
    }

    /// Books several corrections in one commit, all or none. A correction of a doubt that is already settled
    /// is skipped and gets the number 0, so settling again has no effect.
    ///
    /// # Errors
    ///
    /// [`StoreError::Full`], [`StoreError::ReadOnly`] or [`StoreError::InUse`] if the store cannot be
    /// written; nothing is stored then. Otherwise the database error.
    pub fn correct_all(&mut self, corrections: &[Correction]) -> Result<Vec<u64>, StoreError> {
        let (span, key, instance) = (self.span, self.key, self.instance.clone());
        self.in_transaction(|transaction, _| {
            let first_open = first_open(transaction, span)?;
            let mut numbers = Vec::new();
            for correction in corrections {
                let number = 1 + transaction.query_row(
                    "SELECT coalesce(max(no), 0) FROM corrections",
                    [],
                    |r| r.get::<_, i64>(0),
                )?;
                if let Subject::Billed { epoch, seq } | Subject::Waived { epoch, seq } =
                    correction.subject
                {
                    let new = transaction.execute(
                        "INSERT OR IGNORE INTO settled VALUES(?1, ?2, ?3)",
                        params![epoch as i64, seq as i64, number],
                    )?;
                    if new == 0 {
                        numbers.push(0);
                        continue;
                    }
                }
                let period = booked_in(span, correction.time_us, first_open);
                let body = correction.bytes();
                let mac = Correction::mac(&body, &key, &instance, number as u64);
                transaction.execute(
                    "INSERT INTO corrections VALUES(?1, ?2, ?3, ?4)",
                    params![number, period.start_s(), body, &mac[..]],
                )?;
                numbers.push(number as u64);
            }
            Ok(numbers)
        })
    }

    /// Marks the epoch as ended. This process has no answers in flight afterwards.
    ///
    /// # Errors
    ///
    /// [`StoreError::Full`], [`StoreError::ReadOnly`] or [`StoreError::InUse`] if the store cannot be
    /// written; nothing is stored then. Otherwise the database error.
    pub fn end_epoch(&mut self, now: Micros) -> Result<(), StoreError> {
        if let Some((epoch, ..)) = self.epoch.take() {
            self.in_transaction(|transaction, _| {
                transaction.execute(
                    "UPDATE epochs SET ended = ?1 WHERE epoch = ?2",
                    [now as i64, epoch as i64],
                )
            })?;
        }
        Ok(())
    }

    /// Checkpoints the write-ahead log, after which the database file alone holds all data.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the database reports an error.
    pub fn checkpoint(&mut self) -> Result<(), StoreError> {
        let outcome = self
            .db
            .query_row("PRAGMA wal_checkpoint(TRUNCATE)", [], |_| Ok(()));
        outcome.map_err(self.database_error())
    }
}

/// Returns the period after the last closed one, or `None` if no period is closed.
fn first_open(transaction: &Transaction, span: Span) -> rusqlite::Result<Option<Period>> {
    let sealed: Option<i64> =
        transaction.query_row("SELECT max(period) FROM seals", [], |r| r.get(0))?;
    let last_closed = sealed.and_then(|start_s| Period::starting(span, start_s));
    Ok(last_closed.map(Period::next))
}

/// Returns the period of `time_us`, or the first open period if that one is already closed.
fn booked_in(span: Span, time_us: Micros, first_open: Option<Period>) -> Period {
    let period = Period::of(span, time_us);
    first_open.map_or(period, |open| period.max(open))
}

/// Writes the entries of one period and epoch as one block. `rows` must not be empty.
fn insert_block(
    transaction: &Transaction,
    period: Period,
    epoch: u64,
    rows: &[Row],
) -> rusqlite::Result<()> {
    let (first, last) = (rows[0].seq, rows[rows.len() - 1].seq);
    let body = pack_all(rows, (first, period.start_s() as u64 * 1_000_000));
    let place = seal::BlockPosition {
        period,
        epoch,
        first,
        last,
        entries: rows.len() as u64,
    };
    let hash = seal::block(&place, &body);
    let mut insert =
        transaction.prepare_cached("INSERT INTO blocks VALUES(?1, ?2, ?3, ?4, ?5, ?6, ?7)")?;
    insert.execute(params![
        period.start_s(),
        epoch as i64,
        first as i64,
        last as i64,
        rows.len() as i64,
        &hash[..],
        body
    ])?;
    Ok(())
}

/// Encodes the rows of a block. `base` is the sequence number and time that the first row is relative to.
fn pack_all(rows: &[Row], base: (u64, Micros)) -> Vec<u8> {
    let mut body = Vec::with_capacity(rows.len() * TYPICAL_ROW_BYTES);
    let mut before = base;
    for row in rows {
        pack(row, before, &mut body);
        before = (row.seq, row.time_us);
    }
    body
}

fn marks_of_epoch(transaction: &Transaction, epoch: i64) -> rusqlite::Result<Marks> {
    let bytes: Vec<u8> =
        transaction.query_row("SELECT marks FROM epochs WHERE epoch = ?1", [epoch], |r| {
            r.get(0)
        })?;
    marked::from_bytes(epoch as u64, &bytes).ok_or_else(|| {
        rusqlite::Error::FromSqlConversionFailure(
            0,
            rusqlite::types::Type::Blob,
            "delivery marks of an epoch do not match their checksum".into(),
        )
    })
}

/// Returns the id of a name, and assigns one if the name is new.
fn name_id(
    transaction: &Transaction,
    names: &mut HashMap<Arc<str>, u32>,
    name: &Arc<str>,
) -> rusqlite::Result<u32> {
    if let Some(id) = names.get(name) {
        return Ok(*id);
    }
    let mut lookup = transaction.prepare_cached("SELECT id FROM names WHERE name = ?1")?;
    let id = match lookup.query_row([name.as_ref()], |r| r.get(0)).optional()? {
        Some(id) => id,
        None => {
            let next = "SELECT coalesce(max(id), 0) + 1 FROM names";
            let id: u32 = transaction
                .prepare_cached(next)?
                .query_row([], |r| r.get(0))?;
            let mut insert = transaction.prepare_cached("INSERT INTO names VALUES(?1, ?2, ?3)")?;
            insert.execute(params![id, name.as_ref(), marked::name_checksum(id, name)])?;
            id
        }
    };
    names.insert(name.clone(), id);
    Ok(id)
}
