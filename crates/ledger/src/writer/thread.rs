//! The writer's thread: commits in batches, retries, and the closing of periods that are due.

use super::{ClosingRules, Record, WriterEvent};
use crate::correction::Correction;
use crate::entry::{Entry, Micros};
use crate::period::Period;
use crate::store::{Options, Store, StoreError, LOCK_TIMEOUT};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Most entries of one commit.
const MAX_COMMIT_ENTRIES: usize = 4_096;
/// How long marks may wait for entries to be committed with: a mark that is lost with the process is a doubt more,
/// never a wrong sum.
const MAX_MARK_DELAY: Duration = Duration::from_millis(20);
/// How often a store that fails is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long one attempt waits for another process's commit: short, as the end of the process waits for it too.
const LOCK_ATTEMPT: Duration = Duration::from_millis(200);
/// How often it is looked whether a period is to be closed.
const CLOSE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a store that fails is tried again at the end of the process.
const MAX_FINAL_RETRIES: Duration = Duration::from_secs(1);
/// Author and reason of settlements by the rule for doubts.
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

/// How an attempt to write went.
#[derive(Clone, Copy, PartialEq)]
enum Attempt {
    Done,
    /// Another process's commit kept it waiting, not for long yet; it has waited already.
    Locked,
    Failed,
}

pub(super) struct WriterThread<W, T> {
    options: Options,
    closing: ClosingRules,
    wall: W,
    send_event: T,
    store: Option<Store>,
    /// The last number that is durable.
    up_to: u64,
    /// Why it failed last; empty while it works.
    why: String,
    /// Since when another process keeps it from being written.
    locked_since: Option<Instant>,
    /// Closed periods whose doubts are not settled by the rule yet.
    unsettled: Vec<Period>,
}

impl<W: Fn() -> Micros, T: Fn(WriterEvent)> WriterThread<W, T> {
    /// `wall` reads Unix time in microseconds.
    pub(super) fn new(
        options: Options,
        closing: ClosingRules,
        wall: W,
        send_event: T,
    ) -> WriterThread<W, T> {
        WriterThread {
            options,
            closing,
            wall,
            send_event,
            store: None,
            up_to: 0,
            why: String::new(),
            locked_since: None,
            unsettled: Vec::new(),
        }
    }

    /// Writes until nothing more will come.
    pub(super) fn run(&mut self, records: &Receiver<Record>) {
        let mut batch = Batch::default();
        let mut last_close = Instant::now();
        let mut ends: Option<Instant> = None;
        self.store(); // before anything comes, so that a store that cannot be opened is told at once
        loop {
            ends = ends.or_else(|| self.receive(records, &mut batch));
            let attempt = match (batch.is_empty(), self.store().is_some()) {
                (true, true) => Attempt::Done,
                (_, false) => Attempt::Failed, // opened here: guards against one that nobody would try again
                (false, true) => self.commit(&mut batch),
            };
            if let Some(since) = ends {
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
            // In this order; a process that ends between them has its epoch ended by the next one.
            let _ = store
                .end_epoch((self.wall)())
                .and_then(|()| store.checkpoint());
        }
    }

    /// Waits for something to write and takes what is there. Some once nothing more will come.
    fn receive(&self, records: &Receiver<Record>, batch: &mut Batch) -> Option<Instant> {
        let mut wait = if batch.is_empty() {
            CLOSE_INTERVAL
        } else {
            Duration::ZERO
        };
        let mut by = None;
        loop {
            match records.recv_timeout(wait) {
                Ok(record) => batch.add(record),
                Err(RecvTimeoutError::Timeout) => return None,
                Err(RecvTimeoutError::Disconnected) => return Some(Instant::now()),
            }
            let by = *by.get_or_insert_with(|| Instant::now() + MAX_MARK_DELAY);
            wait = if batch.entries.is_empty() {
                by.saturating_duration_since(Instant::now())
            } else {
                Duration::ZERO
            };
            if batch.entries.len() >= MAX_COMMIT_ENTRIES {
                return None;
            }
        }
    }

    /// The store, opened if it is not.
    fn store(&mut self) -> Option<&mut Store> {
        if self.store.is_none() {
            let opened = Store::open(&self.options, (self.wall)());
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
                    self.why.clear();
                }
                Err(error) => self.on_failed(&error),
            }
        }
        self.store.as_mut()
    }

    /// Whether another process's commit may still be waited for.
    fn is_waiting_for_lock(&mut self, error: &StoreError) -> bool {
        if !matches!(error, StoreError::InUse(_)) {
            return false;
        }
        let since = *self.locked_since.get_or_insert_with(Instant::now);
        since.elapsed() < LOCK_TIMEOUT
    }

    fn on_failed(&mut self, error: &StoreError) {
        let why = error.to_string();
        if why != self.why {
            (self.send_event)(WriterEvent::Failed(why.clone()));
            self.why = why;
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
        let had_failed = !std::mem::take(&mut self.why).is_empty();
        self.up_to = batch.entries.last().map_or(self.up_to, |entry| entry.seq);
        if had_failed || !batch.entries.is_empty() {
            (self.send_event)(WriterEvent::Durable {
                up_to: self.up_to,
                entries: batch.entries.len(),
            });
        }
    }

    /// Marks take no room: guards against doubts about answers that were written before the disk was full.
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
        let now = (self.wall)();
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

    /// Settles the doubts of the periods that were closed, where there is a rule; tried again with the next look if it fails.
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

    /// Periods are looked at again soon; what another process's commit keeps waiting is no failure.
    fn on_close_failed(&mut self, error: &StoreError) {
        if !matches!(error, StoreError::InUse(_)) {
            self.on_failed(error);
        }
    }
}
