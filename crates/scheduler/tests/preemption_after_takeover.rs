//! Guards against excessive preemption after a takeover. A primary failed while urgent tasks were queued. It
//! had preempted no run for 25 s, with 0.93 of the service's capacity in use. Within 2 s the new primary
//! preempted 279 runs, including 100 long-running tasks of eight jobs. In another execution with the same
//! requests, such tasks then waited for up to 13 s behind more urgent ones:
//!
//! ```text
//! 10.99 primary 1: preempted {}
//! 14.95 primary 2: preempted {"mailing": 179, "feeds (long-running)": 100}
//! long-running tasks not at work: tasks 14, at_work 0, pending 14, no_room_is_free, waited_ms 11600, ahead
//! 761
//! ```
//!
//! The cost of a preemption depends on how long the run has been running. The new primary measured that time
//! from its own start, so all runs became the cheapest victims at the same moment.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::Millis;
use streamusher_scheduler::{Event, OperatorRequest, OperatorRequestKind};
use support::{TestAgent, TestCluster};

const LONG_RUNNING: &str =
    r#"[{"count":1,"cpu":800,"mem_mb":10,"estimated_ms":500,"long_running":true}]"#;
const URGENT: &str = r#"[{"count":1,"cpu":600,"mem_mb":10,"estimated_ms":500}]"#;
/// Time for which the urgent task waits for capacity. Exceeds its whole slack.
const WAIT_MS: Millis = 3_000;

/// Creates a cluster with an urgent queue, `/q/`, and a less urgent one, `/feeds/`. A long-running task of
/// `/feeds/` takes most of the only worker and has been running for the given time.
fn with_long_running_task(running_ms: Millis) -> (TestCluster, TestAgent) {
    let mut cluster = TestCluster::new();
    let body = r#"{"version":2,"routes":[
        {"name":"r","host":"h","path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":800,
         "priority":0,"service":"s","max_attempts":2,"stretch":1.5},
        {"name":"feeds","host":"h","path_prefix":"/feeds/","timeout_ms":3000,"target_latency_ms":3000,
         "priority":1,"service":"s","max_attempts":2,"stretch":2.2}],
        "services":[{"name":"s","guards":false}]}"#;
    let request = OperatorRequest {
        kind: OperatorRequestKind::Replace,
        base: Some(1),
        body: body.into(),
    };
    cluster.handle(Event::OperatorRequest { id: 0, request });
    let mut agent = TestAgent::new("side-1", "i-1");
    cluster.settle(&mut agent);
    submit(&mut cluster, "/feeds/0000000000000001", LONG_RUNNING);
    cluster.settle(&mut agent);
    agent.start_all();
    agent.report.running[0].percent = 100.0;
    run_for(&mut cluster, &mut agent, running_ms);
    (cluster, agent)
}

fn submit(cluster: &mut TestCluster, path: &str, steps: &str) {
    let body = format!(r#"{{"spec":"text","steps":{steps}}}"#);
    assert_eq!(cluster.request(ClientMethod::Post, path, &body).status, 200);
}

/// Advances the time while the agent reports its worker's runs.
fn run_for(cluster: &mut TestCluster, agent: &mut TestAgent, span_ms: Millis) {
    let until = cluster.now + span_ms;
    while cluster.now < until {
        agent.report.sequence += 1;
        cluster.settle(agent);
        cluster.wait(100);
    }
}

#[test]
fn run_that_started_long_ago_is_not_preempted() {
    let (mut cluster, mut agent) = with_long_running_task(60_000);
    submit(&mut cluster, "/q/0000000000000002", URGENT);
    run_for(&mut cluster, &mut agent, WAIT_MS);
    assert!(agent.stop.is_empty());
}

#[test]
fn run_that_has_just_started_is_preempted() {
    let (mut cluster, mut agent) = with_long_running_task(1_000);
    submit(&mut cluster, "/q/0000000000000002", URGENT);
    run_for(&mut cluster, &mut agent, WAIT_MS);
    assert_eq!(agent.stop.len(), 1);
}

#[test]
fn run_that_started_long_ago_is_not_preempted_after_a_takeover() {
    let (mut cluster, mut agent) = with_long_running_task(60_000);
    cluster.take_over();
    submit(&mut cluster, "/q/0000000000000002", URGENT);
    run_for(&mut cluster, &mut agent, WAIT_MS);
    assert!(
        agent.stop.is_empty(),
        "the new primary knows how long it has been running"
    );
}

#[test]
fn run_that_started_long_ago_is_not_preempted_after_two_takeovers() {
    let (mut cluster, mut agent) = with_long_running_task(60_000);
    for _ in 0..2 {
        cluster.take_over();
        run_for(&mut cluster, &mut agent, 500);
    }
    submit(&mut cluster, "/q/0000000000000002", URGENT);
    run_for(&mut cluster, &mut agent, WAIT_MS);
    assert!(
        agent.stop.is_empty(),
        "the new primary knows how long it has been running"
    );
}

#[test]
fn run_that_has_just_started_is_preempted_after_a_takeover() {
    let (mut cluster, mut agent) = with_long_running_task(1_000);
    cluster.take_over();
    submit(&mut cluster, "/q/0000000000000002", URGENT);
    run_for(&mut cluster, &mut agent, WAIT_MS);
    assert_eq!(agent.stop.len(), 1);
}
