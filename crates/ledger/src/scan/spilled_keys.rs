//! Stores the idempotency keys of served entries in temporary files while exports are read, because they may
//! not fit in memory.

use crate::entry::{to_hex, KeyHash};
use crate::reconcile::{EntryId, Finding};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufWriter, Read, Seek, Write};
use std::sync::Mutex;

/// Number of files that the keys are distributed over, so that the keys of one file fit in memory.
const BUCKETS: usize = 256;
const BUCKET_BUFFER_BYTES: usize = 8 << 10;
/// Maximum number of repeated keys that are reported individually.
const MAX_LISTED_REPEATS: usize = 1_000;

/// Idempotency key of one served entry, and the position of the entry.
#[derive(Serialize, Deserialize)]
pub(super) struct SpilledKey {
    pub(super) key: KeyHash,
    /// Index of the export that holds the entry.
    pub(super) export: u32,
    pub(super) epoch: u64,
    pub(super) seq: u64,
}

/// Idempotency keys that several instances answered.
#[derive(Default)]
pub(super) struct Repeats {
    /// One finding for each repeated key, at most [`MAX_LISTED_REPEATS`].
    pub(super) listed: Vec<Finding>,
    /// Number of repeated keys beyond those in `listed`.
    pub(super) unlisted: u64,
}

/// Temporary files with idempotency keys. The files are deleted when this is dropped.
pub(super) struct SpilledKeys(Vec<Mutex<BufWriter<File>>>);

impl SpilledKeys {
    pub(super) fn new() -> io::Result<SpilledKeys> {
        let buckets = (0..BUCKETS).map(|_| {
            let file = tempfile::tempfile()?;
            let writer = BufWriter::with_capacity(BUCKET_BUFFER_BYTES, file);
            Ok(Mutex::new(writer))
        });
        Ok(SpilledKeys(buckets.collect::<io::Result<_>>()?))
    }

    /// Writes each key to the file selected by the key's first byte.
    pub(super) fn spill(&self, keys: Vec<SpilledKey>) -> io::Result<()> {
        for spilled in keys {
            let bytes =
                postcard::to_stdvec(&spilled).expect("a plain struct can always be encoded");
            let mut file = self.0[usize::from(spilled.key[0])]
                .lock()
                .expect("no thread panics while it holds the lock");
            file.write_all(&[bytes.len() as u8])?;
            file.write_all(&bytes)?;
        }
        Ok(())
    }

    /// Returns the keys that occur in entries of several instances. Only the exports in `valid` are
    /// considered. `instances` gives the instance of each export by index.
    pub(super) fn repeats(self, valid: &BTreeSet<u32>, instances: &[&str]) -> io::Result<Repeats> {
        let mut repeats = Repeats::default();
        for bucket in self.0 {
            let writer = bucket
                .into_inner()
                .expect("no thread panics while it holds the lock");
            let mut keys = read_keys(writer.into_inner()?, valid)?;
            keys.sort_by_key(|spilled| (spilled.key, spilled.export, spilled.epoch, spilled.seq));
            for same_key in keys.chunk_by(|a, b| a.key == b.key) {
                add_if_repeated(&mut repeats, same_key, instances);
            }
        }
        Ok(repeats)
    }
}

fn read_keys(mut file: File, valid: &BTreeSet<u32>) -> io::Result<Vec<SpilledKey>> {
    file.rewind()?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let mut keys = Vec::new();
    let mut rest = &bytes[..];
    while let Some((length, after_length)) = rest.split_first() {
        let length = usize::from(*length).min(after_length.len());
        let (encoded, after_key) = after_length.split_at(length);
        if let Ok(spilled) = postcard::from_bytes::<SpilledKey>(encoded) {
            if valid.contains(&spilled.export) {
                keys.push(spilled);
            }
        }
        rest = after_key;
    }
    Ok(keys)
}

fn add_if_repeated(repeats: &mut Repeats, same_key: &[SpilledKey], instances: &[&str]) {
    let instance = |spilled: &SpilledKey| instances[spilled.export as usize];
    let first = &same_key[0];
    if same_key
        .iter()
        .all(|other| instance(other) == instance(first))
    {
        return;
    }
    if repeats.listed.len() >= MAX_LISTED_REPEATS {
        repeats.unlisted += 1;
        return;
    }
    let places: BTreeSet<EntryId> = same_key
        .iter()
        .map(|spilled| EntryId {
            instance: instance(spilled).into(),
            epoch: spilled.epoch,
            seq: spilled.seq,
        })
        .collect();
    repeats.listed.push(Finding::Repeated {
        key: to_hex(&first.key),
        places: places.into_iter().collect(),
    });
}
