//! Makes the store of a dispatcher's ledger unavailable for writes: locks its database or fills it.

use std::path::Path;
use streamusher_ledger::{entry, period::Span, store};

/// Opens a write transaction on the database from another connection. The dispatcher cannot write until the
/// connection is dropped. Panics if the store is locked or missing.
pub fn lock(dir: &Path) -> rusqlite::Connection {
    try_lock(dir).expect("the ledger store is locked or missing")
}

/// Opens a write transaction as `lock` does. Returns `None` while the dispatcher writes to the store or
/// creates it.
pub fn try_lock(dir: &Path) -> Option<rusqlite::Connection> {
    let flags = rusqlite::OpenFlags::SQLITE_OPEN_READ_WRITE;
    let lock = rusqlite::Connection::open_with_flags(dir.join(store::DATABASE_FILE), flags).ok()?;
    lock.execute_batch("BEGIN IMMEDIATE").ok()?;
    Some(lock)
}

/// Fills the ledger in this folder until its database file is larger than `bytes`.
pub fn fill(dir: &Path, bytes: u64) {
    let (instance, key) = ("n1".to_string(), [7; 32]);
    let options = store::Options {
        dir: dir.into(),
        instance,
        span: Span::Hour,
        key,
        max_bytes: None,
    };
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_micros() as u64;
    let mut store = store::Store::open(&options, now).unwrap();
    let entry = |seq| entry::Entry {
        seq,
        time_us: now,
        operation: "x".repeat(100),
        tenant: "filler".into(),
        class: "depth-log".into(),
        answer: entry::Answer::Served,
        joined: false,
        slots_milli: 1_000,
        run_us: 1,
        wasted_us: 0,
        attempts: 1,
        key: None,
    };
    for first in (1..).step_by(100) {
        let entries: Vec<_> = (first..first + 100).map(entry).collect();
        let numbers: Vec<u64> = (first..first + 100).collect();
        store.commit(&entries, &numbers, &[]).unwrap();
        store.checkpoint().unwrap();
        if dir.join(store::DATABASE_FILE).metadata().unwrap().len() > bytes {
            return;
        }
    }
}
