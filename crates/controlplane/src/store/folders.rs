//! The store's folders: created, synced, replaced and removed as a whole.
//!
//! Whatever the moment at which a process or the machine stops, [`prepare`] finds either the present store or the former
//! one, complete.

use std::fs::{self, File};
use std::io;
use std::path::Path;

/// The store's folder under `data_dir`.
pub const STORE_FOLDER: &str = "control";
/// Where a smaller store is written that is to replace the present one.
pub const REPLACEMENT_FOLDER: &str = "control.next";
/// Where the present store is moved before the smaller one takes its place.
pub const FORMER_FOLDER: &str = "control.former";
/// Where a damaged store is moved before it is removed, so that a half-removed one is never opened.
pub const DISCARDED_FOLDER: &str = "control.discarded";

/// The file that fjall syncs once the rest of a new database is there.
const COMPLETE_MARKER: &str = "version";
const JOURNAL_EXTENSION: &str = "jnl";

/// Creates `data_dir`, completes an interrupted replacement, and removes what an interrupted run left: a discarded store,
/// and one that was not yet complete (nothing was ever stored in it).
///
/// # Errors
/// The disk refuses, or a complete store has lost its journal.
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
    // The database would silently begin a new journal, and so lose what the former one held.
    Err(io::Error::new(
        io::ErrorKind::NotFound,
        "the journal is missing",
    ))
}

/// Whichever store is at [`STORE_FOLDER`] counts. Where there is none, the replacement was cut short between its two
/// renames; the former store holds everything then, as nothing is stored in the replacement before both are synced.
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

/// Puts the store at [`REPLACEMENT_FOLDER`], which is complete and closed, in the place of the present one, which is closed
/// as well.
pub(super) fn replace(data_dir: &Path) -> io::Result<()> {
    sync_all(data_dir)?;
    let folder = data_dir.join(STORE_FOLDER);
    fs::rename(&folder, data_dir.join(FORMER_FOLDER))?;
    sync(data_dir)?;
    fs::rename(data_dir.join(REPLACEMENT_FOLDER), folder)?;
    sync(data_dir)?;
    remove_if_present(&data_dir.join(FORMER_FOLDER))
}

/// Moves the store away under a synced name and removes it.
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

/// Syncs `data_dir` and every folder below it, so that all names in them last.
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
