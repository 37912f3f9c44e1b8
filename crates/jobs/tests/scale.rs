//! Scaling with the number of jobs: the cost of an operation on one job does not grow with the other jobs.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{assignment, request, step, task_id, unit_id, Harness, RETENTION_MS};
use streamusher_protocol::task::RunEnd;

#[test]
fn cost_of_a_job_is_independent_of_the_others() {
    let mut harness = Harness::new();
    for number in 0..100_000 {
        harness.submit(number, request(vec![step(1)]));
    }
    assert_eq!(harness.table.pending_count("scans"), 100_000);
    // If each operation visited all jobs, this loop would take 2 * 10^10 visits.
    for number in 0..100_000 {
        let id = unit_id(number, 0, 0, Some(0));
        let assignments = [assignment(task_id(number, 0, 0, 0), "w")];
        let started = harness.table.start_unit(harness.now, &id, &assignments);
        assert!(harness
            .table
            .on_run_finished(harness.now, &started[0].run, RunEnd::Done, ""));
    }
    assert_eq!(harness.table.pending_count("scans"), 0);
    harness.ready_units.clear();
    harness.take_changes();
    harness.advance(RETENTION_MS);
    assert!(harness.state.is_empty());
}
