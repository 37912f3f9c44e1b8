//! `streamusher-control show-disk DIR`: checks and shows the data folder of a stopped process.
//!
//! Opening a store repairs it: torn journals are truncated and interrupted replacements completed. The
//! command therefore opens a copy in a temporary folder, and only reads the folder itself.

mod copy;
mod report;

use crate::store::{Store, StoreError, FORMER_FOLDER, STORE_FOLDER};
use copy::{total_bytes, TemporaryFolder};
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// The file that the database locks while it is open.
const LOCK_FILE: &str = "lock";

/// Reason why a data folder cannot be shown.
#[derive(Debug, thiserror::Error)]
pub enum ShowDiskError {
    /// The folder contains no store.
    #[error("{0} contains no store: give the folder that is set as data_dir in the settings")]
    NoStore(PathBuf),
    /// A running process has the store open.
    #[error("{0} is in use: stop the process first, or query it with the command status")]
    InUse(PathBuf),
    /// The folder cannot be read, or there is no space for the copy.
    #[error(
        "{folder}: {error}: check that it is readable, and that the temporary folder has space for a copy"
    )]
    Unreadable {
        /// The data folder.
        folder: PathBuf,
        /// The error reported by the operating system.
        error: io::Error,
    },
    /// The store is damaged or of a newer format.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Reads the store under `data_dir` and returns the text to print. Nothing under `data_dir` is changed.
///
/// # Errors
/// See [`ShowDiskError`].
pub fn show(data_dir: &Path) -> Result<String, ShowDiskError> {
    let folders = [STORE_FOLDER, FORMER_FOLDER].map(|name| data_dir.join(name));
    if !folders.iter().any(|folder| folder.is_dir()) {
        return Err(ShowDiskError::NoStore(data_dir.to_owned()));
    }
    let unreadable = |error: io::Error| ShowDiskError::Unreadable {
        folder: data_dir.to_owned(),
        error,
    };
    // Held until the copy is complete: a process that starts meanwhile waits for the locks.
    let locks = lock_all(data_dir, &folders)?;
    let bytes = total_bytes(data_dir).map_err(unreadable)?;
    let copy = TemporaryFolder::copy_of(data_dir).map_err(unreadable)?;
    drop(locks);
    // An error must name the folder itself, not the copy.
    let (store, image) =
        Store::open(copy.path()).map_err(|error| error.at_folder(data_dir.join(STORE_FOLDER)))?;
    drop(store);
    Ok(report::render(data_dir, bytes, &image))
}

/// Takes a shared lock on each database's lock file; fails if a running process holds the lock.
fn lock_all(data_dir: &Path, folders: &[PathBuf]) -> Result<Vec<File>, ShowDiskError> {
    let mut locks = Vec::new();
    for folder in folders {
        let Ok(file) = File::open(folder.join(LOCK_FILE)) else {
            continue;
        };
        match file.try_lock_shared() {
            Ok(()) => locks.push(file),
            Err(TryLockError::WouldBlock) => {
                return Err(ShowDiskError::InUse(data_dir.to_owned()));
            }
            // A file system without locks: it is unknown whether the store is in use.
            Err(TryLockError::Error(_)) => {}
        }
    }
    Ok(locks)
}
