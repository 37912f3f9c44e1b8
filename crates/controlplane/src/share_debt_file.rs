//! The settings file of the debts: `half_life_ms`, and what else is not to be as usual.

use figment::providers::{Format, Serialized, Toml};
use figment::Figment;
use std::path::{Path, PathBuf};
use streamusher_fair_share::{FairShareSettings, SettingsError};
use streamusher_protocol::Millis;

/// The file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ShareDebtFileError {
    /// It cannot be read, or a key is missing, unknown or of another type.
    #[error("{path}: {reason}: correct the file, docs/design/share-debt.md lists its keys")]
    Read {
        /// The file.
        path: PathBuf,
        /// What is wrong, with the key.
        reason: String,
    },
    /// A value is out of its range.
    #[error("{path}: {error}")]
    Value {
        /// The file.
        path: PathBuf,
        /// Which, and its range.
        error: SettingsError,
    },
}

/// Reads and checks the file. Keys that it does not have are as usual for its half-life.
///
/// # Errors
/// See [`ShareDebtFileError`].
pub fn load(path: &Path) -> Result<FairShareSettings, ShareDebtFileError> {
    let unread = |error: figment::Error| {
        // The parser's own text may have several lines.
        let reason = error
            .to_string()
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ");
        ShareDebtFileError::Read {
            path: path.to_owned(),
            reason,
        }
    };
    let half_life_ms: Millis = Figment::from(Toml::file_exact(path))
        .extract_inner("half_life_ms")
        .map_err(unread)?;
    let usual = FairShareSettings::with_half_life(half_life_ms);
    let settings: FairShareSettings = Figment::from(Serialized::defaults(usual))
        .merge(Toml::file_exact(path))
        .extract()
        .map_err(unread)?;
    settings
        .check()
        .map_err(|error| ShareDebtFileError::Value {
            path: path.to_owned(),
            error,
        })?;
    Ok(settings)
}
