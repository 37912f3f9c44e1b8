//! The ledger's key: 64 hex digits in a file. Instances that share it find each other's repeats.

use crate::entry::to_hex;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const KEY_BYTES: usize = 32;
const HEX_DIGITS: usize = 2 * KEY_BYTES;

/// Why a key file could not be read or made. The message names the file and never its content.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file could not be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The key file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The file holds something other than a key.
    #[error("{}: not a key: 64 hex digits are wanted", .0.display())]
    Malformed(PathBuf),
    /// The system gave no random numbers for a new key.
    #[error("{}: no random numbers: {error}", path.display())]
    NoRandomNumbers {
        /// The key file.
        path: PathBuf,
        /// What the system reports.
        error: getrandom::Error,
    },
}

impl KeyError {
    fn io(path: &Path, source: io::Error) -> KeyError {
        KeyError::Io {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// Reads a key.
///
/// # Errors
///
/// [`KeyError::Io`] if the file cannot be read, [`KeyError::Malformed`] if it does not hold 64 hex digits.
pub fn load(path: &Path) -> Result<[u8; KEY_BYTES], KeyError> {
    let text = std::fs::read_to_string(path).map_err(|error| KeyError::io(path, error))?;
    parse(text.trim()).ok_or_else(|| KeyError::Malformed(path.to_path_buf()))
}

/// The bytes of exactly 64 hex digits of either case.
fn parse(text: &str) -> Option<[u8; KEY_BYTES]> {
    if text.len() != HEX_DIGITS || !text.is_ascii() {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (byte, pair) in key.iter_mut().zip(text.as_bytes().chunks(2)) {
        let digits = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(key)
}

/// Makes a new random key in a file that its owner alone can read.
///
/// The file is written beside its place and renamed: half a key would lock its ledger.
///
/// # Errors
///
/// [`KeyError::NoRandomNumbers`] if the system gives none, [`KeyError::Io`] if the file cannot be written.
pub fn create(path: &Path) -> Result<(), KeyError> {
    let mut key = [0; KEY_BYTES];
    getrandom::fill(&mut key).map_err(|error| KeyError::NoRandomNumbers {
        path: path.to_path_buf(),
        error,
    })?;
    write(path, &key).map_err(|error| KeyError::io(path, error))
}

fn write(path: &Path, key: &[u8; KEY_BYTES]) -> io::Result<()> {
    let folder = path.parent().unwrap_or(Path::new("."));
    std::fs::create_dir_all(folder)?;
    let mut file = tempfile::NamedTempFile::new_in(folder)?; // readable by its owner alone
    writeln!(file, "{}", to_hex(key))?;
    file.as_file().sync_all()?;
    file.persist(path).map_err(|failed| failed.error)?;
    Ok(())
}
