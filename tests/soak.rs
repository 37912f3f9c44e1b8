//! Short soak test of dispatchers with ledgers. To run it by hand with other seeds and sizes:
//!
//!     STREAMUSHER_SEED=7 STREAMUSHER_SECONDS=20 STREAMUSHER_INSTANCES=6 cargo test --release --test soak -- --nocapture

mod support;

use rstest::rstest;
use std::time::Duration;
use support::restarts::number;
use support::soak::{run, SoakOptions};

/// Guards against results that are not billed, requests that do not get exactly one answer, and processes
/// that do not shut down in order, in any overlap of disruption series.
#[rstest]
fn soak_bills_each_result_exactly_and_answers_each_request(#[values(1, 2, 3)] seed: u64) {
    let instances = number("STREAMUSHER_INSTANCES", 4);
    let report = run(SoakOptions {
        seed: number("STREAMUSHER_SEED", seed),
        duration: Duration::from_secs(number("STREAMUSHER_SECONDS", 12)),
        instances: instances as usize,
        clients: number("STREAMUSHER_CLIENTS", 3) as usize,
        series: number("STREAMUSHER_SERIES", 1 + instances / 2) as usize,
    });
    assert_eq!(report.failures, Vec::<String>::new());
    assert!(!report.received.is_empty());
    assert_eq!(report.billed, report.received);
}
