//! Why a settings file cannot be used. The texts name file, key, value and remedy.

use super::PATH_VARIABLE;
use std::io;

/// Why there are no settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings file {path}: {reason}: name a file that can be read in {PATH_VARIABLE}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said. Part of the text, and so not its source.
        reason: io::Error,
    },
    /// The file is not TOML.
    #[error("settings file {path}: {reason}: write it as TOML")]
    Syntax {
        /// The file.
        path: String,
        /// What is wrong, and where.
        reason: String,
    },
    /// A key is missing, or its value cannot be used.
    #[error("settings file {path}: key {key} = {value}: {remedy}")]
    Key {
        /// The file.
        path: String,
        /// The key, with its table.
        key: String,
        /// Its value, as it is written in the file.
        value: String,
        /// What to do.
        remedy: String,
    },
}
