//! Stores with missing or damaged files.

use crate::fixture::{is_same, numbered_change, reopen, store_with};
use crate::support::{files_below, journal_of, written_bytes, TestFolder};
use std::fs;
use streamusher_controlplane::store::{Store, StoreError, DISCARDED_FOLDER, STORE_FOLDER};
use streamusher_coordination::DiskImage;

#[test]
fn damaged_earlier_change_makes_store_damaged() {
    let folder = store_with(&[
        numbered_change(1, 500),
        numbered_change(2, 500),
        numbered_change(3, 500),
    ]);
    let journal = journal_of(folder.path());
    let mut bytes = written_bytes(&journal);
    let inside_first = bytes
        .windows(10)
        .position(|window| window == b"xxxxxxxxxx")
        .unwrap();
    bytes[inside_first] = b'y';
    fs::write(&journal, bytes).unwrap();

    let error = Store::open(folder.path()).err().unwrap();

    assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
    assert!(error.to_string().contains(STORE_FOLDER), "{error}");
}

#[test]
fn missing_journal_makes_store_damaged() {
    let folder = store_with(&[numbered_change(1, 10)]);
    fs::remove_file(journal_of(folder.path())).unwrap();

    let error = Store::open(folder.path()).err().unwrap();

    assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
}

#[test]
fn damaged_store_is_emptied_at_startup() {
    let folder = store_with(&[numbered_change(1, 10)]);
    fs::remove_file(journal_of(folder.path())).unwrap();

    let (store, image) = Store::open_at_startup(folder.path()).unwrap();
    drop(store);

    assert!(is_same(&image, &DiskImage::default()));
    assert!(is_same(&reopen(folder.path()), &DiskImage::default()));
    assert!(!folder.path().join(DISCARDED_FOLDER).exists());
}

#[test]
fn store_with_any_file_missing_opens_with_full_content_or_empty() {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for sequence in 1..=50 {
        store.apply(&numbered_change(sequence, 50_000)).unwrap();
    }
    drop(store);
    let full_image = reopen(folder.path());
    let files = files_below(folder.path());
    for file in &files {
        let copy = TestFolder::copy_of(folder.path());
        let relative = file.strip_prefix(folder.path()).unwrap();
        fs::remove_file(copy.path().join(relative)).unwrap();

        let (store, image) = Store::open_at_startup(copy.path()).unwrap();
        drop(store);

        let is_full = is_same(&image, &full_image);
        let is_empty = is_same(&image, &DiskImage::default());
        assert!(
            is_full || is_empty,
            "without {}: {:?}",
            relative.display(),
            image.position
        );
    }
}

#[test]
fn failing_disk_operation_makes_store_unavailable() {
    let folder = TestFolder::new();
    let file = folder.path().join("file");
    fs::write(&file, "not a folder").unwrap();

    let error = Store::open(&file).err().unwrap();

    assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
}
