//! `streamusher-control show-disk DIR`: checks and shows the data folder of a process that does not run.
//!
//! Opening a store repairs it: torn journals are truncated, interrupted replacements completed. Therefore a copy in a
//! temporary folder is opened, and the folder itself is only read.

mod copy;
mod report;

use crate::store::{Store, StoreError, FORMER_FOLDER, STORE_FOLDER};
use copy::{total_bytes, TemporaryFolder};
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// The file that the database locks while it is open.
const LOCK_FILE: &str = "lock";

/// Why a data folder cannot be shown.
#[derive(Debug, thiserror::Error)]
pub enum ShowDiskError {
    /// The folder holds no store.
    #[error("{0} holds no store: name the folder that data_dir names in the settings")]
    NoStore(PathBuf),
    /// A process has it open.
    #[error("{0} is in use: stop the process first, or ask it with the command status")]
    InUse(PathBuf),
    /// It cannot be read, or there is no space for the copy.
    #[error(
        "{folder}: {error}: see that it can be read, and that the temporary folder has room for a copy"
    )]
    Unreadable {
        /// The data folder.
        folder: PathBuf,
        /// What the system said.
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
    // Held until the copy is made: a process that starts meanwhile waits for them.
    let locks = lock_all(data_dir, &folders)?;
    let bytes = total_bytes(data_dir).map_err(unreadable)?;
    let copy = TemporaryFolder::copy_of(data_dir).map_err(unreadable)?;
    drop(locks);
    // An error names the folder itself, not the copy.
    let (store, image) =
        Store::open(copy.path()).map_err(|error| error.at_folder(data_dir.join(STORE_FOLDER)))?;
    drop(store);
    Ok(report::render(data_dir, bytes, &image))
}

/// Locks the databases as a process does that opens them.
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
            // A file system without locks: nothing can be said.
            Err(TryLockError::Error(_)) => {}
        }
    }
    Ok(locks)
}
