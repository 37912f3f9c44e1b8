//! The content of a store after a power loss.

use crate::fixture::{
    is_same, numbered_change, reopen, store_with, store_with_last_change, LARGE_VALUE,
};
use crate::support::{journal_of, TestFolder};
use rstest::rstest;
use std::fs;
use streamusher_controlplane::store::{Store, DISCARDED_FOLDER, STORE_FOLDER};
use streamusher_coordination::DiskImage;

#[test]
fn every_synced_change_survives_power_loss() {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for sequence in 1..=20 {
        store.apply(&numbered_change(sequence, 100)).unwrap();
        let after_loss = TestFolder::copy_of(folder.path());

        let image = reopen(after_loss.path());

        assert_eq!(image.position.sequence, sequence);
        assert_eq!(image.state.len() as u64, 2 * sequence + 1);
    }
}

#[rstest]
#[case::written_in_one_step(60, 7)]
#[case::written_in_several_steps(LARGE_VALUE, 3_001)]
fn truncated_last_change_is_dropped_as_a_whole(#[case] value_bytes: usize, #[case] stride: usize) {
    let last = store_with_last_change(value_bytes);
    for end in (last.synced..last.journal.len()).step_by(stride) {
        let image = last.reopen_with_journal(&last.journal[..end]);

        assert!(
            is_same(&image, &last.before),
            "cut at {end} of {}",
            last.journal.len()
        );
    }
    assert!(is_same(
        &last.reopen_with_journal(&last.journal),
        &last.after
    ));
}

#[rstest]
#[case::written_in_one_step(60, 16)]
#[case::written_in_several_steps(LARGE_VALUE, 4_096)]
fn last_change_with_missing_part_is_dropped_as_a_whole(
    #[case] value_bytes: usize,
    #[case] hole: usize,
) {
    let last = store_with_last_change(value_bytes);
    for start in (last.synced..last.journal.len()).step_by(hole) {
        let mut bytes = last.journal.clone();
        let end = (start + hole).min(bytes.len());
        bytes[start..end].fill(0);

        let image = last.reopen_with_journal(&bytes);

        assert!(
            is_same(&image, &last.before),
            "hole at {start} of {}",
            last.journal.len()
        );
    }
}

#[test]
fn changes_after_a_torn_one_are_kept() {
    let last = store_with_last_change(LARGE_VALUE);
    let mut bytes = last.journal.clone();
    let middle = usize::midpoint(last.synced, bytes.len());
    bytes[middle..middle + 4_096].fill(0);
    fs::write(journal_of(last.folder.path()), &bytes).unwrap();
    let (store, _) = Store::open(last.folder.path()).unwrap();
    store.apply(&numbered_change(4, 50)).unwrap();
    drop(store);

    let image = reopen(last.folder.path());

    assert_eq!(image.position.sequence, 4);
    assert_eq!(image.state.len(), last.before.state.len() + 2);
}

#[test]
fn state_larger_than_memtable_survives_power_loss_at_any_change() {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for sequence in 1..=60 {
        store.apply(&numbered_change(sequence, 50_000)).unwrap();
        if sequence % 10 == 0 {
            let after_loss = TestFolder::copy_of(folder.path());

            let image = reopen(after_loss.path());

            assert_eq!(image.position.sequence, sequence);
            assert_eq!(image.state.len() as u64, 2 * sequence + 1);
        }
    }
}

#[test]
fn incompletely_created_store_is_recreated() {
    let folder = TestFolder::new();
    drop(Store::open(folder.path()).unwrap());
    fs::remove_file(folder.path().join(STORE_FOLDER).join("version")).unwrap();

    assert!(is_same(&reopen(folder.path()), &DiskImage::default()));
}

#[test]
fn remains_of_discarded_store_are_removed() {
    let folder = store_with(&[numbered_change(1, 10)]);
    fs::rename(
        folder.path().join(STORE_FOLDER),
        folder.path().join(DISCARDED_FOLDER),
    )
    .unwrap();

    assert!(is_same(&reopen(folder.path()), &DiskImage::default()));
    assert!(!folder.path().join(DISCARDED_FOLDER).exists());
}
