//! Why the store on disk can't be used.

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
    Newer {
        /// The store's folder.
        folder: PathBuf,
        /// The format on disk.
        found: u32,
        /// The newest format known here.
        known: u32,
    },
}

impl StoreError {
    /// A failure of a file operation at `folder`.
    pub(super) fn from_io(folder: &Path, error: &std::io::Error) -> StoreError {
        let reason = error.to_string();
        match is_content_fault(error) {
            true => StoreError::damaged(folder, reason),
            false => StoreError::Unavailable {
                folder: folder.to_owned(),
                reason,
            },
        }
    }

    /// A failure reported by the database at `folder`.
    pub(super) fn from_database(folder: &Path, error: &fjall::Error) -> StoreError {
        use fjall::Error;
        let reason = error.to_string();
        let unavailable = match error {
            Error::Io(cause) => !is_content_fault(cause),
            Error::Storage(fjall::LsmError::Io(cause)) => !is_content_fault(cause),
            Error::Poisoned | Error::Locked => true,
            _ => false,
        };
        match unavailable {
            true => StoreError::Unavailable {
                folder: folder.to_owned(),
                reason,
            },
            false => StoreError::damaged(folder, reason),
        }
    }

    pub(super) fn damaged(folder: &Path, reason: impl Into<String>) -> StoreError {
        StoreError::Damaged {
            folder: folder.to_owned(),
            reason: reason.into(),
        }
    }
}

/// Whether an error says that a file is missing, too short or holds something else, rather than that the disk fails.
fn is_content_fault(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        error.kind(),
        ErrorKind::UnexpectedEof | ErrorKind::NotFound | ErrorKind::InvalidData
    )
}
