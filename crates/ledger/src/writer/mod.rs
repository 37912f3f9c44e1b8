//! Writes entries on a dedicated thread. Entries that arrive during a commit are grouped into the next one,
//! and durable entries are reported by events.
//!
//! The event loop never waits for the thread, it only receives its events. After a failure the thread retries
//! until the store works again. Pending records stay with the thread in the meantime; the [`crate::gate`]
//! limits their number.

mod thread;

use crate::entry::{Entry, Micros};
use crate::store::{Closed, Options, Settle};
use std::sync::mpsc::{channel, Sender};
use std::thread::JoinHandle;
use thread::WriterThread;

/// A record passed to the writer.
#[derive(Clone, Debug)]
pub enum Record {
    /// An answer to be booked.
    Entry(Entry),
    /// The answer with this sequence number was written to the client in full.
    Written(u64),
    /// The answer with this sequence number could not be written to the client.
    Undelivered(u64),
}

/// Event reported by the writer, on the writer's thread.
#[derive(Debug)]
pub enum WriterEvent {
    /// The store was opened.
    Opened {
        /// Epoch that the writer writes.
        epoch: u64,
    },
    /// More entries are durable. `entries` is 0 if only a failure has ended.
    Durable {
        /// All entries passed to the writer up to this sequence number are durable.
        up_to: u64,
        /// Number of entries that became durable with this event.
        entries: usize,
    },
    /// The store could not be opened or written, for the given reason. The writer retries. Reported once for
    /// each reason.
    Failed(String),
    /// Periods were closed.
    Closed(Vec<Closed>),
}

/// When periods are closed, and how their doubts are settled.
#[derive(Clone, Debug)]
pub struct ClosingRules {
    /// Time between the end of a period and its closing, in microseconds.
    pub lateness_us: Micros,
    /// How doubts of a period are settled when it is closed. `None` leaves them to the operator.
    pub doubts: Option<Settle>,
}

/// Handle of a running writer thread. Dropping it makes the thread write all pending records as far as the
/// store allows, and waits for the thread to end.
pub struct Writer {
    records: Option<Sender<Record>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `wall_clock` returns Unix time in microseconds.
    ///
    /// # Errors
    ///
    /// The error of the operating system if it cannot create a thread.
    pub fn start(
        options: Options,
        closing: ClosingRules,
        wall_clock: impl Fn() -> Micros + Send + 'static,
        send_event: impl Fn(WriterEvent) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let (records, received) = channel();
        let thread = std::thread::Builder::new().name("ledger".into());
        let thread = thread.spawn(move || {
            WriterThread::new(options, closing, wall_clock, send_event).run(&received);
        })?;
        Ok(Writer {
            records: Some(records),
            thread: Some(thread),
        })
    }

    /// Passes a record to the thread. Never blocks.
    pub fn write(&self, record: Record) {
        if let Some(records) = &self.records {
            let _ = records.send(record); // the thread ends only after this sender is dropped
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
