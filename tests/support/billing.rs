//! Computes a bill from clients' receipts: settles in-doubt entries, then closes, exports and reconciles the
//! ledgers.

use super::restarts::{json, Receipt};
use super::{program, Files};
use rand::Rng;
use rand_pcg::Pcg64;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

/// Number of operations by tenant and class.
pub type Operations = BTreeMap<(String, String), i64>;

/// Number of receipts by tenant and class.
pub fn received(receipts: &[Receipt]) -> Operations {
    let mut received = Operations::new();
    for (_, tenant, class) in receipts {
        *received.entry((tenant.clone(), class.clone())).or_default() += 1;
    }
    received
}

/// Number of operations in a reconciled bill by tenant and class, corrections included; zero sums are left
/// out.
pub fn billed(bill: &Value) -> Operations {
    let mut billed = Operations::new();
    for line in bill["bill"].as_array().unwrap() {
        let text = |key: &str| line[key].as_str().unwrap().to_string();
        let sums = &line["sums"];
        let operations = sums["served"].as_i64().unwrap() + sums["corrected"].as_i64().unwrap();
        *billed.entry((text("tenant"), text("class"))).or_default() += operations;
    }
    billed.retain(|_, operations| *operations != 0);
    billed
}

/// Settles the in-doubt entries of the ledgers `n0`, `n1`, ... by the receipts, closes each ledger and
/// exports it. Kills the close and the export once at a random time before the full run. Returns the
/// reconciled bill over all ledgers.
pub fn settle_and_export(
    receipts: &[Receipt],
    instances: usize,
    rng: &mut Pcg64,
    root: &Files,
) -> Value {
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
    for n in 0..instances {
        let dir = root.0.join(format!("n{n}"));
        let settle = ["doubts", "--receipts", receipts_file, "--author", "test"];
        let settled = json(&dir, &settle, key);
        println!(
            "instance {n}: doubts {} billed, {} waived",
            settled["billed"], settled["waived"]
        );
        // Kills the close and the export at a random time, then runs each again to completion.
        let close = ["close", "--through", "2999-12-31T23"];
        run_and_kill(&dir, &close, key, rng.random_range(0..10));
        json(&dir, &close, key);
        json(&dir, &["verify"], key);
        let export = ["export", "--to", exports];
        run_and_kill(&dir, &export, key, rng.random_range(0..20));
        let first = json(&dir, &export, key);
        assert_eq!(
            json(&dir, &export, key),
            first,
            "the repeated export differs from the first"
        );
    }
    // Corrections that settle in-doubt entries are in an open period, or in the closed periods of this
    // export.
    let bill = json(&root.0, &["reconcile", exports], key);
    let findings = bill["report"]["findings"].as_array().unwrap();
    let kinds: BTreeSet<&str> = findings
        .iter()
        .map(|finding| finding["what"].as_str().unwrap())
        .collect();
    assert!(
        kinds.is_subset(&BTreeSet::from(["repeated"])),
        "{findings:?}"
    );
    bill
}

/// Starts a ledger command and kills it after this many milliseconds.
fn run_and_kill(dir: &Path, arguments: &[&str], key: &str, after_ms: u64) {
    let mut command = program();
    command
        .arg("ledger")
        .args(arguments)
        .args(["--key-file", key, "--dir"])
        .arg(dir);
    let mut child = command.stdout(Stdio::null()).spawn().unwrap();
    std::thread::sleep(Duration::from_millis(after_ms));
    let _ = child.kill();
    let _ = child.wait();
}
