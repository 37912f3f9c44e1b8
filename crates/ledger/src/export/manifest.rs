//! Manifest of an exported file: a summary of the content and the hashes to verify it.

use crate::period::Period;
use crate::store::Lines;
use crate::sums::Usage;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Version of the export format.
pub const VERSION: u32 = 1;
/// Maximum number of bytes read from a manifest. Guards against large files that are not manifests.
const MAX_MANIFEST_BYTES: u64 = 64 << 20;

/// Reason for which a manifest could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// Reading the file failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// Path of the manifest.
        path: PathBuf,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// The file does not contain a valid manifest.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// Path of the manifest.
        path: PathBuf,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The export has a format version that this program does not support.
    #[error("{}: version {found}, and this program knows {VERSION}", path.display())]
    UnknownVersion {
        /// Path of the manifest.
        path: PathBuf,
        /// Version given in the manifest.
        found: u32,
    },
    /// The name of the exported file contains a path separator or starts with a dot. Holds the path of the
    /// manifest.
    #[error("{}: file: not a plain name", .0.display())]
    FileName(PathBuf),
}

/// Usage of one tenant in one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Name of the tenant.
    pub tenant: String,
    /// Name of the service class.
    pub class: String,
    /// Usage totals of the period.
    pub sums: Usage,
}

/// Summary of an exported file, stored as JSON in the same folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of the export format, see [`VERSION`].
    pub version: u32,
    /// Id of the export: the hash of the uncompressed content, in hex digits. Consumers keep it to recognize
    /// exports that they have already counted.
    pub id: String,
    /// Name of the instance that recorded the entries.
    pub instance: String,
    /// The exported period.
    pub period: Period,
    /// Name of the exported file, without a path.
    pub file: String,
    /// Hash of the compressed file, in hex digits.
    pub file_hash: String,
    /// Number of entries in the file.
    pub entries: u64,
    /// Number of corrections in the file.
    pub corrections: u64,
    /// Seal of the period, in hex digits.
    pub seal: String,
    /// Seal of the preceding period in hex digits, all zeros for the first one.
    pub before: String,
    /// Usage totals by tenant and class.
    pub lines: Vec<Line>,
}

impl Manifest {
    /// Reads a manifest and checks its version and file name.
    ///
    /// # Errors
    ///
    /// [`ManifestError`] if the file cannot be read or is rejected by the checks.
    pub fn load(path: &Path) -> Result<Manifest, ManifestError> {
        let text = read_text(path).map_err(|source| ManifestError::Io {
            path: path.to_path_buf(),
            source,
        })?;
        let manifest: Manifest =
            serde_json::from_str(&text).map_err(|source| ManifestError::Malformed {
                path: path.to_path_buf(),
                source,
            })?;
        manifest.check(path)?;
        Ok(manifest)
    }

    fn check(&self, path: &Path) -> Result<(), ManifestError> {
        if self.version != VERSION {
            return Err(ManifestError::UnknownVersion {
                path: path.to_path_buf(),
                found: self.version,
            });
        }
        // Guards against a name that refers to a file outside the folder.
        if self.file.contains(['/', '\\']) || self.file.starts_with('.') {
            return Err(ManifestError::FileName(path.to_path_buf()));
        }
        Ok(())
    }

    /// Writes the manifest and syncs it to disk.
    pub(super) fn write(&self, path: &Path) -> io::Result<()> {
        let text = serde_json::to_string_pretty(self)
            .expect("a plain struct can always be encoded")
            + "\n";
        let mut file = File::create(path)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()
    }
}

fn read_text(path: &Path) -> io::Result<String> {
    let file = File::open(path)?;
    let mut text = String::new();
    file.take(MAX_MANIFEST_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

/// Converts usage totals to the lines of a manifest.
pub fn lines(sums: Lines) -> Vec<Line> {
    sums.into_iter()
        .map(|((tenant, class), sums)| Line {
            tenant,
            class,
            sums,
        })
        .collect()
}
