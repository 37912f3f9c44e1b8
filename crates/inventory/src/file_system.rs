//! [`FileSource`] for the files of the operating system.

use crate::read::{FileSource, MAX_FILE_BYTES};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Reads inventory files from the local file system.
#[derive(Clone, Copy, Debug)]
pub struct FileSystem;

impl FileSource for FileSystem {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        // The file type is checked before the file is opened, since opening a FIFO blocks until a writer
        // opens it.
        if !std::fs::metadata(path)?.is_file() {
            return Err(invalid_file("not a file".to_owned()));
        }
        let mut bytes = Vec::new();
        File::open(path)?
            .take(MAX_FILE_BYTES + 1)
            .read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(invalid_file(format!("over {} MB", MAX_FILE_BYTES >> 20)));
        }
        Ok(bytes)
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<PathBuf>> {
        if !directory.is_dir() {
            return Ok(Vec::new());
        }
        let entries = std::fs::read_dir(directory)?;
        entries
            .map(|entry| entry.map(|entry| entry.path()))
            .collect()
    }
}

fn invalid_file(message: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, message)
}
