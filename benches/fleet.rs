//! Measures the cost of sharing on the data path, and the time until a healed fleet has one tally, with real
//! processes on loopback.
//!
//!     cargo bench --bench fleet -- LEGS SECONDS

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::fleet::{Clients, Fleet, Plan};
use support::{connect, exchange};

/// Returns the processor time used by a process so far, in clock ticks of 10 ms.
fn ticks(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    fields[11..13]
        .iter()
        .filter_map(|f| f.parse::<f64>().ok())
        .sum()
}

fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Sends operations one after another from each of `threads` clients for `time`. Returns the latencies in
/// microseconds.
fn load(addr: SocketAddr, time: Duration, threads: usize) -> Histogram<u64> {
    let all: Vec<_> = (0..threads)
        .map(|t| {
            std::thread::spawn(move || {
                let (mut stream, mut took) = (connect(addr), Histogram::<u64>::new(3).expect("three digits"));
                let begun = Instant::now();
                let mut n = 0u64;
                while begun.elapsed() < time {
                    n += 1;
                    let id = format!("{:08x}{t:02x}{n:06x}", begun.elapsed().subsec_nanos());
                    let text = format!(
                        "POST /depth-log/bh-7 HTTP/1.1\r\nHost: x\r\nX-Tenant: t0\r\nX-Correlation-Id: {id}\r\n\
                         X-Time-Left-Ms: 3000\r\nContent-Length: 4\r\n\r\ncore"
                    );
                    let from = Instant::now();
                    if exchange(&mut stream, &text).is_some_and(|a| a.status() == 200) {
                        took.record(from.elapsed().as_micros() as u64).expect("in range");
                    }
                }
                took
            })
        })
        .collect();
    all.into_iter()
        .fold(Histogram::new(3).expect("three digits"), |mut sum, t| {
            sum.add(t.join().expect("a client")).expect("same form");
            sum
        })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let (legs, seconds) = (
        numbers.first().copied().unwrap_or(5),
        numbers.get(1).copied().unwrap_or(2),
    );
    // The same load is applied in turn to one member of three fleets: without sharing, with sharing, and with
    // two copies.
    let variants = [("off", false, 0), ("on", true, 0), ("copies = 2", true, 2)];
    let fleets: Vec<Fleet> = variants
        .iter()
        .map(|&(_, on, copies)| {
            let limit = on.then_some(3_000);
            Fleet::start(Plan {
                on,
                copies,
                limit,
                gossip_ms: 200,
                deadline_ms: 3_000,
                ..Plan::default()
            })
        })
        .collect();
    fleets[1..].iter().for_each(|f| {
        f.joined();
        f.seated();
    });
    let mut cpu: Vec<Vec<f64>> = vec![Vec::new(); 3];
    let mut took: Vec<Histogram<u64>> = (0..3)
        .map(|_| Histogram::new(3).expect("three digits"))
        .collect();
    for leg in 0..legs as usize {
        for v in 0..3 {
            let v = (v + leg) % 3; // rotates the variant that is measured first
            let pid = fleets[v].members[0]
                .program
                .as_ref()
                .expect("it runs")
                .child
                .id();
            let before = ticks(pid);
            let latencies = load(fleets[v].members[0].addr, Duration::from_secs(seconds), 2);
            cpu[v].push((ticks(pid) - before) * 10_000.0 / latencies.len().max(1) as f64);
            took[v].add(latencies).expect("same form");
        }
    }
    let base = median(cpu[0].clone());
    println!("variant      CPU an operation, us  ratio  p50 us  p99 us  memory kB");
    for (v, (name, _, _)) in variants.iter().enumerate() {
        let pid = fleets[v].members[0]
            .program
            .as_ref()
            .expect("it runs")
            .child
            .id();
        let us = median(cpu[v].clone());
        println!(
            "{name:<11}  {us:>20.1}  {:>5.3}  {:>6}  {:>6}  {:>9}",
            us / base,
            took[v].value_at_quantile(0.5),
            took[v].value_at_quantile(0.99),
            memory_kb(pid)
        );
    }
    drop(fleets);
    println!("members  from healing to one tally, gossip periods of 50 ms: p50  p99");
    for members in [3, 12] {
        let fleet = Fleet::start(Plan {
            members,
            ..Plan::default()
        });
        fleet.joined();
        let half: Vec<usize> = (0..members / 2).collect();
        let mut periods = Vec::new();
        for _ in 0..legs * 3 {
            fleet.part(&half);
            let clients =
                Clients::start(&fleet, &[0, members - 1], 1, &["t0", "t1"], Duration::ZERO);
            clients.more(100);
            clients.end();
            let healed = Instant::now();
            fleet.heal();
            fleet.one_tally();
            periods.push(healed.elapsed().as_secs_f64() / 0.05);
        }
        periods.sort_by(f64::total_cmp);
        let at = |p: usize| periods[(periods.len() - 1) * p / 100];
        println!("{members:>7}  {:>58.1} {:>4.1}", at(50), at(99));
    }
}
