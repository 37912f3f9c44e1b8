//! Compares the daemon with the ledger on and off, in pairs within one run: throughput, latency, memory.
//!
//! `cargo bench --bench ledger -- [SECONDS] [PAIRS]`. Clients send on a fixed schedule regardless of the
//! answers, and latency counts from the scheduled time.

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::*;

const CLIENTS: u64 = 48;
const WORKERS: usize = 6;

struct Leg {
    per_s: f64,
    latency: Histogram<u64>,
    peak_mb: f64,
}

fn run_leg(rate: u64, time: Duration, ledger: bool, sheds: &[SocketAddr]) -> Leg {
    let files = Files::new();
    let rows: String = sheds
        .iter()
        .enumerate()
        .map(|(n, a)| format!("shed-{n},127.0.0.1,{},pump-house,standard\n", a.port()))
        .collect();
    files.add(
        "workers.csv",
        &format!("name,address,port,zone,kind\n{rows}"),
    );
    let mut config = config(&[]);
    let dir = files.0.join("ledger");
    let table = format!("[ledger]\ndir = '{}'\n", dir.display());
    config["operators"] = format!(
        "[drmaa]\ninventory = 'workers.csv'\n{}",
        if ledger { table.as_str() } else { "" }
    )
    .into();
    let program = Program::with(files, &config, None, &[]);
    if ledger {
        program.logged("the ledger is open");
    }
    let begun = Instant::now() + Duration::from_millis(100);
    let interval = Duration::from_secs_f64(CLIENTS as f64 / rate as f64);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let addr = program.addr;
            std::thread::spawn(move || {
                let mut latency = Histogram::<u64>::new_with_max(60_000_000, 3).unwrap();
                let mut stream = connect(addr);
                let mut due = begun + interval.mul_f64(n as f64 / CLIENTS as f64);
                for i in 0.. {
                    if due > begun + time {
                        break;
                    }
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let class = ["depth-log", "layer-view"][i % 2];
                    let answer = exchange(
                        &mut stream,
                        &operation(class, &format!("{n:08x}{i:08x}"), 5_000),
                    );
                    match answer {
                        Some(a) if a.status() == 200 => {
                            latency.saturating_record(due.elapsed().as_micros() as u64)
                        }
                        Some(_) => {}
                        None => stream = connect(addr),
                    }
                    due += interval;
                }
                latency
            })
        })
        .collect();
    let mut latency = Histogram::<u64>::new_with_max(60_000_000, 3).unwrap();
    clients
        .into_iter()
        .for_each(|c| latency.add(c.join().unwrap()).unwrap());
    let per_s = latency.len() as f64 / begun.elapsed().as_secs_f64();
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap_or_default();
    let peak = status
        .lines()
        .find(|l| l.starts_with("VmHWM"))
        .and_then(|l| l.split_whitespace().nth(1));
    let peak_mb = peak.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1_024.0;
    Leg {
        per_s,
        latency,
        peak_mb,
    }
}

/// Returns the 99th percentile and the median time of a 4 KiB write with its sync on this disk, in
/// microseconds.
fn measure_sync() -> (u64, u64) {
    let files = Files::new();
    let mut file = File::create(files.0.join("sync")).unwrap();
    let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).unwrap();
    for _ in 0..500 {
        let begun = Instant::now();
        file.write_all(&[0; 4_096]).unwrap();
        file.sync_data().unwrap();
        times.saturating_record(begun.elapsed().as_micros() as u64);
    }
    (times.value_at_quantile(0.99), times.value_at_quantile(0.5))
}

fn main() {
    let numbers: Vec<u64> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    let (seconds, pairs) = (
        numbers.first().copied().unwrap_or(5),
        numbers.get(1).copied().unwrap_or(3),
    );
    let sheds: Vec<Shed> = (0..WORKERS).map(|_| Shed::start("serves")).collect();
    let addrs: Vec<SocketAddr> = sheds.iter().map(|s| s.addr).collect();
    for shed in sheds {
        std::thread::spawn(move || while shed.sent.recv().is_ok() {});
    }
    let (p99, p50) = measure_sync();
    println!("one sync of this disk: median {p50} us, p99 {p99} us");
    println!("| jobs a second | off, per s | on, per s | ratio | p50 off/on, us | p99 off/on, us | added p99, us | MB off/on |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for rate in [500, 2_000] {
        let (mut off, mut on) = (Vec::new(), Vec::new());
        for pair in 0..pairs {
            // The variants alternate, so that a drift of the machine affects both.
            for ledger in [pair % 2 == 1, pair % 2 == 0] {
                let done = run_leg(rate, Duration::from_secs(seconds), ledger, &addrs);
                if ledger { &mut on } else { &mut off }.push(done);
            }
        }
        let median = |legs: &[Leg], f: &dyn Fn(&Leg) -> f64| {
            let mut all: Vec<f64> = legs.iter().map(f).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        let at = |q: f64| move |l: &Leg| l.latency.value_at_quantile(q) as f64;
        let (a, b) = (median(&off, &|l| l.per_s), median(&on, &|l| l.per_s));
        let (p50_off, p50_on) = (median(&off, &at(0.5)), median(&on, &at(0.5)));
        let (p99_off, p99_on) = (median(&off, &at(0.99)), median(&on, &at(0.99)));
        let (mb_off, mb_on) = (median(&off, &|l| l.peak_mb), median(&on, &|l| l.peak_mb));
        println!(
            "| {rate} | {a:.0} | {b:.0} | {:.3} | {p50_off:.0} / {p50_on:.0} | {p99_off:.0} / {p99_on:.0} | {:.0} | {mb_off:.1} / {mb_on:.1} |",
            b / a,
            p99_on - p99_off
        );
    }
}
