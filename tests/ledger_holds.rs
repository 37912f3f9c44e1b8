//! Tests with instances that are killed and restarted at random and whose answers hardly wait for the disk:
//! which results may be missing from the bill.
//!
//! `STREAMUSHER_SEED` and `STREAMUSHER_ROUNDS` (number of restarts) select another or a longer run.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::billing::*;
use support::restarts::*;
use support::*;

/// Hold that expires before many syncs are done, and under load before most of them.
const SHORT_HOLD: &str = "hold_ms = 1\n";
/// Log text for an answer that did not wait for its entry.
const ANSWERED_EARLY: &str = "an answer went out before it was known to be booked";
/// Log text for a ledger that could not be opened or written.
const FAILED: &str = "the ledger cannot be written";

/// Results received by clients and entries billed for them, after random restarts.
struct Outcome {
    receipts: Vec<Receipt>,
    billed: Operations,
    /// Number of answers that did not wait for their entries.
    answered_early: usize,
    /// Log lines about early answers, and about ledgers that could not be written.
    failures: Vec<String>,
}

impl Outcome {
    fn received(&self) -> Operations {
        received(&self.receipts)
    }

    /// Checks that nothing is billed that was not received, and that at most as many receipts are missing
    /// from the bill as the log names early answers: without early answers, bill and receipts agree exactly.
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

/// Starts instances and clients, kills or stops an instance after each of `rounds` short intervals and starts
/// it again, then settles doubtful entries by the clients' receipts, closes, exports and reconciles.
fn restart_at_random(seed: u64, rounds: u64, ledger_settings: &str) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(seed);
    let root = Files::new();
    root.add("shared.key", &"5c".repeat(32));
    let (receipts, logged) = serve_through_restarts(seed, rounds, ledger_settings, &mut rng, &root);
    let bill = settle_and_export(&receipts, INSTANCES, &mut rng, &root);
    let reports_failure = |line: &&String| line.contains(ANSWERED_EARLY) || line.contains(FAILED);
    let failures: Vec<String> = logged
        .into_iter()
        .filter(|line| reports_failure(&line))
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
    Outcome {
        receipts,
        billed: billed(&bill),
        answered_early,
        failures,
    }
}

/// Returns the clients' receipts and the log lines of all instances.
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
        std::thread::sleep(Duration::from_millis(rng.random_range(5..60))); // the clients keep sending meanwhile
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

fn seed_and_rounds() -> (u64, u64) {
    (
        number("STREAMUSHER_SEED", 11),
        number("STREAMUSHER_ROUNDS", 20),
    )
}

/// Where unbilled work is served, results may be sent early and be lost; the log names each.
#[rstest]
#[case::refuse("")]
#[case::serve("on_failure = 'serve_unbilled'\n")]
fn only_answers_logged_as_early_can_be_missing_after_random_restarts(#[case] on_failure: &str) {
    let (seed, rounds) = seed_and_rounds();
    let outcome = restart_at_random(seed, rounds, &format!("{SHORT_HOLD}{on_failure}"));
    outcome.assert_only_early_answers_are_missing();
}

/// Guards against a result that a client received and no bill contains because it was sent when its hold
/// expired.
#[test]
fn results_whose_hold_expires_are_billed_exactly_after_random_restarts() {
    let (seed, rounds) = seed_and_rounds();
    let outcome = restart_at_random(seed, rounds, SHORT_HOLD);
    assert_eq!(outcome.billed, outcome.received());
}
