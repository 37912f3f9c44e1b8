//! The thread that writes: it groups what has come in since the last commit, and tells what is durable.
//!
//! The one that answers clients never waits for it, but for its word. A store that fails is tried again until it
//! works; what is to be written stays here meanwhile, bounded by the [`crate::gate`].

use crate::entry::{Entry, Micros};
use crate::store::{Closed, Options, Settle, Store, StoreError, LOCK_TIMEOUT};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Most entries of one commit.
const COMMIT: usize = 4_096;
/// How long marks may wait for entries to be committed with: a mark that is lost with the process is a doubt more,
/// never a wrong sum.
const MARKS: Duration = Duration::from_millis(20);
/// How often a store that fails is tried again.
const AGAIN: Duration = Duration::from_millis(200);
/// How long one attempt waits for another process's commit: short, as the end of the process waits for it too.
const LOCK_ATTEMPT: Duration = Duration::from_millis(200);
/// How often it is looked whether a period is to be closed.
const CLOSE: Duration = Duration::from_secs(1);
/// How long a store that fails is tried again at the end of the process.
const AT_END: Duration = Duration::from_secs(1);

/// What the writer is told.
#[derive(Clone, Debug)]
pub enum Note {
    /// An answer to be booked.
    Entry(Entry),
    /// The answer of this number was written to the last byte.
    Written(u64),
    /// The answer of this number could not be written.
    Broke(u64),
}

/// What the writer tells. It is told on the writer's thread.
#[derive(Debug)]
pub enum Told {
    /// The store is open, in this epoch.
    Opened {
        /// The epoch.
        epoch: u64,
    },
    /// More entries are durable; none more after a failure that is over.
    Durable {
        /// All that were noted up to this number.
        upto: u64,
        /// How many.
        entries: usize,
    },
    /// The store could not be opened or written; it is tried again. Told once for each reason.
    Failed(String),
    /// Periods were closed.
    Closed(Vec<Closed>),
}

/// What the writer does besides.
#[derive(Clone, Debug)]
pub struct Duties {
    /// A period is closed so long after its end.
    pub lateness_us: Micros,
    /// How doubts of a period are settled when it is closed; none leaves them to the operator.
    pub doubts: Option<Settle>,
}

/// A running writer. Dropping it has all that was noted written, as far as the store allows, and waits for that.
pub struct Writer {
    notes: Option<Sender<Note>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `wall` reads Unix time in microseconds.
    ///
    /// # Errors
    ///
    /// The system gives no thread.
    pub fn start(
        options: Options,
        duties: Duties,
        wall: impl Fn() -> Micros + Send + 'static,
        tell: impl Fn(Told) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let (notes, noted) = channel();
        let thread = std::thread::Builder::new().name("ledger".into());
        let thread = thread.spawn(move || {
            Work {
                options,
                duties,
                wall,
                tell,
                store: None,
                upto: 0,
                why: String::new(),
                locked_since: None,
            }
            .run(&noted)
        })?;
        Ok(Writer {
            notes: Some(notes),
            thread: Some(thread),
        })
    }

    /// Notes something. Never blocks.
    pub fn note(&self, note: Note) {
        if let Some(notes) = &self.notes {
            let _ = notes.send(note); // the thread outlives this end
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.notes = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

#[derive(Default)]
struct Batch {
    entries: Vec<Entry>,
    written: Vec<u64>,
    broke: Vec<u64>,
}

impl Batch {
    fn add(&mut self, note: Note) {
        match note {
            Note::Entry(e) => self.entries.push(e),
            Note::Written(n) => self.written.push(n),
            Note::Broke(n) => self.broke.push(n),
        }
    }

    fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.written.is_empty() && self.broke.is_empty()
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

struct Work<W, T> {
    options: Options,
    duties: Duties,
    wall: W,
    tell: T,
    store: Option<Store>,
    /// The last number that is durable.
    upto: u64,
    /// Why it failed last; empty while it works.
    why: String,
    /// Since when another process keeps it from being written.
    locked_since: Option<Instant>,
}

impl<W: Fn() -> Micros, T: Fn(Told)> Work<W, T> {
    fn run(&mut self, noted: &Receiver<Note>) {
        let mut batch = Batch::default();
        let mut look = Instant::now();
        let mut ends: Option<Instant> = None;
        self.store(); // before anything is noted, so that a store that cannot be opened is told at once
        loop {
            ends = ends.or_else(|| self.gather(noted, &mut batch));
            let attempt = match (batch.is_empty(), self.store().is_some()) {
                (true, true) => Attempt::Done,
                (_, false) => Attempt::Failed, // opened here: guards against one that nobody would try again
                (false, true) => self.commit(&mut batch),
            };
            if let Some(since) = ends {
                if batch.is_empty() || attempt != Attempt::Done && since.elapsed() > AT_END {
                    break;
                }
            }
            if attempt == Attempt::Failed {
                std::thread::sleep(AGAIN);
            }
            if look.elapsed() >= CLOSE {
                look = Instant::now();
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
    fn gather(&self, noted: &Receiver<Note>, batch: &mut Batch) -> Option<Instant> {
        let mut wait = if batch.is_empty() {
            CLOSE
        } else {
            Duration::ZERO
        };
        let mut by = None;
        loop {
            match noted.recv_timeout(wait) {
                Ok(note) => batch.add(note),
                Err(RecvTimeoutError::Timeout) => return None,
                Err(RecvTimeoutError::Disconnected) => return Some(Instant::now()),
            }
            let by = *by.get_or_insert_with(|| Instant::now() + MARKS);
            wait = if batch.entries.is_empty() {
                by.saturating_duration_since(Instant::now())
            } else {
                Duration::ZERO
            };
            if batch.entries.len() >= COMMIT {
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
                    (self.tell)(Told::Opened {
                        epoch: store.epoch(),
                    });
                    self.store = Some(store);
                    self.why.clear();
                }
                Err(e) => self.failed(&e),
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

    fn failed(&mut self, e: &StoreError) {
        let why = e.to_string();
        if why != self.why {
            (self.tell)(Told::Failed(why.clone()));
            self.why = why;
        }
    }

    fn commit(&mut self, batch: &mut Batch) -> Attempt {
        let Some(store) = self.store() else {
            return Attempt::Failed;
        };
        match store.commit(&batch.entries, &batch.written, &batch.broke) {
            Ok(()) => {
                self.on_committed(std::mem::take(batch));
                Attempt::Done
            }
            Err(error) if self.is_waiting_for_lock(&error) => Attempt::Locked,
            Err(error) => {
                self.commit_marks(batch);
                self.failed(&error);
                Attempt::Failed
            }
        }
    }

    fn on_committed(&mut self, batch: Batch) {
        self.locked_since = None;
        let had_failed = !std::mem::take(&mut self.why).is_empty();
        self.upto = batch.entries.last().map_or(self.upto, |entry| entry.seq);
        if had_failed || !batch.entries.is_empty() {
            (self.tell)(Told::Durable {
                upto: self.upto,
                entries: batch.entries.len(),
            });
        }
    }

    /// Marks take no room: guards against doubts about answers that were written before the disk was full.
    fn commit_marks(&mut self, batch: &mut Batch) {
        let Some(store) = &mut self.store else {
            return;
        };
        if store.commit(&[], &batch.written, &batch.broke).is_ok() {
            batch.written.clear();
            batch.broke.clear();
        }
    }

    fn close(&mut self) {
        let (now, lateness, rule) = ((self.wall)(), self.duties.lateness_us, self.duties.doubts);
        let Some(store) = self.store.as_mut() else {
            return;
        };
        let closed = store.close_due(now, lateness);
        let settled = match (&closed, rule) {
            (Ok(closed), Some(rule)) if !closed.is_empty() => {
                let all = store.doubts().and_then(|doubts| {
                    let due = doubts
                        .iter()
                        .filter(|d| closed.iter().any(|c| c.period == d.period));
                    let due: Vec<_> = due
                        .map(|d| d.settle(rule, now, "streamusher", "the rule for doubts"))
                        .collect();
                    store.correct_all(&due)
                });
                all.map(drop)
            }
            _ => Ok(()),
        };
        match closed {
            Ok(closed) if !closed.is_empty() => (self.tell)(Told::Closed(closed)),
            Ok(_) => {}
            Err(e) => self.close_failed(&e),
        }
        if let Err(e) = settled {
            self.close_failed(&e);
        }
    }

    /// Periods are looked at again soon; what another process's commit keeps waiting is no failure.
    fn close_failed(&mut self, error: &StoreError) {
        if !matches!(error, StoreError::InUse(_)) {
            self.failed(error);
        }
    }
}
