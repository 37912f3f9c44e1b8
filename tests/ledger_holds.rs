//! Instances killed and restarted at random whose answers hardly wait for the disk: which results may be in no bill.
//!
//! `STREAMUSHER_SEED` and `STREAMUSHER_ROUNDS` (restarts) make it another run, or a longer one.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::restarts::*;
use support::*;

/// So short a hold that hardly any entry is durable before it is over, on any machine.
const SHORT_HOLD: &str = "hold_ms = 1\n";
/// How the log names an answer that did not wait for its entry.
const ANSWERED_EARLY: &str = "an answer went out before it was known to be booked";
/// How the log names a ledger that could not be opened or written.
const FAILED: &str = "the ledger cannot be written";

/// What clients got and what was booked for it, after restarts at random.
struct Outcome {
    receipts: Vec<Receipt>,
    /// Operations by tenant and class that are billed.
    billed: BTreeMap<(String, String), i64>,
    /// Answers that did not wait for their entries.
    answered_early: usize,
    /// The log's lines about these, and about ledgers that could not be written.
    failures: Vec<String>,
}

impl Outcome {
    /// Operations by tenant and class that clients have receipts for.
    fn received(&self) -> BTreeMap<(String, String), i64> {
        let mut received: BTreeMap<(String, String), i64> = BTreeMap::new();
        for (_, tenant, class) in &self.receipts {
            *received.entry((tenant.clone(), class.clone())).or_default() += 1;
        }
        received
    }

    /// Nothing is billed that was not received, and each receipt that is in no bill is of an answer that the log names as
    /// early: bill and receipts agree to the unit where none was.
    fn assert_only_early_answers_are_missing(&self) {
        let received = self.received();
        for (line, billed) in &self.billed {
            let received = received.get(line).copied().unwrap_or(0);
            assert!(*billed <= received, "{line:?}: {billed} of {received}");
        }
        let missing = received.values().sum::<i64>() - self.billed.values().sum::<i64>();
        println!("{missing} missing");
        assert!(
            missing <= self.answered_early as i64,
            "{missing} missing: {:?}",
            self.failures
        );
    }
}

/// Starts instances and clients, kills or stops an instance after each of `rounds` short whiles and starts it again, then
/// settles what is in doubt by the clients' receipts, closes, exports and reconciles.
fn restart_at_random(seed: u64, rounds: u64, ledger_settings: &str) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(seed);
    let root = Files::new();
    root.add("shared.key", &"5c".repeat(32));
    let (receipts, logged) = serve_through_restarts(seed, rounds, ledger_settings, &mut rng, &root);
    let bill = settle_and_export(&receipts, &mut rng, &root);
    let tells_of_failure = |line: &&String| line.contains(ANSWERED_EARLY) || line.contains(FAILED);
    let failures: Vec<String> = logged
        .into_iter()
        .filter(|line| tells_of_failure(&line))
        .collect();
    let answered_early = failures
        .iter()
        .filter(|line| line.contains(ANSWERED_EARLY))
        .count();
    println!(
        "seed {seed}, {rounds} restarts, {ledger_settings:?}: {} receipts, {answered_early} answered early, {} entries",
        receipts.len(),
        bill["report"]["entries"],
    );
    let mut billed: BTreeMap<(String, String), i64> = BTreeMap::new();
    for line in bill["bill"].as_array().unwrap() {
        let text = |key: &str| line[key].as_str().unwrap().to_string();
        let sums = &line["sums"];
        let operations = sums["served"].as_i64().unwrap() + sums["corrected"].as_i64().unwrap();
        *billed.entry((text("tenant"), text("class"))).or_default() += operations;
    }
    billed.retain(|_, operations| *operations != 0);
    Outcome {
        receipts,
        billed,
        answered_early,
        failures,
    }
}

/// The clients' receipts, and what all instances logged.
fn serve_through_restarts(
    seed: u64,
    rounds: u64,
    ledger_settings: &str,
    rng: &mut Pcg64,
    root: &Files,
) -> (Vec<Receipt>, Vec<String>) {
    let shed = Shed::start("serves");
    let shed_addr = shed.addr;
    let shared = Arc::new(Shared {
        addrs: (0..INSTANCES).map(free).collect(),
        next: AtomicU64::new(1),
        stop: AtomicBool::new(false),
        receipts: Mutex::default(),
        retried_elsewhere: AtomicU64::new(0),
    });
    let restart = |n: usize| start_with(n, shared.addrs[n], &root.0, shed_addr, ledger_settings);
    let mut programs: Vec<Program> = (0..INSTANCES).map(restart).collect();
    let drained = std::thread::spawn(move || while shed.sent.recv().is_ok() {});
    let clients: Vec<_> = (0..INSTANCES * CLIENTS)
        .map(|n| {
            let shared = shared.clone();
            let rng = Pcg64::seed_from_u64(seed ^ (n as u64 + 1) << 32);
            std::thread::spawn(move || client(&shared, rng, n % INSTANCES))
        })
        .collect();
    let mut logged = Vec::new();
    for _ in 0..rounds {
        std::thread::sleep(Duration::from_millis(rng.random_range(5..60))); // work goes on meanwhile
        let n = rng.random_range(0..INSTANCES);
        if rng.random_bool(0.04) {
            programs[n].signal("TERM");
            assert!(programs[n].child.wait().unwrap().success());
            logged.extend(programs[n].rest_of_log());
        } else {
            logged.extend(programs[n].kill());
        }
        programs[n] = restart(n);
    }
    shared.stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    for program in &mut programs {
        logged.extend(program.kill());
    }
    drop(drained);
    let receipts = std::mem::take(&mut *shared.receipts.lock().unwrap());
    assert!(!receipts.is_empty());
    let retried = shared.retried_elsewhere.load(Ordering::Relaxed);
    println!("{retried} retried elsewhere");
    (receipts, logged)
}

/// Settles each instance's doubts by the receipts, closes and exports it, each also interrupted by a kill; the bill of all.
fn settle_and_export(receipts: &[Receipt], rng: &mut Pcg64, root: &Files) -> Value {
    let key = root.0.join("shared.key");
    let key = key.to_str().unwrap();
    let rows: String = receipts
        .iter()
        .map(|(id, tenant, class)| format!("{id},{tenant},{class}\n"))
        .collect();
    let file = root.add("receipts.csv", &format!("operation,tenant,class\n{rows}"));
    let receipts_file = file.to_str().unwrap();
    let exports = root.0.join("exports");
    let exports = exports.to_str().unwrap();
    for n in 0..INSTANCES {
        let dir = root.0.join(format!("n{n}"));
        let settle = ["doubts", "--receipts", receipts_file, "--author", "test"];
        let settled = json(&dir, &settle, key);
        println!(
            "instance {n}: doubts {} billed, {} waived",
            settled["billed"], settled["waived"]
        );
        // A close and an export that are killed wherever they are, then run again.
        let close = ["close", "--through", "2999-12-31T23"];
        run_and_kill(&dir, &close, key, rng.random_range(0..10));
        json(&dir, &close, key);
        json(&dir, &["verify"], key);
        let export = ["export", "--to", exports];
        run_and_kill(&dir, &export, key, rng.random_range(0..20));
        let first = json(&dir, &export, key);
        assert_eq!(json(&dir, &export, key), first, "the same again");
    }
    // The corrections that settle doubts stand in an open period, or in the closed ones of this export.
    let bill = json(&root.0, &["reconcile", exports], key);
    let findings = bill["report"]["findings"].as_array().unwrap();
    let kinds: BTreeSet<&str> = findings
        .iter()
        .map(|f| f["what"].as_str().unwrap())
        .collect();
    assert!(
        kinds.is_subset(&BTreeSet::from(["repeated"])),
        "{findings:?}"
    );
    bill
}

/// Starts a command of the ledger and kills it after so many milliseconds.
fn run_and_kill(dir: &Path, words: &[&str], key: &str, after_ms: u64) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_streamusher"));
    command
        .arg("ledger")
        .args(words)
        .args(["--key-file", key, "--dir"])
        .arg(dir);
    let mut child = command.stdout(std::process::Stdio::null()).spawn().unwrap();
    std::thread::sleep(Duration::from_millis(after_ms));
    let _ = child.kill();
    let _ = child.wait();
}

fn seed_and_rounds() -> (u64, u64) {
    (
        number("STREAMUSHER_SEED", 11),
        number("STREAMUSHER_ROUNDS", 20),
    )
}

#[test]
fn only_answers_that_the_log_names_as_early_can_be_missing_after_random_restarts() {
    let (seed, rounds) = seed_and_rounds();
    let outcome = restart_at_random(seed, rounds, SHORT_HOLD);
    outcome.assert_only_early_answers_are_missing();
}

/// Guards against a result that a client has and no bill holds: it went out when its hold was over.
#[test]
fn results_whose_hold_ends_first_are_billed_to_the_unit_after_random_restarts() {
    let (seed, rounds) = seed_and_rounds();
    let outcome = restart_at_random(seed, rounds, SHORT_HOLD);
    assert_eq!(outcome.billed, outcome.received());
}
