//! Errors in settings files. The messages name the file, the key, its value and a remedy.

use super::PATH_VARIABLE;
use std::io;

/// Reason why the settings could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[error("settings file {path}: {reason}: name a file that can be read in {PATH_VARIABLE}")]
    Unreadable {
        /// Path of the settings file.
        path: String,
        /// Error of the operating system. The message includes it, so it is not exposed as the error's
        /// source.
        reason: io::Error,
    },
    /// The settings file is not valid TOML.
    #[error("settings file {path}: {reason}: write it as TOML")]
    Syntax {
        /// Path of the settings file.
        path: String,
        /// Description and position of the syntax error.
        reason: String,
    },
    /// A key is missing or has an invalid value.
    #[error("settings file {path}: key {key} = {value}: {remedy}")]
    Key {
        /// Path of the settings file.
        path: String,
        /// The key, prefixed with its table.
        key: String,
        /// Value of the key, as written in the file.
        value: String,
        /// Instruction for correcting the file.
        remedy: String,
    },
}
