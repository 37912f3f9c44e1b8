//! Reads exports, several at a time, in memory that does not grow with their entries.

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

/// What was read.
#[derive(Debug, Default)]
pub struct Scanned {
    /// All that fits by itself.
    pub merged: Merged,
    /// What does not.
    pub findings: Vec<Finding>,
    /// Repeated keys beyond those told.
    pub more_repeats: u64,
}

/// Reads all exports in these folders with so many threads. `each` is called after every file, with how many there
/// are.
///
/// # Errors
///
/// A folder that cannot be read, or a temporary file that cannot be written. An export that cannot be read is a
/// finding, not an error.
pub fn scan(dirs: &[PathBuf], threads: usize, each: impl Fn(usize) + Sync) -> io::Result<Scanned> {
    let mut scanned = Scanned::default();
    let found = find_exports(dirs, &mut scanned.findings)?;
    let keys = SpilledKeys::new()?;
    let parts = read_parts(&found, threads, &keys, each);
    let whole = add_parts(&mut scanned, &found, parts);
    let instances: Vec<&str> = found
        .iter()
        .map(|export| export.manifest.instance.as_str())
        .collect();
    let repeats = keys.repeats(&whole, &instances)?;
    scanned.findings.extend(repeats.listed);
    scanned.more_repeats = repeats.unlisted;
    scanned.findings.extend(scanned.merged.findings());
    Ok(scanned)
}

/// Reads each export on one of the threads. The parts are in the order of the exports.
fn read_parts(
    found: &[FoundExport],
    threads: usize,
    keys: &SpilledKeys,
    each: impl Fn(usize) + Sync,
) -> Vec<Result<Part, PartError>> {
    let next = AtomicUsize::new(0);
    let parts = Mutex::new(Vec::new());
    let read_in_turn = || loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(export) = found.get(index) else {
            return;
        };
        let part = read_part(&export.path, &export.manifest, index as u32, keys);
        parts
            .lock()
            .expect("no thread panics with it")
            .push((index, part));
        each(found.len());
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, found.len().max(1)) {
            scope.spawn(read_in_turn);
        }
    });
    let mut parts = parts.into_inner().expect("no thread panics with it");
    parts.sort_by_key(|(index, _)| *index);
    parts.into_iter().map(|(_, part)| part).collect()
}

/// Adds the parts that are whole, and returns their indices. Those that are not become findings.
fn add_parts(
    scanned: &mut Scanned,
    found: &[FoundExport],
    parts: Vec<Result<Part, PartError>>,
) -> BTreeSet<u32> {
    let mut whole = BTreeSet::new();
    for (index, (export, part)) in found.iter().zip(parts).enumerate() {
        match part {
            Ok(part) => {
                whole.insert(index as u32);
                scanned.merged.add(part);
            }
            Err(error) => {
                let why = format!("{}: {error}", export.path.display());
                scanned.findings.push(Finding::Changed { why });
            }
        }
    }
    whole
}
