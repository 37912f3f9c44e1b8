//! The fjall database that holds the store: configured for a small disk, and marked with the store's format
//! version.

use super::error::StoreError;
use super::torn_journal;
use fjall::{
    CompressionType, Database, Keyspace, KeyspaceCreateOptions, OwnedWriteBatch, PersistMode,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Format version of the store; increased when older releases can no longer read the store.
pub const FORMAT: u32 = 1;

/// The state is read once at startup and then kept in memory, so the cache only serves compactions.
const CACHE_BYTES: u64 = 1 << 20;
/// Writes stay in the memtable until it is flushed to a table; small because memory has a price.
const MEMTABLE_BYTES: u64 = 2 << 20;
/// The minimum that fjall accepts.
const JOURNAL_BYTES: u64 = 64 << 20;
/// Threads for flushes and compactions; fjall requires at least one.
const WORKER_THREADS: usize = 1;

const KEYSPACE: &str = "control";
const FORMAT_KEY: &[u8] = b"m/format";

/// An open database with its only keyspace.
///
/// A single keyspace holds all data, so that each change is one batch, and losing the keyspace's files loses
/// everything and never a part.
pub(super) struct StoreDatabase {
    folder: PathBuf,
    database: Database,
    pub(super) keyspace: Keyspace,
}

impl StoreDatabase {
    /// Opens a marked database, or creates one. A new database is opened twice: the second opening releases
    /// the 64 MB that fjall reserves for a new journal.
    pub(super) fn open(folder: &Path) -> Result<StoreDatabase, StoreError> {
        let database = StoreDatabase::open_unmarked(folder)?;
        if database.check_format()? {
            return Ok(database);
        }
        database.mark_format()?;
        drop(database);
        StoreDatabase::open_unmarked(folder)
    }

    fn open_unmarked(folder: &Path) -> Result<StoreDatabase, StoreError> {
        let database_error = |error| StoreError::from_database(folder, &error);
        let database = open_or_repair(folder)?;
        let keyspace = database
            .keyspace(KEYSPACE, keyspace_options)
            .map_err(database_error)?;
        Ok(StoreDatabase {
            folder: folder.to_owned(),
            database,
            keyspace,
        })
    }

    /// Whether the database is marked with a format version. An unmarked database must be new.
    fn check_format(&self) -> Result<bool, StoreError> {
        let Some(found) = self.read::<u32>(FORMAT_KEY)? else {
            return Ok(false);
        };
        match found {
            1..=FORMAT => Ok(true),
            0 => Err(StoreError::damaged(&self.folder, "format 0")),
            _ => Err(StoreError::NewerFormat {
                folder: self.folder.clone(),
                found,
                known: FORMAT,
            }),
        }
    }

    /// Marks a new database with the format version. This is the first batch, so every database that holds
    /// data is marked.
    fn mark_format(&self) -> Result<(), StoreError> {
        let is_empty = self
            .keyspace
            .is_empty()
            .map_err(|error| self.error(&error))?;
        if !is_empty {
            return Err(StoreError::damaged(
                &self.folder,
                "the format marker is missing",
            ));
        }
        let mut batch = self.batch(PersistMode::SyncAll);
        batch.insert(&self.keyspace, FORMAT_KEY, self.encode(&FORMAT)?);
        self.commit(batch)
    }

    /// An empty batch that is synced when it is committed.
    pub(super) fn batch(&self, durability: PersistMode) -> OwnedWriteBatch {
        self.database.batch().durability(Some(durability))
    }

    /// Commits a batch and syncs it. Blocks until the disk has finished.
    pub(super) fn commit(&self, batch: OwnedWriteBatch) -> Result<(), StoreError> {
        batch.commit().map_err(|error| self.error(&error))
    }

    /// Total length of the journals on disk. Costs a system call.
    pub(super) fn journal_bytes(&self) -> Result<u64, StoreError> {
        self.database
            .journal_disk_space()
            .map_err(|error| self.error(&error))
    }

    /// Copies all keys to an empty database.
    pub(super) fn copy_to(&self, target: &StoreDatabase) -> Result<(), StoreError> {
        let mut batch = target.batch(PersistMode::SyncAll);
        for guard in self.keyspace.iter() {
            let (key, value) = guard.into_inner().map_err(|error| self.error(&error))?;
            batch.insert(&target.keyspace, key, value);
        }
        target.commit(batch)
    }

    /// The value of a key, decoded from JSON; `None` if the key does not exist.
    pub(super) fn read<T: DeserializeOwned>(&self, key: &[u8]) -> Result<Option<T>, StoreError> {
        let value = self.keyspace.get(key).map_err(|error| self.error(&error))?;
        let Some(value) = value else {
            return Ok(None);
        };
        let name = String::from_utf8_lossy(key);
        serde_json::from_slice(&value)
            .map(Some)
            .map_err(|error| StoreError::damaged(&self.folder, format!("{name}: {error}")))
    }

    /// Encodes a value as JSON.
    pub(super) fn encode<T: Serialize>(&self, value: &T) -> Result<Vec<u8>, StoreError> {
        serde_json::to_vec(value)
            .map_err(|error| StoreError::damaged(&self.folder, error.to_string()))
    }

    /// Decodes bytes as UTF-8 text.
    pub(super) fn decode_text(&self, bytes: &[u8]) -> Result<Arc<str>, StoreError> {
        std::str::from_utf8(bytes)
            .map(Arc::from)
            .map_err(|_| StoreError::damaged(&self.folder, "not valid UTF-8"))
    }

    /// An error that reports damage to this database.
    pub(super) fn damaged(&self, reason: &str) -> StoreError {
        StoreError::damaged(&self.folder, reason)
    }

    /// Converts a failure of this database to a [`StoreError`].
    pub(super) fn error(&self, error: &fjall::Error) -> StoreError {
        StoreError::from_database(&self.folder, error)
    }
}

/// Opens the database. If the journal cannot be recovered, truncates its torn last batch and opens the
/// database again.
fn open_or_repair(folder: &Path) -> Result<Database, StoreError> {
    let opened = match open_database(folder) {
        Err(fjall::Error::JournalRecovery(reason)) => {
            log::warn!(
                "store {}: {reason}: truncating the torn end of the journal",
                folder.display()
            );
            torn_journal::truncate_last_batch(folder)
                .map_err(|error| StoreError::from_io(folder, &error))?;
            open_database(folder)
        }
        other => other,
    };
    opened.map_err(|error| StoreError::from_database(folder, &error))
}

fn open_database(folder: &Path) -> fjall::Result<Database> {
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
