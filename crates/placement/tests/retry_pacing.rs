//! A backlog must not consume the primary's processor time with retries.
//!
//! Without a bound on the rate of retries, each pending unit was retried every 0.8 s regardless of their
//! number, and a retry that finds no capacity costs more than a start. A primary that took over with some
//! hundred pending units spent 0.5 Gcycles a second on placement once 1,400 units were pending (1,077 Mcycles
//! for 1,409 units in one trace), of a processor that has 0.8. In a run of the same requests on a busier
//! machine, healthy workers were then counted as unresponsive and became unschedulable, so that the backlog
//! grew further, until long-running tasks could not be placed at all. With other requests, 77 of 117 samples
//! of long-running tasks failed; with a bounded rate of retries none failed on those same requests.
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
/// Upper bound of a service's retries in a second: the limit documented with the pacer, plus a tenth for the
/// partial windows at the ends.
const MAX_RETRIES_PER_SECOND: u64 = 704;
/// Time in which the first retries of all units, which are frequent, are over.
const SETTLING_MS: Millis = 10_000;

/// A service of 40 workers, all of them full, with a backlog.
fn cluster_with_backlog() -> Cluster {
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
    let mut cluster = cluster_with_backlog();
    cluster.place_for(SETTLING_MS);
    let retries = retries_within(&mut cluster, 5_000);
    assert!(retries > 0, "pending units are retried");
    assert!(retries <= 5 * MAX_RETRIES_PER_SECOND, "{retries}");
}

#[test]
fn backlog_does_not_starve_a_less_urgent_unit_of_retries() {
    let mut cluster = cluster_with_backlog();
    cluster.enqueue(Unit {
        node_selector: Some("b".into()),
        ..unit(900_000, 500, 2)
    });
    cluster.place_for(SETTLING_MS);
    cluster.update_worker(WorkerInfo {
        labels: vec!["b".into(), "r2".into()],
        ..worker("new", 900, "r2")
    });
    // No backlog unit fits on the new worker, and the unit has no copy queued there: only a retry finds the
    // worker.
    let started = cluster.place_for(BACKLOG * 1_000 / 640 + 1_500);
    assert_eq!(started, [(task(900_000), "new".into())]);
}

#[test]
fn backlog_of_another_service_does_not_delay_retries() {
    let mut cluster = cluster_with_backlog();
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
