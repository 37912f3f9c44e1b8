//! Test changes, stores written with them, and the images read back from those stores.

use crate::support::{files_below, journal_of, written_bytes, TestFolder};
use std::fs;
use std::path::Path;
use std::sync::Arc;
use streamusher_controlplane::store::{Store, STORE_FOLDER};
use streamusher_coordination::{
    DiskChange, DiskId, DiskImage, LogPosition, StateMap, WitnessState,
};
use streamusher_protocol::store::Write;

/// Larger than fjall's write buffer, so that a batch is written in several steps.
pub(crate) const LARGE_VALUE: usize = 20_000;

pub(crate) fn witness(starts: u64) -> WitnessState {
    WitnessState {
        id: DiskId(7),
        starts,
        ..Default::default()
    }
}

pub(crate) fn change(sequence: u64, writes: Vec<Write>) -> DiskChange {
    DiskChange {
        witness: Some(witness(sequence)),
        position: Some(LogPosition { epoch: 1, sequence }),
        writes,
        replace_all: false,
    }
}

pub(crate) fn numbered_change(sequence: u64, value_bytes: usize) -> DiskChange {
    let value = format!("\"{sequence}{}\"", "x".repeat(value_bytes));
    let writes = vec![
        Write::set(format!("job/{sequence}"), value.as_str()),
        Write::set("last", value.as_str()),
        Write::set(format!("task/{sequence}"), value.as_str()),
    ];
    change(sequence, writes)
}

pub(crate) fn reopen(data_dir: &Path) -> DiskImage {
    let (store, image) = Store::open(data_dir).unwrap();
    drop(store);
    image
}

pub(crate) fn is_same(left: &DiskImage, right: &DiskImage) -> bool {
    left.witness == right.witness && left.position == right.position && left.state == right.state
}

pub(crate) fn state(pairs: &[(&str, &str)]) -> StateMap {
    pairs
        .iter()
        .map(|(key, value)| (Arc::from(*key), Arc::from(*value)))
        .collect()
}

/// Creates a store and closes it after `changes`.
pub(crate) fn store_with(changes: &[DiskChange]) -> TestFolder {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for change in changes {
        store.apply(change).unwrap();
    }
    folder
}

/// The journal's length before and its bytes after a last change, and the images read from the store at both
/// times.
pub(crate) struct LastChange {
    pub(crate) folder: TestFolder,
    pub(crate) before: DiskImage,
    pub(crate) after: DiskImage,
    pub(crate) synced: usize,
    pub(crate) journal: Vec<u8>,
}

pub(crate) fn store_with_last_change(value_bytes: usize) -> LastChange {
    let folder = store_with(&[numbered_change(1, 10), numbered_change(2, value_bytes)]);
    let before = reopen(folder.path());
    let synced = written_bytes(&journal_of(folder.path())).len();
    let (store, _) = Store::open(folder.path()).unwrap();
    store.apply(&numbered_change(3, value_bytes)).unwrap();
    drop(store);
    let after = reopen(folder.path());
    let journal = written_bytes(&journal_of(folder.path()));
    LastChange {
        folder,
        before,
        after,
        synced,
        journal,
    }
}

impl LastChange {
    /// Returns the image read from a copy of the store whose journal contains `bytes`.
    pub(crate) fn reopen_with_journal(&self, bytes: &[u8]) -> DiskImage {
        let copy = TestFolder::copy_of(self.folder.path());
        fs::write(journal_of(copy.path()), bytes).unwrap();
        let image = reopen(copy.path());
        let again = reopen(copy.path());
        assert!(
            is_same(&image, &again),
            "the second open returns a different image"
        );
        image
    }
}

pub(crate) fn set_format(data_dir: &Path, format: u32) {
    let database = fjall::Database::builder(data_dir.join(STORE_FOLDER))
        .open()
        .unwrap();
    let keyspace = database.keyspace("control", Default::default).unwrap();
    keyspace.insert("m/format", format.to_string()).unwrap();
    database.persist(fjall::PersistMode::SyncAll).unwrap();
}

pub(crate) fn bytes_below(folder: &Path) -> u64 {
    files_below(folder)
        .iter()
        .map(|file| fs::metadata(file).unwrap().len())
        .sum()
}
