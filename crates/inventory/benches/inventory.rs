//! Time to read 5,000 hosts in each format, and time to apply an update that changes one worker or all of
//! them.
//!
//! `cargo bench -p streamusher-inventory`

#![allow(clippy::expect_used, reason = "a benchmark fails by panicking")]

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use std::hint::black_box;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use streamusher_inventory::membership::{DrainLimit, Membership, MembershipPolicy};
use streamusher_inventory::{
    read_inventory, write_inventory, FileSource, Host, KnownNames, OutputFormat,
};

struct OneFile(String);

impl FileSource for OneFile {
    fn read(&self, _: &Path) -> io::Result<Vec<u8>> {
        Ok(self.0.clone().into_bytes())
    }

    fn list(&self, _: &Path) -> io::Result<Vec<PathBuf>> {
        Ok(Vec::new())
    }
}

fn hosts(count: u32, weight: f64) -> Vec<Host> {
    let host = |n: u32| {
        let [_, _, high, low] = n.to_be_bytes();
        Host {
            name: format!("core-{n}"),
            addr: ([10, 1, high, low], 6_444).into(),
            zone: ["harbour-st", "pump-house", "north-yard"][n as usize % 3].into(),
            kind: "standard".into(),
            cell: 0,
            weight,
        }
    };
    (0..count).map(host).collect()
}

fn reading(c: &mut Criterion) {
    let mut group = c.benchmark_group("read 5,000 hosts");
    group
        .sample_size(10)
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(300));
    for (format, name) in [
        (OutputFormat::Csv, "a.csv"),
        (OutputFormat::Yaml, "a.yml"),
        (OutputFormat::Ini, "a.ini"),
        (OutputFormat::Json, "a.json"),
    ] {
        let file = OneFile(write_inventory(&hosts(5_000, 1.0), format));
        group.bench_function(name, |b| {
            b.iter(|| {
                black_box(
                    read_inventory(&file, Path::new(name), &KnownNames::default())
                        .map_or(0, |inventory| inventory.hosts.len()),
                )
            });
        });
    }
    group.finish();
}

fn changes(c: &mut Criterion) {
    let mut group = c.benchmark_group("a change");
    group
        .sample_size(20)
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(300));
    for count in [10, 500, 5_000] {
        let policy = MembershipPolicy {
            drain_us: 5_000_000,
            max_drained_fraction: 0.3,
            allow_empty: false,
        };
        let mut membership = Membership::new(policy, 1);
        membership
            .update(0, 0, hosts(count, 1.0), DrainLimit::Enforced)
            .expect("a first update");
        let mut one = hosts(count, 1.0);
        one[3].weight = 2.0;
        for (changed, hosts) in [("1", one), ("all", hosts(count, 2.0))] {
            group.bench_function(format!("{changed} of {count}"), |b| {
                b.iter_batched(
                    || (membership.clone(), hosts.clone()),
                    |(mut membership, hosts)| {
                        membership
                            .update(1, 0, hosts, DrainLimit::Enforced)
                            .expect("a valid update");
                        membership
                    },
                    BatchSize::LargeInput,
                );
            });
        }
    }
    group.finish();
}

criterion_group!(benches, reading, changes);
criterion_main!(benches);
