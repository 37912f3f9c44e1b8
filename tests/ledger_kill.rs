//! Tests with a store that cannot be written for longer than answers wait for it, and a dispatcher that ends
//! meanwhile: each result that a client received is billed.

mod support;

use rstest::rstest;
use serde_json::Value;
use std::path::Path;
use std::time::{Duration, Instant};
use support::*;

const HOLD: Duration = Duration::from_millis(250);
/// Operations in flight while the store cannot be written.
const OPERATIONS: usize = 4;
const CLIENT_DEADLINE: Duration = Duration::from_secs(4);

/// When and how the dispatcher ends.
#[derive(Clone, Copy, PartialEq)]
enum End {
    KilledWhileLocked,
    TerminatedWhileLocked,
    KilledOnceUnlocked,
    KilledOnceWrittenAgain,
    TerminatedOnceUnlocked,
}

fn start(worker: &Worker, dir: &Path, ledger_settings: &str) -> Program {
    let mut config = config(&[worker]);
    let dir = dir.display();
    let hold = HOLD.as_millis();
    config["operators"] =
        format!("[ledger]\ndir = '{dir}'\nperiod = 'hour'\nhold_ms = {hold}\n{ledger_settings}")
            .into();
    let program = Program::with(Files::new(), &config, None, &[worker]);
    program.logged("the ledger is open");
    program
}

/// Sends operations concurrently and returns the ids of those answered with a result.
fn ask_concurrently(program: &Program) -> Vec<String> {
    let addr = program.addr;
    let requests = (0..OPERATIONS).map(|n| {
        std::thread::spawn(move || {
            let id = format!("a{n}");
            let begun = Instant::now();
            let answer = ask(
                addr,
                &operation("depth-log", &id, CLIENT_DEADLINE.as_millis() as u64),
            );
            let waited = begun.elapsed();
            assert!(HOLD <= waited && waited < CLIENT_DEADLINE, "{waited:?}");
            (answer.status() == 200).then_some(id)
        })
    });
    let requests: Vec<_> = requests.collect();
    requests
        .into_iter()
        .filter_map(|request| request.join().unwrap())
        .collect()
}

/// Returns the number of billed operations after doubtful entries are settled by the clients' receipts.
fn billed(files: &Files, dir: &Path, receipts: &[String]) -> i64 {
    let rows: String = receipts.iter().map(|id| format!("{id}\n")).collect();
    let receipts = files.add("receipts.csv", &format!("operation\n{rows}"));
    let receipts = receipts.to_str().unwrap();
    let (code, text) = ledger(dir, &["doubts", "--receipts", receipts, "--author", "test"]);
    assert_eq!(code, 0, "{text}");
    let (code, text) = ledger(dir, &["show", "--json"]);
    assert_eq!(code, 0, "{text}");
    let shown: Value = serde_json::from_str(&text).unwrap();
    let periods = shown.as_array().unwrap().iter();
    let lines = periods.flat_map(|period| period["lines"].as_array().unwrap());
    lines
        .map(|line| {
            let count = |name: &str| line["sums"][name].as_i64().unwrap();
            count("served") + count("corrected")
        })
        .sum()
}

/// Guards against a result that a client received and no bill contains: the store was locked for longer than
/// the hold, and the dispatcher ended before the entry was durable.
#[rstest]
#[case::killed_while_locked(End::KilledWhileLocked)]
#[case::terminated_while_locked(End::TerminatedWhileLocked)]
#[case::killed_once_unlocked(End::KilledOnceUnlocked)]
#[case::killed_once_written_again(End::KilledOnceWrittenAgain)]
#[case::terminated_once_unlocked(End::TerminatedOnceUnlocked)]
fn each_result_is_billed_although_the_store_was_locked_beyond_the_hold(#[case] end: End) {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    let mut program = start(&worker, &dir, "");
    let lock = ledger_store::lock(&dir);
    let receipts = ask_concurrently(&program);
    let mut lock = Some(lock);
    if matches!(
        end,
        End::KilledOnceUnlocked | End::KilledOnceWrittenAgain | End::TerminatedOnceUnlocked
    ) {
        drop(lock.take());
    }
    if end == End::KilledOnceWrittenAgain {
        program.logged("the ledger is written again");
    }
    if matches!(
        end,
        End::TerminatedWhileLocked | End::TerminatedOnceUnlocked
    ) {
        program.signal("TERM");
        assert!(program.child.wait().unwrap().success());
    } else {
        program.kill();
    }
    drop(lock);
    assert_eq!(billed(&files, &dir, &receipts), receipts.len() as i64);
}

/// Guards against a result that a client received and no bill contains because the disk was full when its
/// entry was written.
#[test]
fn each_result_is_billed_although_the_disk_was_full() {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    std::fs::create_dir(&dir).unwrap();
    files.add("ledger/ledger.key", &"07".repeat(32));
    ledger_store::fill(&dir, 1 << 20);
    let mut program = start(&worker, &dir, "max_mb = 1\n");
    let billed_by_fill = billed(&files, &dir, &[]);
    let ids = (0..2_000).map(|n| format!("a{n}"));
    let receipts: Vec<String> = ids
        .take_while(|id| ask(program.addr, &operation("depth-log", id, 4_000)).status() == 200)
        .collect();
    program.kill();
    assert_eq!(
        billed(&files, &dir, &receipts) - billed_by_fill,
        receipts.len() as i64
    );
}
