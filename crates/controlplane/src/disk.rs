//! The thread that owns the store: it carries out changes one after the other, and never holds up the event loop.

use crate::store::{Store, StoreError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use streamusher_coordination::{DiskChange, DiskImage};
use tokio::sync::mpsc as events;

/// Pause before a failed store is opened again: it would hardly be better sooner.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What the thread tells.
#[derive(Debug)]
pub enum DiskEvent {
    /// The change is synced.
    Persisted {
        /// Its ticket.
        ticket: u64,
    },
    /// The change was not made, or is in doubt; it may be asked for again.
    Failed {
        /// Its ticket.
        ticket: u64,
    },
    /// The store was lost while the process ran: only a new start, as a machine with an empty disk, helps.
    Lost {
        /// Why.
        error: StoreError,
    },
}

/// Hands changes to the thread.
pub struct Disk {
    changes: mpsc::Sender<(u64, DiskChange)>,
}

impl Disk {
    /// Starts the thread; its events come through `events`.
    ///
    /// # Errors
    /// No thread could be made.
    pub fn start(
        data_dir: PathBuf,
        store: Store,
        events: events::UnboundedSender<DiskEvent>,
    ) -> io::Result<Disk> {
        let (changes, received) = mpsc::channel();
        let worker = Worker {
            data_dir,
            store: Some(store),
            events,
        };
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || worker.run(&received))?;
        Ok(Disk { changes })
    }

    /// Asks for a change; the answer comes as a [`DiskEvent`].
    pub fn persist(&self, ticket: u64, change: DiskChange) {
        if self.changes.send((ticket, change)).is_err() {
            log::error!("the disk's thread has ended; change {ticket} is not made");
        }
    }
}

struct Worker {
    data_dir: PathBuf,
    store: Option<Store>,
    events: events::UnboundedSender<DiskEvent>,
}

impl Worker {
    fn run(mut self, changes: &mpsc::Receiver<(u64, DiskChange)>) {
        while let Ok((ticket, change)) = changes.recv() {
            let event = match self.apply(&change) {
                Ok(()) => DiskEvent::Persisted { ticket },
                Err(error @ StoreError::Unavailable { .. }) => self.give_up(ticket, &error),
                Err(error) => DiskEvent::Lost { error },
            };
            let is_lost = matches!(event, DiskEvent::Lost { .. });
            if self.events.send(event).is_err() || is_lost {
                return;
            }
            self.shrink();
        }
    }

    /// Makes the store smaller where it is due; one that failed is opened anew with the next change.
    fn shrink(&mut self) {
        let Some(store) = self.store.take_if(|store| store.is_too_large()) else {
            return;
        };
        match store.rebuild(&self.data_dir) {
            Ok(store) => self.store = Some(store),
            Err(error) => log::warn!("making the store smaller: {error}"),
        }
    }

    fn apply(&mut self, change: &DiskChange) -> Result<(), StoreError> {
        let store = match self.store.take() {
            Some(store) => store,
            None => Store::open(&self.data_dir)?.0,
        };
        store.apply(change)?;
        self.store = Some(store);
        Ok(())
    }

    fn give_up(&self, ticket: u64, error: &StoreError) -> DiskEvent {
        log::warn!("{error}");
        thread::sleep(RETRY_PAUSE);
        DiskEvent::Failed { ticket }
    }
}

/// Opens the store for a start of the process. A damaged one is told by name and emptied; while the disk refuses it is
/// tried again, as the process could do nothing better.
///
/// # Errors
/// A newer program wrote the store.
pub fn open_at_start(data_dir: &Path) -> Result<(Store, DiskImage), StoreError> {
    loop {
        let error = match Store::open(data_dir) {
            Ok(opened) => return Ok(opened),
            Err(error @ StoreError::Newer { .. }) => return Err(error),
            Err(error) => error,
        };
        log::error!("{error}");
        if matches!(error, StoreError::Damaged { .. }) {
            if let Err(refused) = Store::discard(data_dir) {
                log::error!("{refused}");
                thread::sleep(RETRY_PAUSE);
            }
            continue;
        }
        thread::sleep(RETRY_PAUSE);
    }
}
