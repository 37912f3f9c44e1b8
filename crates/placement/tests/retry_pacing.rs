//! A primary took over with some hundred units pending, and the backlog grew: each pending unit was looked at again every
//! 0.8 s, whatever their number, and a look at one that finds no capacity costs more than a start. With 1,400 units pending
//! placement took 0.5 Gcycles a second of a processor that has 0.8. In a run of the same requests on a busier machine
//! workers that were well counted as unresponsive:
//!
//! ```text
//! 14.02 pending 1409 Mcycles placement 1077
//! 26.63 worker is unresponsive or terminated: unschedulable until it is heard again (34 more since)
//! ```
//!
//! Such workers get nothing, so that the backlog grows further, until long-running tasks have no place at all. With other
//! requests 77 of 117 samples of them failed; with a bounded rate of retries none did, on those same requests.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{task, unit, worker, Cluster};
use streamusher_placement::WorkerInfo;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

const BACKLOG: u64 = 3_000;
/// Retries of a service in a second: the bound that is documented with the pacer, and a tenth more for the edges.
const MAX_RETRIES_PER_SECOND: u64 = 704;
/// Enough for the first retries of all units, which are frequent.
const SETTLING_MS: Millis = 10_000;

/// A service of 40 workers, each full, with a backlog.
fn with_backlog() -> Cluster {
    let workers = (0..40).map(|index| worker(&format!("w{index}"), 1_000, "r1"));
    let mut cluster = Cluster::new(1, workers);
    for number in 1..=40 {
        cluster.enqueue(Unit {
            estimated_ms: 600_000,
            ..unit(number, 1_000, 0)
        });
    }
    assert_eq!(cluster.place().len(), 40);
    for number in 0..BACKLOG {
        cluster.enqueue(unit(1_000 + number, 1_000, 0));
    }
    cluster
}

fn retries_within(cluster: &mut Cluster, span_ms: Millis) -> u64 {
    let before = cluster.placement.retry_count();
    cluster.place_for(span_ms);
    cluster.placement.retry_count() - before
}

#[test]
fn backlog_of_a_full_service_is_retried_at_a_bounded_rate() {
    let mut cluster = with_backlog();
    cluster.place_for(SETTLING_MS);
    let retries = retries_within(&mut cluster, 5_000);
    assert!(retries > 0, "units are looked at again");
    assert!(retries <= 5 * MAX_RETRIES_PER_SECOND, "{retries}");
}

#[test]
fn backlog_does_not_keep_a_less_urgent_unit_from_its_retries() {
    let mut cluster = with_backlog();
    cluster.enqueue(Unit {
        node_selector: Some("b".into()),
        ..unit(900_000, 500, 2)
    });
    cluster.place_for(SETTLING_MS);
    cluster.update_worker(WorkerInfo {
        labels: vec!["b".into(), "r2".into()],
        ..worker("new", 900, "r2")
    });
    // No backlog unit fits there, and no copy of the unit waits there: only a retry finds it.
    let started = cluster.place_for(BACKLOG * 1_000 / 640 + 1_500);
    assert_eq!(started, [(task(900_000), "new".into())]);
}

#[test]
fn backlog_of_another_service_does_not_delay_retries() {
    let mut cluster = with_backlog();
    for index in 0..4 {
        cluster.update_worker(WorkerInfo {
            service: "t".into(),
            ..worker(&format!("t{index}"), 1_000, "r3")
        });
    }
    cluster.place_for(SETTLING_MS);
    cluster.enqueue(Unit {
        service: "t".into(),
        node_selector: Some("b".into()),
        ..unit(900_000, 500, 2)
    });
    cluster.place_for(3_000);
    cluster.update_worker(WorkerInfo {
        service: "t".into(),
        labels: vec!["b".into(), "r2".into()],
        ..worker("new", 900, "r2")
    });
    let started = cluster.place_for(900);
    assert_eq!(started, [(task(900_000), "new".into())]);
}
