//! Reads exports on several threads. Memory use does not grow with the number of entries.

mod folder;
mod part_reader;
mod spilled_keys;

use crate::reconcile::{Finding, Merged, Part};
use folder::{find_exports, FoundExport};
use part_reader::{read_part, PartError};
use spilled_keys::SpilledKeys;
use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Result of reading a set of exports.
#[derive(Debug, Default)]
pub struct Scanned {
    /// Exports that passed verification.
    pub merged: Merged,
    /// Problems of individual files and inconsistencies between exports.
    pub findings: Vec<Finding>,
    /// Number of repeated idempotency keys beyond those in `findings`.
    pub more_repeats: u64,
}

/// Reads all exports in the folders on up to `threads` threads. `on_file` is called after each file with the
/// total number of files.
///
/// # Errors
///
/// Fails if a folder cannot be read or a temporary file cannot be written. An export that cannot be read is a
/// finding, not an error.
pub fn scan(
    dirs: &[PathBuf],
    threads: usize,
    on_file: impl Fn(usize) + Sync,
) -> io::Result<Scanned> {
    let mut scanned = Scanned::default();
    let found = find_exports(dirs, &mut scanned.findings)?;
    let keys = SpilledKeys::new()?;
    let parts = read_parts(&found, threads, &keys, on_file);
    let valid = add_parts(&mut scanned, &found, parts);
    let instances: Vec<&str> = found
        .iter()
        .map(|export| export.manifest.instance.as_str())
        .collect();
    let repeats = keys.repeats(&valid, &instances)?;
    scanned.findings.extend(repeats.listed);
    scanned.more_repeats = repeats.unlisted;
    scanned.findings.extend(scanned.merged.findings());
    Ok(scanned)
}

/// Reads the exports on several threads. The result has the order of `found`.
fn read_parts(
    found: &[FoundExport],
    threads: usize,
    keys: &SpilledKeys,
    on_file: impl Fn(usize) + Sync,
) -> Vec<Result<Part, PartError>> {
    let next = AtomicUsize::new(0);
    let parts = Mutex::new(Vec::new());
    let read_until_done = || loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(export) = found.get(index) else {
            return;
        };
        let part = read_part(&export.path, &export.manifest, index as u32, keys);
        parts
            .lock()
            .expect("no thread panics while it holds the lock")
            .push((index, part));
        on_file(found.len());
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, found.len().max(1)) {
            scope.spawn(read_until_done);
        }
    });
    let mut parts = parts
        .into_inner()
        .expect("no thread panics while it holds the lock");
    parts.sort_by_key(|(index, _)| *index);
    parts.into_iter().map(|(_, part)| part).collect()
}

/// Adds the exports that passed verification and returns their indices. All others become findings.
fn add_parts(
    scanned: &mut Scanned,
    found: &[FoundExport],
    parts: Vec<Result<Part, PartError>>,
) -> BTreeSet<u32> {
    let mut valid = BTreeSet::new();
    for (index, (export, part)) in found.iter().zip(parts).enumerate() {
        match part {
            Ok(part) => {
                valid.insert(index as u32);
                scanned.merged.add(part);
            }
            Err(error) => {
                let why = format!("{}: {error}", export.path.display());
                scanned.findings.push(Finding::Changed { why });
            }
        }
    }
    valid
}
