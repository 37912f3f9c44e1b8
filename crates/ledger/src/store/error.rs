//! Everything that can be wrong with a store, as one value. Messages are one line and name the file.

use rusqlite::ErrorCode;
use std::path::PathBuf;

/// Why a store could not be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is no such store.
    #[error("{0}: there is no ledger here")]
    Missing(PathBuf),
    /// Another dispatcher writes to it.
    #[error("{0}: another process writes to this ledger")]
    InUse(PathBuf),
    /// The disk is full.
    #[error("{0}: the disk is full")]
    Full(PathBuf),
    /// It may not be written.
    #[error("{0}: it may not be written")]
    ReadOnly(PathBuf),
    /// It is of a newer version than this program.
    #[error("{path}: it is of version {found}, and this program knows versions up to {known}")]
    Newer {
        /// The store.
        path: PathBuf,
        /// Its version.
        found: i64,
        /// The newest that is known.
        known: i64,
    },
    /// It is not what was written.
    #[error("{path}: damaged: {what}")]
    Damaged {
        /// The store.
        path: PathBuf,
        /// What does not fit.
        what: String,
    },
    /// It was made for something else.
    #[error("{path}: {what}")]
    Other {
        /// The store.
        path: PathBuf,
        /// What it was made for.
        what: String,
    },
    /// It could not be read or written, for another reason.
    #[error("{path}: {why}")]
    Io {
        /// The store.
        path: PathBuf,
        /// What the system says.
        why: String,
    },
}

impl StoreError {
    /// What an error of the database means. The one place that maps them.
    pub(super) fn of(path: &std::path::Path, e: rusqlite::Error) -> StoreError {
        let path = path.to_path_buf();
        match e.sqlite_error_code() {
            Some(ErrorCode::DiskFull) => StoreError::Full(path),
            Some(ErrorCode::ReadOnly | ErrorCode::PermissionDenied | ErrorCode::CannotOpen) => {
                StoreError::ReadOnly(path)
            }
            Some(ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase) => StoreError::Damaged {
                path,
                what: one_line(&e),
            },
            Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => StoreError::InUse(path),
            _ => StoreError::Io {
                path,
                why: one_line(&e),
            },
        }
    }
}

fn one_line(e: &impl std::fmt::Display) -> String {
    e.to_string()
        .split_whitespace()
        .collect::<Vec<_>>()
        .join(" ")
}
