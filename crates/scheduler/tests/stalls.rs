//! Runs without progress.
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
#[case::in_its_start(30.0, true)]
#[case::at_work(99.0, false)]
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
    assert!(agent.stop.is_empty(), "its worker is unresponsive");
    agent.report.silent_ms = 0;
    cluster.settle(&mut agent);
    cluster.wait(1_700);
    cluster.settle(&mut agent);
    assert!(agent.stop.is_empty(), "its agent was unresponsive");
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
    assert!(second.start.is_empty(), "not before the stop is reported");
    first.finish_all(RunEnd::Stopped);
    cluster.settle(&mut first);
    cluster.settle(&mut second);
    assert_eq!(second.start.len(), 1, "elsewhere");
}
