//! Tests of the log lines about jobs that missed their objective.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_jobs::{Completion, LatencyStage};
use streamusher_protocol::task::RunEnd;
use streamusher_scheduler::OBJECTIVE_MISSED_PREFIX;
use support::log_capture;
use support::scenarios::with_commanded_task;

fn missed() -> Vec<Completion> {
    let parse =
        |line: &String| serde_json::from_str(line.strip_prefix(OBJECTIVE_MISSED_PREFIX)?).ok();
    log_capture::lines().iter().filter_map(parse).collect()
}

#[test]
fn missed_objective_is_logged_with_its_latency_breakdown() {
    log_capture::install();
    let (mut cluster, mut agent) = with_commanded_task();
    cluster.wait(4_000);
    agent.start_all();
    cluster.settle(&mut agent);
    cluster.wait(500);
    agent.finish_all(RunEnd::Done);
    cluster.settle(&mut agent);

    let missed = missed();
    assert_eq!(missed.len(), 1);
    let missed = &missed[0];
    assert!(missed.succeeded);
    assert_eq!(missed.latency_ms, 4_500);
    assert_eq!(missed.breakdown.total_ms(), missed.latency_ms);
    assert_eq!(
        (
            missed.breakdown.in_stage(LatencyStage::Dispatched),
            missed.breakdown.in_stage(LatencyStage::Worked)
        ),
        (4_000, 500)
    );
}

#[test]
fn met_objective_is_not_logged() {
    log_capture::install();
    let (mut cluster, mut agent) = with_commanded_task();
    agent.start_all();
    cluster.settle(&mut agent);
    cluster.wait(300);
    agent.finish_all(RunEnd::Done);
    cluster.settle(&mut agent);
    assert!(missed().is_empty());
}
