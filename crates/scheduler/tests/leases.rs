//! Tests of which syncs are granted a lease: only those that renew the lease that the primary counts for the
//! reported worker. An agent extends runs until the lease that it was granted ends.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use streamusher_protocol::Millis;
use support::scenarios::with_running_task;
use support::{TestAgent, TestCluster, MAX_LEASE_MS};

/// The remaining lease that the primary counts for a worker.
fn counted_ms(cluster: &TestCluster, worker: &str) -> Millis {
    let status = cluster
        .scheduler
        .worker_status(cluster.now, &worker.into())
        .expect("the primary knows the worker");
    status.lease_remaining_ms
}

#[test]
fn report_of_a_worker_renews_its_lease_and_is_granted_it() {
    let (mut cluster, mut agent) = with_running_task();
    cluster.wait(1_000);
    agent.boot = 2;
    agent.heartbeat_without_starts();

    let commands = cluster.sync(&mut agent).unwrap();

    assert_eq!(commands.lease_ms, MAX_LEASE_MS);
    assert_eq!(counted_ms(&cluster, "i-1"), MAX_LEASE_MS);
}

/// A restarted agent was granted a lease before its worker had called it; the primary counted none, and
/// started the worker's runs elsewhere while the agent still extended them.
#[rstest]
#[case::same_primary(false)]
#[case::new_primary(true)]
fn sync_without_a_worker_is_granted_no_lease(#[case] has_taken_over: bool) {
    let (mut cluster, mut agent) = with_running_task();
    if has_taken_over {
        cluster.take_over();
    }
    cluster.wait(1_000);
    agent.boot = 2;

    let commands = cluster.sync_without_worker(&mut agent).unwrap();

    assert_eq!(commands.instance.as_deref(), Some("i-1"));
    assert_eq!(commands.lease_ms, 0);
    assert_eq!(counted_ms(&cluster, "i-1"), MAX_LEASE_MS - 1_000);
}

/// The primary ignores reports of a worker that another one has replaced, so it counts no lease for it.
#[test]
fn report_of_a_superseded_worker_is_granted_no_lease() {
    let (mut cluster, mut agent) = with_running_task();
    agent.replace_worker("i-9");
    cluster.settle(&mut agent);
    cluster.wait(1_000);
    agent.boot = 2;
    agent.replace_worker("i-1");

    let commands = cluster.sync(&mut agent).unwrap();

    assert_eq!(commands.instance.as_deref(), Some("i-9"));
    assert_eq!(commands.lease_ms, 0);
    assert_eq!(counted_ms(&cluster, "i-9"), MAX_LEASE_MS - 1_000);
}

#[test]
fn outdated_sync_is_granted_no_lease() {
    let (mut cluster, _) = with_running_task();
    cluster.wait(1_000);
    let mut late = TestAgent::new("side-1", "i-1");

    let commands = cluster.sync(&mut late).unwrap();

    assert_eq!(commands.lease_ms, 0);
    assert_eq!(counted_ms(&cluster, "i-1"), MAX_LEASE_MS - 1_000);
}
