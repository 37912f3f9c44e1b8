//! Reading 5,000 hosts in each form, and what a change costs: 1 of 5,000 workers, and all of them.
//!
//! `cargo bench -p streamusher-inventory`

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use std::hint::black_box;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use streamusher_inventory::host::{Host, Known};
use streamusher_inventory::membership::{Membership, Rules};
use streamusher_inventory::read::{read, Source};
use streamusher_inventory::write::{write, To};

struct One(String);

impl Source for One {
    fn read(&self, _: &Path) -> io::Result<Vec<u8>> {
        Ok(self.0.clone().into_bytes())
    }

    fn list(&self, _: &Path) -> io::Result<Vec<PathBuf>> {
        Ok(Vec::new())
    }
}

fn hosts(count: u32, weight: f64) -> Vec<Host> {
    let host = |n: u32| Host {
        name: format!("core-{n}"),
        addr: ([10, 1, (n >> 8) as u8, n as u8], 6_444).into(),
        zone: ["harbour-st", "pump-house", "north-yard"][n as usize % 3].into(),
        kind: "standard".into(),
        cell: 0,
        weight,
    };
    (0..count).map(host).collect()
}

fn reading(c: &mut Criterion) {
    let mut group = c.benchmark_group("read 5,000 hosts");
    group
        .sample_size(10)
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(300));
    for (to, name) in [
        (To::Csv, "a.csv"),
        (To::Yaml, "a.yml"),
        (To::Ini, "a.ini"),
        (To::Json, "a.json"),
    ] {
        let file = One(write(&hosts(5_000, 1.0), to));
        group.bench_function(name, |b| {
            b.iter(|| {
                black_box(
                    read(&file, Path::new(name), &Known::default())
                        .map(|r| r.hosts.len())
                        .unwrap_or(0),
                )
            })
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
        let rules = Rules {
            drain_us: 5_000_000,
            most_drained: 0.3,
            empty: false,
        };
        let mut start = Membership::new(rules, 1);
        start
            .word(0, 0, hosts(count, 1.0), false)
            .expect("a first word");
        let mut one = hosts(count, 1.0);
        one[3].weight = 2.0;
        for (what, word) in [("1", one), ("all", hosts(count, 2.0))] {
            group.bench_function(format!("{what} of {count}"), |b| {
                b.iter_batched(
                    || (start.clone(), word.clone()),
                    |(mut m, word)| {
                        m.word(1, 0, word, false).expect("a good word");
                        m
                    },
                    BatchSize::LargeInput,
                )
            });
        }
    }
    group.finish();
}

criterion_group!(benches, reading, changes);
criterion_main!(benches);
