//! Consistency test of the ledger: instances are killed and restarted at random, while clients keep receipts
//! and retry at other instances. The export agrees exactly with the receipts.
//!
//! `STREAMUSHER_SEED` and `STREAMUSHER_ROUNDS` (number of restarts) select another or a longer run.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::restarts::*;
use support::*;

/// Guards against a result that a client received and no bill contains because it was sent before its entry
/// was durable.
#[test]
fn exports_and_receipts_agree_exactly_after_random_restarts() {
    let (seed, rounds) = (
        number("STREAMUSHER_SEED", 7),
        number("STREAMUSHER_ROUNDS", 20),
    );
    let mut rng = Pcg64::seed_from_u64(seed);
    let (shed, root) = (Shed::start("serves"), Files::new());
    let shed_addr = shed.addr;
    let key = root.add("shared.key", &"5c".repeat(32));
    let key = key.to_str().unwrap();
    let shared = Arc::new(Shared {
        addrs: (0..INSTANCES).map(free).collect(),
        next: AtomicU64::new(1),
        stop: AtomicBool::new(false),
        receipts: Mutex::default(),
        retried_elsewhere: AtomicU64::new(0),
    });
    let mut programs: Vec<Program> = (0..INSTANCES)
        .map(|i| start(i, shared.addrs[i], &root.0, shed_addr))
        .collect();
    let drained = std::thread::spawn(move || while shed.sent.recv().is_ok() {});
    let clients: Vec<_> = (0..INSTANCES * CLIENTS)
        .map(|n| {
            let (shared, rng) = (
                shared.clone(),
                Pcg64::seed_from_u64(seed ^ (n as u64 + 1) << 32),
            );
            std::thread::spawn(move || client(&shared, rng, n % INSTANCES))
        })
        .collect();
    for _ in 0..rounds {
        std::thread::sleep(Duration::from_millis(rng.random_range(5..60))); // the clients keep sending meanwhile
        let n = rng.random_range(0..INSTANCES);
        if rng.random_bool(0.04) {
            programs[n].signal("TERM");
            assert!(programs[n].child.wait().unwrap().success());
        } else {
            programs[n].child.kill().unwrap();
            programs[n].child.wait().unwrap();
        }
        programs[n] = start(n, shared.addrs[n], &root.0, shed_addr);
    }
    shared.stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    drop(programs); // dropping a program kills it
    drop(drained);

    let receipts = shared.receipts.lock().unwrap();
    let rows: String = receipts
        .iter()
        .map(|(id, tenant, class)| format!("{id},{tenant},{class}\n"))
        .collect();
    let file = root.add("receipts.csv", &format!("operation,tenant,class\n{rows}"));
    let out = root.0.join("exports");
    let mut settled = (0, 0);
    for n in 0..INSTANCES {
        let dir = root.0.join(format!("n{n}"));
        let done = json(
            &dir,
            &[
                "doubts",
                "--receipts",
                file.to_str().unwrap(),
                "--author",
                "test",
            ],
            key,
        );
        settled.0 += done["billed"].as_u64().unwrap();
        settled.1 += done["waived"].as_u64().unwrap();
        // Runs a command that is killed after `after` ms, wherever it is then; close and export are then run
        // again.
        let run_and_kill = |arguments: &[&str], after: u64| {
            let mut child = Command::new(env!("CARGO_BIN_EXE_streamusher"));
            child
                .arg("ledger")
                .args(arguments)
                .args(["--key-file", key, "--dir"])
                .arg(&dir);
            let mut child = child.stdout(std::process::Stdio::null()).spawn().unwrap();
            std::thread::sleep(Duration::from_millis(after));
            let _ = child.kill();
            let _ = child.wait();
        };
        run_and_kill(
            &["close", "--through", "2999-12-31T23"],
            rng.random_range(0..10),
        );
        json(&dir, &["close", "--through", "2999-12-31T23"], key);
        json(&dir, &["verify"], key);
        run_and_kill(
            &["export", "--to", out.to_str().unwrap()],
            rng.random_range(0..20),
        );
        let first = json(&dir, &["export", "--to", out.to_str().unwrap()], key);
        assert_eq!(
            json(&dir, &["export", "--to", out.to_str().unwrap()], key),
            first,
            "a repeated export gives the same result"
        );
    }
    // The corrections that settle doubtful entries are in an open period, or in the closed ones of this
    // export.
    let all = json(&root.0, &["reconcile", out.to_str().unwrap()], key);
    let findings = all["report"]["findings"].as_array().unwrap();
    let kinds: BTreeSet<&str> = findings
        .iter()
        .map(|f| f["what"].as_str().unwrap())
        .collect();
    assert!(
        kinds.is_subset(&BTreeSet::from(["repeated"])),
        "{findings:?}"
    );
    let mut billed: BTreeMap<(String, String), i64> = BTreeMap::new();
    for line in all["bill"].as_array().unwrap() {
        let text = |k: &str| line[k].as_str().unwrap().to_string();
        let sums = &line["sums"];
        let n = sums["served"].as_i64().unwrap() + sums["corrected"].as_i64().unwrap();
        *billed.entry((text("tenant"), text("class"))).or_default() += n;
    }
    billed.retain(|_, n| *n != 0);
    let mut received: BTreeMap<(String, String), i64> = BTreeMap::new();
    receipts
        .iter()
        .for_each(|(_, t, c)| *received.entry((t.clone(), c.clone())).or_default() += 1);
    println!(
        "seed {seed}, {rounds} restarts: {} receipts, {} entries, {} retried elsewhere, doubts {} billed, {} waived, {} keys \
         answered twice",
        receipts.len(),
        all["report"]["entries"],
        shared.retried_elsewhere.load(Ordering::Relaxed),
        settled.0,
        settled.1,
        findings.len() as u64 + all["report"]["more_repeats"].as_u64().unwrap(),
    );
    let total = |k: &str| {
        all["bill"]
            .as_array()
            .unwrap()
            .iter()
            .filter_map(|l| l["sums"][k].as_u64())
            .sum::<u64>()
    };
    println!(
        "served {}, busy {}, failed {}, gone {}",
        total("served"),
        total("busy"),
        total("failed"),
        total("gone")
    );
    assert!(!receipts.is_empty());
    assert_eq!(billed, received);
}
