//! Compatibility with recorded formats: a data directory, an export, and the encoded keys, MACs and seals.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{entry, options, DECEMBER, HOUR, KEY, SECOND};
use rusqlite::types::ValueRef;
use rusqlite::Connection;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use streamusher_ledger::correction::{Correction, Subject};
use streamusher_ledger::entry::{key_hash, pack, Answer, Entry, Row, RowReader};
use streamusher_ledger::export::{export, Manifest};
use streamusher_ledger::gate::OnFailure;
use streamusher_ledger::marks::{Marks, Ranges};
use streamusher_ledger::period::{Period, Span};
use streamusher_ledger::reconcile::{EntryId, Finding, OpenDoubt};
use streamusher_ledger::scan::scan;
use streamusher_ledger::store::{Settle, Store, DATABASE_FILE};
use streamusher_ledger::{key, receipts, seal};
use tempfile::tempdir;

const MANIFEST: &str = "n1_2026-12-01T00.json";
const EXPORT: &str = "n1_2026-12-01T00.ledger.zst";
const TABLES: [(&str, &str); 7] = [
    ("about", "name"),
    ("names", "id"),
    ("epochs", "epoch"),
    ("blocks", "period, epoch, first"),
    ("corrections", "no"),
    ("settled", "epoch, seq"),
    ("seals", "no"),
];

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn recorded(name: &str) -> Value {
    serde_json::from_str(&std::fs::read_to_string(fixture(name)).unwrap()).unwrap()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn correction(subject: Subject, operations: i64, slot_us: i128) -> Correction {
    Correction {
        time_us: DECEMBER + 50 * SECOND,
        corrected_period: Period::of(Span::Hour, DECEMBER),
        subject,
        tenant: "hydrology".into(),
        class: "depth-log".into(),
        operations,
        slot_us,
        author: "A. Weir".into(),
        reason: "ticket 12".into(),
    }
}

/// Entries with each outcome, hex and text ids, with and without idempotency keys.
fn entries() -> Vec<Entry> {
    let answers = [Answer::Served, Answer::Busy, Answer::Failed, Answer::Gone];
    let mut entries: Vec<Entry> = (1..=20u64)
        .map(|seq| {
            let tenant = ["hydrology", "geology"][seq as usize % 2];
            let time_us = DECEMBER + seq * SECOND;
            entry(seq, time_us, tenant, answers[seq as usize % 4])
        })
        .collect();
    entries[3].operation = "not hex digits".into();
    entries[7].joined = true;
    entries[11].attempts = 3;
    entries
}

/// Writes two periods, the first of them closed: entries of two epochs, delivery marks of each kind,
/// corrections of each kind, and one open doubt.
fn write_store(dir: &Path) {
    let mut store = Store::open(&options(dir, "n1"), DECEMBER).unwrap();
    let entries = entries();
    store.commit(&entries[..8], &[1, 2, 4, 5], &[6, 8]).unwrap();
    store.commit(&entries[8..], &[9, 10, 11], &[]).unwrap();
    store.end_epoch(DECEMBER + 20 * SECOND).unwrap();
    drop(store);

    let mut store = Store::open(&options(dir, "n1"), DECEMBER + 30 * SECOND).unwrap();
    let served = entry(1, DECEMBER + 40 * SECOND, "hydrology", Answer::Served);
    let unknown = entry(2, DECEMBER + 41 * SECOND, "hydrology", Answer::Served);
    store.commit(&[served, unknown], &[1], &[]).unwrap();
    store
        .correct(&correction(Subject::Usage, -1, -300))
        .unwrap();
    settle_by_receipts(&mut store, dir);
    store.close_due(DECEMBER + HOUR, 0).unwrap();
    let late = entry(3, DECEMBER + HOUR + SECOND, "geology", Answer::Served);
    store.commit(&[late], &[], &[]).unwrap();
    store.end_epoch(DECEMBER + HOUR + 2 * SECOND).unwrap();
}

/// Bills the first doubt of the first epoch, for which there is a receipt, and waives the second.
fn settle_by_receipts(store: &mut Store, dir: &Path) {
    let doubts = store.doubts().unwrap();
    assert_eq!(doubts.len(), 3, "{doubts:?}");
    let file = dir.join("receipts.csv");
    let operation = &doubts[0].row.operation;
    std::fs::write(&file, format!("tenant,operation\nhydrology,{operation}\n")).unwrap();
    let found = receipts::find_receipts(&file, &doubts).unwrap();
    std::fs::remove_file(&file).unwrap();
    let settled = receipts::settle(
        store,
        &doubts[..2],
        DECEMBER + 51 * SECOND,
        "A. Weir",
        "receipts",
        |doubt| match found.contains(&doubt.row.operation) {
            true => Settle::Bill,
            false => Settle::Waive,
        },
    )
    .unwrap();
    assert_eq!((settled.billed, settled.waived), (1, 1));
}

/// Returns all rows of all tables, with blobs as hex digits.
fn tables(dir: &Path) -> Value {
    let database = Connection::open(dir.join(DATABASE_FILE)).unwrap();
    let mut tables = serde_json::Map::new();
    for (table, order) in TABLES {
        let sql = format!("SELECT * FROM {table} ORDER BY {order}");
        let mut statement = database.prepare(&sql).unwrap();
        let columns = statement.column_count();
        let rows = statement.query_map([], |row| {
            (0..columns)
                .map(|column| {
                    Ok(match row.get_ref(column)? {
                        ValueRef::Null => Value::Null,
                        ValueRef::Integer(number) => json!(number),
                        ValueRef::Real(number) => json!(number),
                        ValueRef::Text(text) => json!(String::from_utf8_lossy(text)),
                        ValueRef::Blob(bytes) => json!(hex(bytes)),
                    })
                })
                .collect::<rusqlite::Result<Vec<Value>>>()
        });
        let rows: Vec<Vec<Value>> = rows.unwrap().map(Result::unwrap).collect();
        tables.insert(table.into(), json!(rows));
    }
    Value::Object(tables)
}

fn row_content(row: &Row) -> Value {
    json!({
        "seq": row.seq, "time_us": row.time_us, "tenant": row.tenant, "class": row.class,
        "answer": row.answer, "joined": row.joined, "slots_milli": row.slots_milli,
        "run_us": row.run_us, "wasted_us": row.wasted_us, "attempts": row.attempts,
        "operation": row.operation, "key": row.key,
    })
}

fn period_content(store: &Store, period: Period) -> Value {
    let mut rows = Vec::new();
    store
        .blocks(period, |block| {
            for row in block.rows() {
                rows.push(json!([block.epoch, row_content(&row.unwrap())]));
            }
            Ok::<(), streamusher_ledger::store::StoreError>(())
        })
        .unwrap();
    let sums = store.sums(period).unwrap();
    let sums: Vec<_> = sums.into_iter().collect();
    let corrections: Vec<_> = store.corrections(period).unwrap().into_iter().collect();
    json!({ "period": period, "entries": rows, "sums": sums, "corrections": corrections })
}

/// Returns all data that can be read from a store.
fn content(store: &Store) -> Value {
    let seals: Vec<Value> = store
        .seals()
        .unwrap()
        .iter()
        .map(|seal| {
            json!([
                seal.period,
                seal.closed,
                seal.entries,
                seal.marks,
                hex(&seal.before),
                hex(&seal.hash)
            ])
        })
        .collect();
    let epochs: Vec<Value> = store
        .epochs()
        .unwrap()
        .iter()
        .map(|epoch| json!([epoch.epoch, epoch.last, epoch.marks]))
        .collect();
    let doubts: Vec<Value> = store
        .doubts()
        .unwrap()
        .iter()
        .map(|doubt| {
            json!([
                doubt.period,
                doubt.epoch,
                row_content(&doubt.row),
                doubt.tenant,
                doubt.class
            ])
        })
        .collect();
    let periods: Vec<Value> = store
        .periods()
        .unwrap()
        .into_iter()
        .map(|period| period_content(store, period))
        .collect();
    json!({
        "instance": store.instance(), "span": store.span(), "has_key": store.has_key().unwrap(),
        "names": store.names().unwrap(), "epochs": epochs, "seals": seals, "doubts": doubts,
        "periods": periods, "verified": store.verify(|_| {}).unwrap(),
    })
}

/// Returns the encoded forms that are not part of a store.
fn encoded_forms() -> Value {
    let moment = DECEMBER + 11 * HOUR;
    let periods = [Span::Hour, Span::Day, Span::Month].map(|span| Period::of(span, moment));
    let place = EntryId {
        instance: "n1".into(),
        epoch: 7,
        seq: 9,
    };
    let findings = [
        Finding::Changed {
            why: "cut off".into(),
        },
        Finding::Conflict {
            instance: "n1".into(),
            period: periods[0],
            ids: vec!["a".into(), "b".into()],
        },
        Finding::Missing {
            instance: "n1".into(),
            before: periods[1],
        },
        Finding::Gap {
            instance: "n1".into(),
            epoch: 7,
            first: 2,
            last: 4,
        },
        Finding::Repeated {
            key: "00ff".into(),
            places: vec![place.clone()],
        },
        Finding::Doubt(OpenDoubt {
            place,
            period: periods[2],
            operation: "op".into(),
            tenant: "hydrology".into(),
            class: "depth-log".into(),
            slot_us: 5,
        }),
    ];
    let mut written = Ranges::default();
    written.add_range(1, 5);
    written.add(8);
    let marks = Marks {
        written,
        undelivered: Ranges::default(),
    };
    let abouts = [
        Subject::Usage,
        Subject::Billed { epoch: 7, seq: 9 },
        Subject::Waived { epoch: 7, seq: 10 },
    ];
    let corrections = abouts.map(|subject| {
        let correction = correction(subject, -2, -600_000);
        let bytes = correction.bytes();
        let mac = Correction::mac(&bytes, &KEY, "n1", 3);
        json!([correction, hex(&bytes), hex(&mac)])
    });
    let block = packed_rows();
    let block_place = seal::BlockPosition {
        period: periods[0],
        epoch: 7,
        first: 1,
        last: 20,
        entries: 20,
    };
    let block_hash = seal::block(&block_place, &block);
    let mut chain = seal::Chain::new(&[1; 32], "n1", periods[0]);
    chain.block(7, 1, &block_hash);
    chain.names(&[(1, "hydrology".into()), (2, "depth-log".into())].into());
    chain.marks(b"marks");
    chain.correction(3, b"correction");
    json!({
        "answers": [Answer::Served, Answer::Busy, Answer::Failed, Answer::Gone],
        "spans": [Span::Hour, Span::Day, Span::Month],
        "on_failure": [OnFailure::Refuse, OnFailure::ServeUnbilled],
        "periods": periods,
        "findings": findings,
        "marks": [json!(marks), json!(hex(&postcard::to_stdvec(&marks).unwrap()))],
        "corrections": corrections,
        "key_hash": hex(&key_hash(&KEY, "idempotency key")),
        "block": hex(&block),
        "block_hash": hex(&block_hash),
        "seal": hex(&chain.finish()),
    })
}

fn rows() -> Vec<Row> {
    entries()
        .iter()
        .enumerate()
        .map(|(index, entry)| Row::from_entry(entry, index as u32, 300 + index as u32))
        .collect()
}

fn packed_rows() -> Vec<u8> {
    let mut block = Vec::new();
    let mut before = (1, DECEMBER);
    for row in rows() {
        pack(&row, before, &mut block);
        before = (row.seq, row.time_us);
    }
    block
}

fn copied_store() -> tempfile::TempDir {
    let dir = tempdir().unwrap();
    std::fs::copy(fixture(DATABASE_FILE), dir.path().join(DATABASE_FILE)).unwrap();
    dir
}

#[test]
fn recorded_store_can_be_read() {
    let dir = copied_store();
    let store = Store::open_for_command(dir.path(), KEY).unwrap();
    assert_eq!(content(&store), recorded("content.json"));
    drop(store);
    assert_eq!(tables(dir.path()), recorded("tables.json"));
}

#[test]
fn recorded_store_can_be_continued_in_a_new_epoch() {
    let dir = copied_store();
    let mut store = Store::open(&options(dir.path(), "n1"), DECEMBER).unwrap();
    assert_eq!(store.epoch(), DECEMBER + 30 * SECOND + 1);
    let next = entry(1, DECEMBER + HOUR, "hydrology", Answer::Served);
    store.commit(&[next], &[1], &[]).unwrap();
    assert_eq!(store.entries().unwrap(), 24);
    store.verify(|_| {}).unwrap();
}

#[test]
fn written_store_matches_the_recorded_one() {
    let dir = tempdir().unwrap();
    write_store(dir.path());
    assert_eq!(tables(dir.path()), recorded("tables.json"));
    let store = Store::open_for_command(dir.path(), KEY).unwrap();
    assert_eq!(content(&store), recorded("content.json"));
}

#[test]
fn written_export_matches_the_recorded_one() {
    let (dir, out) = (copied_store(), tempdir().unwrap());
    let store = Store::open_for_command(dir.path(), KEY).unwrap();
    let period = Period::of(Span::Hour, DECEMBER);
    let manifest = export(&store, period, out.path(), |_| true).unwrap();
    for name in [MANIFEST, EXPORT] {
        let written = std::fs::read(out.path().join(name)).unwrap();
        let recorded = std::fs::read(fixture("export").join(name)).unwrap();
        assert_eq!(written, recorded, "{name}");
    }
    let recorded = Manifest::load(&fixture("export").join(MANIFEST)).unwrap();
    assert_eq!(manifest, Some(recorded));
}

#[test]
fn recorded_export_can_be_read() {
    let scanned = scan(&[fixture("export")], 2, |_| {}).unwrap();
    let lines: Vec<_> = scanned
        .merged
        .bill(str::to_string)
        .unwrap()
        .into_iter()
        .collect();
    let read = json!({
        "entries": scanned.merged.entries(), "findings": scanned.findings, "bill": lines,
    });
    assert_eq!(read, recorded("scan.json"));
}

#[test]
fn encoded_forms_match_the_recorded_ones() {
    let forms = recorded("encoded.json");
    assert_eq!(encoded_forms(), forms);
    let block = packed_rows();
    let read: Vec<Row> = RowReader::new(&block, (1, DECEMBER))
        .map(Result::unwrap)
        .collect();
    assert_eq!(read, rows());
    for recorded in forms["corrections"].as_array().unwrap() {
        let correction: Correction = serde_json::from_value(recorded[0].clone()).unwrap();
        assert_eq!(hex(&correction.bytes()), recorded[1]);
    }
}

#[test]
fn recorded_key_file_can_be_read_and_a_new_one_has_the_same_format() {
    let dir = tempdir().unwrap();
    assert_eq!(key::load(&fixture("ledger.key")).unwrap(), KEY);
    let new_key_file = dir.path().join("ledger.key");
    key::create(&new_key_file).unwrap();
    let text = std::fs::read_to_string(&new_key_file).unwrap();
    assert_eq!(text, hex(&key::load(&new_key_file).unwrap()) + "\n");
}

#[test]
fn error_messages_match_the_recorded_ones() {
    assert_eq!(json!(error_texts()), recorded("errors.json"));
}

#[test]
fn findings_for_invalid_exports_match_the_recorded_ones() {
    assert_eq!(json!(unreadable_exports()), recorded("findings.json"));
}

/// Returns the error message for each kind of invalid input.
fn error_texts() -> Vec<String> {
    let dir = tempdir().unwrap();
    let at = |name: &str| dir.path().join(name);
    let without_path = |text: String| text.replace(&dir.path().display().to_string(), "DIR");
    std::fs::write(at("bad.key"), "xyz").unwrap();
    let good = std::fs::read_to_string(fixture("export").join(MANIFEST)).unwrap();
    std::fs::write(at("junk.json"), "{").unwrap();
    std::fs::write(
        at("newer.json"),
        good.replace("\"version\": 1", "\"version\": 2"),
    )
    .unwrap();
    std::fs::write(at("outside.json"), good.replace(EXPORT, "../x")).unwrap();
    let manifest =
        |name: &str| without_path(Manifest::load(&at(name)).expect_err("refused").to_string());
    let empty = Correction {
        tenant: " ".into(),
        ..correction(Subject::Usage, 0, 0)
    };
    let long = Correction {
        reason: "x".repeat(1_025),
        ..correction(Subject::Usage, 0, 0)
    };
    vec![
        without_path(key::load(&at("none.key")).expect_err("missing").to_string()),
        without_path(key::load(&at("bad.key")).expect_err("refused").to_string()),
        without_path(
            key::create(&at("bad.key/x"))
                .expect_err("no folder")
                .to_string(),
        ),
        empty.check().expect_err("empty").to_string(),
        long.check().expect_err("long").to_string(),
        "2026-13"
            .parse::<Period>()
            .expect_err("no month")
            .to_string(),
        serde_json::from_str::<Period>("\"x\"")
            .expect_err("no period")
            .to_string(),
        manifest("none.json"),
        manifest("junk.json"),
        manifest("newer.json"),
        manifest("outside.json"),
    ]
}

/// Returns the findings for exports that do not match their manifests.
fn unreadable_exports() -> Vec<Value> {
    let manifest = std::fs::read_to_string(fixture("export").join(MANIFEST)).unwrap();
    let whole = std::fs::read(fixture("export").join(EXPORT)).unwrap();
    let unpacked = zstd::decode_all(&whole[..]).unwrap();
    let repack = |bytes: &[u8]| zstd::encode_all(bytes, 3).unwrap();
    let mut other_magic = unpacked.clone();
    other_magic[0] ^= 1;
    let mut long_head = unpacked.clone();
    long_head[15] = 0xff;
    let mut junk_head = unpacked.clone();
    junk_head[16] = 0xff;
    let mut last_byte = unpacked.clone();
    *last_byte.last_mut().unwrap() ^= 1;
    let files = [
        b"not compressed".to_vec(),
        repack(&unpacked[..10]),
        repack(&other_magic),
        repack(&long_head),
        repack(&junk_head),
        repack(&last_byte),
        repack(&unpacked[..unpacked.len() - 1]),
        [&whole[..], &[0]].concat(),
    ];
    let mut findings: Vec<Value> = files
        .iter()
        .map(|file| findings_of(&manifest, Some(file)))
        .collect();
    for (was, now) in [
        ("\"corrections\": 3", "\"corrections\": 4"),
        ("\"entries\": 22", "\"entries\": 23"),
        ("\"instance\": \"n1\"", "\"instance\": \"n2\""),
        ("\"served\": ", "\"served\": 1"),
    ] {
        assert!(manifest.contains(was), "{was}");
        findings.push(findings_of(&manifest.replace(was, now), Some(&whole)));
    }
    findings.push(findings_of(&manifest, None));
    findings
}

fn findings_of(manifest: &str, file: Option<&Vec<u8>>) -> Value {
    let dir = tempdir().unwrap();
    std::fs::write(dir.path().join(MANIFEST), manifest).unwrap();
    if let Some(file) = file {
        std::fs::write(dir.path().join(EXPORT), file).unwrap();
    }
    let scanned = scan(&[dir.path().into()], 1, |_| {}).unwrap();
    let findings = serde_json::to_string(&scanned.findings).unwrap();
    let without_path = findings.replace(&dir.path().display().to_string(), "DIR");
    serde_json::from_str(&without_path).unwrap()
}
