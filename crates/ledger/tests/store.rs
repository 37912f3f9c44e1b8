//! Tests of the store and its exports under faults: truncation, flipped bits, interruption, late data and a
//! full disk.

mod common;

use common::*;
use rstest::rstest;
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::Duration;
use streamusher_ledger::correction::{Correction, Subject};
use streamusher_ledger::entry::{key_hash, Answer};
use streamusher_ledger::export::{export, ExportError, Stage};
use streamusher_ledger::period::Period;
use streamusher_ledger::reconcile::Finding;
use streamusher_ledger::scan::{scan, Scanned};
use streamusher_ledger::store::{Settle, Store, StoreError, DATABASE_FILE, VERSION};
use streamusher_ledger::sums::Usage;
use streamusher_ledger::writer::{ClosingRules, Record, Writer, WriterEvent};
use tempfile::tempdir;

fn line(store: &Store, period: Period, tenant: &str, class: &str) -> Usage {
    store
        .sums(period)
        .unwrap()
        .remove(&(tenant.into(), class.into()))
        .unwrap_or_default()
}

fn period(name: &str) -> Period {
    name.parse().unwrap()
}

fn correction(of: Period, time_us: u64, operations: i64, slot_us: i128) -> Correction {
    let (tenant, class) = ("hydrology".into(), "depth-log".into());
    let (author, reason) = ("A. Weir".into(), "ticket 12".into());
    Correction {
        time_us,
        corrected_period: of,
        subject: Subject::Usage,
        tenant,
        class,
        operations,
        slot_us,
        author,
        reason,
    }
}

fn reconcile(dirs: &[&Path]) -> Scanned {
    scan(
        &dirs.iter().map(|d| d.to_path_buf()).collect::<Vec<_>>(),
        3,
        |_| {},
    )
    .unwrap()
}

#[test]
fn entry_survives_its_process_and_stays_in_doubt_until_settled() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    let two = [
        entry(1, DECEMBER, "hydrology", Answer::Served),
        entry(2, DECEMBER, "hydrology", Answer::Served),
    ];
    store.commit(&two, &[], &[]).unwrap();
    store.commit(&[], &[1], &[]).unwrap();
    assert_eq!(
        store.doubts().unwrap(),
        vec![],
        "its answer is in flight in a running dispatcher"
    );
    drop(store);
    let mut store = open(dir.path());
    let doubts = store.doubts().unwrap();
    assert_eq!(doubts.iter().map(|d| d.row.seq).collect::<Vec<_>>(), [2]);
    let hour = period("2026-12-01T00");
    let sums = line(&store, hour, "hydrology", "depth-log");
    assert_eq!(
        (sums.served, sums.doubts, sums.slot_us, sums.doubt_slot_us),
        (1, 1, 300_002, 300_003)
    );
    let bill = doubts[0].settle(Settle::Bill, DECEMBER + 1, "A. Weir", "the client has it");
    assert_eq!(
        store.correct_all(&[bill.clone(), bill]).unwrap(),
        [1, 0],
        "a doubt is settled only once"
    );
    assert_eq!(store.doubts().unwrap(), vec![]);
    let sums = line(&store, hour, "hydrology", "depth-log");
    assert_eq!(
        (sums.billed(), sums.billed_slot_us().unwrap()),
        (2, 600_005)
    );
}

#[test]
fn clock_stepping_back_does_not_reopen_a_closed_period() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    commit_served(&mut store, 1..=10, DECEMBER + HOUR - 5 * SECOND);
    let closed = store
        .close_due(DECEMBER + HOUR + 9 * SECOND, 10 * SECOND)
        .unwrap();
    assert_eq!(closed, vec![], "the lateness allowance has not passed");
    let closed = store
        .close_due(DECEMBER + HOUR + 10 * SECOND, 10 * SECOND)
        .unwrap();
    assert_eq!(
        closed.iter().map(|c| c.period).collect::<Vec<_>>(),
        [period("2026-12-01T00")]
    );
    let sealed = store.sums(period("2026-12-01T00")).unwrap();
    commit_served(&mut store, 11..=15, DECEMBER + 10 * SECOND); // the clock has stepped back by an hour
    assert_eq!(store.sums(period("2026-12-01T00")).unwrap(), sealed);
    let next = store.sums(period("2026-12-01T01")).unwrap();
    assert_eq!(next.values().map(|u| u.served).sum::<u64>(), 5);
    assert_eq!(store.verify(|_| {}).unwrap().entries, 15);
}

#[test]
fn late_correction_does_not_change_a_closed_and_exported_period() {
    let (dir, out) = (tempdir().unwrap(), tempdir().unwrap());
    let mut store = open(dir.path());
    commit_served(&mut store, 1..=10, DECEMBER);
    store.close_due(DECEMBER + 2 * HOUR, 0).unwrap();
    let first = period("2026-12-01T00");
    export(&store, first, out.path(), |_| true).unwrap();
    let before = std::fs::read(out.path().join("n1_2026-12-01T00.ledger.zst")).unwrap();
    let late = correction(first, DECEMBER + 30 * 24 * HOUR, -2, -600_000);
    store.correct(&late).unwrap();
    let sums = store.sums(first).unwrap();
    assert!(sums.values().all(|u| u.corrected == 0), "{sums:?}");
    assert_eq!(
        line(&store, period("2026-12-31T00"), "hydrology", "depth-log").corrected,
        -2
    );
    export(&store, first, out.path(), |_| true).unwrap();
    assert_eq!(
        std::fs::read(out.path().join("n1_2026-12-01T00.ledger.zst")).unwrap(),
        before
    );
    store.close_due(DECEMBER + 32 * 24 * HOUR, 0).unwrap();
    export(&store, period("2026-12-31T00"), out.path(), |_| true).unwrap();
    let all = reconcile(&[out.path()]);
    assert_eq!(all.findings, vec![]);
    let billed: i128 = all
        .merged
        .bill(str::to_string)
        .unwrap()
        .values()
        .map(Usage::billed)
        .sum();
    assert_eq!(billed, 8);
}

#[rstest]
#[case(Stage::Writing)]
#[case(Stage::Written)]
#[case(Stage::Placed)]
#[case(Stage::ManifestWritten)]
fn interrupted_export_is_identical_when_repeated(#[case] stage: Stage) {
    let (dir, cut, whole) = (tempdir().unwrap(), tempdir().unwrap(), tempdir().unwrap());
    let mut store = open(dir.path());
    commit_served(&mut store, 1..=500, DECEMBER);
    let hour = period("2026-12-01T00");
    assert!(matches!(
        export(&store, hour, cut.path(), |_| true),
        Err(ExportError::Open(_))
    ));
    store.close_due(DECEMBER + 2 * HOUR, 0).unwrap();
    let first = export(&store, hour, whole.path(), |_| true)
        .unwrap()
        .unwrap();
    assert_eq!(
        export(&store, hour, cut.path(), |at| at != stage).unwrap(),
        None
    );
    assert!(
        !cut.path().join("n1_2026-12-01T00.json").exists(),
        "a manifest exists only for a complete export"
    );
    assert!(reconcile(&[cut.path()]).merged.is_empty());
    assert_eq!(
        export(&store, hour, cut.path(), |_| true).unwrap(),
        Some(first.clone())
    );
    assert_eq!(
        export(&store, hour, cut.path(), |_| true).unwrap(),
        Some(first)
    );
    for name in ["n1_2026-12-01T00.ledger.zst", "n1_2026-12-01T00.json"] {
        let read = |d: &tempfile::TempDir| std::fs::read(d.path().join(name)).unwrap();
        assert_eq!(read(&cut), read(&whole), "{name}");
    }
    // The same period exported to several folders is counted once.
    let both = reconcile(&[cut.path(), whole.path(), whole.path()]);
    assert_eq!((both.merged.entries(), both.findings), (500, vec![]));
}

#[test]
fn changed_byte_is_detected_and_its_entry_named() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    commit_served(&mut store, 1..=5, DECEMBER);
    store.checkpoint().unwrap();
    drop(store);
    let path = dir.path().join(DATABASE_FILE);
    let mut bytes = std::fs::read(&path).unwrap();
    let id = 4u64.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes(); // ids of hex digits are stored as bytes
    let at = bytes
        .windows(8)
        .position(|w| w == id)
        .expect("the file contains entry 4");
    bytes[at] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    let store = Store::open_for_command(dir.path(), KEY).unwrap();
    let why = store.verify(|_| {}).unwrap_err().to_string();
    assert!(why.contains("damaged: entry 4 of epoch"), "{why}");
    assert!(
        store.sums(period("2026-12-01T00")).is_err(),
        "no total is computed over changed data"
    );
}

/// Flips one bit of each byte of a small ledger file in turn. Guards against a changed byte that alters a
/// total without an error.
#[test]
fn no_changed_byte_alters_a_total_undetected() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    commit_served(&mut store, 1..=6, DECEMBER);
    store
        .commit(
            &[entry(7, DECEMBER, "foundations", Answer::Served)],
            &[],
            &[],
        )
        .unwrap();
    store.close_due(DECEMBER + 2 * HOUR, 0).unwrap();
    commit_served(&mut store, 8..=12, DECEMBER + 3 * HOUR);
    store
        .correct(&correction(
            period("2026-12-01T00"),
            DECEMBER + 3 * HOUR,
            3,
            3,
        ))
        .unwrap();
    store.checkpoint().unwrap();
    drop(store);
    let path = dir.path().join(DATABASE_FILE);
    let whole = std::fs::read(&path).unwrap();
    let count = || -> Result<Vec<_>, String> {
        let store = Store::open_for_command(dir.path(), KEY).map_err(|e| e.to_string())?;
        let periods = store.periods().map_err(|e| e.to_string())?;
        let sums = periods
            .into_iter()
            .map(|p| Ok((p, store.sums(p)?, store.verify(|_| {})?)));
        sums.collect::<Result<Vec<_>, StoreError>>()
            .map_err(|e| e.to_string())
    };
    let right = count().unwrap();
    let (mut detected, mut harmless) = (0, 0);
    // Pages are mostly empty. Of the bytes that are zero, only every 31st is changed.
    for at in (0..whole.len()).filter(|at| whole[*at] != 0 || at % 31 == 0) {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << (at % 8);
        std::fs::write(&path, &bytes).unwrap();
        match count() {
            Ok(sums) => {
                assert_eq!(sums, right, "byte {at}");
                harmless += 1;
            }
            Err(why) => {
                assert!(!why.contains('\n'), "{why}");
                detected += 1;
            }
        }
    }
    assert!(
        detected > harmless / 10,
        "{detected} changes were detected, {harmless} had no effect"
    );
}

#[test]
fn damaged_write_ahead_log_is_rejected_instead_of_losing_commits() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    for n in 0..5 {
        commit_served(&mut store, n * 10 + 1..=n * 10 + 10, DECEMBER);
    }
    // The state after a crash: the write-ahead log holds commits that the database file does not.
    let left = tempdir().unwrap();
    for name in [DATABASE_FILE, "ledger.db-wal"] {
        std::fs::copy(dir.path().join(name), left.path().join(name)).unwrap();
    }
    let log = left.path().join("ledger.db-wal");
    let bytes = std::fs::read(&log).unwrap();
    let opened = |bytes: &[u8]| {
        std::fs::write(&log, bytes).unwrap();
        let _ = std::fs::remove_file(left.path().join("ledger.db-shm"));
        let store =
            Store::open(&options(left.path(), "n1"), DECEMBER).map_err(|e| e.to_string())?;
        let sums = store
            .sums(period("2026-12-01T00"))
            .map_err(|e| e.to_string())?;
        Ok::<u64, String>(sums.values().map(|u| u.entries()).sum())
    };
    let mut middle = bytes.clone();
    middle[bytes.len() / 2] ^= 1;
    let why = opened(&middle).unwrap_err();
    assert!(
        why.contains("the write-ahead log is damaged") && why.contains("would be lost"),
        "{why}"
    );
    // Opening it for a command must fail too: closing the database would checkpoint the readable part of the
    // log, and the rest would be lost.
    let why = Store::open_for_command(left.path(), KEY)
        .err()
        .expect("an error")
        .to_string();
    assert!(
        why.contains("would be lost") && std::fs::read(&log).unwrap() == middle,
        "{why}"
    );
    // A commit that is truncated by a crash was never acknowledged.
    assert_eq!(opened(&bytes[..bytes.len() - 100]), Ok(40));
}

#[test]
fn crash_during_a_checkpoint_is_recovered() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    (0..20).for_each(|n| commit_served(&mut store, n * 100 + 1..=n * 100 + 100, DECEMBER));
    let log = std::fs::read(dir.path().join("ledger.db-wal")).unwrap();
    store.checkpoint().unwrap();
    let whole = std::fs::read(dir.path().join(DATABASE_FILE)).unwrap();
    // A checkpoint writes the file header first, so the file is temporarily shorter than its header says.
    let left = tempdir().unwrap();
    std::fs::write(
        left.path().join(DATABASE_FILE),
        &whole[..whole.len() / 2 / 4_096 * 4_096],
    )
    .unwrap();
    std::fs::write(left.path().join("ledger.db-wal"), log).unwrap();
    let sums = Store::open_for_command(left.path(), KEY)
        .unwrap()
        .sums(period("2026-12-01T00"))
        .unwrap();
    assert_eq!(sums.values().map(Usage::entries).sum::<u64>(), 2_000);
    assert_eq!(open(left.path()).verify(|_| {}).unwrap().entries, 2_000);
    // Without its write-ahead log the same file counts as truncated.
    std::fs::write(
        left.path().join(DATABASE_FILE),
        &whole[..whole.len() / 2 / 4_096 * 4_096],
    )
    .unwrap();
    std::fs::remove_file(left.path().join("ledger.db-wal")).ok();
    assert!(Store::open_for_command(left.path(), KEY).is_err());
}

#[test]
fn changed_correction_or_wrong_key_is_detected() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    commit_served(&mut store, 1..=5, DECEMBER);
    store
        .correct(&correction(period("2026-12-01T00"), DECEMBER, 3, 3))
        .unwrap();
    store.close_due(DECEMBER + 2 * HOUR, 0).unwrap();
    let checked = store.verify(|_| {}).unwrap();
    assert_eq!(
        (checked.entries, checked.corrections, checked.seals),
        (5, 1, 1)
    );
    let other = Store::open_for_command(dir.path(), [8; 32]).unwrap();
    assert!(!other.has_key().unwrap());
    let why = other.verify(|_| {}).unwrap_err().to_string();
    assert!(
        why.contains("correction 1 is not what was written"),
        "{why}"
    );
    drop(other);
    drop(store);
    let path = dir.path().join(DATABASE_FILE);
    let mut bytes = std::fs::read(&path).unwrap();
    let at = bytes
        .windows(9)
        .position(|w| w == b"ticket 12")
        .expect("the file contains the reason");
    bytes[at + 8] = b'3';
    std::fs::write(&path, bytes).unwrap();
    let why = Store::open_for_command(dir.path(), KEY)
        .unwrap()
        .verify(|_| {})
        .unwrap_err()
        .to_string();
    assert!(why.contains("correction 1"), "{why}");
}

#[test]
fn unusable_store_is_rejected_with_a_single_line_message() {
    let dir = tempdir().unwrap();
    let error_text = |e: Result<Store, StoreError>| e.err().expect("an error").to_string();
    let missing = error_text(Store::open_for_command(dir.path(), KEY));
    assert!(missing.ends_with("there is no ledger here"), "{missing}");
    let mut store = open(dir.path());
    let second = error_text(Store::open(&options(dir.path(), "n1"), DECEMBER));
    assert!(
        second.ends_with("another process writes to this ledger"),
        "{second}"
    );
    commit_served(&mut store, 1..=2_000, DECEMBER);
    store.checkpoint().unwrap();
    drop(store);
    let other = error_text(Store::open(&options(dir.path(), "n2"), DECEMBER));
    assert!(other.contains("made for instance n1, not n2"), "{other}");
    let path = dir.path().join(DATABASE_FILE);
    let whole = std::fs::read(&path).unwrap();
    for (bytes, what) in [
        (whole[..whole.len() / 2].to_vec(), "damaged: the file has"),
        (whole[..50].to_vec(), "damaged: the file has 50 bytes"),
        (vec![b'x'; 5_000], "damaged: not a database"),
    ] {
        std::fs::write(&path, bytes).unwrap();
        let why = error_text(Store::open(&options(dir.path(), "n1"), DECEMBER));
        assert!(why.contains(what) && !why.contains('\n'), "{why}");
    }
    let mut newer = whole.clone();
    newer[60..64].copy_from_slice(&(VERSION as u32 + 1).to_be_bytes());
    std::fs::write(&path, newer).unwrap();
    let why = error_text(Store::open(&options(dir.path(), "n1"), DECEMBER));
    assert!(
        why.ends_with(
            "format version 2 is newer than 1, the latest version that this program supports"
        ),
        "{why}"
    );
    std::fs::write(&path, whole).unwrap();
    assert_eq!(open(dir.path()).verify(|_| {}).unwrap().entries, 2_000);
    // A file system that does not allow writing.
    let why = error_text(Store::open(
        &options(Path::new("/sys/streamusher-ledger"), "n1"),
        DECEMBER,
    ));
    assert!(
        why.ends_with("not writable (read-only or access denied)"),
        "{why}"
    );
    // A file in place of the folder, so that no folder can be created.
    let why = error_text(Store::open(&options(&path, "n1"), DECEMBER));
    assert!(why.contains("ledger.db") && !why.contains('\n'), "{why}");
}

#[test]
fn full_disk_is_reported_and_entries_are_neither_lost_nor_duplicated() {
    let dir = tempdir().unwrap();
    let mut small = options(dir.path(), "n1");
    small.max_bytes = Some(64 << 10);
    let (event_sender, events) = channel();
    let closing = ClosingRules {
        lateness_us: HOUR,
        doubts: None,
    };
    let writer = Writer::start(
        small,
        closing.clone(),
        || DECEMBER,
        move |t| drop(event_sender.send(t)),
    )
    .unwrap();
    let long = "x".repeat(100);
    let wide = |n| entry(n, DECEMBER, &format!("{long}{n}"), Answer::Served);
    let next = || {
        events
            .recv_timeout(Duration::from_secs(20))
            .expect("the writer sends an event")
    };
    assert!(matches!(next(), WriterEvent::Opened { .. }));
    let mut durable = 0;
    let why = (1..).find_map(|n| {
        writer.write(Record::Entry(wide(n)));
        match next() {
            WriterEvent::Durable { up_to, .. } => {
                durable = up_to;
                None
            }
            WriterEvent::Failed(why) => Some(why),
            other => panic!("{other:?}"),
        }
    });
    assert!(why.unwrap().ends_with("the disk is full"));
    drop(writer); // entries that do not fit are given up
    let mut store = open(dir.path());
    let count = |s: &Store| {
        s.sums(period("2026-12-01T00"))
            .unwrap()
            .values()
            .map(Usage::entries)
            .sum::<u64>()
    };
    assert_eq!(
        count(&store),
        durable,
        "a commit is stored completely or not at all"
    );
    // Once there is space again, the same entries are written once, in a new epoch.
    store.commit(&[wide(1), wide(2)], &[1, 2], &[]).unwrap();
    assert_eq!(count(&store), durable + 2);
    store.verify(|_| {}).unwrap();
}

/// Guards against a process that cannot shut down for many seconds, and is killed then, because another
/// process's commit takes long.
#[test]
fn writer_waits_for_a_locked_store_and_shuts_down_while_it_is_locked() {
    let dir = tempdir().unwrap();
    let (event_sender, events) = channel();
    let closing = ClosingRules {
        lateness_us: HOUR,
        doubts: None,
    };
    let now = || DECEMBER;
    let writer = Writer::start(options(dir.path(), "n1"), closing, now, move |t| {
        drop(event_sender.send(t))
    })
    .unwrap();
    let next = |wait| events.recv_timeout(wait);
    let long = Duration::from_secs(20);
    assert!(matches!(next(long), Ok(WriterEvent::Opened { .. })));
    let database = rusqlite::Connection::open(dir.path().join(DATABASE_FILE)).unwrap();
    let note = |n| {
        writer.write(Record::Entry(entry(
            n,
            DECEMBER,
            "hydrology",
            Answer::Served,
        )))
    };

    database.execute_batch("BEGIN IMMEDIATE").unwrap();
    note(1);
    assert!(next(Duration::from_millis(700)).is_err());
    database.execute_batch("COMMIT").unwrap();
    assert!(matches!(
        next(long),
        Ok(WriterEvent::Durable { up_to: 1, .. })
    ));

    database.execute_batch("BEGIN IMMEDIATE").unwrap();
    note(2);
    let begun = std::time::Instant::now();
    drop(writer);
    let took = begun.elapsed();
    assert!(took < Duration::from_secs(4), "{took:?}");
    database.execute_batch("COMMIT").unwrap();
    let store = Store::open_for_command(dir.path(), KEY).unwrap();
    assert_eq!(
        store.doubts().unwrap().len(),
        1,
        "only the first entry was written"
    );
}

#[rstest]
#[case::billed(Settle::Bill, 1)]
#[case::waived(Settle::Waive, 0)]
fn doubts_are_settled_by_the_rule_when_their_period_is_closed(
    #[case] rule: Settle,
    #[case] corrected: i64,
) {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    store
        .commit(&[entry(1, DECEMBER, "hydrology", Answer::Served)], &[], &[])
        .unwrap();
    drop(store); // leaves the entry without a delivery mark, as a crash does
    let (event_sender, events) = channel();
    let closing = ClosingRules {
        lateness_us: HOUR,
        doubts: Some(rule),
    };
    let later = || DECEMBER + 3 * HOUR;
    let writer = Writer::start(options(dir.path(), "n1"), closing, later, move |t| {
        drop(event_sender.send(t))
    })
    .unwrap();
    let closed =
        std::iter::from_fn(|| events.recv_timeout(Duration::from_secs(20)).ok()).find_map(|t| {
            if let WriterEvent::Closed(closed) = t {
                Some(closed)
            } else {
                None
            }
        });
    assert_eq!(closed.unwrap()[0].period, period("2026-12-01T00"));
    drop(writer);
    let store = Store::open_for_command(dir.path(), KEY).unwrap();
    assert_eq!(store.doubts().unwrap(), vec![]);
    let first = line(&store, period("2026-12-01T00"), "hydrology", "depth-log");
    let next = line(&store, period("2026-12-01T03"), "hydrology", "depth-log");
    assert_eq!(
        (first.doubts, first.corrected, next.corrected),
        (1, 0, corrected)
    );
}

/// Guards against doubts that are never settled because the store was locked when the rule was applied.
#[test]
fn doubts_are_settled_by_the_rule_after_the_store_was_locked() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    store
        .commit(&[entry(1, DECEMBER, "hydrology", Answer::Served)], &[], &[])
        .unwrap();
    drop(store); // leaves the entry without a delivery mark, as a crash does
    let closing = ClosingRules {
        lateness_us: HOUR,
        doubts: Some(Settle::Bill),
    };
    let later = || DECEMBER + 3 * HOUR;
    let path = dir.path().join(DATABASE_FILE);
    let (send, locks) = channel();
    let writer = Writer::start(options(dir.path(), "n1"), closing, later, move |event| {
        // Called between the closing and the settlement.
        if matches!(event, WriterEvent::Closed(_)) {
            let lock = rusqlite::Connection::open(&path).unwrap();
            lock.execute_batch("BEGIN IMMEDIATE").unwrap();
            send.send(lock).unwrap();
        }
    })
    .unwrap();
    let lock = locks.recv_timeout(Duration::from_secs(20)).unwrap();
    let unsettled = Store::open_for_command(dir.path(), KEY).unwrap();
    // Longer than one attempt to settle takes.
    assert!(locks.recv_timeout(Duration::from_secs(1)).is_err());
    assert_eq!(unsettled.doubts().unwrap().len(), 1);
    drop(lock);
    let by = std::time::Instant::now() + Duration::from_secs(20);
    while !unsettled.doubts().unwrap().is_empty() {
        assert!(
            std::time::Instant::now() < by,
            "the settlement is not retried"
        );
        std::thread::yield_now();
    }
    drop(writer);
}

#[test]
fn orderly_shutdown_of_the_writer_leaves_no_doubts() {
    let dir = tempdir().unwrap();
    let closing = ClosingRules {
        lateness_us: HOUR,
        doubts: None,
    };
    let writer = Writer::start(options(dir.path(), "n1"), closing, || DECEMBER, |_| {}).unwrap();
    for n in 1..=100 {
        writer.write(Record::Entry(entry(
            n,
            DECEMBER,
            "hydrology",
            Answer::Served,
        )));
        writer.write(if n == 50 {
            Record::Undelivered(n)
        } else {
            Record::Written(n)
        });
    }
    drop(writer);
    let store = Store::open_for_command(dir.path(), KEY).unwrap();
    assert_eq!(store.doubts().unwrap(), vec![]);
    let sums = store.sums(period("2026-12-01T00")).unwrap();
    assert_eq!(
        sums.values()
            .map(|u| (u.served, u.gone))
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1)),
        (99, 1)
    );
}

#[test]
fn totals_are_exact_with_one_tenant_sending_90_percent_of_20000_entries() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    let tenant = |n: u64| {
        if n.is_multiple_of(10) {
            format!("t{}", n / 10 % 1_000)
        } else {
            "flood".into()
        }
    };
    let entries: Vec<_> = (1..=20_000)
        .map(|n| entry(n, DECEMBER, &tenant(n), Answer::Served))
        .collect();
    let numbers: Vec<u64> = (1..=20_000).collect();
    for (entries, numbers) in entries.chunks(777).zip(numbers.chunks(777)) {
        store.commit(entries, numbers, &[]).unwrap();
    }
    let sums = store.sums(period("2026-12-01T00")).unwrap();
    let of = |t: &str| {
        sums.iter()
            .filter(|((n, _), _)| n == t)
            .map(|(_, u)| u.served)
            .sum::<u64>()
    };
    assert_eq!(of("flood"), 18_000);
    assert!((0..1_000).all(|n| of(&format!("t{n}")) == 2));
}

/// Exports the same period from two instances. Both answered a request with the same idempotency key: it was
/// repeated at the second instance after the first one had crashed.
fn two_instances(out: &Path) {
    for (name, numbers, key) in [("n1", 1..=30u64, "retried"), ("n2", 1..=20, "retried")] {
        let dir = tempdir().unwrap();
        let mut store = Store::open(&options(dir.path(), name), DECEMBER).unwrap();
        let mut entries: Vec<_> = numbers
            .map(|n| entry(n, DECEMBER, "hydrology", Answer::Served))
            .collect();
        entries
            .iter_mut()
            .for_each(|e| e.key = Some(key_hash(&KEY, &format!("{name} {}", e.seq))));
        let last = entries.last_mut().unwrap();
        last.key = Some(key_hash(&KEY, key));
        let last = last.seq;
        entries.retain(|e| e.seq != 7); // an answer that was never booked
        let written: Vec<u64> = (1..=last).filter(|n| name == "n2" || *n < last).collect();
        store.commit(&entries, &written, &[]).unwrap();
        drop(store);
        let mut store = Store::open(&options(dir.path(), name), DECEMBER).unwrap();
        store.close_due(DECEMBER + 2 * HOUR, 0).unwrap();
        export(&store, period("2026-12-01T00"), out, |_| true).unwrap();
    }
}

#[test]
fn reconciliation_reports_gaps_doubts_and_repeated_keys() {
    let out = tempdir().unwrap();
    two_instances(out.path());
    let all = reconcile(&[out.path()]);
    let gaps = all
        .findings
        .iter()
        .filter(|f| {
            matches!(
                f,
                Finding::Gap {
                    first: 7,
                    last: 7,
                    ..
                }
            )
        })
        .count();
    let repeated = all.findings.iter().filter_map(|f| match f {
        Finding::Repeated { places, .. } => Some(
            places
                .iter()
                .map(|p| (p.instance.as_str(), p.seq))
                .collect::<Vec<_>>(),
        ),
        _ => None,
    });
    assert_eq!(repeated.collect::<Vec<_>>(), [[("n1", 30), ("n2", 20)]]);
    let doubts: Vec<_> = all
        .findings
        .iter()
        .filter(|f| matches!(f, Finding::Doubt(d) if d.place.seq == 30))
        .collect();
    assert_eq!((gaps, doubts.len(), all.findings.len()), (2, 1, 4));
    let served: u64 = all
        .merged
        .bill(str::to_string)
        .unwrap()
        .values()
        .map(|u| u.served)
        .sum();
    assert_eq!(
        served,
        28 + 19,
        "an entry in doubt is not counted as served"
    );
}

#[rstest]
#[case::flipped("n1_2026-12-01T00.ledger.zst", "")]
#[case::no_manifest("", "n1_2026-12-01T00.json")]
#[case::manifest_junk("n1_2026-12-01T00.json", "")]
fn changed_exports_are_reported_and_not_counted(#[case] flip: &str, #[case] remove: &str) {
    let out = tempdir().unwrap();
    two_instances(out.path());
    if !flip.is_empty() {
        let path = out.path().join(flip);
        let mut bytes = std::fs::read(&path).unwrap();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 4;
        std::fs::write(&path, bytes).unwrap();
    }
    if !remove.is_empty() {
        std::fs::remove_file(out.path().join(remove)).unwrap();
    }
    let all = reconcile(&[out.path()]);
    let changed = all
        .findings
        .iter()
        .filter(|f| matches!(f, Finding::Changed { why } if why.contains("n1_2026")));
    assert!(changed.count() >= 1, "{:?}", all.findings);
    assert_eq!(
        all.merged
            .bill(str::to_string)
            .unwrap()
            .values()
            .map(|u| u.served)
            .sum::<u64>(),
        19
    );
}

#[test]
fn missing_period_is_found_by_the_chain_of_seals() {
    let (dir, out) = (tempdir().unwrap(), tempdir().unwrap());
    let mut store = open(dir.path());
    for hour in 0..3 {
        commit_served(
            &mut store,
            hour * 10 + 1..=hour * 10 + 10,
            DECEMBER + hour * HOUR,
        );
    }
    store.close_due(DECEMBER + 4 * HOUR, 0).unwrap();
    for hour in ["2026-12-01T00", "2026-12-01T02"] {
        export(&store, period(hour), out.path(), |_| true).unwrap();
    }
    let findings = reconcile(&[out.path()]).findings;
    assert!(findings.contains(&Finding::Missing {
        instance: "n1".into(),
        before: period("2026-12-01T02")
    }));
    assert!(
        findings.iter().any(|f| matches!(
            f,
            Finding::Gap {
                first: 11,
                last: 20,
                ..
            }
        )),
        "{findings:?}"
    );
}
