//! Tests of the life cycle of jobs and runs, and of the release of allocations.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_protocol::heartbeat::WorkerState;
use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::task::RunEnd;
use support::scenarios::{with_commanded_task, with_running_task, ONE_TASK};
use support::{TestAgent, TestCluster, JOB};

#[test]
fn job_runs_and_succeeds() {
    let (mut cluster, mut agent) = with_running_task();
    assert!(cluster.job_status().contains("running"));
    agent.finish_all(RunEnd::Done);
    cluster.settle(&mut agent);
    assert!(cluster.job_status().contains("succeeded"));
    assert_eq!(agent.last_seen, 1, "the outcome has been processed");
    assert!(agent.start.is_empty() && agent.stop.is_empty());
}

#[test]
fn job_submitted_twice_runs_once() {
    let (mut cluster, mut agent) = with_running_task();
    assert_eq!(cluster.submit(ONE_TASK).status, 200);
    cluster.wait(500);
    cluster.settle(&mut agent);
    assert!(agent.start.is_empty(), "the second request starts no run");
}

#[test]
fn failed_task_is_retried_up_to_the_queues_limit() {
    let (mut cluster, mut agent) = with_running_task();
    agent.finish_all(RunEnd::Failed);
    cluster.settle(&mut agent);
    assert_eq!(agent.start.len(), 1, "a second attempt");
    agent.start_all();
    cluster.settle(&mut agent);
    agent.finish_all(RunEnd::Failed);
    cluster.settle(&mut agent);
    assert!(agent.start.is_empty());
    assert!(cluster.job_status().contains("failed"));
}

#[test]
fn cancelled_run_that_may_have_started_keeps_its_allocation() {
    let (mut cluster, mut agent) = with_commanded_task();
    agent.offer_starts();
    cluster.settle(&mut agent);
    assert_eq!(
        cluster
            .request(ClientMethod::Delete, &format!("/q/{JOB}"), "")
            .status,
        200
    );
    let other = "0000000000000001";
    let body = format!(r#"{{"spec":"text","steps":{ONE_TASK}}}"#);
    cluster.request(ClientMethod::Post, &format!("/q/{other}"), &body);
    cluster.settle(&mut agent);
    assert!(
        agent.start.is_empty(),
        "600 of 1,000 millicores may be in use, so the other task does not fit"
    );
    agent.heartbeat_without_starts();
    cluster.settle(&mut agent);
    assert_eq!(
        agent.start.len(),
        1,
        "the cancelled run never started, so its allocation is released"
    );
}

#[test]
fn draining_worker_gets_no_work() {
    let mut cluster = TestCluster::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    agent.report.state = WorkerState::Draining;
    cluster.settle(&mut agent);
    cluster.submit(ONE_TASK);
    cluster.wait(500);
    cluster.settle(&mut agent);
    assert!(agent.start.is_empty());
}

#[test]
fn unknown_run_is_stopped() {
    let (mut cluster, mut agent) = with_running_task();
    let mut unknown = agent.report.running[0].clone();
    unknown.run = 7;
    agent.report.sequence += 1;
    agent.report.running.push(unknown);
    cluster.settle(&mut agent);
    assert_eq!(agent.stop.len(), 1);
    assert_eq!(agent.stop[0].run, 7);
}
