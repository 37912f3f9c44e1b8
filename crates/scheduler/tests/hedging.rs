//! Tests of speculative second runs of hedged tasks.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_protocol::task::RunEnd;
use support::{TestAgent, TestCluster};

const ONE_HEDGED_TASK: &str =
    r#"[{"count":1,"cpu":600,"mem_mb":10,"estimated_ms":500,"hedged":true}]"#;

/// Creates a cluster in which a hedged task runs on the first worker and a second worker is idle.
fn with_hedged_run_and_idle_worker() -> (TestCluster, TestAgent, TestAgent) {
    let mut cluster = TestCluster::new();
    let (mut first, mut second) = (
        TestAgent::new("side-1", "i-1"),
        TestAgent::new("side-2", "i-2"),
    );
    cluster.settle(&mut first);
    assert_eq!(cluster.submit(ONE_HEDGED_TASK).status, 200);
    cluster.settle(&mut first);
    first.start_all();
    cluster.settle(&mut first);
    cluster.settle(&mut second);
    (cluster, first, second)
}

#[test]
fn hedged_task_of_an_unresponsive_machine_gets_a_second_run_within_its_lease() {
    let (mut cluster, mut first, mut second) = with_hedged_run_and_idle_worker();
    for _ in 0..6 {
        cluster.wait(250);
        cluster.settle(&mut second);
    }
    assert_eq!(
        second.start.len(),
        1,
        "the second run starts before the lease of the first worker expires"
    );

    first.finish_all(RunEnd::Done);
    cluster.settle(&mut first);
    cluster.settle(&mut second);

    assert!(
        cluster.job_status().contains("succeeded"),
        "the first run to finish counts"
    );
    assert!(
        second.start.is_empty(),
        "the start of the other run is withdrawn"
    );
}

#[test]
fn stalled_hedged_task_gets_a_second_run_at_another_worker() {
    let (mut cluster, mut first, mut second) = with_hedged_run_and_idle_worker();
    for _ in 0..5 {
        first.report.sequence += 1;
        cluster.settle(&mut first);
        cluster.settle(&mut second);
        cluster.wait(250);
    }
    cluster.settle(&mut first);
    cluster.settle(&mut second);
    assert!(first.start.is_empty());
    assert_eq!(second.start.len(), 1);
}

#[test]
fn progressing_hedged_task_gets_no_second_run() {
    let (mut cluster, mut first, mut second) = with_hedged_run_and_idle_worker();
    for percent in 1..10 {
        first.report.sequence += 1;
        first.report.running[0].percent = f64::from(percent * 10);
        cluster.settle(&mut first);
        cluster.settle(&mut second);
        cluster.wait(250);
    }
    assert!(second.start.is_empty());
}
