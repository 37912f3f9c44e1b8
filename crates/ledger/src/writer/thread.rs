//! The writer thread: commits records in batches, retries after failures, and closes periods that are due.

use super::{ClosingRules, Record, WriterEvent};
use crate::correction::Correction;
use crate::entry::{Entry, Micros};
use crate::period::Period;
use crate::store::{Options, Store, StoreError, LOCK_TIMEOUT};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Maximum number of entries in one commit.
const MAX_COMMIT_ENTRIES: usize = 4_096;
/// Maximum time that delivery marks wait to be committed together with entries. A mark lost in a crash adds a
/// doubt, but never makes a total wrong.
const MAX_MARK_DELAY: Duration = Duration::from_millis(20);
/// Time between attempts to write to a store that fails.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time that one attempt waits for another process's commit. Short, because the shutdown of the process waits
/// for it too.
const LOCK_ATTEMPT: Duration = Duration::from_millis(200);
/// Interval between checks for periods to close.
const CLOSE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time during which a failing store is retried at shutdown.
const MAX_FINAL_RETRIES: Duration = Duration::from_secs(1);
/// Author and reason of corrections that settle doubts by the configured rule.
const SETTLED_BY: &str = "streamusher";
const SETTLED_BY_RULE: &str = "the rule for doubts";

/// Records that are not committed yet.
#[derive(Default)]
struct Batch {
    entries: Vec<Entry>,
    written: Vec<u64>,
    undelivered: Vec<u64>,
}

impl Batch {
    fn add(&mut self, record: Record) {
        match record {
            Record::Entry(entry) => self.entries.push(entry),
            Record::Written(number) => self.written.push(number),
            Record::Undelivered(number) => self.undelivered.push(number),
        }
    }

    fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.written.is_empty() && self.undelivered.is_empty()
    }
}

/// Result of one attempt to commit a batch.
#[derive(Clone, Copy, PartialEq)]
enum Attempt {
    Done,
    /// The store is locked by another process's commit, for less than [`LOCK_TIMEOUT`]. The attempt has
    /// already waited, so no further pause is needed.
    Locked,
    Failed,
}

pub(super) struct WriterThread<W, T> {
    options: Options,
    closing: ClosingRules,
    wall_clock: W,
    send_event: T,
    store: Option<Store>,
    /// Last sequence number that is durable.
    up_to: u64,
    /// Message of the last failure, empty while the store works.
    last_error: String,
    /// When a commit first found the store locked by another process, `None` if none has since the last
    /// successful commit.
    locked_since: Option<Instant>,
    /// Closed periods whose doubts are not settled by the rule yet.
    unsettled: Vec<Period>,
}

impl<W: Fn() -> Micros, T: Fn(WriterEvent)> WriterThread<W, T> {
    /// `wall_clock` returns Unix time in microseconds.
    pub(super) fn new(
        options: Options,
        closing: ClosingRules,
        wall_clock: W,
        send_event: T,
    ) -> WriterThread<W, T> {
        WriterThread {
            options,
            closing,
            wall_clock,
            send_event,
            store: None,
            up_to: 0,
            last_error: String::new(),
            locked_since: None,
            unsettled: Vec::new(),
        }
    }

    /// Writes records until the sender is dropped and all records are written or given up.
    pub(super) fn run(&mut self, records: &Receiver<Record>) {
        let mut batch = Batch::default();
        let mut last_close = Instant::now();
        let mut ended_at: Option<Instant> = None;
        self.store(); // opened before the first record arrives, so that a failure is reported immediately
        loop {
            ended_at = ended_at.or_else(|| self.receive(records, &mut batch));
            let attempt = match (batch.is_empty(), self.store().is_some()) {
                (true, true) => Attempt::Done,
                (_, false) => Attempt::Failed, // also retries the opening while there is nothing to write
                (false, true) => self.commit(&mut batch),
            };
            if let Some(since) = ended_at {
                if batch.is_empty()
                    || attempt != Attempt::Done && since.elapsed() > MAX_FINAL_RETRIES
                {
                    break;
                }
            }
            if attempt == Attempt::Failed {
                std::thread::sleep(RETRY_PAUSE);
            }
            if last_close.elapsed() >= CLOSE_INTERVAL {
                last_close = Instant::now();
                self.close();
            }
        }
        if let Some(mut store) = self.store.take() {
            // In this order: if the process ends in between, the next one ends the epoch.
            let _ = store
                .end_epoch((self.wall_clock)())
                .and_then(|()| store.checkpoint());
        }
    }

    /// Waits for records and moves them to the batch. Returns the current time once the sender is dropped.
    fn receive(&self, records: &Receiver<Record>, batch: &mut Batch) -> Option<Instant> {
        let mut wait = if batch.is_empty() {
            CLOSE_INTERVAL
        } else {
            Duration::ZERO
        };
        let mut deadline = None;
        loop {
            match records.recv_timeout(wait) {
                Ok(record) => batch.add(record),
                Err(RecvTimeoutError::Timeout) => return None,
                Err(RecvTimeoutError::Disconnected) => return Some(Instant::now()),
            }
            let deadline = *deadline.get_or_insert_with(|| Instant::now() + MAX_MARK_DELAY);
            wait = if batch.entries.is_empty() {
                deadline.saturating_duration_since(Instant::now())
            } else {
                Duration::ZERO
            };
            if batch.entries.len() >= MAX_COMMIT_ENTRIES {
                return None;
            }
        }
    }

    /// Returns the store, opening it if necessary. Returns `None` if it cannot be opened.
    fn store(&mut self) -> Option<&mut Store> {
        if self.store.is_none() {
            let opened = Store::open(&self.options, (self.wall_clock)());
            let opened = opened.and_then(|store| {
                store.set_lock_timeout(LOCK_ATTEMPT)?;
                Ok(store)
            });
            match opened {
                Ok(store) => {
                    (self.send_event)(WriterEvent::Opened {
                        epoch: store.epoch(),
                    });
                    self.store = Some(store);
                    self.last_error.clear();
                }
                Err(error) => self.on_failed(&error),
            }
        }
        self.store.as_mut()
    }

    /// Whether to keep waiting for another process's commit.
    fn is_waiting_for_lock(&mut self, error: &StoreError) -> bool {
        if !matches!(error, StoreError::InUse(_)) {
            return false;
        }
        let since = *self.locked_since.get_or_insert_with(Instant::now);
        since.elapsed() < LOCK_TIMEOUT
    }

    fn on_failed(&mut self, error: &StoreError) {
        let last_error = error.to_string();
        if last_error != self.last_error {
            (self.send_event)(WriterEvent::Failed(last_error.clone()));
            self.last_error = last_error;
        }
    }

    fn commit(&mut self, batch: &mut Batch) -> Attempt {
        let Some(store) = self.store() else {
            return Attempt::Failed;
        };
        match store.commit(&batch.entries, &batch.written, &batch.undelivered) {
            Ok(()) => {
                self.on_committed(std::mem::take(batch));
                Attempt::Done
            }
            Err(error) if self.is_waiting_for_lock(&error) => Attempt::Locked,
            Err(error) => {
                self.commit_marks(batch);
                self.on_failed(&error);
                Attempt::Failed
            }
        }
    }

    fn on_committed(&mut self, batch: Batch) {
        self.locked_since = None;
        let had_failed = !std::mem::take(&mut self.last_error).is_empty();
        self.up_to = batch.entries.last().map_or(self.up_to, |entry| entry.seq);
        if had_failed || !batch.entries.is_empty() {
            (self.send_event)(WriterEvent::Durable {
                up_to: self.up_to,
                entries: batch.entries.len(),
            });
        }
    }

    /// Commits the marks alone. They need no additional space, so this works on a full disk and avoids doubts
    /// about answers that were written before the disk was full.
    fn commit_marks(&mut self, batch: &mut Batch) {
        let Some(store) = &mut self.store else {
            return;
        };
        if store
            .commit(&[], &batch.written, &batch.undelivered)
            .is_ok()
        {
            batch.written.clear();
            batch.undelivered.clear();
        }
    }

    fn close(&mut self) {
        let now = (self.wall_clock)();
        let Some(store) = self.store.as_mut() else {
            return;
        };
        match store.close_due(now, self.closing.lateness_us) {
            Ok(closed) if closed.is_empty() => {}
            Ok(closed) => {
                self.unsettled.extend(closed.iter().map(|c| c.period));
                (self.send_event)(WriterEvent::Closed(closed));
            }
            Err(error) => self.on_close_failed(&error),
        }
        if let Err(error) = self.settle_closed(now) {
            self.on_close_failed(&error);
        }
    }

    /// Settles the doubts of closed periods if a rule is configured. After a failure this is retried at the
    /// next check.
    fn settle_closed(&mut self, now: Micros) -> Result<(), StoreError> {
        let (Some(rule), Some(store)) = (self.closing.doubts, self.store.as_mut()) else {
            return Ok(());
        };
        if self.unsettled.is_empty() {
            return Ok(());
        }
        let doubts = store.doubts()?;
        let settlements: Vec<Correction> = doubts
            .iter()
            .filter(|doubt| self.unsettled.contains(&doubt.period))
            .map(|doubt| doubt.settle(rule, now, SETTLED_BY, SETTLED_BY_RULE))
            .collect();
        store.correct_all(&settlements)?;
        self.unsettled.clear();
        Ok(())
    }

    /// Reports the error unless the store was only locked by another process's commit. The closing is retried
    /// at the next check.
    fn on_close_failed(&mut self, error: &StoreError) {
        if !matches!(error, StoreError::InUse(_)) {
            self.on_failed(error);
        }
    }
}
