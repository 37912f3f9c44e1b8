//! The idempotency keys of served entries, kept in temporary files while exports are read: they may be more than the
//! memory holds.

use crate::entry::{to_hex, KeyHash};
use crate::reconcile::{EntryId, Finding};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufWriter, Read, Seek, Write};
use std::sync::Mutex;

/// Files that keys are spread over, so that each can be looked at in memory alone.
const BUCKETS: usize = 256;
const BUCKET_BUFFER_BYTES: usize = 8 << 10;
/// Most repeated keys that are listed one by one.
const MAX_LISTED_REPEATS: usize = 1_000;

/// The key of one served entry, and where that entry stands.
#[derive(Serialize, Deserialize)]
pub(super) struct SpilledKey {
    pub(super) key: KeyHash,
    /// The index of the export that holds the entry.
    pub(super) export: u32,
    pub(super) epoch: u64,
    pub(super) seq: u64,
}

/// Keys that several instances answered.
#[derive(Default)]
pub(super) struct Repeats {
    /// Findings, up to [`MAX_LISTED_REPEATS`].
    pub(super) listed: Vec<Finding>,
    /// Repeated keys beyond those listed.
    pub(super) unlisted: u64,
}

/// The keys, spread over files that are gone when this is dropped.
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

    /// Writes keys to the files of their first bytes.
    pub(super) fn spill(&self, keys: Vec<SpilledKey>) -> io::Result<()> {
        for spilled in keys {
            let bytes =
                postcard::to_stdvec(&spilled).expect("a plain struct can always be encoded");
            let mut file = self.0[usize::from(spilled.key[0])]
                .lock()
                .expect("no thread panics with it");
            file.write_all(&[bytes.len() as u8])?;
            file.write_all(&bytes)?;
        }
        Ok(())
    }

    /// Keys with entries of several instances, among the exports that are whole. `instances` names the instance of
    /// each export.
    pub(super) fn repeats(self, whole: &BTreeSet<u32>, instances: &[&str]) -> io::Result<Repeats> {
        let mut repeats = Repeats::default();
        for bucket in self.0 {
            let writer = bucket.into_inner().expect("no thread panics with it");
            let mut keys = read_keys(writer.into_inner()?, whole)?;
            keys.sort_by_key(|spilled| (spilled.key, spilled.export, spilled.epoch, spilled.seq));
            for same_key in keys.chunk_by(|a, b| a.key == b.key) {
                add_if_repeated(&mut repeats, same_key, instances);
            }
        }
        Ok(repeats)
    }
}

fn read_keys(mut file: File, whole: &BTreeSet<u32>) -> io::Result<Vec<SpilledKey>> {
    file.rewind()?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let mut keys = Vec::new();
    let mut rest = &bytes[..];
    while let Some((length, after_length)) = rest.split_first() {
        let length = usize::from(*length).min(after_length.len());
        let (encoded, after_key) = after_length.split_at(length);
        if let Ok(spilled) = postcard::from_bytes::<SpilledKey>(encoded) {
            if whole.contains(&spilled.export) {
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
