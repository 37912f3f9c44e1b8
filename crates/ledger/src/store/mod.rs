//! Where entries lie: one SQLite file for each instance, written by one dispatcher, read by any number of commands.
//!
//! A commit adds one row for each period that it touches, a block of entries, and is on the disk when it returns
//! (write-ahead log, `synchronous = FULL`). `docs/design/ledger.md` has the figures that led here.

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

/// The version of the form in which entries lie, as `PRAGMA user_version`.
pub const VERSION: i64 = 1;
/// Marks a file as a ledger of this program, as `PRAGMA application_id`.
const APPLICATION: i64 = 0x5354_4c47;
/// The file inside the ledger's folder.
pub const DATABASE_FILE: &str = "ledger.db";
/// Held by the dispatcher that writes.
const LOCK: &str = "ledger.lock";
/// How long one process waits for another's commit.
pub(crate) const LOCK_TIMEOUT: Duration = Duration::from_secs(5);

const FORM: &str = "
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

/// What a store is opened with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The ledger's folder.
    pub dir: PathBuf,
    /// The instance's name: it stands in every export.
    pub instance: String,
    /// How long periods are.
    pub span: Span,
    /// The key of MACs and of idempotency keys' hashes.
    pub key: [u8; 32],
    /// The store's file holds no more bytes than this; a commit beyond it fails as on a full disk.
    pub max_bytes: Option<u64>,
}

/// An open ledger.
pub struct Store {
    db: Connection,
    path: PathBuf,
    instance: String,
    span: Span,
    key: [u8; 32],
    names: HashMap<Arc<str>, u32>,
    /// The epoch that this process writes, and what is known of its answers.
    epoch: Option<(u64, u64, Marks)>,
    /// Keeps other writers away.
    _lock: Option<File>,
}

impl Store {
    /// Opens it to write entries: one process at a time, in an epoch of its own, larger than any before.
    ///
    /// # Errors
    ///
    /// [`StoreError::InUse`] if another process writes to it, [`StoreError::Other`] if it was made for another
    /// instance, length of periods or key, [`StoreError::Newer`] or [`StoreError::Damaged`] if it cannot be used;
    /// else what the system reports.
    pub fn open(options: &Options, now: Micros) -> Result<Store, StoreError> {
        let lock_at = options.dir.join(LOCK);
        std::fs::create_dir_all(&options.dir).map_err(|e| io(&options.dir, &e))?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_at);
        let lock = lock.map_err(|e| io(&lock_at, &e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(StoreError::InUse(options.dir.join(DATABASE_FILE)))
            }
            Err(TryLockError::Error(e)) => return Err(io(&lock_at, &e)),
        }
        no_commits_lost(&options.dir.join(DATABASE_FILE))?;
        let mut store = Store::at(
            options,
            OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_CREATE,
        )?;
        store._lock = Some(lock);
        store.checkpoint()?;
        cut_off(&store.path)?;
        store.make(options)?;
        store.check_metadata(options)?;
        store.begin_epoch(now)?;
        Ok(store)
    }

    /// Opens one that is there, for commands: it may be written by a dispatcher meanwhile. Its name and its periods'
    /// length are the store's own.
    ///
    /// # Errors
    ///
    /// [`StoreError::Missing`] if there is none, [`StoreError::Newer`] or [`StoreError::Damaged`] if it cannot be
    /// used; else what the system reports.
    pub fn open_for_command(dir: &Path, key: [u8; 32]) -> Result<Store, StoreError> {
        let path = dir.join(DATABASE_FILE);
        if !path.exists() {
            return Err(StoreError::Missing(path));
        }
        // Before it is opened: closing it writes the log back, and what cannot be read of it would be gone for good.
        if !lock_held(&path) {
            no_commits_lost(&path)?;
        }
        let options = Options {
            dir: dir.into(),
            instance: String::new(),
            span: Span::Month,
            key,
            max_bytes: None,
        };
        let mut store = Store::at(&options, OpenFlags::SQLITE_OPEN_READ_WRITE)?;
        store.instance = store.metadata("instance")?;
        store.span = span(&store.metadata("span")?).ok_or_else(|| store.damaged("about: span"))?;
        Ok(store)
    }

    fn at(options: &Options, flags: OpenFlags) -> Result<Store, StoreError> {
        let path = options.dir.join(DATABASE_FILE);
        cut_off(&path)?;
        let failed = |e| StoreError::of(&path, e);
        let flags = flags | OpenFlags::SQLITE_OPEN_NO_MUTEX;
        let db = Connection::open_with_flags(&path, flags).map_err(failed)?;
        db.busy_timeout(LOCK_TIMEOUT).map_err(failed)?;
        let found: i64 = db
            .pragma_query_value(None, "user_version", |r| r.get(0))
            .map_err(failed)?;
        let whose: i64 = db
            .pragma_query_value(None, "application_id", |r| r.get(0))
            .map_err(failed)?;
        if found > VERSION {
            return Err(StoreError::Newer {
                path,
                found,
                known: VERSION,
            });
        }
        if found > 0 && whose != APPLICATION {
            return Err(StoreError::Other {
                path,
                what: "not a ledger of this program".into(),
            });
        }
        // 2 MB of pages: the process's memory must not grow with the ledger.
        db.execute_batch(
            "PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL; PRAGMA cache_size = -2048;",
        )
        .map_err(failed)?;
        if let Some(most) = options.max_bytes {
            let page: i64 = db
                .pragma_query_value(None, "page_size", |r| r.get(0))
                .map_err(failed)?;
            let pages = (most / page.max(1) as u64).max(1);
            db.query_row(&format!("PRAGMA max_page_count = {pages}"), [], |_| Ok(()))
                .map_err(failed)?;
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

    /// Makes the tables of a new store, whole or not at all.
    fn make(&mut self, options: &Options) -> Result<(), StoreError> {
        let path = self.path.clone();
        let make = |db: &mut Connection| -> rusqlite::Result<()> {
            let found: i64 = db.pragma_query_value(None, "user_version", |r| r.get(0))?;
            if found == VERSION {
                return Ok(());
            }
            let whole = db.transaction()?;
            whole.execute_batch(FORM)?;
            let mut metadata = whole.prepare("INSERT INTO about VALUES(?1, ?2)")?;
            metadata.execute(("instance", &options.instance))?;
            metadata.execute(("span", span_name(options.span)))?;
            metadata.execute(("key", key_name(&options.key)))?;
            drop(metadata);
            whole.pragma_update(None, "application_id", APPLICATION)?;
            whole.pragma_update(None, "user_version", VERSION)?;
            whole.commit()
        };
        make(&mut self.db).map_err(|e| StoreError::of(&path, e))
    }

    fn metadata(&self, name: &str) -> Result<String, StoreError> {
        let found = self
            .db
            .query_row("SELECT value FROM about WHERE name = ?1", [name], |r| {
                r.get(0)
            });
        found
            .optional()
            .map_err(self.failed())?
            .ok_or_else(|| self.damaged(format!("about: no {name}")))
    }

    /// Guards against sums over two lengths of period, two instances' numbers, or MACs that nobody can check.
    fn check_metadata(&self, options: &Options) -> Result<(), StoreError> {
        for (name, ours) in [
            ("instance", options.instance.clone()),
            ("span", span_name(options.span).to_string()),
            ("key", key_name(&options.key)),
        ] {
            let theirs = self.metadata(name)?;
            if theirs != ours {
                let what = format!("this ledger was made for {name} {theirs}, not {ours}");
                return Err(StoreError::Other {
                    path: self.path.clone(),
                    what,
                });
            }
        }
        Ok(())
    }

    /// Each call waits for so long for another process's commit, and then fails as [`StoreError::InUse`].
    ///
    /// # Errors
    ///
    /// What the database reports.
    pub fn set_lock_timeout(&self, timeout: Duration) -> Result<(), StoreError> {
        self.db.busy_timeout(timeout).map_err(self.failed())
    }

    /// Whether this key is the one that the ledger was made with.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if what is stored is not what was written; else what the database reports.
    pub fn has_key(&self) -> Result<bool, StoreError> {
        Ok(self.metadata("key")? == key_name(&self.key))
    }

    /// The instance's name.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// How long its periods are.
    pub fn span(&self) -> Span {
        self.span
    }

    /// The epoch that this process writes; 0 for a command.
    pub fn epoch(&self) -> u64 {
        self.epoch.as_ref().map_or(0, |(epoch, ..)| *epoch)
    }

    fn failed(&self) -> impl Fn(rusqlite::Error) -> StoreError + '_ {
        |e| StoreError::of(&self.path, e)
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

fn io(path: &Path, e: &std::io::Error) -> StoreError {
    use std::io::ErrorKind as K;
    let path = path.to_path_buf();
    match e.kind() {
        K::PermissionDenied | K::ReadOnlyFilesystem => StoreError::ReadOnly(path),
        K::StorageFull | K::QuotaExceeded => StoreError::Full(path),
        _ => StoreError::Io {
            path,
            why: e.to_string(),
        },
    }
}

/// The log of changes beside a store.
fn log_of(path: &Path) -> PathBuf {
    let mut log = path.as_os_str().to_owned();
    log.push("-wal");
    log.into()
}

/// Guards against a file that was cut off: the database itself notices only when it reads what is missing. While its
/// log holds anything a file may be shorter than its head says: a crash in the middle of writing the log back leaves
/// it so, and the log mends it.
fn cut_off(path: &Path) -> Result<(), StoreError> {
    use std::io::Read;
    if std::fs::metadata(log_of(path)).is_ok_and(|log| log.len() > 0) {
        return Ok(());
    }
    let Ok(mut file) = File::open(path) else {
        return Ok(());
    };
    let length = file.metadata().map_err(|e| io(path, &e))?.len();
    if length == 0 {
        return Ok(());
    }
    let mut head = [0u8; 100];
    let damaged = |what: String| StoreError::Damaged {
        path: path.to_path_buf(),
        what,
    };
    file.read_exact(&mut head)
        .map_err(|_| damaged(format!("it has {length} bytes")))?;
    if !head.starts_with(b"SQLite format 3\0") {
        return Err(damaged("not a database".into()));
    }
    let page = u64::from(u16::from_be_bytes([head[16], head[17]]));
    let page = if page == 1 { 65_536 } else { page };
    let pages = u64::from(u32::from_be_bytes([head[28], head[29], head[30], head[31]]));
    if length < page * pages {
        return Err(damaged(format!(
            "it has {length} bytes of {}",
            page * pages
        )));
    }
    Ok(())
}

/// Whether a dispatcher writes to this store now: its log grows meanwhile.
fn lock_held(path: &Path) -> bool {
    let lock = File::open(path.with_file_name(LOCK));
    lock.is_ok_and(|lock| matches!(lock.try_lock_shared(), Err(TryLockError::WouldBlock)))
}

/// Guards against commits that were answered for and that the database would leave out without a word.
fn no_commits_lost(path: &Path) -> Result<(), StoreError> {
    match wal::commits_cut_off(&log_of(path)) {
        Ok(0 | 1) => Ok(()),
        Ok(n) => {
            let what =
                format!("its log of changes is not what was written, {n} commits would be lost");
            Err(StoreError::Damaged {
                path: path.to_path_buf(),
                what,
            })
        }
        Err(e) => Err(io(path, &e)),
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

/// Names a key without telling it.
fn key_name(key: &[u8; 32]) -> String {
    crate::entry::to_hex(&blake3::derive_key("streamusher ledger 2026 name of a key", key)[..8])
}
