//! `streamusher-control show-disk DIR`: checks and shows the data folder of a process that does not run.
//!
//! Opening a store mends it: torn ends are cut, interrupted replacements ended. So a copy in a temporary folder is opened,
//! and the folder itself is only read.

use crate::store::{Store, StoreError, FOLDER, FORMAT, FORMER};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use streamusher_coordination::{DiskImage, EpochRecord, StateMap};

/// The file that the database locks while it is open.
const LOCK_FILE: &str = "lock";

/// Tells apart the copies that one process makes.
static NEXT_COPY: AtomicU64 = AtomicU64::new(0);

/// Why a data folder can't be shown.
#[derive(Debug, thiserror::Error)]
pub enum ShowError {
    /// The folder holds no store.
    #[error("{0} holds no store: name the folder that data_dir names in the settings")]
    NoStore(PathBuf),
    /// A process has it open.
    #[error("{0} is in use: stop the process first, or ask it with the command status")]
    InUse(PathBuf),
    /// It can't be read, or there is no room for the copy.
    #[error(
        "{folder}: {reason}: see that it can be read, and that the temporary folder has room for a copy"
    )]
    Unreadable {
        /// The data folder.
        folder: PathBuf,
        /// What the system said.
        reason: String,
    },
    /// The store is damaged or of a newer format.
    #[error(transparent)]
    Store(StoreError),
}

/// Reads the store under `data_dir` and gives the text to print. Nothing under `data_dir` is changed.
///
/// # Errors
/// See [`ShowError`].
pub fn show(data_dir: &Path) -> Result<String, ShowError> {
    let unreadable = |error: io::Error| ShowError::Unreadable {
        folder: data_dir.to_owned(),
        reason: error.to_string(),
    };
    let folders = [FOLDER, FORMER].map(|name| data_dir.join(name));
    if !folders.iter().any(|folder| folder.is_dir()) {
        return Err(ShowError::NoStore(data_dir.to_owned()));
    }
    // Held until the copy is made: a process that starts meanwhile waits for it.
    let locks = lock_all(data_dir, &folders)?;
    let bytes = size(data_dir).map_err(unreadable)?;
    let copy = TemporaryFolder::new().map_err(unreadable)?;
    copy_folder(data_dir, &copy.0).map_err(unreadable)?;
    drop(locks);
    let (store, image) = Store::open(&copy.0).map_err(|error| at_original(error, data_dir))?;
    drop(store);
    Ok(describe(data_dir, bytes, &image))
}

fn lock_all(data_dir: &Path, folders: &[PathBuf]) -> Result<Vec<File>, ShowError> {
    let mut locks = Vec::new();
    for folder in folders {
        let Ok(file) = File::open(folder.join(LOCK_FILE)) else {
            continue;
        };
        match file.try_lock_shared() {
            Ok(()) => locks.push(file),
            Err(TryLockError::WouldBlock) => return Err(ShowError::InUse(data_dir.to_owned())),
            // A file system without locks: nothing can be said.
            Err(TryLockError::Error(_)) => {}
        }
    }
    Ok(locks)
}

fn describe(data_dir: &Path, bytes: u64, image: &DiskImage) -> String {
    let mut text = format!(
        "{}: format {FORMAT}, {bytes} bytes, good\n",
        data_dir.display()
    );
    let mut line = |name: &str, value: String| {
        // Writing to a text can't fail.
        let _ = writeln!(text, "{name:<16}{value}");
    };
    match &image.witness {
        None => line(
            "disk",
            "empty: the process never ran to its first change".to_owned(),
        ),
        Some(witness) => {
            line("disk", witness.id.to_string());
            line("starts", witness.starts.to_string());
            line("epoch", describe_record(&witness.decided));
            for member in &witness.decided.members {
                let copy = if witness.decided.is_replica(member.id) {
                    "copy"
                } else {
                    "witness"
                };
                line(
                    "member",
                    format!("{} {} {copy}", member.id, member.address.internal),
                );
            }
            line("promise", format!("round {}", witness.promise.round));
            let accepted = witness
                .accepted
                .as_ref()
                .map(|(_, record)| record.epoch.to_string());
            line(
                "accepted",
                accepted.map_or("none".to_owned(), |epoch| format!("epoch {epoch}")),
            );
        }
    }
    let position = image.position;
    line(
        "position",
        format!("epoch {}, batch {}", position.epoch, position.sequence),
    );
    line("keys", image.state.len().to_string());
    for (prefix, (keys, bytes)) in by_prefix(&image.state) {
        line("", format!("{prefix:<12}{keys} keys, {bytes} bytes"));
    }
    text
}

fn describe_record(record: &EpochRecord) -> String {
    let primary = record
        .primary
        .map_or("none".to_owned(), |id| id.to_string());
    format!(
        "{}, primary {primary} since epoch {}",
        record.epoch, record.term
    )
}

/// Keys, and bytes of keys and values, by what stands before the first slash.
fn by_prefix(state: &StateMap) -> BTreeMap<&str, (usize, usize)> {
    let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (key, value) in state {
        let prefix = key.split_inclusive('/').next().unwrap_or(key);
        let (keys, bytes) = counts.entry(prefix).or_default();
        *keys += 1;
        *bytes += key.len() + value.len();
    }
    counts
}

/// The error names the folder itself, not the copy.
fn at_original(error: StoreError, data_dir: &Path) -> ShowError {
    let folder = data_dir.join(FOLDER);
    ShowError::Store(match error {
        StoreError::Unavailable { reason, .. } => StoreError::Unavailable { folder, reason },
        StoreError::Damaged { reason, .. } => StoreError::Damaged { folder, reason },
        StoreError::Newer { found, known, .. } => StoreError::Newer {
            folder,
            found,
            known,
        },
    })
}

fn size(folder: &Path) -> io::Result<u64> {
    let mut bytes = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let metadata = entry.metadata()?;
        bytes += if metadata.is_dir() {
            size(&entry.path())?
        } else {
            metadata.len()
        };
    }
    Ok(bytes)
}

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        match entry.file_type()?.is_dir() {
            true => copy_folder(&entry.path(), &target)?,
            false => fs::copy(entry.path(), target).map(|_| ())?,
        }
    }
    Ok(())
}

/// A folder that is removed with the value.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new() -> io::Result<TemporaryFolder> {
        let number = NEXT_COPY.fetch_add(1, Ordering::Relaxed);
        let name = format!("streamusher-show-disk-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // What can't be removed lies in the system's temporary folder.
        let _ = fs::remove_dir_all(&self.0);
    }
}
