//! The store's folders: creation, syncing, replacement and removal.
//!
//! If a process or machine stops at any moment, [`prepare`] afterwards finds either the current store or the
//! former one, complete.

use std::fs::{self, File};
use std::io;
use std::path::Path;

/// The store's folder under `data_dir`.
pub const STORE_FOLDER: &str = "control";
/// The folder in which compaction writes the smaller store that replaces the current one.
pub const REPLACEMENT_FOLDER: &str = "control.next";
/// The folder to which the current store is moved before its replacement takes its place.
pub const FORMER_FOLDER: &str = "control.former";
/// The folder to which a damaged store is moved before it is removed, so that a partially removed store is
/// never opened.
pub const DISCARDED_FOLDER: &str = "control.discarded";

/// The file that fjall syncs after all other files of a new database.
const COMPLETE_MARKER: &str = "version";
const JOURNAL_EXTENSION: &str = "jnl";

/// Creates `data_dir`, completes an interrupted replacement, and removes the remains of an interrupted run: a
/// discarded store, and an incompletely created store, in which nothing was ever stored.
///
/// # Errors
/// A disk operation failed, or a complete store has lost its journal.
pub(super) fn prepare(data_dir: &Path) -> io::Result<()> {
    fs::create_dir_all(data_dir)?;
    remove_if_present(&data_dir.join(DISCARDED_FOLDER))?;
    complete_replacement(data_dir)?;
    let folder = data_dir.join(STORE_FOLDER);
    if !folder.try_exists()? {
        return Ok(());
    }
    if !folder.join(COMPLETE_MARKER).try_exists()? {
        return remove_if_present(&folder);
    }
    if has_journal(&folder)? {
        return Ok(());
    }
    // The database would create a new journal without an error, and the content of the lost journal would be
    // missing.
    Err(io::Error::new(
        io::ErrorKind::NotFound,
        "the journal is missing",
    ))
}

/// Completes an interrupted replacement. The store at [`STORE_FOLDER`] takes precedence. If there is none,
/// the replacement was interrupted between its two renames; the former store then holds everything, as
/// nothing is stored in the replacement before both renames are synced.
fn complete_replacement(data_dir: &Path) -> io::Result<()> {
    let former = data_dir.join(FORMER_FOLDER);
    let folder = data_dir.join(STORE_FOLDER);
    if former.try_exists()? && !folder.try_exists()? {
        fs::rename(&former, &folder)?;
        sync(data_dir)?;
    }
    remove_if_present(&former)?;
    remove_if_present(&data_dir.join(REPLACEMENT_FOLDER))
}

/// Replaces the current store by the one at [`REPLACEMENT_FOLDER`]. Both must be closed, and the replacement
/// complete.
pub(super) fn replace(data_dir: &Path) -> io::Result<()> {
    sync_all(data_dir)?;
    let folder = data_dir.join(STORE_FOLDER);
    fs::rename(&folder, data_dir.join(FORMER_FOLDER))?;
    sync(data_dir)?;
    fs::rename(data_dir.join(REPLACEMENT_FOLDER), folder)?;
    sync(data_dir)?;
    remove_if_present(&data_dir.join(FORMER_FOLDER))
}

/// Renames the store, syncs the new name, and then removes the store.
pub(super) fn discard(data_dir: &Path) -> io::Result<()> {
    let discarded = data_dir.join(DISCARDED_FOLDER);
    remove_if_present(&discarded)?;
    let folder = data_dir.join(STORE_FOLDER);
    if folder.try_exists()? {
        fs::rename(&folder, &discarded)?;
        sync(data_dir)?;
    }
    remove_if_present(&discarded)
}

/// Syncs `data_dir` and every folder below it, so that all directory entries are durable.
pub(super) fn sync_all(data_dir: &Path) -> io::Result<()> {
    for entry in fs::read_dir(data_dir)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            sync_all(&entry.path())?;
        }
    }
    sync(data_dir)
}

fn sync(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn has_journal(folder: &Path) -> io::Result<bool> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == JOURNAL_EXTENSION)
        {
            return Ok(true);
        }
    }
    Ok(false)
}

fn remove_if_present(folder: &Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
