//! Tests of a new primary that takes over from the replicated state.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::task::RunEnd;
use support::scenarios::{with_commanded_task, with_running_task, ONE_TASK};
use support::{TestAgent, JOB, MAX_LEASE_MS};

#[test]
fn new_primary_waits_for_leases_granted_by_the_former_one() {
    let (mut cluster, mut first) = with_running_task();
    cluster.wait(3_000);
    cluster.take_over();
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
    assert_eq!(first.running().len(), 1);
    cluster.settle(&mut first);
    assert_eq!(
        first.stop.len(),
        1,
        "a run that the primary considers lost is stopped"
    );
}

#[test]
fn new_primary_takes_over_running_tasks() {
    let (mut cluster, mut agent) = with_running_task();
    cluster.take_over();
    cluster.settle(&mut agent);
    assert!(agent.start.is_empty() && agent.stop.is_empty());
    agent.finish_all(RunEnd::Done);
    cluster.settle(&mut agent);
    assert!(cluster.job_status().contains("succeeded"));
}

#[test]
fn new_primary_repeats_start_commands_of_unstarted_runs() {
    let (mut cluster, mut agent) = with_commanded_task();
    let first = agent.start.clone();
    cluster.take_over();
    agent.heartbeat_without_starts();
    cluster.settle(&mut agent);
    assert_eq!(
        agent.start, first,
        "the run was recorded before its start was commanded"
    );
}

#[test]
fn another_worker_on_the_machine_proves_the_former_one_lost_after_a_takeover() {
    let (mut cluster, mut agent) = with_running_task();
    cluster.take_over();
    agent.replace_worker("i-9");
    cluster.settle(&mut agent);
    assert_eq!(agent.start.len(), 1);
}

/// A new primary has heard neither of the two instances: a sync that was on its way since before the worker's
/// restart ended the lease of the living instance, and its run was started elsewhere while it was running.
#[test]
fn late_report_of_a_replaced_worker_ends_no_lease_after_a_takeover() {
    let (mut cluster, mut agent) = with_running_task();
    agent.replace_worker("i-2");
    cluster.settle(&mut agent);
    agent.start_all();
    cluster.settle(&mut agent);
    cluster.take_over();

    let mut late = TestAgent::new("side-1", "i-1");
    let commands = cluster.sync(&mut late).unwrap();

    assert_eq!(commands.lease_ms, 0);
    let mut second = TestAgent::new("side-2", "i-9");
    cluster.settle(&mut second);
    cluster.wait(300);
    cluster.settle(&mut second);
    assert!(second.start.is_empty(), "i-2 is running the task");
    cluster.settle(&mut agent);
    assert!(agent.stop.is_empty());
    agent.finish_all(RunEnd::Done);
    cluster.settle(&mut agent);
    assert!(cluster.job_status().contains("succeeded"));
}

#[test]
fn new_primary_stops_no_run_before_agents_report() {
    let (mut cluster, mut agent) = with_running_task();
    cluster.take_over();
    cluster.wait(3_000);
    cluster.settle(&mut agent);
    assert!(agent.stop.is_empty(), "the task is running");
    cluster.wait(300);
    cluster.settle(&mut agent);
    assert!(agent.stop.is_empty() && agent.start.is_empty());
}

#[test]
fn unstarted_run_stopped_before_a_takeover_releases_its_allocation() {
    let (mut cluster, mut agent) = with_commanded_task();
    cluster.request(ClientMethod::Delete, &format!("/q/{JOB}"), "");
    cluster.take_over();
    cluster.settle(&mut agent);
    agent.heartbeat_without_starts();
    cluster.settle(&mut agent);
    let body = format!(r#"{{"spec":"text","steps":{ONE_TASK}}}"#);
    assert_eq!(
        cluster
            .request(ClientMethod::Post, "/q/0000000000000001", &body)
            .status,
        200
    );
    cluster.settle(&mut agent);
    assert_eq!(
        agent.start.len(),
        1,
        "the stopped run never started, so its allocation is released"
    );
}

#[test]
fn new_primary_sends_the_recorded_worker_to_an_agent_without_a_worker() {
    let (mut cluster, _) = with_running_task();
    cluster.take_over();
    let mut restarted = TestAgent::new("side-1", "i-1");
    restarted.boot = 2;
    let commands = cluster
        .sync_without_worker(&mut restarted)
        .expect("the agent has no commands yet");
    assert_eq!(commands.instance.as_deref(), Some("i-1"));
}

/// Recovering a state of the size that the design targets takes seconds, during which agents cannot read
/// commands. That time must not trigger the start time-out of commanded runs.
#[test]
fn recovery_time_does_not_count_towards_run_timeouts() {
    let (mut cluster, mut agent) = with_commanded_task();
    let first = agent.start.clone();
    cluster.take_over_with_recovery_time(6_000);
    agent.heartbeat_without_starts();
    cluster.settle(&mut agent);
    cluster.wait(100);
    cluster.settle(&mut agent);
    assert_eq!(agent.start, first, "the start command is still valid");
    assert!(agent.stop.is_empty());
}
