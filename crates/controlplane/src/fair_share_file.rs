//! The fair-share settings file: `half_life_ms` is required, other keys override defaults.

use figment::providers::{Format, Serialized, Toml};
use figment::Figment;
use std::path::{Path, PathBuf};
use streamusher_fair_share::{FairShareSettings, SettingsError};
use streamusher_protocol::Millis;

const HALF_LIFE_KEY: &str = "half_life_ms";

/// The fair-share settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FairShareFileError {
    /// The file cannot be read, or a key is missing, unknown or of the wrong type.
    #[error("{path}: {reason}: correct the file, docs/design/share-debt.md lists its keys")]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// The problem and the key, on one line.
        reason: String,
    },
    /// A value is out of its range.
    #[error("{path}: {error}")]
    OutOfRange {
        /// Path of the settings file.
        path: PathBuf,
        /// The value and its allowed range.
        error: SettingsError,
    },
}

impl FairShareFileError {
    fn unreadable(path: &Path, error: &figment::Error) -> FairShareFileError {
        // The parser's message may span several lines.
        let text = error.to_string();
        let words: Vec<&str> = text.split_whitespace().collect();
        FairShareFileError::Unreadable {
            path: path.to_owned(),
            reason: words.join(" "),
        }
    }
}

/// Reads and validates the file. Missing keys get the defaults for the given half-life.
///
/// # Errors
/// See [`FairShareFileError`].
pub fn load(path: &Path) -> Result<FairShareSettings, FairShareFileError> {
    let settings = read(path).map_err(|error| FairShareFileError::unreadable(path, &error))?;
    settings
        .check()
        .map_err(|error| FairShareFileError::OutOfRange {
            path: path.to_owned(),
            error,
        })?;
    Ok(settings)
}

#[expect(
    clippy::result_large_err,
    reason = "the caller converts the library's error into a small one"
)]
fn read(path: &Path) -> Result<FairShareSettings, figment::Error> {
    let half_life_ms: Millis =
        Figment::from(Toml::file_exact(path)).extract_inner(HALF_LIFE_KEY)?;
    let defaults = FairShareSettings::with_half_life(half_life_ms);
    Figment::from(Serialized::defaults(defaults))
        .merge(Toml::file_exact(path))
        .extract()
}
