//! Log lines of jobs that missed their objective.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use std::cell::RefCell;
use std::sync::Once;
use streamusher_jobs::{Completion, LatencyStage};
use streamusher_protocol::task::RunEnd;
use streamusher_scheduler::OBJECTIVE_MISSED_PREFIX;
use support::scenarios::with_commanded_task;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines of each test's thread.
struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

fn capture() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&Capture).expect("the only logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

fn missed() -> Vec<Completion> {
    let parse =
        |line: &String| serde_json::from_str(line.strip_prefix(OBJECTIVE_MISSED_PREFIX)?).ok();
    LINES.with_borrow(|lines| lines.iter().filter_map(parse).collect())
}

#[test]
fn missed_objective_is_logged_with_its_latency_breakdown() {
    capture();
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
    capture();
    let (mut cluster, mut agent) = with_commanded_task();
    agent.start_all();
    cluster.settle(&mut agent);
    cluster.wait(300);
    agent.finish_all(RunEnd::Done);
    cluster.settle(&mut agent);
    assert!(missed().is_empty());
}
