//! The thread that owns the store. It writes one change at a time, so that the event loop never waits for the
//! disk.

use super::{Store, StoreError, RETRY_PAUSE};
use std::io;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use streamusher_coordination::DiskChange;
use tokio::sync::mpsc::UnboundedSender;

/// A report of the writer thread.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    /// The change is written and synced.
    Persisted {
        /// Identifies the change, as given to [`StoreWriter::persist`].
        ticket: u64,
    },
    /// The change was not written, or it is unknown whether it was; it may be requested again.
    Failed {
        /// Identifies the change, as given to [`StoreWriter::persist`].
        ticket: u64,
    },
    /// The store became unusable while the process ran: the process must be restarted. If the store is
    /// damaged, the restart empties it, and the machine starts as one with an empty disk.
    Lost {
        /// The store's failure.
        error: StoreError,
    },
}

/// A change with the ticket under which its result is reported.
struct WriteRequest {
    ticket: u64,
    change: DiskChange,
}

/// Sends changes to the writer thread, which exits when this value is dropped.
pub(crate) struct StoreWriter {
    requests: mpsc::Sender<WriteRequest>,
}

impl StoreWriter {
    /// Starts the writer thread; its reports are sent to `events`.
    ///
    /// # Errors
    /// The thread could not be started.
    pub(crate) fn start(
        data_dir: PathBuf,
        store: Store,
        events: UnboundedSender<DiskEvent>,
    ) -> io::Result<StoreWriter> {
        let (requests, received) = mpsc::channel();
        let thread = WriterThread {
            data_dir,
            store: Some(store),
            events,
        };
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || thread.run(&received))?;
        Ok(StoreWriter { requests })
    }

    /// Requests a change; its result is reported as a [`DiskEvent`].
    pub(crate) fn persist(&self, ticket: u64, change: DiskChange) {
        if self.requests.send(WriteRequest { ticket, change }).is_err() {
            log::error!("store: the writer thread has exited; change {ticket} is not written");
        }
    }
}

struct WriterThread {
    data_dir: PathBuf,
    /// `None` after a failure; the next change reopens the store.
    store: Option<Store>,
    events: UnboundedSender<DiskEvent>,
}

impl WriterThread {
    fn run(mut self, requests: &mpsc::Receiver<WriteRequest>) {
        while let Ok(request) = requests.recv() {
            let event = self.write(&request);
            let is_lost = matches!(event, DiskEvent::Lost { .. });
            if self.events.send(event).is_err() || is_lost {
                return;
            }
            self.compact_if_due();
        }
    }

    fn write(&mut self, request: &WriteRequest) -> DiskEvent {
        let ticket = request.ticket;
        match self.apply(&request.change) {
            Ok(()) => DiskEvent::Persisted { ticket },
            Err(error @ StoreError::Unavailable { .. }) => {
                log::warn!("{error}");
                thread::sleep(RETRY_PAUSE);
                DiskEvent::Failed { ticket }
            }
            Err(error) => DiskEvent::Lost { error },
        }
    }

    fn apply(&mut self, change: &DiskChange) -> Result<(), StoreError> {
        let store = if let Some(store) = self.store.take() {
            store
        } else {
            let (reopened, _image) = Store::open(&self.data_dir)?;
            reopened
        };
        store.apply(change)?;
        self.store = Some(store);
        Ok(())
    }

    fn compact_if_due(&mut self) {
        let Some(store) = self.store.take_if(|store| store.needs_compaction()) else {
            return;
        };
        match store.compact(&self.data_dir) {
            Ok(store) => self.store = Some(store),
            Err(error) => log::warn!("store: compaction failed: {error}"),
        }
    }
}
