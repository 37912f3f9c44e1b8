//! Folders for tests, and copies of a store as a power loss leaves them.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub(crate) mod cluster;

use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::SystemTime;

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);

/// A temporary folder that is removed when the value is dropped.
pub(crate) struct TestFolder(PathBuf);

impl TestFolder {
    pub(crate) fn new() -> TestFolder {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let name = format!("streamusher-controlplane-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        TestFolder(path)
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }

    /// Copies all files, without the zeros at the end of journals, which the database has reserved but not
    /// written. The copy is repeated if files changed meanwhile, as it would mix states of different times.
    pub(crate) fn copy_of(original: &Path) -> TestFolder {
        for _ in 0..MAX_COPIES {
            let before = listing(original);
            let copy = TestFolder::new();
            let copied = copy_folder(original, copy.path());
            if copied.is_ok()
                && before.is_ok_and(|before| listing(original).is_ok_and(|after| after == before))
            {
                return copy;
            }
        }
        panic!(
            "{} changed during each of {MAX_COPIES} copies",
            original.display()
        );
    }
}

/// A small store finishes its flushes and compactions within a few copies.
const MAX_COPIES: usize = 1_000;

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &target)?;
        } else if is_journal(&entry.path()) {
            fs::write(target, written_part(&entry.path())?)?;
        } else {
            fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// All files below a folder with their lengths and modification times.
fn listing(folder: &Path) -> io::Result<Vec<(PathBuf, u64, SystemTime)>> {
    let mut files = Vec::new();
    for file in files_in(folder)? {
        let metadata = fs::metadata(&file)?;
        files.push((file, metadata.len(), metadata.modified()?));
    }
    Ok(files)
}

/// All files below a folder, sorted by name.
pub(crate) fn files_below(folder: &Path) -> Vec<PathBuf> {
    files_in(folder).unwrap()
}

fn files_in(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            files.extend(files_in(&entry.path())?);
        } else {
            files.push(entry.path());
        }
    }
    files.sort();
    Ok(files)
}

/// The journal of a store that has only one.
pub(crate) fn journal_of(data_dir: &Path) -> PathBuf {
    files_below(data_dir)
        .into_iter()
        .find(|file| is_journal(file))
        .unwrap()
}

/// The bytes of a journal without the zeros that are reserved at its end. No written content contains an
/// equally long run of zeros.
pub(crate) fn written_bytes(journal: &Path) -> Vec<u8> {
    written_part(journal).unwrap()
}

fn written_part(journal: &Path) -> io::Result<Vec<u8>> {
    let mut file = File::open(journal)?;
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    loop {
        let read = file.read(&mut chunk)?;
        if chunk[..read].iter().all(|byte| *byte == 0) {
            break;
        }
        bytes.extend_from_slice(&chunk[..read]);
    }
    let written = bytes
        .iter()
        .rposition(|byte| *byte != 0)
        .map_or(0, |last| last + 1);
    bytes.truncate(written);
    Ok(bytes)
}

fn is_journal(file: &Path) -> bool {
    file.extension().is_some_and(|extension| extension == "jnl")
}
