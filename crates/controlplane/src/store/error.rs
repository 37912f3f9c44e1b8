//! Errors of the store on disk.

use std::io;
use std::path::{Path, PathBuf};

/// A failure of the store. Each kind requires a different remedy.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A disk operation failed, possibly temporarily; the data on disk is not in doubt.
    #[error(
        "store {folder}: {reason}: free disk space or repair the disk; the operation is retried"
    )]
    Unavailable {
        /// The store's folder.
        folder: PathBuf,
        /// The operation's failure.
        reason: String,
    },
    /// Files of the store are missing or contain something other than what was written.
    #[error(
        "store {folder} is damaged: {reason}: the store is emptied, and the machine joins as one with an empty disk"
    )]
    Damaged {
        /// The store's folder.
        folder: PathBuf,
        /// The damage that was found.
        reason: String,
    },
    /// A newer release wrote the store.
    #[error("store {folder} has format {found}, this program supports up to {known}: run a newer release, or empty the folder to join as a new machine")]
    NewerFormat {
        /// The store's folder.
        folder: PathBuf,
        /// The format version on disk.
        found: u32,
        /// The newest format version that this program supports.
        known: u32,
    },
}

impl StoreError {
    /// Returns this error with another folder, for example to report the original folder for an error in its
    /// copy.
    #[must_use]
    pub fn at_folder(self, folder: PathBuf) -> StoreError {
        match self {
            StoreError::Unavailable { reason, .. } => StoreError::Unavailable { folder, reason },
            StoreError::Damaged { reason, .. } => StoreError::Damaged { folder, reason },
            StoreError::NewerFormat { found, known, .. } => StoreError::NewerFormat {
                folder,
                found,
                known,
            },
        }
    }

    /// Converts the failure of a file operation at `folder`.
    pub(super) fn from_io(folder: &Path, error: &io::Error) -> StoreError {
        let reason = error.to_string();
        if is_content_error(error) {
            StoreError::damaged(folder, reason)
        } else {
            StoreError::unavailable(folder, reason)
        }
    }

    /// Converts a failure reported by the database at `folder`.
    pub(super) fn from_database(folder: &Path, error: &fjall::Error) -> StoreError {
        use fjall::Error;
        let reason = error.to_string();
        let is_unavailable = match error {
            Error::Io(cause) | Error::Storage(fjall::LsmError::Io(cause)) => {
                !is_content_error(cause)
            }
            Error::Poisoned | Error::Locked => true,
            _ => false,
        };
        if is_unavailable {
            StoreError::unavailable(folder, reason)
        } else {
            StoreError::damaged(folder, reason)
        }
    }

    pub(super) fn damaged(folder: &Path, reason: impl Into<String>) -> StoreError {
        StoreError::Damaged {
            folder: folder.to_owned(),
            reason: reason.into(),
        }
    }

    fn unavailable(folder: &Path, reason: String) -> StoreError {
        StoreError::Unavailable {
            folder: folder.to_owned(),
            reason,
        }
    }
}

/// Whether an error means that a file is missing, too short or has unexpected content, rather than a failure
/// of the disk.
fn is_content_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof | io::ErrorKind::NotFound | io::ErrorKind::InvalidData
    )
}
