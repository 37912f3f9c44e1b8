//! What a core machine keeps on disk: the witness's record, and a copy of the replicated state with its position.
//!
//! All of it lies in one keyspace of a fjall database in the folder [`FOLDER`] under `data_dir`, so that a change is one
//! batch and the loss of the keyspace's files is the loss of everything, never of a part. A change is synced before the
//! next one begins; hence at most the last batch of the journal can be torn by a loss of power, and it is dropped.

mod error;
mod folders;
mod tail;

pub use error::StoreError;
pub use folders::{DISCARDED, FOLDER, FORMER, NEXT};

use fjall::{CompressionType, Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use streamusher_coordination::{DiskChange, DiskImage, LogPosition, StateMap, WitnessState};

/// Format of the store; rises when older programs can't read it any more.
pub const FORMAT: u32 = 1;

/// The state is read once, at the start, and then held in memory: the cache only serves compactions.
const CACHE_BYTES: u64 = 1 << 20;
/// Written state is held here until it goes to a table; memory is priced.
const MEMTABLE_BYTES: u64 = 2 << 20;
/// The least that fjall takes.
const JOURNAL_BYTES: u64 = 64 << 20;
/// Flushes and compactions; fjall needs one thread.
const WORKER_THREADS: usize = 1;

/// fjall keeps up to 64 MB of journal, reserves as much again for the next, and reads all of it at a start. A store with
/// more than this is made anew while the process runs: disks are small, and making it holds up one change.
const MOST_JOURNAL_BYTES: u64 = 40 << 20;
/// At a start, when nobody waits for the disk yet, less is enough.
const MOST_JOURNAL_BYTES_AT_START: u64 = 8 << 20;

/// What a journal adds to the key and the value of each entry, and what the rest of a batch takes with its position.
const ENTRY_BYTES: usize = 22;
const BATCH_BYTES: usize = 100;

const KEYSPACE: &str = "control";
const FORMAT_KEY: &[u8] = b"m/format";
const WITNESS_KEY: &[u8] = b"m/witness";
const POSITION_KEY: &[u8] = b"m/position";
/// Before each key of the replicated state.
const STATE_PREFIX: &[u8] = b"s/";

/// The opened store.
pub struct Store {
    folder: PathBuf,
    database: Database,
    keyspace: Keyspace,
    /// About the length of the journals. Asking the database costs a system call for each change.
    journal_bytes: Cell<u64>,
}

impl Store {
    /// Opens the store under `data_dir`, or makes an empty one, and reads all that it holds.
    ///
    /// # Errors
    /// See [`StoreError`]; a damaged store is left as it is, for [`Store::discard`].
    pub fn open(data_dir: &Path) -> Result<(Store, DiskImage), StoreError> {
        let folder = data_dir.join(FOLDER);
        folders::prepare(data_dir).map_err(|error| StoreError::from_io(&folder, &error))?;
        let mut store = Store::open_at(&folder)?;
        folders::sync_all(data_dir).map_err(|error| StoreError::from_io(&folder, &error))?;
        let image = store.load()?;
        if store.journal_bytes.get() > MOST_JOURNAL_BYTES_AT_START {
            store = store.rebuild(data_dir)?;
        }
        Ok((store, image))
    }

    /// Whether [`Store::rebuild`] is due.
    pub fn is_too_large(&self) -> bool {
        self.journal_bytes.get() > MOST_JOURNAL_BYTES
    }

    /// Makes the store anew with the newest value of each key alone, and puts it in the place of this one.
    ///
    /// # Errors
    /// See [`StoreError`]; the store must be opened anew, and holds all that it held.
    pub fn rebuild(self, data_dir: &Path) -> Result<Store, StoreError> {
        let folder = data_dir.join(FOLDER);
        let failed = |error: std::io::Error| StoreError::from_io(&folder, &error);
        folders::prepare(data_dir).map_err(failed)?;
        let next = Store::open_at(&data_dir.join(NEXT))?;
        self.copy_to(&next)?;
        drop(next);
        drop(self);
        folders::replace(data_dir).map_err(failed)?;
        Store::open_at(&folder)
    }

    /// Empties `data_dir`, so that the machine starts as one with an empty disk.
    ///
    /// # Errors
    /// The disk refuses; the store is there still, or gone as a whole.
    pub fn discard(data_dir: &Path) -> Result<(), StoreError> {
        folders::discard(data_dir)
            .map_err(|error| StoreError::from_io(&data_dir.join(FOLDER), &error))
    }

    /// Carries out a change and syncs it. Blocks while the disk works.
    ///
    /// # Errors
    /// The change is on disk as a whole or not at all, and the store must be opened anew.
    pub fn apply(&self, change: &DiskChange) -> Result<(), StoreError> {
        let mut batch = self
            .database
            .batch()
            .durability(Some(PersistMode::SyncData));
        let mut bytes = 0;
        if change.replace_all {
            bytes += self.remove_state(&mut batch)?;
        }
        for write in &change.writes {
            let key = [STATE_PREFIX, write.key.as_bytes()].concat();
            bytes += ENTRY_BYTES + key.len() + write.value.as_ref().map_or(0, |value| value.len());
            match &write.value {
                Some(value) => batch.insert(&self.keyspace, key, value.as_bytes()),
                None => batch.remove(&self.keyspace, key),
            }
        }
        if let Some(witness) = &change.witness {
            let value = self.encode(witness)?;
            bytes += ENTRY_BYTES + value.len();
            batch.insert(&self.keyspace, WITNESS_KEY, value);
        }
        if let Some(position) = &change.position {
            batch.insert(&self.keyspace, POSITION_KEY, self.encode(position)?);
        }
        self.journal_bytes
            .set(self.journal_bytes.get() + (bytes + BATCH_BYTES) as u64);
        batch.commit().map_err(|error| self.failed(&error))
    }

    /// Opens a marked store, or makes one. A new one is opened twice, as the second opening gives back the 64 MB that
    /// fjall reserves for a new journal.
    fn open_at(folder: &Path) -> Result<Store, StoreError> {
        let store = Store::open_database(folder)?;
        if store.check_format()? {
            return Ok(store);
        }
        store.mark_format()?;
        drop(store);
        Store::open_database(folder)
    }

    fn copy_to(&self, next: &Store) -> Result<(), StoreError> {
        let mut batch = next.database.batch().durability(Some(PersistMode::SyncAll));
        for guard in self.keyspace.iter() {
            let (key, value) = guard.into_inner().map_err(|error| self.failed(&error))?;
            batch.insert(&next.keyspace, key, value);
        }
        batch.commit().map_err(|error| next.failed(&error))
    }

    fn open_database(folder: &Path) -> Result<Store, StoreError> {
        let first = build(folder);
        let database = match first {
            Err(fjall::Error::JournalRecovery(reason)) => {
                log::warn!(
                    "store {}: {reason}: the torn end of the journal is dropped",
                    folder.display()
                );
                tail::cut(folder).map_err(|error| StoreError::from_io(folder, &error))?;
                build(folder)
            }
            other => other,
        };
        let failed = |error| StoreError::from_database(folder, &error);
        let database = database.map_err(failed)?;
        let keyspace = database
            .keyspace(KEYSPACE, keyspace_options)
            .map_err(failed)?;
        let journal_bytes = Cell::new(database.journal_disk_space().map_err(failed)?);
        Ok(Store {
            folder: folder.to_owned(),
            database,
            keyspace,
            journal_bytes,
        })
    }

    /// Whether the store is marked.
    fn check_format(&self) -> Result<bool, StoreError> {
        let Some(found) = self.read::<u32>(FORMAT_KEY)? else {
            return Ok(false);
        };
        match found {
            1..=FORMAT => Ok(true),
            0 => Err(StoreError::damaged(&self.folder, "format 0")),
            _ => Err(StoreError::Newer {
                folder: self.folder.clone(),
                found,
                known: FORMAT,
            }),
        }
    }

    /// Marks a new store; one that holds anything has a mark, as that is its first batch.
    fn mark_format(&self) -> Result<(), StoreError> {
        if !self
            .keyspace
            .is_empty()
            .map_err(|error| self.failed(&error))?
        {
            return Err(StoreError::damaged(
                &self.folder,
                "the format's mark is missing",
            ));
        }
        let mut batch = self.database.batch().durability(Some(PersistMode::SyncAll));
        batch.insert(&self.keyspace, FORMAT_KEY, self.encode(&FORMAT)?);
        batch.commit().map_err(|error| self.failed(&error))
    }

    fn load(&self) -> Result<DiskImage, StoreError> {
        let witness = self.read::<WitnessState>(WITNESS_KEY)?;
        let position = self.read::<LogPosition>(POSITION_KEY)?;
        let state = self.load_state()?;
        if witness.is_none() && (position.is_some() || !state.is_empty()) {
            return Err(StoreError::damaged(
                &self.folder,
                "there is state, but no witness's record",
            ));
        }
        Ok(DiskImage {
            witness,
            position: position.unwrap_or_default(),
            state,
        })
    }

    fn load_state(&self) -> Result<StateMap, StoreError> {
        let mut state = StateMap::new();
        for guard in self.keyspace.prefix(STATE_PREFIX) {
            let (key, value) = guard.into_inner().map_err(|error| self.failed(&error))?;
            let key = self.text(&key[STATE_PREFIX.len()..])?;
            state.insert(key, self.text(&value)?);
        }
        Ok(state)
    }

    /// Gives the bytes that it adds to the journal.
    fn remove_state(&self, batch: &mut fjall::OwnedWriteBatch) -> Result<usize, StoreError> {
        let mut bytes = 0;
        for guard in self.keyspace.prefix(STATE_PREFIX) {
            let key = guard.key().map_err(|error| self.failed(&error))?;
            bytes += ENTRY_BYTES + key.len();
            batch.remove(&self.keyspace, key);
        }
        Ok(bytes)
    }

    fn read<T: serde::de::DeserializeOwned>(&self, key: &[u8]) -> Result<Option<T>, StoreError> {
        let value = self
            .keyspace
            .get(key)
            .map_err(|error| self.failed(&error))?;
        let Some(value) = value else { return Ok(None) };
        let name = String::from_utf8_lossy(key);
        let wrong = |error| StoreError::damaged(&self.folder, format!("{name}: {error}"));
        serde_json::from_slice(&value).map(Some).map_err(wrong)
    }

    fn encode<T: serde::Serialize>(&self, value: &T) -> Result<Vec<u8>, StoreError> {
        let wrong = |error: serde_json::Error| StoreError::damaged(&self.folder, error.to_string());
        serde_json::to_vec(value).map_err(wrong)
    }

    fn text(&self, bytes: &[u8]) -> Result<Arc<str>, StoreError> {
        let text = std::str::from_utf8(bytes)
            .map_err(|_| StoreError::damaged(&self.folder, "not a text"))?;
        Ok(text.into())
    }

    fn failed(&self, error: &fjall::Error) -> StoreError {
        StoreError::from_database(&self.folder, error)
    }
}

fn build(folder: &Path) -> fjall::Result<Database> {
    Database::builder(folder)
        .cache_size(CACHE_BYTES)
        .max_journaling_size(JOURNAL_BYTES)
        .worker_threads(WORKER_THREADS)
        .journal_compression(CompressionType::None)
        .manual_journal_persist(true)
        .open()
}

fn keyspace_options() -> KeyspaceCreateOptions {
    KeyspaceCreateOptions::default()
        .max_memtable_size(MEMTABLE_BYTES)
        .manual_journal_persist(true)
}
