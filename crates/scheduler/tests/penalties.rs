//! Tests of workers' penalties: a new primary inherits them, they decay, and they are removed with the
//! worker.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::task::RunEnd;
use support::scenarios::ONE_TASK;
use support::{TestAgent, TestCluster};

const KEY: &str = "judgement/i-1";

fn submit(cluster: &mut TestCluster, number: u64) {
    let body = format!(r#"{{"spec":"text","steps":{ONE_TASK}}}"#);
    assert_eq!(
        cluster
            .request(ClientMethod::Post, &format!("/q/{number:016x}"), &body)
            .status,
        200
    );
}

/// Creates a cluster with one worker on which four runs have failed.
fn with_failing_worker() -> (TestCluster, TestAgent) {
    let mut cluster = TestCluster::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    cluster.settle(&mut agent);
    for number in 1..=2 {
        submit(&mut cluster, number);
        for _ in 0..2 {
            cluster.settle(&mut agent);
            agent.start_all();
            cluster.settle(&mut agent);
            agent.finish_all(RunEnd::Failed);
            cluster.settle(&mut agent);
        }
    }
    (cluster, agent)
}

#[test]
fn new_primary_inherits_penalties() {
    let (mut cluster, mut first) = with_failing_worker();
    cluster.wait(1_100);
    assert!(
        cluster.state.contains_key(KEY),
        "{:?}",
        cluster.state.keys()
    );

    cluster.take_over();
    let mut second = TestAgent::new("side-2", "i-2");
    cluster.settle(&mut first);
    cluster.settle(&mut second);
    submit(&mut cluster, 3);
    cluster.settle(&mut first);
    cluster.settle(&mut second);

    assert_eq!((first.start.len(), second.start.len()), (0, 1));
}

#[test]
fn decayed_penalty_is_removed() {
    let (mut cluster, mut agent) = with_failing_worker();
    for _ in 0..40 {
        cluster.wait(500);
        cluster.settle(&mut agent);
    }
    assert!(!cluster.state.contains_key(KEY));
}

#[test]
fn penalty_of_a_superseded_worker_is_removed() {
    let (mut cluster, mut agent) = with_failing_worker();
    cluster.wait(1_100);
    agent.replace_worker("i-9");
    cluster.settle(&mut agent);
    assert!(!cluster.state.contains_key(KEY));
}

#[test]
fn penalty_of_a_worker_that_never_reports_to_the_new_primary_is_removed() {
    let (mut cluster, _) = with_failing_worker();
    cluster.wait(1_100);
    cluster.take_over();
    cluster.wait(15_000);
    assert!(!cluster.state.contains_key(KEY));
}
