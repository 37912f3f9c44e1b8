//! Closed periods as files: one compressed file for each instance and period, and a manifest beside it.
//!
//! A file's content depends on the closed period alone, so an export that was interrupted and runs again gives the
//! same content and the same id, which is the content's hash. Files are written beside their place, synced and
//! renamed, the manifest last: where a manifest stands, the export is whole. A consumer that keeps ids counts no
//! period twice.

use crate::entry::to_hex;
use crate::marks::Marks;
use crate::period::Period;
use crate::store::{Lines, Store, StoreError};
use crate::sums::Use;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

/// The version of the form of exports.
pub const VERSION: u32 = 1;
const MAGIC: &[u8; 8] = b"SLEDGER1";
/// Compression: zstd's own choice.
const LEVEL: i32 = 3;
/// The longest head or block that is read: guards against a length that is junk.
pub(crate) const LONGEST: u64 = 64 << 20;

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
        /// What the system says.
        why: io::Error,
    },
    /// The folder holds another export of this instance and period.
    #[error("{0}: another export of this period stands here already, with other content")]
    Differs(PathBuf),
}

/// One line of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Whose use.
    pub tenant: String,
    /// Of which class.
    pub class: String,
    /// The sums.
    pub sums: Use,
}

/// What stands beside an exported file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The version of the form.
    pub version: u32,
    /// The hash of the file's content, uncompressed: what a consumer keeps.
    pub id: String,
    /// The instance.
    pub instance: String,
    /// The period.
    pub period: Period,
    /// The file's name.
    pub file: String,
    /// The hash of the file as it lies.
    pub file_hash: String,
    /// Entries in it.
    pub entries: u64,
    /// Corrections in it.
    pub corrections: u64,
    /// The period's seal.
    pub seal: String,
    /// The seal of the period before, zeros for the first.
    pub before: String,
    /// The sums by tenant and class.
    pub lines: Vec<Line>,
}

/// The head of a file's content.
#[derive(Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) instance: String,
    pub(crate) period: String,
    pub(crate) before: Vec<u8>,
    pub(crate) seal: Vec<u8>,
    pub(crate) names: BTreeMap<u32, String>,
    pub(crate) marks: Vec<u8>,
    pub(crate) corrections: Vec<(u64, Vec<u8>)>,
}

impl Head {
    pub(crate) fn marks(&self) -> Option<BTreeMap<u64, Marks>> {
        postcard::from_bytes(&self.marks).ok()
    }
}

/// The head of a block in a file's content, before its bytes.
#[derive(Serialize, Deserialize)]
pub(crate) struct BlockHead {
    pub(crate) epoch: u64,
    pub(crate) first: u64,
    pub(crate) last: u64,
    pub(crate) entries: u64,
    pub(crate) bytes: u64,
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

/// Exports a closed period into a folder; the manifest. Run again it changes nothing. `at` hears of each stage, and
/// ends the export there by saying false.
pub fn export(
    store: &Store,
    period: Period,
    to: &Path,
    mut at: impl FnMut(Stage) -> bool,
) -> Result<Option<Manifest>, ExportError> {
    let seal = store.seal_of(period)?.ok_or(ExportError::Open(period))?;
    let stem = format!("{}_{period}", store.instance());
    let (name, manifest_name) = (format!("{stem}.ledger.zst"), format!("{stem}.json"));
    let (path, manifest_path) = (to.join(&name), to.join(manifest_name));
    let file_error = |path: &Path| {
        let path = path.to_path_buf();
        move |why| ExportError::File { path, why }
    };
    std::fs::create_dir_all(to).map_err(file_error(to))?;
    let beside = to.join(format!(".{name}.part"));
    // What else the store knows than the names in use is no business of this period.
    let (sums, names) = store.survey(period)?;
    let corrections = store.raw_corrections(period)?;
    let head = Head {
        instance: store.instance().to_string(),
        period: period.to_string(),
        before: seal.before.clone(),
        seal: seal.hash.clone(),
        names,
        marks: seal.marks_bytes.clone(),
        corrections,
    };
    let file = File::create(&beside).map_err(file_error(&beside))?;
    let (id, file_hash, file) = content(store, period, &head, file, &beside)?;
    if !at(Stage::Writing) {
        return Ok(None);
    }
    file.sync_all().map_err(file_error(&beside))?;
    drop(file);
    if !at(Stage::Written) {
        return Ok(None);
    }
    let lines = lines(sums);
    let manifest = Manifest {
        version: VERSION,
        id,
        instance: head.instance,
        period,
        file: name,
        file_hash,
        entries: seal.entries,
        corrections: head.corrections.len() as u64,
        seal: to_hex(&seal.hash),
        before: to_hex(&seal.before),
        lines,
    };
    if let Ok(there) = Manifest::load(&manifest_path) {
        let _ = std::fs::remove_file(&beside);
        if there.id != manifest.id {
            return Err(ExportError::Differs(manifest_path));
        }
        return Ok(Some(there)); // whole already: it stays to the byte
    }
    std::fs::rename(&beside, &path).map_err(file_error(&path))?;
    if !at(Stage::Placed) {
        return Ok(None);
    }
    let beside = to.join(format!(".{stem}.json.part"));
    let text = serde_json::to_string_pretty(&manifest).expect("plain data") + "\n";
    let write = || {
        let mut file = File::create(&beside)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()
    };
    write().map_err(file_error(&beside))?;
    if !at(Stage::ManifestWritten) {
        return Ok(None);
    }
    std::fs::rename(&beside, &manifest_path).map_err(file_error(&manifest_path))?;
    File::open(to)
        .and_then(|folder| folder.sync_all())
        .map_err(file_error(to))?;
    Ok(Some(manifest))
}

/// The lines of a manifest.
pub fn lines(sums: Lines) -> Vec<Line> {
    sums.into_iter()
        .map(|((tenant, class), sums)| Line {
            tenant,
            class,
            sums,
        })
        .collect()
}

fn content(
    store: &Store,
    period: Period,
    head: &Head,
    file: File,
    path: &Path,
) -> Result<(String, String, File), ExportError> {
    let failed = |why| ExportError::File {
        path: path.to_path_buf(),
        why,
    };
    let outer = Hashing {
        inner: BufWriter::with_capacity(1 << 16, file),
        hash: blake3::Hasher::new(),
    };
    let zstd = zstd::Encoder::new(outer, LEVEL).map_err(failed)?;
    let mut out = Hashing {
        inner: zstd,
        hash: blake3::Hasher::new(),
    };
    let mut write = |parts: &[&[u8]]| {
        parts
            .iter()
            .try_for_each(|p| out.write_all(p))
            .map_err(failed)
    };
    let bytes = postcard::to_stdvec(head).expect("plain data");
    write(&[MAGIC, &(bytes.len() as u64).to_le_bytes(), &bytes])?;
    store.blocks(period, |block| {
        let head = BlockHead {
            epoch: block.epoch,
            first: block.first,
            last: block.last,
            entries: block.entries,
            bytes: block.body.len() as u64,
        };
        let head = postcard::to_stdvec(&head).expect("plain data");
        write(&[&[head.len() as u8], &head, block.body])
    })?;
    let id = to_hex(out.hash.finalize().as_bytes());
    let outer = out.inner.finish().map_err(failed)?;
    let file_hash = to_hex(outer.hash.finalize().as_bytes());
    let file = outer
        .inner
        .into_inner()
        .map_err(|e| failed(e.into_error()))?;
    Ok((id, file_hash, file))
}

impl Manifest {
    /// Reads one.
    pub fn load(path: &Path) -> Result<Manifest, String> {
        let at = path.display();
        let file = File::open(path).map_err(|e| format!("{at}: {e}"))?;
        let mut text = String::new();
        file.take(LONGEST)
            .read_to_string(&mut text)
            .map_err(|e| format!("{at}: {e}"))?;
        let manifest: Manifest = serde_json::from_str(&text).map_err(|e| format!("{at}: {e}"))?;
        if manifest.version != VERSION {
            return Err(format!(
                "{at}: version {}, and this program knows {VERSION}",
                manifest.version
            ));
        }
        // Guards against a name that leads out of the folder.
        if manifest.file.contains(['/', '\\']) || manifest.file.starts_with('.') {
            return Err(format!("{at}: file: not a plain name"));
        }
        Ok(manifest)
    }
}

/// Hashes what passes through it.
pub(crate) struct Hashing<T> {
    pub(crate) inner: T,
    pub(crate) hash: blake3::Hasher,
}

impl<T: Write> Write for Hashing<T> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let n = self.inner.write(bytes)?;
        self.hash.update(&bytes[..n]);
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

impl<T: Read> Read for Hashing<T> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let n = self.inner.read(into)?;
        self.hash.update(&into[..n]);
        Ok(n)
    }
}

/// Reads the magic, the length and the head of a file's content.
pub(crate) fn read_head(from: &mut impl Read) -> Result<Head, String> {
    let mut start = [0; 16];
    from.read_exact(&mut start)
        .map_err(|_| "it is cut off".to_string())?;
    if &start[..8] != MAGIC {
        return Err("not an export of a ledger".into());
    }
    let length = u64::from_le_bytes(start[8..].try_into().expect("eight bytes"));
    let bytes = read_bytes(from, length)?;
    postcard::from_bytes(&bytes).map_err(|_| "its head cannot be read".into())
}

/// Reads so many bytes; grows only as they come, so that a length that is junk costs no memory.
pub(crate) fn read_bytes(from: &mut impl Read, length: u64) -> Result<Vec<u8>, String> {
    if length > LONGEST {
        return Err("a length in it is not what was written".into());
    }
    let mut bytes = Vec::new();
    let n = from
        .take(length)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    if n as u64 != length {
        return Err("it is cut off".into());
    }
    Ok(bytes)
}
