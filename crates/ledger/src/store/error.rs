//! Errors of the store. Each message is a single line that names the file.

use rusqlite::ErrorCode;
use std::path::PathBuf;

/// Reason for which a store could not be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No store exists at this path.
    #[error("{0}: there is no ledger here")]
    Missing(PathBuf),
    /// Another process is writing to the store.
    #[error("{0}: another process writes to this ledger")]
    InUse(PathBuf),
    /// The disk is full, or the size limit of the store is reached.
    #[error("{0}: the disk is full")]
    Full(PathBuf),
    /// The store is read-only, or access to it is denied.
    #[error("{0}: not writable (read-only or access denied)")]
    ReadOnly(PathBuf),
    /// The store was written by a newer version of this program.
    #[error("{path}: format version {found} is newer than {known}, the latest version that this program supports")]
    Newer {
        /// Path of the store.
        path: PathBuf,
        /// Format version of the store.
        found: i64,
        /// Latest format version that this program supports.
        known: i64,
    },
    /// The stored data differs from what was written.
    #[error("{path}: damaged: {what}")]
    Damaged {
        /// Path of the store.
        path: PathBuf,
        /// The damaged part and the problem.
        what: String,
    },
    /// The store belongs to another instance, period length or key, or is not a ledger of this program.
    #[error("{path}: {what}")]
    Other {
        /// Path of the store.
        path: PathBuf,
        /// The property that does not match.
        what: String,
    },
    /// Reading or writing failed for a reason that has no variant of its own.
    #[error("{path}: {why}")]
    Io {
        /// Path of the store.
        path: PathBuf,
        /// Message of the operating system or the database.
        why: String,
    },
}

impl StoreError {
    /// Maps a database error to a [`StoreError`]. This is the only place that does so.
    pub(super) fn from_database(path: &std::path::Path, error: rusqlite::Error) -> StoreError {
        let path = path.to_path_buf();
        match error.sqlite_error_code() {
            Some(ErrorCode::DiskFull) => StoreError::Full(path),
            Some(ErrorCode::ReadOnly | ErrorCode::PermissionDenied | ErrorCode::CannotOpen) => {
                StoreError::ReadOnly(path)
            }
            Some(ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase) => StoreError::Damaged {
                path,
                what: one_line(&error),
            },
            Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => StoreError::InUse(path),
            _ => StoreError::Io {
                path,
                why: one_line(&error),
            },
        }
    }
}

fn one_line(error: &impl std::fmt::Display) -> String {
    error
        .to_string()
        .split_whitespace()
        .collect::<Vec<_>>()
        .join(" ")
}
