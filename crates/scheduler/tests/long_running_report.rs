//! Tests of the log lines about long-running tasks that are not running.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_placement::WaitReason;
use streamusher_protocol::task::RunEnd;
use streamusher_scheduler::{LongRunningShortfall, LONG_RUNNING_SHORTFALL_PREFIX};
use support::{log_capture, TestAgent, TestCluster};

const STARTED_UP_PERCENT: f64 = 100.0;

/// Returns the newest report that this thread has logged.
fn reported() -> Option<Vec<LongRunningShortfall>> {
    let lines = log_capture::lines();
    let json = lines
        .iter()
        .rev()
        .find_map(|line| line.strip_prefix(LONG_RUNNING_SHORTFALL_PREFIX))?;
    Some(serde_json::from_str(json).expect("a list of shortfalls"))
}

/// Creates a cluster with a job of three long-running tasks. The only worker has capacity for two, and both
/// are running.
fn with_two_of_three_tasks_running() -> (TestCluster, TestAgent) {
    let mut cluster = TestCluster::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    cluster.settle(&mut agent);
    let steps = r#"[{"count":3,"cpu":400,"mem_mb":10,"estimated_ms":500,"long_running":true}]"#;
    assert_eq!(cluster.submit(steps).status, 200);
    cluster.settle(&mut agent);
    agent.start_all();
    for running in &mut agent.report.running {
        running.percent = STARTED_UP_PERCENT;
    }
    (cluster, agent)
}

fn run_for(cluster: &mut TestCluster, agent: &mut TestAgent, steps: u32) {
    for _ in 0..steps {
        agent.report.sequence += 1;
        cluster.settle(agent);
        cluster.wait(200);
    }
}

#[test]
fn tasks_that_wait_are_reported_with_their_reason() {
    log_capture::install();
    let (mut cluster, mut agent) = with_two_of_three_tasks_running();
    run_for(&mut cluster, &mut agent, 25);
    let jobs = reported().expect("a report");
    assert_eq!(jobs.len(), 1);
    let job = &jobs[0];
    assert_eq!((job.tasks, job.running, job.pending), (3, 2, 1));
    assert_eq!(job.reasons.get(&WaitReason::NoFreeCapacity), Some(&1));
    let waited_ms = job.longest_wait.map(|wait| wait.waited_ms);
    assert_eq!(waited_ms, Some(job.age_ms));
}

#[test]
fn starting_and_backing_off_tasks_are_counted_separately() {
    log_capture::install();
    let (mut cluster, mut agent) = with_two_of_three_tasks_running();
    agent.report.running[0].percent = 0.0;
    for _ in 0..12 {
        agent.report.running[0].percent += 5.0;
        run_for(&mut cluster, &mut agent, 1);
    }
    let job = reported().expect("a report").remove(0);
    assert_eq!((job.running, job.starting, job.pending), (1, 1, 1));

    agent.report.running[0].percent = STARTED_UP_PERCENT;
    for _ in 0..10 {
        agent.finish_all(RunEnd::Failed);
        run_for(&mut cluster, &mut agent, 1);
        agent.start_all();
        run_for(&mut cluster, &mut agent, 1);
    }
    let job = reported().expect("a report").remove(0);
    assert!(job.backing_off > 0, "{job:?}");
}

#[test]
fn tasks_of_an_unresponsive_worker_are_not_counted_as_running() {
    log_capture::install();
    let (mut cluster, mut agent) = with_two_of_three_tasks_running();
    run_for(&mut cluster, &mut agent, 2);
    cluster.wait(4_000);
    let job = reported().expect("a report").remove(0);
    assert_eq!((job.running, job.unresponsive), (0, 2));
}

#[test]
fn job_whose_tasks_are_all_running_is_not_reported() {
    log_capture::install();
    let mut cluster = TestCluster::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    cluster.settle(&mut agent);
    let steps = r#"[{"count":2,"cpu":400,"mem_mb":10,"estimated_ms":500,"long_running":true}]"#;
    assert_eq!(cluster.submit(steps).status, 200);
    cluster.settle(&mut agent);
    agent.start_all();
    for running in &mut agent.report.running {
        running.percent = STARTED_UP_PERCENT;
    }
    run_for(&mut cluster, &mut agent, 25);
    assert_eq!(reported(), None);
}
