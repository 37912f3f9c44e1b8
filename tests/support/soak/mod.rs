//! Soak test of dispatchers with ledgers, run as real processes. Clients keep their connections open for as
//! long as possible while series of signals, restarts, replacements, configuration changes and store locks
//! overlap.
//!
//! - `instance`: one dispatcher, its process and the record of ended processes
//! - `client`: sequential requests and checks of their outcomes
//! - `disruptions`: the series of disruptions

mod client;
mod disruptions;
mod instance;

use super::billing::{billed, received, settle_and_export, Operations};
use super::{Files, Shed};
use client::Outcomes;
use instance::Instance;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Parameters of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Time during which disruptions occur.
    pub duration: Duration,
    /// Number of dispatchers.
    pub instances: usize,
    /// Number of clients per dispatcher.
    pub clients: usize,
    /// Number of series of disruptions that run concurrently.
    pub series: usize,
}

/// State shared by the clients, the disruptions and the soak itself.
struct Shared {
    instances: Vec<Instance>,
    is_over: AtomicBool,
    next_operation: AtomicU64,
    outcomes: Mutex<Outcomes>,
    failures: Mutex<Vec<String>>,
}

impl Shared {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn fail(&self, failure: String) {
        self.failures.lock().unwrap().push(failure);
    }
}

/// Result of a soak.
pub struct SoakReport {
    /// Violations found; empty in a successful run.
    pub failures: Vec<String>,
    pub received: Operations,
    pub billed: Operations,
}

/// Runs a soak to its end and prints a summary line.
pub fn run(options: SoakOptions) -> SoakReport {
    let root = Files::new();
    root.add("shared.key", &"5c".repeat(32));
    let worker = Shed::start("serves");
    let worker_address = worker.addr;
    let drained = std::thread::spawn(move || while worker.sent.recv().is_ok() {});
    let instances = (0..options.instances)
        .map(|number| Instance::start(number, &root.0, worker_address))
        .collect();
    let shared = Arc::new(Shared {
        instances,
        is_over: AtomicBool::new(false),
        next_operation: AtomicU64::new(1),
        outcomes: Mutex::default(),
        failures: Mutex::default(),
    });
    let clients = threads(
        &shared,
        options.instances * options.clients,
        move |shared, n| {
            client::run(shared, random(options.seed, 1, n));
        },
    );
    let series = threads(&shared, options.series, move |shared, n| {
        disruptions::run(shared, random(options.seed, 2, n));
    });
    std::thread::sleep(options.duration);
    shared.is_over.store(true, Ordering::Relaxed);
    for thread in series.into_iter().chain(clients) {
        thread.join().unwrap();
    }
    for (number, instance) in shared.instances.iter().enumerate() {
        // Every second instance is terminated and finishes its requests in flight; the others are killed.
        instance.end(&shared, number % 2 == 0);
    }
    drop(drained);
    report(options, &shared, &root)
}

fn report(options: SoakOptions, shared: &Shared, root: &Files) -> SoakReport {
    let outcomes = std::mem::take(&mut *shared.outcomes.lock().unwrap());
    let mut choices = random(options.seed, 3, 0);
    let bill = settle_and_export(&outcomes.receipts, options.instances, &mut choices, root);
    let done: Vec<_> = shared.instances.iter().map(Instance::disruptions).collect();
    println!(
        "soak {options:?}: {} receipts, statuses {:?}, {} connections broken, {} disruptions, entries {}",
        outcomes.receipts.len(),
        outcomes.statuses,
        outcomes.broken,
        done.iter().sum::<usize>(),
        bill["report"]["entries"],
    );
    SoakReport {
        failures: std::mem::take(&mut *shared.failures.lock().unwrap()),
        received: received(&outcomes.receipts),
        billed: billed(&bill),
    }
}

fn random(seed: u64, stream: u64, number: usize) -> Pcg64 {
    Pcg64::seed_from_u64(seed ^ stream << 56 ^ (number as u64 + 1) << 24)
}

fn threads(
    shared: &Arc<Shared>,
    count: usize,
    run: impl Fn(&Shared, usize) + Send + Clone + 'static,
) -> Vec<std::thread::JoinHandle<()>> {
    (0..count)
        .map(|number| {
            let (shared, run) = (shared.clone(), run.clone());
            std::thread::spawn(move || run(&shared, number))
        })
        .collect()
}
