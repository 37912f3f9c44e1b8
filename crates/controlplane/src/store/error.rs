//! Why the store on disk cannot be used.

use std::io;
use std::path::{Path, PathBuf};

/// A failure of the store. Each kind asks for a remedy of its own.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk refuses or fails for now; what is on it is not in doubt.
    #[error("store {folder}: {reason}: free space or mend the disk; it is tried again")]
    Unavailable {
        /// The store's folder.
        folder: PathBuf,
        /// What failed.
        reason: String,
    },
    /// Files of the store are missing or do not hold what was written.
    #[error(
        "store {folder} is damaged: {reason}: it is emptied, and the machine joins as one with an empty disk"
    )]
    Damaged {
        /// The store's folder.
        folder: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// A newer program wrote the store.
    #[error("store {folder} has format {found}, this program knows up to {known}: run the newer program, or empty the folder to join as a new machine")]
    NewerFormat {
        /// The store's folder.
        folder: PathBuf,
        /// The format on disk.
        found: u32,
        /// The newest format known here.
        known: u32,
    },
}

impl StoreError {
    /// The same error of a store at `folder`, as for a copy that stands for its original.
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

    /// A failure of a file operation at `folder`.
    pub(super) fn from_io(folder: &Path, error: &io::Error) -> StoreError {
        let reason = error.to_string();
        if is_content_error(error) {
            StoreError::damaged(folder, reason)
        } else {
            StoreError::unavailable(folder, reason)
        }
    }

    /// A failure reported by the database at `folder`.
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

/// Whether an error says that a file is missing, too short or holds something else, rather than that the disk fails.
fn is_content_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof | io::ErrorKind::NotFound | io::ErrorKind::InvalidData
    )
}
