//! Measures one commit of ledger entries by number of entries, for the ledger's SQLite store and the two
//! alternatives that it was compared with.
//!
//! Each commit is on disk before it counts. Run with `cargo bench -p streamusher-ledger --bench stores`; the
//! bytes stored per entry are printed first.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion, Throughput};
use fjall::{Database, KeyspaceCreateOptions, PersistMode};
use redb::{ReadableDatabase, TableDefinition};
use std::path::Path;
use std::time::Duration;
use streamusher_ledger::entry::{pack, Answer, Entry, Row};
use streamusher_ledger::store::Store;
use tempfile::{tempdir, TempDir};

const BLOCKS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("blocks");
const MARKS: TableDefinition<u64, &[u8]> = TableDefinition::new("marks");
const SIZES: [u64; 4] = [1, 16, 256, 4_096];

/// Storage operations of the ledger: blocks of entries, and a small record that each commit replaces.
trait Commits {
    fn commit(&mut self, entries: &[Entry]);
}

impl Commits for Store {
    fn commit(&mut self, entries: &[Entry]) {
        let written: Vec<u64> = entries.iter().map(|e| e.seq).collect();
        Store::commit(self, entries, &written, &[]).expect("a commit");
    }
}

fn block(entries: &[Entry]) -> Vec<u8> {
    let (mut bytes, mut before) = (Vec::new(), (entries[0].seq, DECEMBER));
    for e in entries {
        let row = Row::from_entry(e, 1, 2);
        pack(&row, before, &mut bytes);
        before = (row.seq, row.time_us);
    }
    bytes
}

struct Redb(redb::Database);

impl Commits for Redb {
    fn commit(&mut self, entries: &[Entry]) {
        let write = self.0.begin_write().unwrap();
        write
            .open_table(BLOCKS)
            .unwrap()
            .insert((1, entries[0].seq), block(entries).as_slice())
            .unwrap();
        write
            .open_table(MARKS)
            .unwrap()
            .insert(1, &entries[0].seq.to_le_bytes()[..])
            .unwrap();
        write.commit().unwrap();
    }
}

struct Fjall(Database, fjall::Keyspace);

impl Commits for Fjall {
    fn commit(&mut self, entries: &[Entry]) {
        let mut batch = self.0.batch();
        batch.insert(&self.1, entries[0].seq.to_be_bytes(), block(entries));
        batch.insert(&self.1, b"marks", entries[0].seq.to_le_bytes());
        batch.commit().unwrap();
        self.0.persist(PersistMode::SyncAll).unwrap();
    }
}

fn create_store(kind: &str, dir: &Path) -> Box<dyn Commits> {
    match kind {
        "sqlite" => Box::new(open(dir)),
        "redb" => Box::new(Redb(redb::Database::create(dir.join("redb")).unwrap())),
        _ => {
            let db = Database::builder(dir.join("fjall")).open().unwrap();
            let blocks = db
                .keyspace("blocks", KeyspaceCreateOptions::default)
                .unwrap();
            Box::new(Fjall(db, blocks))
        }
    }
}

fn bytes_in(dir: &Path) -> u64 {
    let entries = std::fs::read_dir(dir).into_iter().flatten().flatten();
    entries
        .map(|e| {
            if e.path().is_dir() {
                bytes_in(&e.path())
            } else {
                e.metadata().map_or(0, |m| m.len())
            }
        })
        .sum()
}

fn entries(from: u64, count: u64) -> Vec<Entry> {
    (from..from + count)
        .map(|n| entry(n, DECEMBER + n * 500, "hydrology", Answer::Served))
        .collect()
}

fn print_sizes() {
    println!("bytes for each entry, 20,000 entries (write-ahead log checkpointed):");
    for kind in ["sqlite", "redb", "fjall"] {
        for size in [1, 16, 256] {
            let dir: TempDir = tempdir().unwrap();
            let mut store = create_store(kind, dir.path());
            let count = if size == 1 { 4_000 } else { 20_000 };
            (0..count / size).for_each(|n| store.commit(&entries(1 + n * size, size)));
            drop(store);
            if kind == "sqlite" {
                Store::open_for_command(dir.path(), KEY)
                    .unwrap()
                    .checkpoint()
                    .unwrap();
            }
            if kind == "redb" {
                let mut db = redb::Database::open(dir.path().join("redb")).unwrap();
                db.compact().unwrap();
                let _ = db.begin_read().unwrap();
            }
            println!(
                "  {kind:6} commits of {size:4}: {:6.1}",
                bytes_in(dir.path()) as f64 / count as f64
            );
        }
    }
}

fn commits(c: &mut Criterion) {
    print_sizes();
    let mut group = c.benchmark_group("commit");
    group
        .sample_size(20)
        .measurement_time(Duration::from_secs(3))
        .warm_up_time(Duration::from_millis(500));
    for size in SIZES {
        group.throughput(Throughput::Elements(size));
        for kind in ["sqlite", "redb", "fjall"] {
            let dir = tempdir().unwrap();
            let (mut store, mut next) = (create_store(kind, dir.path()), 1);
            group.bench_function(BenchmarkId::new(kind, size), |b| {
                b.iter_batched(
                    || {
                        next += size;
                        entries(next - size, size)
                    },
                    |entries| store.commit(&entries),
                    BatchSize::PerIteration,
                );
            });
        }
    }
    group.finish();
}

criterion_group!(benches, commits);
criterion_main!(benches);
