//! Storage of ledger entries: one SQLite file for each instance, written by one dispatcher and read by any
//! number of commands.
//!
//! A commit adds one row, which holds a block of entries, for each period that it touches. The commit is on
//! disk when it returns (write-ahead log, `synchronous = FULL`). `docs/design/ledger.md` has the measurements
//! behind this design.

mod error;
mod marked;
mod read;
mod verify;
mod wal;
mod write;

pub use error::StoreError;
pub use read::{Block, Doubt, Epoch, Lines, RawCorrection, Seal, Settle};
pub use verify::Verified;
pub use write::Closed;

use crate::entry::Micros;
use crate::marks::Marks;
use crate::period::{Period, Span};
use rusqlite::{Connection, OpenFlags, OptionalExtension};
use std::collections::HashMap;
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Version of the storage format, stored as `PRAGMA user_version`.
pub const VERSION: i64 = 1;
/// Identifies a file as a ledger of this program, stored as `PRAGMA application_id`.
const APPLICATION_ID: i64 = 0x5354_4c47;
/// Name of the database file in the ledger's folder.
pub const DATABASE_FILE: &str = "ledger.db";
/// Name of the lock file, which is locked by the dispatcher that writes to the store.
const LOCK_FILE: &str = "ledger.lock";
/// Maximum time that a call waits for the commit of another process.
pub(crate) const LOCK_TIMEOUT: Duration = Duration::from_secs(5);

const SCHEMA: &str = "
    CREATE TABLE about(name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
    CREATE TABLE names(id INTEGER PRIMARY KEY, name TEXT NOT NULL UNIQUE, sum INTEGER NOT NULL);
    CREATE TABLE epochs(epoch INTEGER PRIMARY KEY, started INTEGER NOT NULL, last INTEGER NOT NULL,
        ended INTEGER NOT NULL, marks BLOB NOT NULL);
    CREATE TABLE blocks(period INTEGER NOT NULL, epoch INTEGER NOT NULL, first INTEGER NOT NULL,
        last INTEGER NOT NULL, entries INTEGER NOT NULL, hash BLOB NOT NULL, body BLOB NOT NULL);
    CREATE UNIQUE INDEX blocks_in_order ON blocks(period, epoch, first);
    CREATE TABLE corrections(no INTEGER PRIMARY KEY, period INTEGER NOT NULL, body BLOB NOT NULL, mac BLOB NOT NULL);
    CREATE INDEX corrections_in_order ON corrections(period, no);
    CREATE TABLE settled(epoch INTEGER NOT NULL, seq INTEGER NOT NULL, correction INTEGER NOT NULL,
        PRIMARY KEY(epoch, seq)) WITHOUT ROWID;
    CREATE TABLE seals(no INTEGER PRIMARY KEY, period INTEGER NOT NULL UNIQUE, closed INTEGER NOT NULL,
        entries INTEGER NOT NULL, marks BLOB NOT NULL, before BLOB NOT NULL, hash BLOB NOT NULL);
";

/// Parameters for opening a store.
#[derive(Clone, Debug)]
pub struct Options {
    /// Folder of the ledger.
    pub dir: PathBuf,
    /// Name of the instance, which is written to every export.
    pub instance: String,
    /// Length of the ledger's billing periods.
    pub span: Span,
    /// Secret key for MACs of corrections and hashes of idempotency keys.
    pub key: [u8; 32],
    /// Maximum size of the database file in bytes. A commit that would exceed it fails as on a full disk.
    /// `None` for no limit.
    pub max_bytes: Option<u64>,
}

/// An open ledger store.
pub struct Store {
    db: Connection,
    path: PathBuf,
    instance: String,
    span: Span,
    key: [u8; 32],
    names: HashMap<Arc<str>, u32>,
    /// The epoch that this process writes, the last sequence number in it, and its delivery marks. `None` if
    /// opened for a command.
    epoch: Option<(u64, u64, Marks)>,
    /// Lock file that keeps other writers out while the store is open.
    _lock: Option<File>,
}

impl Store {
    /// Opens the store for writing entries. Only one process at a time can do so. It writes in a new epoch,
    /// whose number is greater than any before.
    ///
    /// # Errors
    ///
    /// [`StoreError::InUse`] if another process writes to it, [`StoreError::Other`] if it was made for
    /// another instance, period length or key, [`StoreError::Newer`] or [`StoreError::Damaged`] if it cannot
    /// be used, otherwise the error of the operating system or the database.
    pub fn open(options: &Options, now: Micros) -> Result<Store, StoreError> {
        let lock_path = options.dir.join(LOCK_FILE);
        std::fs::create_dir_all(&options.dir).map_err(|e| io_error(&options.dir, &e))?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path);
        let lock = lock.map_err(|e| io_error(&lock_path, &e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(StoreError::InUse(options.dir.join(DATABASE_FILE)))
            }
            Err(TryLockError::Error(e)) => return Err(io_error(&lock_path, &e)),
        }
        check_no_lost_commits(&options.dir.join(DATABASE_FILE))?;
        let mut store = Store::connect(
            options,
            OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_CREATE,
        )?;
        store._lock = Some(lock);
        store.checkpoint()?;
        check_not_truncated(&store.path)?;
        store.create_tables(options)?;
        store.check_metadata(options)?;
        store.begin_epoch(now)?;
        Ok(store)
    }

    /// Opens an existing store for a command. A dispatcher may be writing to it. The instance name and the
    /// period length are read from the store.
    ///
    /// # Errors
    ///
    /// [`StoreError::Missing`] if there is no store, [`StoreError::Newer`] or [`StoreError::Damaged`] if it
    /// cannot be used, otherwise the error of the operating system or the database.
    pub fn open_for_command(dir: &Path, key: [u8; 32]) -> Result<Store, StoreError> {
        let path = dir.join(DATABASE_FILE);
        if !path.exists() {
            return Err(StoreError::Missing(path));
        }
        // Checked before the database is opened: closing it checkpoints the write-ahead log, and unreadable
        // commits in the log would be lost for good.
        if !lock_held(&path) {
            check_no_lost_commits(&path)?;
        }
        let options = Options {
            dir: dir.into(),
            instance: String::new(),
            span: Span::Month,
            key,
            max_bytes: None,
        };
        let mut store = Store::connect(&options, OpenFlags::SQLITE_OPEN_READ_WRITE)?;
        store.instance = store.metadata("instance")?;
        store.span = span(&store.metadata("span")?)
            .ok_or_else(|| store.damaged("table about has an unknown span"))?;
        Ok(store)
    }

    fn connect(options: &Options, flags: OpenFlags) -> Result<Store, StoreError> {
        let path = options.dir.join(DATABASE_FILE);
        check_not_truncated(&path)?;
        let database_error = |e| StoreError::from_database(&path, e);
        let flags = flags | OpenFlags::SQLITE_OPEN_NO_MUTEX;
        let db = Connection::open_with_flags(&path, flags).map_err(database_error)?;
        db.busy_timeout(LOCK_TIMEOUT).map_err(database_error)?;
        let found: i64 = db
            .pragma_query_value(None, "user_version", |r| r.get(0))
            .map_err(database_error)?;
        let application_id: i64 = db
            .pragma_query_value(None, "application_id", |r| r.get(0))
            .map_err(database_error)?;
        if found > VERSION {
            return Err(StoreError::Newer {
                path,
                found,
                known: VERSION,
            });
        }
        if found > 0 && application_id != APPLICATION_ID {
            return Err(StoreError::Other {
                path,
                what: "not a ledger of this program".into(),
            });
        }
        // 2 MB of pages: the memory of the process must not grow with the ledger.
        db.execute_batch(
            "PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL; PRAGMA cache_size = -2048;",
        )
        .map_err(database_error)?;
        if let Some(max_bytes) = options.max_bytes {
            let page: i64 = db
                .pragma_query_value(None, "page_size", |r| r.get(0))
                .map_err(database_error)?;
            let pages = (max_bytes / page.max(1) as u64).max(1);
            db.query_row(&format!("PRAGMA max_page_count = {pages}"), [], |_| Ok(()))
                .map_err(database_error)?;
        }
        Ok(Store {
            db,
            path,
            instance: options.instance.clone(),
            span: options.span,
            key: options.key,
            names: HashMap::new(),
            epoch: None,
            _lock: None,
        })
    }

    /// Creates the tables of a new store in one transaction. Has no effect on an existing store.
    fn create_tables(&mut self, options: &Options) -> Result<(), StoreError> {
        let path = self.path.clone();
        let create_tables = |db: &mut Connection| -> rusqlite::Result<()> {
            let found: i64 = db.pragma_query_value(None, "user_version", |r| r.get(0))?;
            if found == VERSION {
                return Ok(());
            }
            let transaction = db.transaction()?;
            transaction.execute_batch(SCHEMA)?;
            let mut metadata = transaction.prepare("INSERT INTO about VALUES(?1, ?2)")?;
            metadata.execute(("instance", &options.instance))?;
            metadata.execute(("span", span_name(options.span)))?;
            metadata.execute(("key", key_name(&options.key)))?;
            drop(metadata);
            transaction.pragma_update(None, "application_id", APPLICATION_ID)?;
            transaction.pragma_update(None, "user_version", VERSION)?;
            transaction.commit()
        };
        create_tables(&mut self.db).map_err(|e| StoreError::from_database(&path, e))
    }

    fn metadata(&self, name: &str) -> Result<String, StoreError> {
        let found = self
            .db
            .query_row("SELECT value FROM about WHERE name = ?1", [name], |r| {
                r.get(0)
            });
        found
            .optional()
            .map_err(self.database_error())?
            .ok_or_else(|| self.damaged(format!("table about has no value for {name}")))
    }

    /// Checks that the store was made for this instance, period length and key. Guards against totals over
    /// two period lengths, sequence numbers of two instances, and MACs that cannot be verified.
    fn check_metadata(&self, options: &Options) -> Result<(), StoreError> {
        for (name, expected) in [
            ("instance", options.instance.clone()),
            ("span", span_name(options.span).to_string()),
            ("key", key_name(&options.key)),
        ] {
            let stored = self.metadata(name)?;
            if stored != expected {
                let what = format!("this ledger was made for {name} {stored}, not {expected}");
                return Err(StoreError::Other {
                    path: self.path.clone(),
                    what,
                });
            }
        }
        Ok(())
    }

    /// Sets how long each call waits for another process's commit before it fails with [`StoreError::InUse`].
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the database rejects the setting.
    pub fn set_lock_timeout(&self, timeout: Duration) -> Result<(), StoreError> {
        self.db.busy_timeout(timeout).map_err(self.database_error())
    }

    /// Whether this store was opened with the key that the ledger was created with.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if the stored key name is missing, otherwise the database error.
    pub fn has_key(&self) -> Result<bool, StoreError> {
        Ok(self.metadata("key")? == key_name(&self.key))
    }

    /// Name of the instance whose entries the store holds.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Length of the ledger's billing periods.
    pub fn span(&self) -> Span {
        self.span
    }

    /// Epoch that this process writes, or 0 if the store was opened for a command.
    pub fn epoch(&self) -> u64 {
        self.epoch.as_ref().map_or(0, |(epoch, ..)| *epoch)
    }

    fn database_error(&self) -> impl Fn(rusqlite::Error) -> StoreError + '_ {
        |e| StoreError::from_database(&self.path, e)
    }

    fn damaged(&self, what: impl Into<String>) -> StoreError {
        StoreError::Damaged {
            path: self.path.clone(),
            what: what.into(),
        }
    }

    fn period(&self, start_s: i64) -> Result<Period, StoreError> {
        Period::starting(self.span, start_s)
            .ok_or_else(|| self.damaged(format!("no period begins at {start_s}")))
    }
}

fn io_error(path: &Path, error: &std::io::Error) -> StoreError {
    use std::io::ErrorKind as Kind;
    let path = path.to_path_buf();
    match error.kind() {
        Kind::PermissionDenied | Kind::ReadOnlyFilesystem => StoreError::ReadOnly(path),
        Kind::StorageFull | Kind::QuotaExceeded => StoreError::Full(path),
        _ => StoreError::Io {
            path,
            why: error.to_string(),
        },
    }
}

/// Path of the write-ahead log of a database file.
fn wal_path(path: &Path) -> PathBuf {
    let mut wal = path.as_os_str().to_owned();
    wal.push("-wal");
    wal.into()
}

/// Rejects a truncated database file, which SQLite itself notices only when it reads the missing part. While
/// the write-ahead log is not empty, the file may be shorter than its header says: a crash during a
/// checkpoint has this effect, and replaying the log repairs the file.
fn check_not_truncated(path: &Path) -> Result<(), StoreError> {
    use std::io::Read;
    if std::fs::metadata(wal_path(path)).is_ok_and(|wal| wal.len() > 0) {
        return Ok(());
    }
    let Ok(mut file) = File::open(path) else {
        return Ok(());
    };
    let length = file.metadata().map_err(|e| io_error(path, &e))?.len();
    if length == 0 {
        return Ok(());
    }
    let mut header = [0u8; 100];
    let damaged = |what: String| StoreError::Damaged {
        path: path.to_path_buf(),
        what,
    };
    file.read_exact(&mut header).map_err(|_| {
        damaged(format!(
            "the file has {length} bytes, less than a database header"
        ))
    })?;
    if !header.starts_with(b"SQLite format 3\0") {
        return Err(damaged("not a database".into()));
    }
    let page = u64::from(u16::from_be_bytes([header[16], header[17]]));
    let page = if page == 1 { 65_536 } else { page };
    let pages = u64::from(u32::from_be_bytes([
        header[28], header[29], header[30], header[31],
    ]));
    if length < page * pages {
        return Err(damaged(format!(
            "the file has {length} bytes, its header says {}",
            page * pages
        )));
    }
    Ok(())
}

/// Whether a dispatcher is writing to this store. In that case its write-ahead log is still growing.
fn lock_held(path: &Path) -> bool {
    let lock = File::open(path.with_file_name(LOCK_FILE));
    lock.is_ok_and(|lock| matches!(lock.try_lock_shared(), Err(TryLockError::WouldBlock)))
}

/// Guards against acknowledged commits that the database would silently omit when it recovers the write-ahead
/// log.
fn check_no_lost_commits(path: &Path) -> Result<(), StoreError> {
    match wal::ignored_commits(&wal_path(path)) {
        Ok(0 | 1) => Ok(()),
        Ok(count) => {
            let what = format!("the write-ahead log is damaged, {count} commits would be lost");
            Err(StoreError::Damaged {
                path: path.to_path_buf(),
                what,
            })
        }
        Err(e) => Err(io_error(path, &e)),
    }
}

fn span_name(span: Span) -> &'static str {
    match span {
        Span::Hour => "hour",
        Span::Day => "day",
        Span::Month => "month",
    }
}

fn span(name: &str) -> Option<Span> {
    [Span::Hour, Span::Day, Span::Month]
        .into_iter()
        .find(|s| span_name(*s) == name)
}

/// Derives a short identifier of a key that does not reveal the key.
fn key_name(key: &[u8; 32]) -> String {
    crate::entry::to_hex(&blake3::derive_key("streamusher ledger 2026 name of a key", key)[..8])
}
