//! Helpers shared by the tests and benchmarks: store options, a store in a folder, and entries.
#![allow(dead_code)]

use std::path::Path;
use std::sync::Arc;
use streamusher_ledger::entry::{key_hash, Answer, Entry, Micros};
use streamusher_ledger::period::Span;
use streamusher_ledger::store::{Options, Store};

pub const KEY: [u8; 32] = [7; 32];
/// 2026-12-01T00:00:00Z
pub const DECEMBER: Micros = 1_796_083_200_000_000;
pub const SECOND: Micros = 1_000_000;
pub const HOUR: Micros = 3_600 * SECOND;

pub fn options(dir: &Path, instance: &str) -> Options {
    Options {
        dir: dir.into(),
        instance: instance.into(),
        span: Span::Hour,
        key: KEY,
        max_bytes: None,
    }
}

pub fn open(dir: &Path) -> Store {
    Store::open(&options(dir, "n1"), DECEMBER).expect("a store")
}

pub fn entry(seq: u64, time_us: Micros, tenant: &str, answer: Answer) -> Entry {
    Entry {
        seq,
        time_us,
        operation: format!("{:016x}", seq.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        tenant: Arc::from(tenant),
        class: Arc::from(if seq.is_multiple_of(3) {
            "sample-entry"
        } else {
            "depth-log"
        }),
        answer,
        joined: false,
        slots_milli: 1_500,
        run_us: 200_000 + seq,
        wasted_us: seq % 7,
        attempts: 1,
        key: seq
            .is_multiple_of(3)
            .then(|| key_hash(&KEY, &seq.to_string())),
    }
}

/// Commits entries of one tenant, all served and delivered.
pub fn commit_served(store: &mut Store, numbers: std::ops::RangeInclusive<u64>, time_us: Micros) {
    let entries: Vec<Entry> = numbers
        .map(|n| entry(n, time_us + n, "hydrology", Answer::Served))
        .collect();
    let written: Vec<u64> = entries.iter().map(|e| e.seq).collect();
    store.commit(&entries, &written, &[]).expect("a commit");
}
