//! Tests of the handling of runs without progress.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use streamusher_protocol::task::RunEnd;
use support::scenarios::with_running_task;
use support::{TestAgent, TestCluster};

#[rstest]
#[case::starting_up(30.0, true)]
#[case::started_up(99.0, false)]
fn long_running_task_stalls_only_during_its_startup(
    #[case] percent: f64,
    #[case] is_stopped: bool,
) {
    let mut cluster = TestCluster::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    cluster.settle(&mut agent);
    let steps = r#"[{"count":1,"cpu":600,"mem_mb":10,"long_running":true}]"#;
    assert_eq!(cluster.submit(steps).status, 200);
    cluster.settle(&mut agent);
    agent.start_all();
    agent.report.running[0].percent = percent;
    for _ in 0..20 {
        agent.report.sequence += 1;
        cluster.settle(&mut agent);
        cluster.wait(200);
    }
    assert_eq!(!agent.stop.is_empty(), is_stopped);
}

#[test]
fn time_without_heartbeats_does_not_count_as_stalled() {
    let (mut cluster, mut agent) = with_running_task();
    for _ in 0..10 {
        agent.report.silent_ms += 200;
        cluster.settle(&mut agent);
        cluster.wait(200);
    }
    assert!(
        agent.stop.is_empty(),
        "time without heartbeats from the worker does not count"
    );
    agent.report.silent_ms = 0;
    cluster.settle(&mut agent);
    cluster.wait(1_700);
    cluster.settle(&mut agent);
    assert!(
        agent.stop.is_empty(),
        "time without calls from the agent does not count"
    );
}

#[test]
fn stalled_task_is_rescheduled_at_another_worker() {
    let (mut cluster, mut first) = with_running_task();
    let mut second = TestAgent::new("side-2", "i-2");
    for _ in 0..40 {
        cluster.settle(&mut first);
        cluster.settle(&mut second);
        cluster.wait(100);
    }
    cluster.settle(&mut first);
    assert_eq!(first.stop.len(), 1);
    assert!(
        second.start.is_empty(),
        "the task is not rescheduled before the stopped run is reported as finished"
    );
    first.finish_all(RunEnd::Stopped);
    cluster.settle(&mut first);
    cluster.settle(&mut second);
    assert_eq!(
        second.start.len(),
        1,
        "the task is rescheduled at the second worker"
    );
}
