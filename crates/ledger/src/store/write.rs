//! What changes a store: epochs, commits, closings and corrections. Each is one transaction.

use super::{marked, Store, StoreError};
use crate::correction::{Correction, Subject};
use crate::entry::{pack, Entry, Micros, Row};
use crate::marks::Marks;
use crate::period::{Period, Span};
use crate::seal;
use rusqlite::{params, OptionalExtension, Transaction, TransactionBehavior};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// What most rows take in a block: only a hint for the allocation.
const TYPICAL_ROW_BYTES: usize = 48;

/// A period that was closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closed {
    /// The period.
    pub period: Period,
    /// Its seal.
    pub hash: [u8; 32],
}

impl Store {
    /// Runs one transaction. Takes the write lock at once: guards against one that fails only at its end.
    fn whole<T>(
        &mut self,
        f: impl FnOnce(&Transaction, &mut HashMap<Arc<str>, u32>) -> rusqlite::Result<T>,
    ) -> Result<T, StoreError> {
        let (db, names, path) = (&mut self.db, &mut self.names, &self.path);
        let run = || {
            let t = db.transaction_with_behavior(TransactionBehavior::Immediate)?;
            let done = f(&t, names)?;
            t.commit()?;
            Ok(done)
        };
        let done = run();
        if done.is_err() {
            names.clear(); // guards against numbers of names that were rolled back
        }
        done.map_err(|e| StoreError::of(path, e))
    }

    /// Begins an epoch of its own. Later than any before, and than Unix time in microseconds: a store that was lost
    /// and made anew does not give out an epoch twice.
    pub(super) fn begin_epoch(&mut self, now: Micros) -> Result<(), StoreError> {
        let marks = Marks::default();
        let epoch = self.whole(|t, _| {
            let last: Option<i64> =
                t.query_row("SELECT max(epoch) FROM epochs", [], |r| r.get(0))?;
            let epoch = (now as i64).max(last.unwrap_or(0) + 1);
            t.execute("UPDATE epochs SET ended = ?1 WHERE ended = 0", [now as i64])?;
            t.execute(
                "INSERT INTO epochs VALUES(?1, ?2, 0, 0, ?3)",
                params![epoch, now as i64, marked::to_bytes(epoch as u64, &marks)],
            )?;
            Ok(epoch)
        })?;
        self.epoch = Some((epoch as u64, 0, marks));
        Ok(())
    }

    /// Writes entries and marks in one commit; they are on the disk when it returns. An entry whose period is closed
    /// already is booked in the first that is open: a clock that steps back opens nothing again.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if it was opened for commands. [`StoreError::Full`], [`StoreError::ReadOnly`] or
    /// [`StoreError::InUse`] if it cannot be written, and nothing of it is; else what the database reports.
    pub fn commit(
        &mut self,
        entries: &[Entry],
        written: &[u64],
        undelivered: &[u64],
    ) -> Result<(), StoreError> {
        let span = self.span;
        let (epoch, last, old) = self
            .epoch
            .clone()
            .ok_or_else(|| self.damaged("opened for commands"))?;
        let mut marks = old;
        written.iter().for_each(|n| marks.written.add(*n));
        undelivered.iter().for_each(|n| marks.undelivered.add(*n));
        let last = entries.last().map_or(last, |e| e.seq).max(last);
        let bytes = marked::to_bytes(epoch, &marks);
        self.whole(|t, names| {
            let first_open = first_open(t, span)?;
            let mut by_period: BTreeMap<Period, Vec<Row>> = BTreeMap::new();
            for entry in entries {
                let period = booked_in(span, entry.time_us, first_open);
                let tenant = number(t, names, &entry.tenant)?;
                let class = number(t, names, &entry.class)?;
                let row = Row::from_entry(entry, tenant, class);
                by_period.entry(period).or_default().push(row);
            }
            for (period, rows) in by_period {
                insert_block(t, period, epoch, &rows)?;
            }
            let mut mark =
                t.prepare_cached("UPDATE epochs SET last = ?1, marks = ?2 WHERE epoch = ?3")?;
            mark.execute(params![last as i64, bytes, epoch as i64])?;
            Ok(())
        })?;
        self.epoch = Some((epoch, last, marks));
        Ok(())
    }

    /// Closes all periods with anything in them that ended `lateness_us` ago or earlier, the oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if a period is not what was written: it is not sealed. Periods before it stay
    /// closed. Else what the database reports.
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

    /// Closes all periods up to this one, whether they have ended or not, as when an installation is given up. Only
    /// while no dispatcher writes: what one has in hand would be in doubt for good.
    ///
    /// # Errors
    ///
    /// [`StoreError::InUse`] while a dispatcher writes; else as for [`Store::close_due`].
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

    /// Seals one period: what is in it, and what is known of its answers, is what it stays. Its seal chains to the
    /// one before.
    fn seal(&mut self, period: Period, now: Micros) -> Result<[u8; 32], StoreError> {
        let instance = self.instance.clone();
        // Read first: what is damaged is not sealed.
        let (_, names) = self.sums_and_names(period)?;
        self.whole(|t, _| {
            let before = t.query_row("SELECT hash FROM seals ORDER BY period DESC LIMIT 1", [], |r| r.get(0));
            let before: Vec<u8> = match before {
                Err(rusqlite::Error::QueryReturnedNoRows) => vec![0; 32],
                other => other?,
            };
            let mut chain = seal::Chain::new(&before, &instance, period);
            let mut entries = 0i64;
            let mut marks: BTreeMap<u64, Marks> = BTreeMap::new();
            let mut blocks = t.prepare(
                "SELECT epoch, first, entries, hash FROM blocks WHERE period = ?1 ORDER BY epoch, first",
            )?;
            let mut rows = blocks.query([period.start_s()])?;
            while let Some(row) = rows.next()? {
                let (epoch, first): (i64, i64) = (row.get(0)?, row.get(1)?);
                chain.block(epoch as u64, first as u64, row.get_ref(3)?.as_blob().unwrap_or(&[]));
                entries += row.get::<_, i64>(2)?;
                if let std::collections::btree_map::Entry::Vacant(new) = marks.entry(epoch as u64) {
                    new.insert(all_marks(t, epoch)?);
                }
            }
            let marks = postcard::to_stdvec(&marks).expect("a plain struct can always be encoded");
            chain.names(&names);
            chain.marks(&marks);
            let mut corrections =
                t.prepare("SELECT no, body, mac FROM corrections WHERE period = ?1 ORDER BY no")?;
            let mut rows = corrections.query([period.start_s()])?;
            while let Some(row) = rows.next()? {
                let no: i64 = row.get(0)?;
                chain.correction(no as u64, row.get_ref(1)?.as_blob().unwrap_or(&[]));
            }
            let hash = chain.finish();
            t.execute(
                "INSERT INTO seals(period, closed, entries, marks, before, hash) VALUES(?1, ?2, ?3, ?4, ?5, ?6)",
                params![period.start_s(), now as i64, entries, marks, before, &hash[..]],
            )?;
            Ok(hash)
        })
    }

    /// Books a correction in the period of now, or the first open one if that is closed. Its number.
    ///
    /// # Errors
    ///
    /// As for [`Store::correct_all`].
    pub fn correct(&mut self, correction: &Correction) -> Result<u64, StoreError> {
        Ok(self.correct_all(std::slice::from_ref(correction))?[0])
    }

    /// Several corrections in one commit: all of them or none. A doubt that is settled already is left out, so that
    /// settling again changes nothing; its number is 0.
    ///
    /// # Errors
    ///
    /// [`StoreError::Full`], [`StoreError::ReadOnly`] or [`StoreError::InUse`] if it cannot be written, and nothing
    /// of it is; else what the database reports.
    pub fn correct_all(&mut self, corrections: &[Correction]) -> Result<Vec<u64>, StoreError> {
        let (span, key, instance) = (self.span, self.key, self.instance.clone());
        self.whole(|t, _| {
            let first_open = first_open(t, span)?;
            let mut numbers = Vec::new();
            for c in corrections {
                let no =
                    1 + t.query_row("SELECT coalesce(max(no), 0) FROM corrections", [], |r| {
                        r.get::<_, i64>(0)
                    })?;
                if let Subject::Billed { epoch, seq } | Subject::Waived { epoch, seq } = c.subject {
                    let new = t.execute(
                        "INSERT OR IGNORE INTO settled VALUES(?1, ?2, ?3)",
                        params![epoch as i64, seq as i64, no],
                    )?;
                    if new == 0 {
                        numbers.push(0);
                        continue;
                    }
                }
                let period = booked_in(span, c.time_us, first_open);
                let body = c.bytes();
                let mac = Correction::mac(&body, &key, &instance, no as u64);
                t.execute(
                    "INSERT INTO corrections VALUES(?1, ?2, ?3, ?4)",
                    params![no, period.start_s(), body, &mac[..]],
                )?;
                numbers.push(no as u64);
            }
            Ok(numbers)
        })
    }

    /// Ends the epoch in order: after it nothing of this process is in hand.
    ///
    /// # Errors
    ///
    /// [`StoreError::Full`], [`StoreError::ReadOnly`] or [`StoreError::InUse`] if it cannot be written, and nothing
    /// of it is; else what the database reports.
    pub fn end_epoch(&mut self, now: Micros) -> Result<(), StoreError> {
        if let Some((epoch, ..)) = self.epoch.take() {
            self.whole(|t, _| {
                t.execute(
                    "UPDATE epochs SET ended = ?1 WHERE epoch = ?2",
                    [now as i64, epoch as i64],
                )
            })?;
        }
        Ok(())
    }

    /// Writes the log of changes back into the file: after it, the file alone holds all.
    ///
    /// # Errors
    ///
    /// What the database reports.
    pub fn checkpoint(&mut self) -> Result<(), StoreError> {
        let done = self
            .db
            .query_row("PRAGMA wal_checkpoint(TRUNCATE)", [], |_| Ok(()));
        done.map_err(self.failed())
    }
}

/// The period after the last that is closed; none if none is.
fn first_open(t: &Transaction, span: Span) -> rusqlite::Result<Option<Period>> {
    let sealed: Option<i64> = t.query_row("SELECT max(period) FROM seals", [], |r| r.get(0))?;
    let last_closed = sealed.and_then(|start_s| Period::starting(span, start_s));
    Ok(last_closed.map(Period::next))
}

/// The period of a moment, or the first open one if that is closed already.
fn booked_in(span: Span, time_us: Micros, first_open: Option<Period>) -> Period {
    let own = Period::of(span, time_us);
    first_open.map_or(own, |open| own.max(open))
}

/// Writes the entries of one period and epoch as one block. There is at least one.
fn insert_block(t: &Transaction, period: Period, epoch: u64, rows: &[Row]) -> rusqlite::Result<()> {
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
    let mut insert = t.prepare_cached("INSERT INTO blocks VALUES(?1, ?2, ?3, ?4, ?5, ?6, ?7)")?;
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

/// The bytes of a block. `base` is the number and time that its first row counts from.
fn pack_all(rows: &[Row], base: (u64, Micros)) -> Vec<u8> {
    let mut body = Vec::with_capacity(rows.len() * TYPICAL_ROW_BYTES);
    let mut before = base;
    for row in rows {
        pack(row, before, &mut body);
        before = (row.seq, row.time_us);
    }
    body
}

fn all_marks(t: &Transaction, epoch: i64) -> rusqlite::Result<Marks> {
    let bytes: Vec<u8> =
        t.query_row("SELECT marks FROM epochs WHERE epoch = ?1", [epoch], |r| {
            r.get(0)
        })?;
    marked::from_bytes(epoch as u64, &bytes).ok_or_else(|| {
        rusqlite::Error::FromSqlConversionFailure(
            0,
            rusqlite::types::Type::Blob,
            "marks of an epoch".into(),
        )
    })
}

/// The number of a name, which is given one if it is new.
fn number(
    t: &Transaction,
    names: &mut HashMap<Arc<str>, u32>,
    name: &Arc<str>,
) -> rusqlite::Result<u32> {
    if let Some(n) = names.get(name) {
        return Ok(*n);
    }
    let mut known = t.prepare_cached("SELECT id FROM names WHERE name = ?1")?;
    let n = match known.query_row([name.as_ref()], |r| r.get(0)).optional()? {
        Some(n) => n,
        None => {
            let next = "SELECT coalesce(max(id), 0) + 1 FROM names";
            let n: u32 = t.prepare_cached(next)?.query_row([], |r| r.get(0))?;
            let mut add = t.prepare_cached("INSERT INTO names VALUES(?1, ?2, ?3)")?;
            add.execute(params![n, name.as_ref(), marked::name(n, name)])?;
            n
        }
    };
    names.insert(name.clone(), n);
    Ok(n)
}
