//! Folders for tests, and images of a store as a loss of power leaves them.
#![allow(dead_code)] // Each test file uses a part.

use std::fs::{self, File};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT: AtomicU64 = AtomicU64::new(0);

/// A folder that is removed with the value.
pub struct TestFolder(PathBuf);

impl TestFolder {
    pub fn new() -> TestFolder {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("streamusher-controlplane-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        TestFolder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Copies all files, without the zeros at the ends of journals: what a database reserves and has not written.
    pub fn copy_of(original: &Path) -> TestFolder {
        let copy = TestFolder::new();
        copy_folder(original, copy.path());
        copy
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn copy_folder(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let target = to.join(entry.file_name());
        if entry.file_type().unwrap().is_dir() {
            copy_folder(&entry.path(), &target);
        } else if is_journal(&entry.path()) {
            fs::write(target, without_reserve(&entry.path())).unwrap();
        } else {
            fs::copy(entry.path(), target).unwrap();
        }
    }
}

/// All files below a folder.
pub fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let entry = entry.unwrap();
        match entry.file_type().unwrap().is_dir() {
            true => files.extend(files_below(&entry.path())),
            false => files.push(entry.path()),
        }
    }
    files.sort();
    files
}

/// The only journal of a small store.
pub fn journal_of(data_dir: &Path) -> PathBuf {
    files_below(data_dir).into_iter().find(|file| is_journal(file)).unwrap()
}

/// The bytes of a journal, without the zeros that are reserved at its end. Nothing written holds as long a run of them.
pub fn without_reserve(journal: &Path) -> Vec<u8> {
    let mut file = File::open(journal).unwrap();
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    loop {
        let read = file.read(&mut chunk).unwrap();
        if chunk[..read].iter().all(|byte| *byte == 0) {
            break;
        }
        bytes.extend_from_slice(&chunk[..read]);
    }
    let written = bytes.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
    bytes.truncate(written);
    bytes
}

fn is_journal(file: &Path) -> bool {
    file.extension().is_some_and(|extension| extension == "jnl")
}
