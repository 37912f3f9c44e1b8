//! The state that a control machine keeps on disk: the witness's state, and its replica of the state with the
//! log position.
//!
//! It is stored in a fjall database in the folder [`STORE_FOLDER`] under `data_dir`. Each change is one batch
//! and is synced before the next batch begins. A power loss can therefore tear at most the last batch of the
//! journal, which is then dropped.
//!
//! - `database`: the database with its format version; `torn_journal`: repair of its journal.
//! - `folders`: the folders, and the replacement of one store by another.
//! - `writer`: the writer thread.

mod database;
mod error;
mod folders;
mod torn_journal;
pub(crate) mod writer;

pub use database::FORMAT;
pub use error::StoreError;
pub use folders::{DISCARDED_FOLDER, FORMER_FOLDER, REPLACEMENT_FOLDER, STORE_FOLDER};

use database::StoreDatabase;
use fjall::{OwnedWriteBatch, PersistMode};
use std::cell::Cell;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;
use streamusher_coordination::{DiskChange, DiskImage, LogPosition, StateMap, WitnessState};
use streamusher_protocol::store::Write;

/// Journal length above which the store is compacted while the process runs. fjall keeps up to 64 MB of
/// journal, reserves the same amount for the next journal, and reads all of it at startup. The limit is lower
/// because disks are small, and compaction delays only one change.
const MAX_JOURNAL_BYTES: u64 = 40 << 20;
/// Journal length above which the store is compacted at startup. It is lower than [`MAX_JOURNAL_BYTES`],
/// because no change waits for the disk yet.
const MAX_JOURNAL_BYTES_AT_START: u64 = 8 << 20;

/// Bytes that a journal adds to the key and the value of each entry.
const ENTRY_OVERHEAD_BYTES: usize = 22;
/// Bytes that the rest of a batch takes in a journal, including the log position.
const BATCH_OVERHEAD_BYTES: usize = 100;

/// Pause before opening a store again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

const WITNESS_KEY: &[u8] = b"m/witness";
const POSITION_KEY: &[u8] = b"m/position";
/// Prefix of each key of the replicated state.
const STATE_PREFIX: &[u8] = b"s/";

/// The open store of a control machine.
pub struct Store {
    database: StoreDatabase,
    /// Approximate length of the journals, tracked here because asking the database costs a system call per
    /// change.
    journal_bytes: Cell<u64>,
}

impl Store {
    /// Opens the store under `data_dir`, or creates an empty one, and reads its content.
    ///
    /// # Errors
    /// See [`StoreError`]; a damaged store is left unchanged, for [`Store::discard`].
    pub fn open(data_dir: &Path) -> Result<(Store, DiskImage), StoreError> {
        let folder = data_dir.join(STORE_FOLDER);
        let io_error = |error: io::Error| StoreError::from_io(&folder, &error);
        folders::prepare(data_dir).map_err(io_error)?;
        let mut store = Store::open_at(&folder)?;
        folders::sync_all(data_dir).map_err(io_error)?;
        let image = store.load()?;
        if store.journal_bytes.get() > MAX_JOURNAL_BYTES_AT_START {
            store = store.compact(data_dir)?;
        }
        Ok((store, image))
    }

    /// Opens the store at process startup. A damaged store is logged and emptied. An unavailable store is
    /// retried until it opens, as the process cannot work without it. Blocks.
    ///
    /// # Errors
    /// [`StoreError::NewerFormat`]: a newer release wrote the store.
    pub fn open_at_startup(data_dir: &Path) -> Result<(Store, DiskImage), StoreError> {
        loop {
            let error = match Store::open(data_dir) {
                Ok(opened) => return Ok(opened),
                Err(error @ StoreError::NewerFormat { .. }) => return Err(error),
                Err(error) => error,
            };
            log::error!("{error}");
            let is_discarded = matches!(error, StoreError::Damaged { .. })
                && Store::discard(data_dir)
                    .inspect_err(|error| log::error!("{error}"))
                    .is_ok();
            if !is_discarded {
                thread::sleep(RETRY_PAUSE);
            }
        }
    }

    /// Whether [`Store::compact`] is due.
    pub fn needs_compaction(&self) -> bool {
        self.journal_bytes.get() > MAX_JOURNAL_BYTES
    }

    /// Rewrites the store with only the newest value of each key, and replaces this store by the result.
    ///
    /// # Errors
    /// See [`StoreError`]; the store must then be reopened, and has kept its content.
    pub fn compact(self, data_dir: &Path) -> Result<Store, StoreError> {
        let folder = data_dir.join(STORE_FOLDER);
        let io_error = |error: io::Error| StoreError::from_io(&folder, &error);
        folders::prepare(data_dir).map_err(io_error)?;
        let replacement = Store::open_at(&data_dir.join(REPLACEMENT_FOLDER))?;
        self.database.copy_to(&replacement.database)?;
        drop(replacement);
        drop(self);
        folders::replace(data_dir).map_err(io_error)?;
        Store::open_at(&folder)
    }

    /// Empties `data_dir`, so that the machine starts as one with an empty disk.
    ///
    /// # Errors
    /// A disk operation failed; the store is either still present or removed as a whole.
    pub fn discard(data_dir: &Path) -> Result<(), StoreError> {
        folders::discard(data_dir)
            .map_err(|error| StoreError::from_io(&data_dir.join(STORE_FOLDER), &error))
    }

    /// Writes a change and syncs it. Blocks until the disk has finished.
    ///
    /// # Errors
    /// The change is on disk completely or not at all, and the store must be reopened.
    pub fn apply(&self, change: &DiskChange) -> Result<(), StoreError> {
        let mut batch = self.database.batch(PersistMode::SyncData);
        let mut bytes = BATCH_OVERHEAD_BYTES;
        if change.replace_all {
            bytes += self.remove_state(&mut batch)?;
        }
        for write in &change.writes {
            bytes += self.add_write(&mut batch, write);
        }
        if let Some(witness) = &change.witness {
            bytes += self.add_witness(&mut batch, witness)?;
        }
        if let Some(position) = &change.position {
            let value = self.database.encode(position)?;
            batch.insert(&self.database.keyspace, POSITION_KEY, value);
        }
        self.journal_bytes
            .set(self.journal_bytes.get() + bytes as u64);
        self.database.commit(batch)
    }

    fn open_at(folder: &Path) -> Result<Store, StoreError> {
        let database = StoreDatabase::open(folder)?;
        let journal_bytes = Cell::new(database.journal_bytes()?);
        Ok(Store {
            database,
            journal_bytes,
        })
    }

    fn load(&self) -> Result<DiskImage, StoreError> {
        let witness = self.database.read::<WitnessState>(WITNESS_KEY)?;
        let position = self.database.read::<LogPosition>(POSITION_KEY)?;
        let state = self.load_state()?;
        if witness.is_none() && (position.is_some() || !state.is_empty()) {
            return Err(self
                .database
                .damaged("there is state, but no witness record"));
        }
        Ok(DiskImage {
            witness,
            position: position.unwrap_or_default(),
            state,
        })
    }

    fn load_state(&self) -> Result<StateMap, StoreError> {
        let mut state = StateMap::new();
        for guard in self.database.keyspace.prefix(STATE_PREFIX) {
            let (key, value) = guard
                .into_inner()
                .map_err(|error| self.database.error(&error))?;
            let key = self.database.decode_text(&key[STATE_PREFIX.len()..])?;
            state.insert(key, self.database.decode_text(&value)?);
        }
        Ok(state)
    }

    /// Adds the removal of the whole state to a batch. Returns the number of bytes added to the journal.
    fn remove_state(&self, batch: &mut OwnedWriteBatch) -> Result<usize, StoreError> {
        let mut bytes = 0;
        for guard in self.database.keyspace.prefix(STATE_PREFIX) {
            let key = guard.key().map_err(|error| self.database.error(&error))?;
            bytes += ENTRY_OVERHEAD_BYTES + key.len();
            batch.remove(&self.database.keyspace, key);
        }
        Ok(bytes)
    }

    /// Adds a write of the state to a batch. Returns the number of bytes added to the journal.
    fn add_write(&self, batch: &mut OwnedWriteBatch, write: &Write) -> usize {
        let key = [STATE_PREFIX, write.key.as_bytes()].concat();
        let value_bytes = write.value.as_ref().map_or(0, |value| value.len());
        let bytes = ENTRY_OVERHEAD_BYTES + key.len() + value_bytes;
        match &write.value {
            Some(value) => batch.insert(&self.database.keyspace, key, value.as_bytes()),
            None => batch.remove(&self.database.keyspace, key),
        }
        bytes
    }

    /// Adds the witness's state to a batch. Returns the number of bytes added to the journal.
    fn add_witness(
        &self,
        batch: &mut OwnedWriteBatch,
        witness: &WitnessState,
    ) -> Result<usize, StoreError> {
        let value = self.database.encode(witness)?;
        let bytes = ENTRY_OVERHEAD_BYTES + value.len();
        batch.insert(&self.database.keyspace, WITNESS_KEY, value);
        Ok(bytes)
    }
}
