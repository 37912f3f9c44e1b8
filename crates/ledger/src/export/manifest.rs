//! The manifest beside an exported file: what the file holds, and the hashes to check it by.

use crate::period::Period;
use crate::store::Lines;
use crate::sums::Usage;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The version of the form of exports.
pub const VERSION: u32 = 1;
/// A manifest is read up to here: guards against a file that is something else.
const MAX_MANIFEST_BYTES: u64 = 64 << 20;

/// Why a manifest could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The manifest.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The file holds no manifest.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The manifest.
        path: PathBuf,
        /// What does not fit.
        source: serde_json::Error,
    },
    /// The export has another form than this program knows.
    #[error("{}: version {found}, and this program knows {VERSION}", path.display())]
    UnknownVersion {
        /// The manifest.
        path: PathBuf,
        /// Its version.
        found: u32,
    },
    /// The name of the exported file leads out of the manifest's folder, or is hidden.
    #[error("{}: file: not a plain name", .0.display())]
    FileName(PathBuf),
}

/// One line of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Whose use.
    pub tenant: String,
    /// Of which class.
    pub class: String,
    /// The sums.
    pub sums: Usage,
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

impl Manifest {
    /// Reads a manifest.
    ///
    /// # Errors
    ///
    /// See [`ManifestError`].
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
        // Guards against a name that leads out of the folder.
        if self.file.contains(['/', '\\']) || self.file.starts_with('.') {
            return Err(ManifestError::FileName(path.to_path_buf()));
        }
        Ok(())
    }

    /// Writes the manifest and waits until it is on the disk.
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
