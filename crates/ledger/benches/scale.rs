//! Measures how export and reconciliation scale, with entries of 16 instances and 1,000 tenants. Each phase
//! runs in a process of its own, so that its peak memory can be measured.
//!
//! `cargo bench -p streamusher-ledger --bench scale -- 10000 100000 1000000 10000000`

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use streamusher_ledger::entry::{key_hash, Answer, Entry};
use streamusher_ledger::export::export;
use streamusher_ledger::scan::scan;
use streamusher_ledger::store::Store;

const INSTANCES: u64 = 16;
const TENANTS: u64 = 1_000;
const COMMIT_ENTRIES: u64 = 4_096;
const THREADS: usize = 4;

fn dir(root: &Path, instance: u64) -> PathBuf {
    root.join(format!("n{instance}"))
}

/// Deterministic hash that serves as a reproducible random number.
fn hash(n: u64) -> u64 {
    let n = (n ^ n >> 31).wrapping_mul(0x7fb5_d329_728e_a185);
    let n = (n ^ n >> 27).wrapping_mul(0x81da_def4_bc2d_d44d);
    n ^ n >> 33
}

fn generate(root: &Path, entries: u64) {
    let tenants: Vec<String> = (0..TENANTS).map(|t| format!("tenant-{t}")).collect();
    for_each_instance(|i| {
        let mut store = Store::open(&options(&dir(root, i), &format!("n{i}")), DECEMBER).unwrap();
        let mine = entries / INSTANCES;
        let mut seq = 0;
        while seq < mine {
            let last = (seq + COMMIT_ENTRIES).min(mine);
            let batch: Vec<Entry> = (seq + 1..=last)
                .map(|n| {
                    let r = hash(i << 40 | n);
                    let mut e = entry(
                        n,
                        DECEMBER + n * 180 + r % 90,
                        &tenants[(r % TENANTS) as usize],
                        Answer::Served,
                    );
                    e.operation = format!("{:016x}", hash(r));
                    e.run_us = 100_000 + r % 300_000;
                    e.slots_milli = 1_000 * (1 + (r >> 20) as u32 % 2);
                    e.wasted_us = 0;
                    // 12% of the entries carry an idempotency key, as on the platform.
                    e.key = (r % 100 < 12).then(|| key_hash(&KEY, &r.to_string()));
                    e
                })
                .collect();
            let written: Vec<u64> = (seq + 1..=last).collect();
            store.commit(&batch, &written, &[]).unwrap();
            seq = last;
        }
        store.close_due(DECEMBER + 2_000 * HOUR, 0).unwrap();
        store.checkpoint().unwrap();
    });
}

fn for_each_instance(f: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(0);
    std::thread::scope(|s| {
        for _ in 0..THREADS {
            s.spawn(|| loop {
                match next.fetch_add(1, Ordering::Relaxed) {
                    i if i < INSTANCES => f(i),
                    _ => return,
                }
            });
        }
    });
}

fn export_all(root: &Path) {
    for_each_instance(|i| {
        let store = Store::open_for_command(&dir(root, i), KEY).unwrap();
        for seal in store.seals().unwrap() {
            export(&store, seal.period, &root.join("out"), |_| true).unwrap();
        }
    });
}

fn reconcile(root: &Path, entries: u64) {
    let all = scan(&[root.join("out")], THREADS, |_| {}).unwrap();
    assert_eq!(all.findings, vec![]);
    assert_eq!(all.merged.entries(), entries / INSTANCES * INSTANCES);
    let billed: i128 = all
        .merged
        .bill(str::to_string)
        .unwrap()
        .values()
        .map(|u| u.billed())
        .sum();
    assert_eq!(billed, i128::from(all.merged.entries()));
}

fn peak_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.starts_with("VmHWM"))
        .unwrap_or("VmHWM: 0 kB");
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1_024.0
}

fn size(path: &Path) -> u64 {
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    entries
        .map(|e| {
            if e.path().is_dir() {
                size(&e.path())
            } else {
                e.metadata().map_or(0, |m| m.len())
            }
        })
        .sum()
}

fn main() {
    let words: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| a != "--bench")
        .collect();
    if let [phase, root, entries] = &words[..] {
        if let Ok(entries) = entries.parse::<u64>() {
            let (root, begun) = (Path::new(root), Instant::now());
            match phase.as_str() {
                "generate" => generate(root, entries),
                "export" => export_all(root),
                "reconcile" => reconcile(root, entries),
                other => panic!("no such phase: {other}"),
            }
            println!("{} {}", begun.elapsed().as_secs_f64(), peak_mb());
            return;
        }
    }
    let mut counts: Vec<u64> = words.iter().filter_map(|w| w.parse().ok()).collect();
    if counts.is_empty() {
        counts = vec![10_000, 100_000];
    }
    println!("| entries | book, per s | store, bytes each | export, per s | MB | export, bytes each | reconcile, per s | MB |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for n in counts {
        let root = tempfile::tempdir().unwrap();
        let phase = |name: &str| {
            let me = std::env::current_exe().unwrap();
            let done = Command::new(me)
                .args([name, root.path().to_str().unwrap(), &n.to_string()])
                .output()
                .unwrap();
            assert!(
                done.status.success(),
                "{name}: {}",
                String::from_utf8_lossy(&done.stderr)
            );
            let text = String::from_utf8(done.stdout).unwrap();
            let mut figures = text.split_whitespace().map(|f| f.parse::<f64>().unwrap());
            (n as f64 / figures.next().unwrap(), figures.next().unwrap())
        };
        let (booked, _) = phase("generate");
        let stored = size(root.path()) as f64 / n as f64;
        let (exported, export_mb) = phase("export");
        let out = size(&root.path().join("out")) as f64 / n as f64;
        let (merged, merge_mb) = phase("reconcile");
        println!(
            "| {n} | {booked:.0} | {stored:.1} | {exported:.0} | {export_mb:.0} | {out:.1} | {merged:.0} | {merge_mb:.0} |"
        );
    }
}
