//! The ledger's secret key, stored as 64 hex digits in a file. Instances that share the key produce the same
//! hash for the same idempotency key, so requests repeated at another instance can be found.

use crate::entry::to_hex;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const KEY_BYTES: usize = 32;
const HEX_DIGITS: usize = 2 * KEY_BYTES;

/// Error from reading or creating a key file. The message names the file and never includes its content.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// Reading or writing the file failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// Path of the key file.
        path: PathBuf,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// The file does not contain exactly 64 hex digits.
    #[error("{}: not a key: 64 hex digits are wanted", .0.display())]
    Malformed(PathBuf),
    /// The operating system supplied no random bytes for a new key.
    #[error("{}: no random numbers: {error}", path.display())]
    NoRandomNumbers {
        /// Path of the key file.
        path: PathBuf,
        /// Error returned by the random number generator.
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

/// Reads the key from a file. White space around the digits is ignored.
///
/// # Errors
///
/// [`KeyError::Io`] if the file cannot be read, [`KeyError::Malformed`] if it does not hold 64 hex digits.
pub fn load(path: &Path) -> Result<[u8; KEY_BYTES], KeyError> {
    let text = std::fs::read_to_string(path).map_err(|error| KeyError::io(path, error))?;
    parse(text.trim()).ok_or_else(|| KeyError::Malformed(path.to_path_buf()))
}

/// Decodes exactly 64 hex digits of either case.
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

/// Creates a file with a new random key that only its owner can read.
///
/// The key is written to a temporary file in the same folder and then renamed, because a truncated key would
/// make its ledger inaccessible.
///
/// # Errors
///
/// [`KeyError::NoRandomNumbers`] if the operating system supplies no random bytes, [`KeyError::Io`] if the
/// file cannot be written.
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
    let mut file = tempfile::NamedTempFile::new_in(folder)?; // created with owner-only permissions
    writeln!(file, "{}", to_hex(key))?;
    file.as_file().sync_all()?;
    file.persist(path).map_err(|failed| failed.error)?;
    Ok(())
}
