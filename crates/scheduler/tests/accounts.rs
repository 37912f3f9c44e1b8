//! The log line of a job that missed its objective.

mod support;

use std::cell::RefCell;
use std::sync::Once;
use streamusher_jobs::{Completion, LatencyStage};
use streamusher_protocol::task::RunEnd;
use streamusher_scheduler::OBJECTIVE_MISSED_PREFIX;
use support::given::given_an_ordered_task;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines of each test's thread.
struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
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
fn given_a_run_whose_order_came_late_when_its_job_ends_late_then_a_line_tells_where_the_time_went()
{
    capture();
    let (mut world, mut agent) = given_an_ordered_task();
    world.wait(4_000);
    agent.begin_all();
    world.settle(&mut agent);
    world.wait(500);
    agent.end_all(RunEnd::Done);
    world.settle(&mut agent);

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
fn given_a_job_in_time_when_it_ends_then_no_line_is_written() {
    capture();
    let (mut world, mut agent) = given_an_ordered_task();
    agent.begin_all();
    world.settle(&mut agent);
    world.wait(300);
    agent.end_all(RunEnd::Done);
    world.settle(&mut agent);
    assert!(missed().is_empty());
}
