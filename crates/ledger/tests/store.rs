//! The store and its exports under failure: what is cut off, flipped, interrupted, late or full.

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
fn an_entry_outlives_its_process_and_is_in_doubt_until_it_is_known_to_be_written() {
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
        "a running dispatcher has it in hand"
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
        "settled once"
    );
    assert_eq!(store.doubts().unwrap(), vec![]);
    let sums = line(&store, hour, "hydrology", "depth-log");
    assert_eq!(
        (sums.billed(), sums.billed_slot_us().unwrap()),
        (2, 600_005)
    );
}

#[test]
fn a_clock_that_steps_back_opens_no_closed_period() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    fill(&mut store, 1..=10, DECEMBER + HOUR - 5 * SECOND);
    let closed = store
        .close_due(DECEMBER + HOUR + 9 * SECOND, 10 * SECOND)
        .unwrap();
    assert_eq!(closed, vec![], "the lateness allowance is not over");
    let closed = store
        .close_due(DECEMBER + HOUR + 10 * SECOND, 10 * SECOND)
        .unwrap();
    assert_eq!(
        closed.iter().map(|c| c.period).collect::<Vec<_>>(),
        [period("2026-12-01T00")]
    );
    let sealed = store.sums(period("2026-12-01T00")).unwrap();
    fill(&mut store, 11..=15, DECEMBER + 10 * SECOND); // an hour back
    assert_eq!(store.sums(period("2026-12-01T00")).unwrap(), sealed);
    let next = store.sums(period("2026-12-01T01")).unwrap();
    assert_eq!(next.values().map(|u| u.served).sum::<u64>(), 5);
    assert_eq!(store.verify(|_| {}).unwrap().entries, 15);
}

#[test]
fn a_late_correction_leaves_a_closed_and_exported_period_untouched() {
    let (dir, out) = (tempdir().unwrap(), tempdir().unwrap());
    let mut store = open(dir.path());
    fill(&mut store, 1..=10, DECEMBER);
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
fn an_export_that_was_interrupted_gives_the_same_when_it_runs_again(#[case] stage: Stage) {
    let (dir, cut, whole) = (tempdir().unwrap(), tempdir().unwrap(), tempdir().unwrap());
    let mut store = open(dir.path());
    fill(&mut store, 1..=500, DECEMBER);
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
        "a manifest stands only where all is whole"
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
    // The same period twice is counted once.
    let both = reconcile(&[cut.path(), whole.path(), whole.path()]);
    assert_eq!((both.merged.entries(), both.findings), (500, vec![]));
}

#[test]
fn a_changed_byte_is_found_and_its_entry_named() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    fill(&mut store, 1..=5, DECEMBER);
    store.checkpoint().unwrap();
    drop(store);
    let path = dir.path().join(DATABASE_FILE);
    let mut bytes = std::fs::read(&path).unwrap();
    let id = 4u64.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes(); // hex digits take half their bytes
    let at = bytes
        .windows(8)
        .position(|w| w == id)
        .expect("entry 4 lies there");
    bytes[at] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    let store = Store::open_for_command(dir.path(), KEY).unwrap();
    let why = store.verify(|_| {}).unwrap_err().to_string();
    assert!(why.contains("damaged: entry 4 of epoch"), "{why}");
    assert!(
        store.sums(period("2026-12-01T00")).is_err(),
        "no sum over what was changed"
    );
}

/// Every byte of a small ledger's file, changed in turn: either nothing that is counted differs, or it is told.
#[test]
fn no_changed_byte_makes_a_wrong_sum() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    fill(&mut store, 1..=6, DECEMBER);
    store
        .commit(
            &[entry(7, DECEMBER, "foundations", Answer::Served)],
            &[],
            &[],
        )
        .unwrap();
    store.close_due(DECEMBER + 2 * HOUR, 0).unwrap();
    fill(&mut store, 8..=12, DECEMBER + 3 * HOUR);
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
    let (mut told, mut harmless) = (0, 0);
    // Pages are mostly empty: bytes that hold nothing are changed too, but only each 31st of them.
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
                told += 1;
            }
        }
    }
    assert!(
        told > harmless / 10,
        "{told} were told, {harmless} did no harm"
    );
}

#[test]
fn a_byte_changed_in_the_log_of_changes_loses_no_commit_in_silence() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    for n in 0..5 {
        fill(&mut store, n * 10 + 1..=n * 10 + 10, DECEMBER);
    }
    // As a crash leaves it: the log holds what the file does not.
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
    // A command does not open it either: closing it would write back what is left, and the rest would be gone.
    let why = Store::open_for_command(left.path(), KEY)
        .err()
        .expect("an error")
        .to_string();
    assert!(
        why.contains("would be lost") && std::fs::read(&log).unwrap() == middle,
        "{why}"
    );
    // What a crash cuts off in the middle of the last commit was never answered for.
    assert_eq!(opened(&bytes[..bytes.len() - 100]), Ok(40));
}

#[test]
fn a_crash_in_the_middle_of_writing_the_log_back_is_mended() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    (0..20).for_each(|n| fill(&mut store, n * 100 + 1..=n * 100 + 100, DECEMBER));
    let log = std::fs::read(dir.path().join("ledger.db-wal")).unwrap();
    store.checkpoint().unwrap();
    let whole = std::fs::read(dir.path().join(DATABASE_FILE)).unwrap();
    // The head is written first: for a moment the file is shorter than it says.
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
    // Without its log the same file is cut off.
    std::fs::write(
        left.path().join(DATABASE_FILE),
        &whole[..whole.len() / 2 / 4_096 * 4_096],
    )
    .unwrap();
    std::fs::remove_file(left.path().join("ledger.db-wal")).ok();
    assert!(Store::open_for_command(left.path(), KEY).is_err());
}

#[test]
fn a_changed_correction_or_seal_is_found() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    fill(&mut store, 1..=5, DECEMBER);
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
    assert!(why.contains("correction 1 does not match its MAC"), "{why}");
    drop(other);
    drop(store);
    let path = dir.path().join(DATABASE_FILE);
    let mut bytes = std::fs::read(&path).unwrap();
    let at = bytes
        .windows(9)
        .position(|w| w == b"ticket 12")
        .expect("the reason lies there");
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
fn what_cannot_be_used_is_told_in_one_clear_line() {
    let dir = tempdir().unwrap();
    let told = |e: Result<Store, StoreError>| e.err().expect("an error").to_string();
    let missing = told(Store::open_for_command(dir.path(), KEY));
    assert!(missing.ends_with("there is no ledger here"), "{missing}");
    let mut store = open(dir.path());
    let second = told(Store::open(&options(dir.path(), "n1"), DECEMBER));
    assert!(
        second.ends_with("another process writes to this ledger"),
        "{second}"
    );
    fill(&mut store, 1..=2_000, DECEMBER);
    store.checkpoint().unwrap();
    drop(store);
    let other = told(Store::open(&options(dir.path(), "n2"), DECEMBER));
    assert!(other.contains("made for instance n1, not n2"), "{other}");
    let path = dir.path().join(DATABASE_FILE);
    let whole = std::fs::read(&path).unwrap();
    for (bytes, what) in [
        (whole[..whole.len() / 2].to_vec(), "damaged: the file has"),
        (whole[..50].to_vec(), "damaged: the file has 50 bytes"),
        (vec![b'x'; 5_000], "damaged: not a database"),
    ] {
        std::fs::write(&path, bytes).unwrap();
        let why = told(Store::open(&options(dir.path(), "n1"), DECEMBER));
        assert!(why.contains(what) && !why.contains('\n'), "{why}");
    }
    let mut newer = whole.clone();
    newer[60..64].copy_from_slice(&(VERSION as u32 + 1).to_be_bytes());
    std::fs::write(&path, newer).unwrap();
    let why = told(Store::open(&options(dir.path(), "n1"), DECEMBER));
    assert!(
        why.ends_with(
            "format version 2 is newer than 1, the latest version that this program supports"
        ),
        "{why}"
    );
    std::fs::write(&path, whole).unwrap();
    assert_eq!(open(dir.path()).verify(|_| {}).unwrap().entries, 2_000);
    // A file system where nobody may write.
    let why = told(Store::open(
        &options(Path::new("/sys/streamusher-ledger"), "n1"),
        DECEMBER,
    ));
    assert!(
        why.ends_with("not writable (read-only or access denied)"),
        "{why}"
    );
    // A file where the folder should be: no folder can be made there.
    let why = told(Store::open(&options(&path, "n1"), DECEMBER));
    assert!(why.contains("ledger.db") && !why.contains('\n'), "{why}");
}

#[test]
fn a_full_disk_is_told_once_and_nothing_is_lost_or_doubled_when_there_is_room_again() {
    let dir = tempdir().unwrap();
    let mut small = options(dir.path(), "n1");
    small.max_bytes = Some(64 << 10);
    let (tell, told) = channel();
    let closing = ClosingRules {
        lateness_us: HOUR,
        doubts: None,
    };
    let writer = Writer::start(
        small,
        closing.clone(),
        || DECEMBER,
        move |t| drop(tell.send(t)),
    )
    .unwrap();
    let long = "x".repeat(100);
    let wide = |n| entry(n, DECEMBER, &format!("{long}{n}"), Answer::Served);
    let next = || {
        told.recv_timeout(Duration::from_secs(20))
            .expect("it is told")
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
    drop(writer); // it gives up on what does not fit
    let mut store = open(dir.path());
    let count = |s: &Store| {
        s.sums(period("2026-12-01T00"))
            .unwrap()
            .values()
            .map(Usage::entries)
            .sum::<u64>()
    };
    assert_eq!(count(&store), durable, "a commit is whole or not there");
    // With room again the same entries go in once, in an epoch of their own.
    store.commit(&[wide(1), wide(2)], &[1, 2], &[]).unwrap();
    assert_eq!(count(&store), durable + 2);
    store.verify(|_| {}).unwrap();
}

/// Guards against a process that cannot end for many seconds, and is killed then, as another one's commit lasts.
#[test]
fn writer_waits_for_another_commit_without_failing_and_ends_although_that_lasts() {
    let dir = tempdir().unwrap();
    let (tell, told) = channel();
    let closing = ClosingRules {
        lateness_us: HOUR,
        doubts: None,
    };
    let now = || DECEMBER;
    let writer = Writer::start(options(dir.path(), "n1"), closing, now, move |t| {
        drop(tell.send(t))
    })
    .unwrap();
    let next = |wait| told.recv_timeout(wait);
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
    assert_eq!(store.doubts().unwrap().len(), 1, "only the first one");
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
    drop(store); // as a crash leaves it
    let (tell, told) = channel();
    let closing = ClosingRules {
        lateness_us: HOUR,
        doubts: Some(rule),
    };
    let later = || DECEMBER + 3 * HOUR;
    let writer = Writer::start(options(dir.path(), "n1"), closing, later, move |t| {
        drop(tell.send(t))
    })
    .unwrap();
    let closed =
        std::iter::from_fn(|| told.recv_timeout(Duration::from_secs(20)).ok()).find_map(|t| {
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

/// Guards against doubts that stay for good, as the store was locked when the rule was to settle them.
#[test]
fn doubts_are_settled_by_the_rule_although_the_store_is_locked_at_first() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path());
    store
        .commit(&[entry(1, DECEMBER, "hydrology", Answer::Served)], &[], &[])
        .unwrap();
    drop(store); // as a crash leaves it
    let closing = ClosingRules {
        lateness_us: HOUR,
        doubts: Some(Settle::Bill),
    };
    let later = || DECEMBER + 3 * HOUR;
    let path = dir.path().join(DATABASE_FILE);
    let (send, locks) = channel();
    let writer = Writer::start(options(dir.path(), "n1"), closing, later, move |event| {
        // Called between the close and the settlement.
        if matches!(event, WriterEvent::Closed(_)) {
            let lock = rusqlite::Connection::open(&path).unwrap();
            lock.execute_batch("BEGIN IMMEDIATE").unwrap();
            send.send(lock).unwrap();
        }
    })
    .unwrap();
    let lock = locks.recv_timeout(Duration::from_secs(20)).unwrap();
    let unsettled = Store::open_for_command(dir.path(), KEY).unwrap();
    // Longer than one attempt to settle lasts.
    assert!(locks.recv_timeout(Duration::from_secs(1)).is_err());
    assert_eq!(unsettled.doubts().unwrap().len(), 1);
    drop(lock);
    let by = std::time::Instant::now() + Duration::from_secs(20);
    while !unsettled.doubts().unwrap().is_empty() {
        assert!(std::time::Instant::now() < by, "it is tried again");
        std::thread::yield_now();
    }
    drop(writer);
}

#[test]
fn a_writer_that_ends_in_order_leaves_no_doubt() {
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
fn one_of_a_thousand_tenants_sends_nine_tenths_and_all_are_counted_to_the_unit() {
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

/// Two instances that closed one period; the second was asked again for what the first had answered when it died.
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
        entries.retain(|e| e.seq != 7); // it was never booked
        let written: Vec<u64> = (1..=last).filter(|n| name == "n2" || *n < last).collect();
        store.commit(&entries, &written, &[]).unwrap();
        drop(store);
        let mut store = Store::open(&options(dir.path(), name), DECEMBER).unwrap();
        store.close_due(DECEMBER + 2 * HOUR, 0).unwrap();
        export(&store, period("2026-12-01T00"), out, |_| true).unwrap();
    }
}

#[test]
fn reconciling_shows_gaps_doubts_and_what_two_instances_answered() {
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
    assert_eq!(served, 28 + 19, "the doubt is in no sum");
}

#[rstest]
#[case::flipped("n1_2026-12-01T00.ledger.zst", "")]
#[case::no_manifest("", "n1_2026-12-01T00.json")]
#[case::manifest_junk("n1_2026-12-01T00.json", "")]
fn what_was_changed_is_told_and_not_counted(#[case] flip: &str, #[case] remove: &str) {
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
fn a_missing_period_shows_in_the_chain() {
    let (dir, out) = (tempdir().unwrap(), tempdir().unwrap());
    let mut store = open(dir.path());
    for hour in 0..3 {
        fill(
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
