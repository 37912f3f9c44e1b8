//! Tests of unresponsive and lost workers, and of when their runs may be started on other workers.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_protocol::internal::WorkerReport;
use streamusher_protocol::task::RunEnd;
use support::scenarios::{with_commanded_task, with_running_task};
use support::{TestAgent, TestCluster, MAX_LEASE_MS};

/// Creates a cluster in which the agent of a running task's worker has restarted, and the worker does not
/// call it.
fn with_restarted_agent_without_heartbeats() -> (TestCluster, TestAgent) {
    let (mut cluster, mut agent) = with_running_task();
    agent.boot = 2;
    cluster.sync_without_worker(&mut agent);
    agent.report = WorkerReport {
        sequence: 0,
        running: Vec::new(),
        ..agent.report
    };
    cluster.settle(&mut agent);
    (cluster, agent)
}

#[test]
fn runs_of_a_worker_reported_gone_by_a_restarted_agent_are_rescheduled() {
    let (mut cluster, mut agent) = with_restarted_agent_without_heartbeats();
    agent.report.gone = true;
    cluster.settle(&mut agent);

    let mut second = TestAgent::new("side-2", "i-2");
    cluster.settle(&mut second);
    cluster.wait(300);
    cluster.settle(&mut second);

    assert_eq!(second.start.len(), 1);
    assert_eq!(second.start[0].run, 2, "the task gets a new run");
}

#[test]
fn late_request_of_a_former_agent_process_is_ignored() {
    let (mut cluster, mut agent) = with_restarted_agent_without_heartbeats();
    let mut earlier = TestAgent::new("side-1", "i-1");
    earlier.report = WorkerReport {
        gone: true,
        ..agent.report.clone()
    };

    cluster.sync(&mut earlier);

    let mut second = TestAgent::new("side-2", "i-2");
    cluster.settle(&mut second);
    cluster.wait(300);
    cluster.settle(&mut second);
    assert!(
        second.start.is_empty(),
        "the first worker may still be running the task"
    );
    agent.report.gone = true;
    cluster.settle(&mut agent);
    cluster.wait(300);
    cluster.settle(&mut second);
    assert_eq!(
        second.start.len(),
        1,
        "the request comes from the current agent process"
    );
}

#[test]
fn unresponsive_machine_keeps_its_task_until_its_lease_expires() {
    let (mut cluster, mut first) = with_running_task();
    let mut second = TestAgent::new("side-2", "i-2");
    let until = cluster.now + MAX_LEASE_MS;
    while cluster.now < until {
        cluster.settle(&mut second);
        assert!(
            second.start.is_empty(),
            "at {} ms the task may still be running on the unresponsive machine",
            cluster.now
        );
        cluster.wait(100);
    }
    cluster.wait(300);
    cluster.settle(&mut second);
    assert_eq!(second.start.len(), 1);
    assert_eq!(second.start[0].run, 2, "the task gets a new run");
    first.finish_all(RunEnd::Done);
    cluster.settle(&mut first);
    assert!(
        !cluster.job_status().contains("succeeded"),
        "an outcome reported after the lease expired is ignored"
    );
}

#[test]
fn another_worker_on_the_machine_proves_the_former_one_lost() {
    let (mut cluster, mut agent) = with_running_task();
    agent.replace_worker("i-9");
    cluster.settle(&mut agent);
    assert_eq!(agent.start.len(), 1);
    assert_eq!(agent.start[0].run, 2);
}

#[test]
fn restarted_agent_continues_with_its_worker() {
    let (mut cluster, mut agent) = with_running_task();
    agent.boot = 2;
    agent.heartbeat_without_starts();
    cluster.settle(&mut agent);
    assert!(agent.start.is_empty() && agent.stop.is_empty());
    agent.finish_all(RunEnd::Done);
    cluster.settle(&mut agent);
    assert!(cluster.job_status().contains("succeeded"));
}

#[test]
fn unstarted_run_of_an_unresponsive_worker_is_rescheduled_once_its_agent_confirms() {
    let (mut cluster, mut first) = with_commanded_task();
    let mut second = TestAgent::new("side-2", "i-2");
    cluster.settle(&mut second);
    first.report.silent_ms = 1_400;
    cluster.settle(&mut first);
    cluster.wait(200);
    cluster.settle(&mut second);
    assert!(
        second.start.is_empty(),
        "the agent may still forward the command"
    );
    cluster.settle(&mut first);
    cluster.settle(&mut second);
    assert_eq!(
        second.start.len(),
        1,
        "the agent holds commands without the run and has not offered it to the worker"
    );
}

#[test]
fn run_that_may_have_started_at_an_unresponsive_worker_is_not_rescheduled() {
    let (mut cluster, mut first) = with_commanded_task();
    let mut second = TestAgent::new("side-2", "i-2");
    first.offer_starts();
    first.report.silent_ms = 1_400;
    for _ in 0..10 {
        cluster.settle(&mut first);
        cluster.settle(&mut second);
        assert!(second.start.is_empty());
        cluster.wait(200);
    }
}

#[test]
fn run_started_before_a_partition_goes_on_after_it() {
    let (mut cluster, mut agent) = with_commanded_task();
    cluster.wait(3_000);
    agent.start_all();
    cluster.settle(&mut agent);
    assert!(
        agent.stop.is_empty(),
        "the worker ran the task while its agent was disconnected"
    );
}
