//! The thread that owns the store: it writes one change after the other, so that the event loop never waits for the disk.

use super::{Store, StoreError, RETRY_PAUSE};
use std::io;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use streamusher_coordination::DiskChange;
use tokio::sync::mpsc::UnboundedSender;

/// A report of the thread.
#[derive(Debug)]
pub(crate) enum DiskEvent {
    /// The change is synced.
    Persisted {
        /// Its ticket.
        ticket: u64,
    },
    /// The change was not written, or it is unknown whether it was; it may be requested again.
    Failed {
        /// Its ticket.
        ticket: u64,
    },
    /// The store was lost while the process ran: the process has to start anew, as a machine with an empty disk.
    Lost {
        /// Why.
        error: StoreError,
    },
}

/// A change with the ticket under which its result is reported.
struct WriteRequest {
    ticket: u64,
    change: DiskChange,
}

/// Hands changes to the thread, which ends with this value.
pub(crate) struct StoreWriter {
    requests: mpsc::Sender<WriteRequest>,
}

impl StoreWriter {
    /// Starts the thread; its reports come through `events`.
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

    /// Requests a change; its result comes as a [`DiskEvent`].
    pub(crate) fn persist(&self, ticket: u64, change: DiskChange) {
        if self.requests.send(WriteRequest { ticket, change }).is_err() {
            log::error!("store: the writer thread has exited: change {ticket} is not written");
        }
    }
}

struct WriterThread {
    data_dir: PathBuf,
    /// None after a failure: it is opened anew with the next change.
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
