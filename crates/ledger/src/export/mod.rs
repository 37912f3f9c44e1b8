//! Closed periods as files: one compressed file for each instance and period, and a manifest beside it.
//!
//! A file's content depends on the closed period alone, so an export that was interrupted and runs again gives the
//! same content and the same id, which is the content's hash. Files are written beside their place, synced and
//! renamed, the manifest last: where a manifest stands, the export is whole. A consumer that keeps ids counts no
//! period twice.

mod content;
mod manifest;

pub(crate) use content::{read_block, read_head, BlockHead, ContentError, Hashing, Head};
pub use manifest::{lines, Line, Manifest, ManifestError, VERSION};

use crate::entry::to_hex;
use crate::period::Period;
use crate::store::{Seal, Store, StoreError};
use content::{Hashes, WriteError};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// Why an export failed.
#[derive(Debug, thiserror::Error)]
pub enum ExportError {
    /// The store could not be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The period is still open.
    #[error("period {0} is not closed")]
    Open(Period),
    /// A file could not be written.
    #[error("{path}: {why}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        #[source]
        why: io::Error,
    },
    /// The folder holds another export of this instance and period.
    #[error("{0}: another export of this period stands here already, with other content")]
    Differs(PathBuf),
}

/// Where in an export something may be interrupted, for tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The file is being written beside its place.
    Writing,
    /// The file is written and synced, not yet in its place.
    Written,
    /// The file is in its place, the manifest is not.
    Placed,
    /// The manifest is written and synced, not yet in its place.
    ManifestWritten,
}

/// The files of one export. Each is written under its partial name first.
struct ExportFiles {
    folder: PathBuf,
    name: String,
    content: PathBuf,
    partial_content: PathBuf,
    manifest: PathBuf,
    partial_manifest: PathBuf,
}

impl ExportFiles {
    fn new(folder: &Path, instance: &str, period: Period) -> ExportFiles {
        let stem = format!("{instance}_{period}");
        let name = format!("{stem}.ledger.zst");
        ExportFiles {
            folder: folder.to_path_buf(),
            content: folder.join(&name),
            partial_content: folder.join(format!(".{name}.part")),
            manifest: folder.join(format!("{stem}.json")),
            partial_manifest: folder.join(format!(".{stem}.json.part")),
            name,
        }
    }
}

/// Exports a closed period into a folder, and returns the manifest. Run again it changes nothing.
///
/// `proceed` is called after each stage; if it returns false the export ends there, without a manifest.
///
/// # Errors
///
/// [`ExportError::Open`] if the period is not closed, [`ExportError::Differs`] if the folder holds another export of
/// it; else what the store or the system reports.
pub fn export(
    store: &Store,
    period: Period,
    folder: &Path,
    mut proceed: impl FnMut(Stage) -> bool,
) -> Result<Option<Manifest>, ExportError> {
    let seal = store.seal_of(period)?.ok_or(ExportError::Open(period))?;
    let files = ExportFiles::new(folder, store.instance(), period);
    std::fs::create_dir_all(folder).map_err(|why| file_error(folder, why))?;
    // Only the names that the period's entries use: the store's other names do not belong to it.
    let (sums, names) = store.sums_and_names(period)?;
    let head = head(store, &seal, names)?;
    let (file, hashes) = write_content(store, period, &head, &files.partial_content)?;
    if !proceed(Stage::Writing) {
        return Ok(None);
    }
    file.sync_all()
        .map_err(|why| file_error(&files.partial_content, why))?;
    drop(file);
    if !proceed(Stage::Written) {
        return Ok(None);
    }
    let manifest = manifest(&seal, head, hashes, &files.name, lines(sums));
    if let Ok(existing) = Manifest::load(&files.manifest) {
        return keep_existing(existing, &manifest, files).map(Some);
    }
    place(&files, manifest, proceed)
}

fn file_error(path: &Path, why: io::Error) -> ExportError {
    ExportError::File {
        path: path.to_path_buf(),
        why,
    }
}

fn head(store: &Store, seal: &Seal, names: BTreeMap<u32, String>) -> Result<Head, StoreError> {
    Ok(Head {
        instance: store.instance().to_string(),
        period: seal.period.to_string(),
        before: seal.before.clone(),
        seal: seal.hash.clone(),
        names,
        marks: seal.marks_bytes.clone(),
        corrections: store.raw_corrections(seal.period)?,
    })
}

fn write_content(
    store: &Store,
    period: Period,
    head: &Head,
    path: &Path,
) -> Result<(File, Hashes), ExportError> {
    let file = File::create(path).map_err(|why| file_error(path, why))?;
    content::write(store, period, head, file).map_err(|error| match error {
        WriteError::Store(error) => ExportError::Store(error),
        WriteError::Io(why) => file_error(path, why),
    })
}

fn manifest(seal: &Seal, head: Head, hashes: Hashes, file: &str, lines: Vec<Line>) -> Manifest {
    Manifest {
        version: VERSION,
        id: hashes.content,
        instance: head.instance,
        period: seal.period,
        file: file.to_string(),
        file_hash: hashes.file,
        entries: seal.entries,
        corrections: head.corrections.len() as u64,
        seal: to_hex(&seal.hash),
        before: to_hex(&seal.before),
        lines,
    }
}

/// The period was exported here before: that export stays byte for byte, and the new content is dropped.
fn keep_existing(
    existing: Manifest,
    manifest: &Manifest,
    files: ExportFiles,
) -> Result<Manifest, ExportError> {
    let _ = std::fs::remove_file(&files.partial_content);
    if existing.id != manifest.id {
        return Err(ExportError::Differs(files.manifest));
    }
    Ok(existing)
}

/// Moves the content to its place, then the manifest: where a manifest stands, the export is whole.
fn place(
    files: &ExportFiles,
    manifest: Manifest,
    mut proceed: impl FnMut(Stage) -> bool,
) -> Result<Option<Manifest>, ExportError> {
    rename(&files.partial_content, &files.content)?;
    if !proceed(Stage::Placed) {
        return Ok(None);
    }
    let written = manifest.write(&files.partial_manifest);
    written.map_err(|why| file_error(&files.partial_manifest, why))?;
    if !proceed(Stage::ManifestWritten) {
        return Ok(None);
    }
    rename(&files.partial_manifest, &files.manifest)?;
    File::open(&files.folder)
        .and_then(|folder| folder.sync_all())
        .map_err(|why| file_error(&files.folder, why))?;
    Ok(Some(manifest))
}

fn rename(from: &Path, to: &Path) -> Result<(), ExportError> {
    std::fs::rename(from, to).map_err(|why| file_error(to, why))
}
