//! The content of a store after changes.

use crate::fixture::{
    change, is_same, numbered_change, reopen, set_format, state, store_with, witness,
};
use crate::support::TestFolder;
use streamusher_controlplane::store::{Store, StoreError, FORMAT};
use streamusher_coordination::{DiskChange, DiskImage, LogPosition};
use streamusher_protocol::store::Write;

#[test]
fn empty_disk_has_no_witness_and_no_state() {
    let folder = TestFolder::new();

    let image = reopen(folder.path());

    assert!(is_same(&image, &DiskImage::default()));
}

#[test]
fn reopened_store_has_newest_value_of_each_key() {
    let first = change(1, vec![Write::set("a", "1"), Write::set("b", "2")]);
    let second = change(
        2,
        vec![
            Write::set("a", "3"),
            Write::remove("b"),
            Write::set("c", "4"),
        ],
    );

    let folder = store_with(&[first, second]);

    let image = reopen(folder.path());
    assert_eq!(image.witness, Some(witness(2)));
    assert_eq!(
        image.position,
        LogPosition {
            epoch: 1,
            sequence: 2
        }
    );
    assert_eq!(image.state, state(&[("a", "3"), ("c", "4")]));
}

#[test]
fn last_write_of_a_key_in_one_change_wins() {
    let folder = store_with(&[change(
        1,
        vec![
            Write::set("a", "1"),
            Write::remove("a"),
            Write::set("a", "2"),
        ],
    )]);

    assert_eq!(reopen(folder.path()).state, state(&[("a", "2")]));
}

#[test]
fn replacing_the_state_keeps_the_witness() {
    let replacement = DiskChange {
        witness: None,
        position: Some(LogPosition {
            epoch: 5,
            sequence: 9,
        }),
        writes: vec![Write::set("b", "new")],
        replace_all: true,
    };

    let folder = store_with(&[
        change(1, vec![Write::set("a", "old"), Write::set("b", "old")]),
        replacement,
    ]);

    let image = reopen(folder.path());
    assert_eq!(image.witness, Some(witness(1)));
    assert_eq!(
        image.position,
        LogPosition {
            epoch: 5,
            sequence: 9
        }
    );
    assert_eq!(image.state, state(&[("b", "new")]));
}

#[test]
fn newer_format_is_rejected_and_left_unchanged() {
    let folder = store_with(&[numbered_change(1, 10)]);
    set_format(folder.path(), FORMAT + 1);

    let error = Store::open_at_startup(folder.path()).err().unwrap();

    assert!(
        matches!(error, StoreError::NewerFormat { found, known, .. } if found == FORMAT + 1 && known == FORMAT)
    );
    set_format(folder.path(), FORMAT);
    assert_eq!(reopen(folder.path()).position.sequence, 1);
}
