//! The store on disk: what is synced stays, what is torn is dropped as a whole, what is damaged is told.

mod support;

use rstest::rstest;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use streamusher_controlplane::store::{
    Store, StoreError, DISCARDED_FOLDER, FORMAT, FORMER_FOLDER, REPLACEMENT_FOLDER, STORE_FOLDER,
};
use streamusher_coordination::{
    DiskChange, DiskId, DiskImage, LogPosition, StateMap, WitnessState,
};
use streamusher_protocol::store::Write;
use support::{files_below, journal_of, without_reserve, TestFolder};

/// Larger than fjall's buffer, so that a batch is written in several steps.
const LARGE_VALUE: usize = 20_000;

fn witness(starts: u64) -> WitnessState {
    WitnessState {
        id: DiskId(7),
        starts,
        ..Default::default()
    }
}

fn change(sequence: u64, writes: Vec<Write>) -> DiskChange {
    DiskChange {
        witness: Some(witness(sequence)),
        position: Some(LogPosition { epoch: 1, sequence }),
        writes,
        replace_all: false,
    }
}

fn numbered(sequence: u64, value_bytes: usize) -> DiskChange {
    let value = format!("\"{sequence}{}\"", "x".repeat(value_bytes));
    let writes = vec![
        Write::set(format!("job/{sequence}"), value.as_str()),
        Write::set("last", value.as_str()),
        Write::set(format!("task/{sequence}"), value.as_str()),
    ];
    change(sequence, writes)
}

fn read(data_dir: &Path) -> DiskImage {
    let (store, image) = Store::open(data_dir).unwrap();
    drop(store);
    image
}

fn same(left: &DiskImage, right: &DiskImage) -> bool {
    left.witness == right.witness && left.position == right.position && left.state == right.state
}

fn state(pairs: &[(&str, &str)]) -> StateMap {
    pairs
        .iter()
        .map(|(key, value)| (Arc::from(*key), Arc::from(*value)))
        .collect()
}

/// A store that was closed after `changes`.
fn written(changes: &[DiskChange]) -> TestFolder {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for change in changes {
        store.apply(change).unwrap();
    }
    folder
}

#[test]
fn given_an_empty_disk_when_opened_then_there_is_no_witness_and_no_state() {
    let folder = TestFolder::new();

    let image = read(folder.path());

    assert!(same(&image, &DiskImage::default()));
}

#[test]
fn given_changes_when_opened_anew_then_the_newest_of_each_key_is_there() {
    let first = change(1, vec![Write::set("a", "1"), Write::set("b", "2")]);
    let second = change(
        2,
        vec![
            Write::set("a", "3"),
            Write::remove("b"),
            Write::set("c", "4"),
        ],
    );

    let folder = written(&[first, second]);

    let image = read(folder.path());
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
fn given_a_key_written_twice_in_one_change_then_the_later_write_counts() {
    let folder = written(&[change(
        1,
        vec![
            Write::set("a", "1"),
            Write::remove("a"),
            Write::set("a", "2"),
        ],
    )]);

    assert_eq!(read(folder.path()).state, state(&[("a", "2")]));
}

#[test]
fn given_a_state_when_all_is_replaced_then_nothing_of_it_is_left_and_the_witness_stays() {
    let whole = DiskChange {
        witness: None,
        position: Some(LogPosition {
            epoch: 5,
            sequence: 9,
        }),
        writes: vec![Write::set("b", "new")],
        replace_all: true,
    };

    let folder = written(&[
        change(1, vec![Write::set("a", "old"), Write::set("b", "old")]),
        whole,
    ]);

    let image = read(folder.path());
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
fn given_the_writer_still_at_work_when_power_is_lost_then_every_synced_change_is_there() {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for sequence in 1..=20 {
        store.apply(&numbered(sequence, 100)).unwrap();
        let after_loss = TestFolder::copy_of(folder.path());

        let image = read(after_loss.path());

        assert_eq!(image.position.sequence, sequence);
        assert_eq!(image.state.len() as u64, 2 * sequence + 1);
    }
}

/// Journal bytes before and after a last change, and the images that go with them.
struct LastChange {
    folder: TestFolder,
    before: DiskImage,
    after: DiskImage,
    synced: usize,
    journal: Vec<u8>,
}

fn last_change(value_bytes: usize) -> LastChange {
    let folder = written(&[numbered(1, 10), numbered(2, value_bytes)]);
    let before = read(folder.path());
    let synced = without_reserve(&journal_of(folder.path())).len();
    let (store, _) = Store::open(folder.path()).unwrap();
    store.apply(&numbered(3, value_bytes)).unwrap();
    drop(store);
    let after = read(folder.path());
    let journal = without_reserve(&journal_of(folder.path()));
    LastChange {
        folder,
        before,
        after,
        synced,
        journal,
    }
}

impl LastChange {
    /// What is read where the journal holds `bytes`.
    fn with_journal(&self, bytes: &[u8]) -> DiskImage {
        let copy = TestFolder::copy_of(self.folder.path());
        fs::write(journal_of(copy.path()), bytes).unwrap();
        let image = read(copy.path());
        let again = read(copy.path());
        assert!(same(&image, &again), "a second start finds something else");
        image
    }
}

#[rstest]
#[case::one_step(60, 7)]
#[case::several_steps(LARGE_VALUE, 3_001)]
fn given_a_last_change_cut_anywhere_then_it_is_dropped_as_a_whole(
    #[case] value_bytes: usize,
    #[case] stride: usize,
) {
    let last = last_change(value_bytes);
    for end in (last.synced..last.journal.len()).step_by(stride) {
        let image = last.with_journal(&last.journal[..end]);

        assert!(
            same(&image, &last.before),
            "cut at {end} of {}",
            last.journal.len()
        );
    }
    assert!(same(&last.with_journal(&last.journal), &last.after));
}

#[rstest]
#[case::one_step(60, 16)]
#[case::several_steps(LARGE_VALUE, 4_096)]
fn given_a_last_change_with_a_missing_part_then_it_is_dropped_as_a_whole(
    #[case] value_bytes: usize,
    #[case] hole: usize,
) {
    let last = last_change(value_bytes);
    for start in (last.synced..last.journal.len()).step_by(hole) {
        let mut bytes = last.journal.clone();
        let end = (start + hole).min(bytes.len());
        bytes[start..end].fill(0);

        let image = last.with_journal(&bytes);

        assert!(
            same(&image, &last.before),
            "hole at {start} of {}",
            last.journal.len()
        );
    }
}

#[test]
fn given_a_torn_change_when_changes_follow_then_they_are_kept() {
    let last = last_change(LARGE_VALUE);
    let mut bytes = last.journal.clone();
    let middle = (last.synced + bytes.len()) / 2;
    bytes[middle..middle + 4_096].fill(0);
    fs::write(journal_of(last.folder.path()), &bytes).unwrap();
    let (store, _) = Store::open(last.folder.path()).unwrap();
    store.apply(&numbered(4, 50)).unwrap();
    drop(store);

    let image = read(last.folder.path());

    assert_eq!(image.position.sequence, 4);
    assert_eq!(image.state.len(), last.before.state.len() + 2);
}

#[test]
fn given_more_than_memory_keeps_when_power_is_lost_at_any_change_then_the_state_is_whole() {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for sequence in 1..=60 {
        store.apply(&numbered(sequence, 50_000)).unwrap();
        if sequence % 10 == 0 {
            let after_loss = TestFolder::copy_of(folder.path());

            let image = read(after_loss.path());

            assert_eq!(image.position.sequence, sequence);
            assert_eq!(image.state.len() as u64, 2 * sequence + 1);
        }
    }
}

#[test]
fn given_an_earlier_change_damaged_when_opened_then_the_store_is_refused_by_name() {
    let folder = written(&[numbered(1, 500), numbered(2, 500), numbered(3, 500)]);
    let journal = journal_of(folder.path());
    let mut bytes = without_reserve(&journal);
    let inside_first = bytes
        .windows(10)
        .position(|window| window == b"xxxxxxxxxx")
        .unwrap();
    bytes[inside_first] = b'y';
    fs::write(&journal, bytes).unwrap();

    let refused = Store::open(folder.path()).err().unwrap();

    assert!(matches!(refused, StoreError::Damaged { .. }), "{refused}");
    assert!(refused.to_string().contains(STORE_FOLDER), "{refused}");
}

#[test]
fn given_a_store_without_its_journal_when_opened_then_it_is_refused() {
    let folder = written(&[numbered(1, 10)]);
    fs::remove_file(journal_of(folder.path())).unwrap();

    let refused = Store::open(folder.path()).err().unwrap();

    assert!(matches!(refused, StoreError::Damaged { .. }), "{refused}");
}

#[test]
fn given_a_damaged_store_when_the_process_starts_then_it_starts_empty_and_stays_so() {
    let folder = written(&[numbered(1, 10)]);
    fs::remove_file(journal_of(folder.path())).unwrap();

    let (store, image) = Store::open_at_startup(folder.path()).unwrap();
    drop(store);

    assert!(same(&image, &DiskImage::default()));
    assert!(same(&read(folder.path()), &DiskImage::default()));
    assert!(!folder.path().join(DISCARDED_FOLDER).exists());
}

#[test]
fn given_any_file_missing_when_the_process_starts_then_it_has_all_or_nothing() {
    let folder = TestFolder::new();
    let (store, _) = Store::open(folder.path()).unwrap();
    for sequence in 1..=50 {
        store.apply(&numbered(sequence, 50_000)).unwrap();
    }
    drop(store);
    let whole = read(folder.path());
    let files = files_below(folder.path());
    for file in &files {
        let copy = TestFolder::copy_of(folder.path());
        let relative = file.strip_prefix(folder.path()).unwrap();
        fs::remove_file(copy.path().join(relative)).unwrap();

        let (store, image) = Store::open_at_startup(copy.path()).unwrap();
        drop(store);

        let is_all = same(&image, &whole);
        let is_nothing = same(&image, &DiskImage::default());
        assert!(
            is_all || is_nothing,
            "without {}: {:?}",
            relative.display(),
            image.position
        );
    }
}

#[test]
fn given_a_store_that_was_being_made_when_power_was_lost_then_it_is_made_anew() {
    let folder = TestFolder::new();
    drop(Store::open(folder.path()).unwrap());
    fs::remove_file(folder.path().join(STORE_FOLDER).join("version")).unwrap();

    assert!(same(&read(folder.path()), &DiskImage::default()));
}

#[test]
fn given_a_discarded_store_half_removed_when_opened_then_its_rest_is_gone() {
    let folder = written(&[numbered(1, 10)]);
    fs::rename(
        folder.path().join(STORE_FOLDER),
        folder.path().join(DISCARDED_FOLDER),
    )
    .unwrap();

    assert!(same(&read(folder.path()), &DiskImage::default()));
    assert!(!folder.path().join(DISCARDED_FOLDER).exists());
}

#[test]
fn given_a_newer_format_when_the_process_starts_then_it_refuses_and_changes_nothing() {
    let folder = written(&[numbered(1, 10)]);
    set_format(folder.path(), FORMAT + 1);

    let refused = Store::open_at_startup(folder.path()).err().unwrap();

    assert!(
        matches!(refused, StoreError::NewerFormat { found, known, .. } if found == FORMAT + 1 && known == FORMAT)
    );
    set_format(folder.path(), FORMAT);
    assert_eq!(read(folder.path()).position.sequence, 1);
}

fn set_format(data_dir: &Path, format: u32) {
    let database = fjall::Database::builder(data_dir.join(STORE_FOLDER))
        .open()
        .unwrap();
    let keyspace = database.keyspace("control", Default::default).unwrap();
    keyspace.insert("m/format", format.to_string()).unwrap();
    database.persist(fjall::PersistMode::SyncAll).unwrap();
}

#[test]
fn given_a_disk_that_refuses_when_opened_then_the_store_is_not_called_damaged() {
    let folder = TestFolder::new();
    let file = folder.path().join("file");
    fs::write(&file, "not a folder").unwrap();

    let refused = Store::open(&file).err().unwrap();

    assert!(
        matches!(refused, StoreError::Unavailable { .. }),
        "{refused}"
    );
}

#[test]
fn given_a_store_when_it_is_rebuilt_then_it_holds_the_same_in_less_room() {
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

    let image = read(folder.path());
    assert_eq!((image.state.len(), image.position.sequence), (2, 41));
    assert_eq!(image.witness, Some(witness(41)));
    let after = bytes_below(folder.path());
    assert!(after < before / 5, "{after} of {before} bytes");
}

#[test]
fn given_more_journal_than_is_read_quickly_when_opened_then_it_is_made_smaller() {
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

    let image = read(folder.path());

    assert_eq!(image.position.sequence, 100);
    assert!(bytes_below(folder.path()) < before / 5);
    assert!(same(&read(folder.path()), &image));
}

#[test]
fn given_a_new_store_then_it_reserves_no_room() {
    let folder = written(&[numbered(1, 10)]);

    assert!(bytes_below(folder.path()) < 100_000);
}

fn bytes_below(folder: &Path) -> u64 {
    files_below(folder)
        .iter()
        .map(|file| fs::metadata(file).unwrap().len())
        .sum()
}

#[rstest]
#[case::next_not_complete(&[(1, STORE_FOLDER), (2, REPLACEMENT_FOLDER)], 1)]
#[case::first_name_moved(&[(1, FORMER_FOLDER), (2, REPLACEMENT_FOLDER)], 1)]
#[case::both_names_moved(&[(1, FORMER_FOLDER), (2, STORE_FOLDER)], 2)]
#[case::only_the_former_left(&[(1, FORMER_FOLDER)], 1)]
fn given_a_replacement_cut_short_when_opened_then_exactly_one_store_counts(
    #[case] stores: &[(u64, &str)],
    #[case] counts: u64,
) {
    let folder = TestFolder::new();
    for (sequence, name) in stores {
        let made = written(&[numbered(*sequence, 10)]);
        fs::rename(made.path().join(STORE_FOLDER), folder.path().join(name)).unwrap();
    }

    let image = read(folder.path());

    assert_eq!(image.position.sequence, counts);
    assert!(!folder.path().join(REPLACEMENT_FOLDER).exists());
    assert!(!folder.path().join(FORMER_FOLDER).exists());
}
