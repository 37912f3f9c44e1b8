//! The command `show-disk`: its output, the folders it rejects, and that it changes nothing.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use streamusher_controlplane::show_disk::{show, ShowDiskError};
use streamusher_controlplane::store::{Store, StoreError, FORMAT, STORE_FOLDER};
use streamusher_coordination::{DiskChange, DiskId, EpochRecord, LogPosition, WitnessState};
use streamusher_protocol::store::Write;
use support::{files_below, journal_of, written_bytes, TestFolder};

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamusher-control");

fn folder_with_store() -> TestFolder {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    let decided = EpochRecord {
        epoch: 7,
        term: 6,
        primary: Some(DiskId(0xab)),
        ..Default::default()
    };
    let witness = WitnessState {
        id: DiskId(0xab),
        starts: 3,
        decided: decided.into(),
        ..Default::default()
    };
    let writes = ["job/1", "job/2", "config/current"]
        .map(|key| Write::set(key, "{}"))
        .to_vec();
    let position = Some(LogPosition {
        epoch: 6,
        sequence: 41,
    });
    store
        .apply(&DiskChange {
            witness: Some(witness),
            position,
            writes,
            replace_all: false,
        })
        .unwrap();
    folder
}

fn contents(folder: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    files_below(folder)
        .into_iter()
        .map(|file| (file.clone(), fs::read(file).unwrap()))
        .collect()
}

fn run(folder: &Path) -> Output {
    Command::new(PROGRAM)
        .arg("show-disk")
        .arg(folder)
        .output()
        .unwrap()
}

#[test]
fn store_is_shown_and_no_byte_is_changed() {
    let folder = folder_with_store();
    let before = contents(folder.path());

    let output = run(folder.path());

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    for part in [
        "format 1",
        "00000000000000ab",
        "7, primary",
        "since epoch 6",
        "epoch 6, batch 41",
        "job/",
        "2 keys",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(contents(folder.path()) == before);
}

#[test]
fn store_in_use_is_rejected() {
    let folder = folder_with_store();
    let (store, _) = Store::open(folder.path()).unwrap();

    let error = show(folder.path()).unwrap_err();
    drop(store);

    assert!(matches!(error, ShowDiskError::InUse(_)), "{error}");
    assert!(show(folder.path()).is_ok());
}

#[test]
fn missing_store_is_reported_and_not_created() {
    let folder = TestFolder::new();

    let output = run(folder.path());

    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("data_dir"),
        "{output:?}"
    );
    assert!(contents(folder.path()).is_empty());
}

#[test]
fn torn_journal_is_shown_without_its_last_batch_and_not_repaired() {
    let folder = folder_with_store();
    let journal = journal_of(folder.path());
    let whole = written_bytes(&journal);
    fs::write(&journal, &whole[..whole.len() - 5]).unwrap();
    let before = contents(folder.path());

    let text = show(folder.path()).unwrap();

    assert!(
        text.contains("disk") && text.contains("epoch 0, batch 0"),
        "{text}"
    );
    assert!(contents(folder.path()) == before);
}

#[test]
fn damaged_store_is_reported_with_exit_code_1() {
    let folder = folder_with_store();
    fs::remove_file(journal_of(folder.path())).unwrap();

    let output = run(folder.path());

    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(
        text.contains("damaged") && text.contains(folder.path().to_str().unwrap()),
        "{text}"
    );
}

#[test]
fn newer_format_is_reported() {
    let folder = folder_with_store();
    let database = fjall::Database::builder(folder.path().join(STORE_FOLDER))
        .open()
        .unwrap();
    let keyspace = database.keyspace("control", Default::default).unwrap();
    keyspace
        .insert("m/format", (FORMAT + 1).to_string())
        .unwrap();
    database.persist(fjall::PersistMode::SyncAll).unwrap();
    drop(keyspace);
    drop(database);

    let error = show(folder.path()).unwrap_err();

    assert!(
        matches!(
            error,
            ShowDiskError::Store(StoreError::NewerFormat { found: 2, .. })
        ),
        "{error}"
    );
}
