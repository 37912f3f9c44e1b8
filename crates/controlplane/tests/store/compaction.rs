//! Compaction, and interrupted compactions.

use crate::fixture::{bytes_below, change, is_same, numbered_change, reopen, store_with, witness};
use crate::support::TestFolder;
use rstest::rstest;
use std::fs;
use streamusher_controlplane::store::{Store, FORMER_FOLDER, REPLACEMENT_FOLDER, STORE_FOLDER};
use streamusher_protocol::store::Write;

#[test]
fn compacted_store_has_same_content_in_less_space() {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for sequence in 1..=40 {
        store
            .apply(&change(sequence, vec![Write::set("a", "x".repeat(20_000))]))
            .unwrap();
    }
    let before = bytes_below(folder.path());

    let store = store.compact(folder.path()).unwrap();
    store
        .apply(&change(41, vec![Write::set("b", "1")]))
        .unwrap();
    drop(store);

    let image = reopen(folder.path());
    assert_eq!((image.state.len(), image.position.sequence), (2, 41));
    assert_eq!(image.witness, Some(witness(41)));
    let after = bytes_below(folder.path());
    assert!(after < before / 5, "{after} of {before} bytes");
}

#[test]
fn long_journal_is_compacted_at_open() {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for sequence in 1..=100 {
        store
            .apply(&change(
                sequence,
                vec![Write::set("a", "x".repeat(100_000))],
            ))
            .unwrap();
    }
    drop(store);
    let before = bytes_below(folder.path());

    let image = reopen(folder.path());

    assert_eq!(image.position.sequence, 100);
    assert!(bytes_below(folder.path()) < before / 5);
    assert!(is_same(&reopen(folder.path()), &image));
}

#[test]
fn new_store_reserves_no_space() {
    let folder = store_with(&[numbered_change(1, 10)]);

    assert!(bytes_below(folder.path()) < 100_000);
}

#[rstest]
#[case::replacement_incomplete(&[(1, STORE_FOLDER), (2, REPLACEMENT_FOLDER)], 1)]
#[case::store_moved_away(&[(1, FORMER_FOLDER), (2, REPLACEMENT_FOLDER)], 1)]
#[case::replacement_moved_in(&[(1, FORMER_FOLDER), (2, STORE_FOLDER)], 2)]
#[case::only_former_store_left(&[(1, FORMER_FOLDER)], 1)]
fn interrupted_replacement_leaves_exactly_one_store(
    #[case] stores: &[(u64, &str)],
    #[case] expected_sequence: u64,
) {
    let folder = TestFolder::new();
    for (sequence, name) in stores {
        let made = store_with(&[numbered_change(*sequence, 10)]);
        fs::rename(made.path().join(STORE_FOLDER), folder.path().join(name)).unwrap();
    }

    let image = reopen(folder.path());

    assert_eq!(image.position.sequence, expected_sequence);
    assert!(!folder.path().join(REPLACEMENT_FOLDER).exists());
    assert!(!folder.path().join(FORMER_FOLDER).exists());
}
