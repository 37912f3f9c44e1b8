//! Copies of data folders in the system's temporary folder.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Makes the names of copies made by one process unique.
static NEXT_COPY: AtomicU64 = AtomicU64::new(0);

/// A temporary folder that is removed when the value is dropped.
pub(super) struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Copies a folder with everything below it.
    pub(super) fn copy_of(folder: &Path) -> io::Result<TemporaryFolder> {
        let number = NEXT_COPY.fetch_add(1, Ordering::Relaxed);
        let name = format!("streamusher-show-disk-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path)?;
        let copy = TemporaryFolder(path);
        copy_folder(folder, copy.path())?;
        Ok(copy)
    }

    pub(super) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // A failed removal is ignored: the files are in the system's temporary folder.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Total size of all files below a folder, in bytes.
pub(super) fn total_bytes(folder: &Path) -> io::Result<u64> {
    let mut bytes = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let metadata = entry.metadata()?;
        bytes += if metadata.is_dir() {
            total_bytes(&entry.path())?
        } else {
            metadata.len()
        };
    }
    Ok(bytes)
}

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &target)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}
