//! Writes entries on a thread of its own: it groups what has come in since the last commit, and reports what is durable.
//!
//! The event loop never waits for the thread, only for its events. A store that fails is tried again until it works; what is
//! to be written stays with the thread meanwhile, bounded by the [`crate::gate`].

mod thread;

use crate::entry::{Entry, Micros};
use crate::store::{Closed, Options, Settle};
use std::sync::mpsc::{channel, Sender};
use std::thread::JoinHandle;
use thread::WriterThread;

/// What is to be written.
#[derive(Clone, Debug)]
pub enum Record {
    /// An answer to be booked.
    Entry(Entry),
    /// The answer of this number was written to the last byte.
    Written(u64),
    /// The answer of this number could not be written.
    Undelivered(u64),
}

/// What the writer reports, on its own thread.
#[derive(Debug)]
pub enum WriterEvent {
    /// The store is open, in this epoch.
    Opened {
        /// The epoch.
        epoch: u64,
    },
    /// More entries are durable; none more after a failure that is over.
    Durable {
        /// All that were handed over up to this number.
        up_to: u64,
        /// How many.
        entries: usize,
    },
    /// The store could not be opened or written; it is tried again. Reported once for each reason.
    Failed(String),
    /// Periods were closed.
    Closed(Vec<Closed>),
}

/// When periods are closed, and what then becomes of their doubts.
#[derive(Clone, Debug)]
pub struct ClosingRules {
    /// A period is closed so long after its end.
    pub lateness_us: Micros,
    /// How doubts of a period are settled when it is closed; none leaves them to the operator.
    pub doubts: Option<Settle>,
}

/// A running writer. Dropping it has all that it was given written, as far as the store allows, and waits for that.
pub struct Writer {
    records: Option<Sender<Record>>,
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
        closing: ClosingRules,
        wall: impl Fn() -> Micros + Send + 'static,
        send_event: impl Fn(WriterEvent) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let (records, received) = channel();
        let thread = std::thread::Builder::new().name("ledger".into());
        let thread = thread.spawn(move || {
            WriterThread::new(options, closing, wall, send_event).run(&received);
        })?;
        Ok(Writer {
            records: Some(records),
            thread: Some(thread),
        })
    }

    /// Hands over what is to be written. Never blocks.
    pub fn write(&self, record: Record) {
        if let Some(records) = &self.records {
            let _ = records.send(record); // the thread outlives this end
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.records = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
