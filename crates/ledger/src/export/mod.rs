//! Exports closed periods to files: one compressed file with a manifest for each instance and period.
//!
//! The content of a file depends only on the closed period. An export that is interrupted and repeated
//! therefore has the same content and the same id, which is the hash of the content. Files are written under
//! a temporary name, synced and renamed, the manifest last. If a manifest exists, its export is complete. A
//! consumer that keeps the ids counts no period twice.

mod content;
mod manifest;

pub(crate) use content::{
    read_block, read_header, BlockHeader, ContentError, HashingStream, Header,
};
pub use manifest::{lines, Line, Manifest, ManifestError, VERSION};

use crate::entry::to_hex;
use crate::period::Period;
use crate::store::{Seal, Store, StoreError};
use content::{Hashes, WriteError};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// Reason for which an export failed.
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
        /// Path of the file.
        path: PathBuf,
        /// Error returned by the operating system.
        #[source]
        why: io::Error,
    },
    /// The folder already holds a different export of this instance and period. Holds the path of its
    /// manifest.
    #[error("{0}: another export of this period stands here already, with other content")]
    Differs(PathBuf),
}

/// Points at which a test can interrupt an export.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The content was written to the temporary file, which is not synced yet.
    Writing,
    /// The temporary file is synced but not yet renamed.
    Written,
    /// The file has its final name; the manifest is not written yet.
    Placed,
    /// The manifest is written and synced under its temporary name but not yet renamed.
    ManifestWritten,
}

/// Paths of the files of one export. Each file is first written under its partial name.
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

/// Exports a closed period into a folder and returns the manifest. Repeating an export has no effect.
///
/// `proceed` is called after each stage. If it returns false, the export stops there and returns `None`,
/// without a complete manifest.
///
/// # Errors
///
/// [`ExportError::Open`] if the period is not closed, [`ExportError::Differs`] if the folder holds a
/// different export of it, otherwise the error of the store or the operating system.
pub fn export(
    store: &Store,
    period: Period,
    folder: &Path,
    mut proceed: impl FnMut(Stage) -> bool,
) -> Result<Option<Manifest>, ExportError> {
    let seal = store.seal_of(period)?.ok_or(ExportError::Open(period))?;
    let files = ExportFiles::new(folder, store.instance(), period);
    std::fs::create_dir_all(folder).map_err(|why| file_error(folder, why))?;
    // Includes only the names that the period's entries use: the content must not depend on the store's other
    // names.
    let (sums, names) = store.sums_and_names(period)?;
    let header = header(store, &seal, names)?;
    let (file, hashes) = write_content(store, period, &header, &files.partial_content)?;
    if !proceed(Stage::Writing) {
        return Ok(None);
    }
    file.sync_all()
        .map_err(|why| file_error(&files.partial_content, why))?;
    drop(file);
    if !proceed(Stage::Written) {
        return Ok(None);
    }
    let manifest = manifest(&seal, header, hashes, &files.name, lines(sums));
    if let Ok(existing) = Manifest::load(&files.manifest) {
        return keep_existing(existing, &manifest, files).map(Some);
    }
    rename_into_place(&files, manifest, proceed)
}

fn file_error(path: &Path, why: io::Error) -> ExportError {
    ExportError::File {
        path: path.to_path_buf(),
        why,
    }
}

fn header(store: &Store, seal: &Seal, names: BTreeMap<u32, String>) -> Result<Header, StoreError> {
    Ok(Header {
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
    header: &Header,
    path: &Path,
) -> Result<(File, Hashes), ExportError> {
    let file = File::create(path).map_err(|why| file_error(path, why))?;
    content::write(store, period, header, file).map_err(|error| match error {
        WriteError::Store(error) => ExportError::Store(error),
        WriteError::Io(why) => file_error(path, why),
    })
}

fn manifest(seal: &Seal, header: Header, hashes: Hashes, file: &str, lines: Vec<Line>) -> Manifest {
    Manifest {
        version: VERSION,
        id: hashes.content,
        instance: header.instance,
        period: seal.period,
        file: file.to_string(),
        file_hash: hashes.file,
        entries: seal.entries,
        corrections: header.corrections.len() as u64,
        seal: to_hex(&seal.hash),
        before: to_hex(&seal.before),
        lines,
    }
}

/// Handles a period that was exported to this folder before: the existing export stays byte for byte, and the
/// new content is deleted.
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

/// Renames the content to its final name, then the manifest. If a manifest exists, its export is complete.
fn rename_into_place(
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
