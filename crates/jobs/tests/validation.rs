//! Requests that are rejected, and requests at the limits that are accepted.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{job_id, policy, request, step, step_after, Harness};
use rstest::rstest;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::{JobRequest, JobState, StepRequest};

fn repeated(repeat_count: u32, interval_ms: u64, tasks: u32) -> JobRequest {
    JobRequest {
        repeat_count,
        interval_ms,
        ..request(vec![step(tasks)])
    }
}

fn with_cpu(cpu: u64) -> JobRequest {
    request(vec![StepRequest {
        resources: Resources {
            cpu,
            mem_mb: 1,
            gpu: 0,
        },
        ..step(1)
    }])
}

#[rstest]
#[case::no_steps(request(vec![]), "steps is empty")]
#[case::no_tasks(request(vec![step(1), step(0)]), "steps[1].count is 0")]
#[case::too_many_tasks(request(vec![step(9_999), step(2)]), "add up to 10001 tasks")]
#[case::sum_beyond_u32(request(vec![step(u32::MAX), step(u32::MAX)]), "add up to 8589934590 tasks")]
#[case::too_many_steps(request(vec![step(1); 1_001]), "steps has 1001 entries")]
#[case::own_step(request(vec![step(1), step_after(1, &[1])]), "steps[1].depends_on names step 1")]
#[case::later_step(request(vec![step_after(1, &[1]), step(1)]), "steps[0].depends_on names step 1")]
#[case::no_such_step(request(vec![step(1), step_after(1, &[0, u32::MAX])]), "names step 4294967295")]
#[case::long_spec(JobRequest { spec: "x".repeat(4_001).into(), ..request(vec![step(1)]) }, "spec has 4001 bytes")]
#[case::repeats_at_once(repeated(5_001, 0, 2), "repeat_count is 5001: send at most 5000")]
#[case::repeats(repeated(u32::MAX, 1, 1), "repeat_count is 4294967295")]
#[case::amount(with_cpu(u64::MAX), "steps[0].cpu is 18446744073709551615")]
#[case::interval(repeated(2, u64::MAX, 1), "interval_ms is")]
#[case::start(JobRequest { start_at_ms: u64::MAX, ..request(vec![step(1)]) }, "start_at_ms is")]
#[case::estimate(request(vec![StepRequest { estimated_ms: u64::MAX, ..step(1) }]), "steps[0].estimated_ms is")]
#[case::label(
    request(vec![StepRequest { node_selector: Some("x".repeat(300).into()), ..step(1) }]),
    "steps[0].node_selector has 300 bytes"
)]
fn invalid_request_is_rejected_with_the_field_named(#[case] body: JobRequest, #[case] named: &str) {
    let mut harness = Harness::new();
    let error = harness
        .table
        .submit(harness.now, &job_id(1), body, &policy("scans"))
        .expect_err("the request is rejected");
    assert!(error.to_string().contains(named), "{error}");
    assert!(
        error.to_string().contains("send ") || error.to_string().contains("name "),
        "{error}"
    );
    harness.take_changes();
    assert!(harness.state.is_empty() && harness.ready_units.is_empty());
    assert_eq!(harness.status(1), None);
    assert_eq!(harness.table.pending_count("scans"), 0);
}

#[test]
fn requests_at_the_limits_are_accepted() {
    let mut harness = Harness::new();
    harness.submit(
        1,
        JobRequest {
            spec: "x".repeat(4_000).into(),
            ..request(vec![step(10_000)])
        },
    );
    harness.submit(2, repeated(1_000_000, 1_000_000_000_000, 1));
    harness.submit(
        3,
        request(
            (0..1_000)
                .map(|index| step_after(1, &(0..index).collect::<Vec<u32>>()))
                .collect(),
        ),
    );
    assert_eq!(harness.status(3), Some(JobState::Pending));
    assert_eq!(harness.recovered().ready_units, harness.ready_units);
}
