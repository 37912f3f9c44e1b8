//! Submission, cancellation, configuration changes and retention of jobs.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{job_id, policy, request, step, step_after, unit_id, Harness, RETENTION_MS};
use streamusher_jobs::{CancelOutcome, JobChanges, QueuePolicy, SubmitOutcome};
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::RunEnd;

#[test]
fn new_job_makes_its_first_step_ready() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2), step_after(1, &[0])]));
    assert_eq!(
        harness.ready_ids(),
        vec![unit_id(1, 0, 0, Some(0)), unit_id(1, 0, 0, Some(1))]
    );
    assert_eq!(harness.stored_keys(), vec![format!("job/{}", job_id(1))]);
    assert_eq!(harness.status(1), Some(JobState::Pending));
    assert_eq!(harness.table.pending_count("scans"), 1);
    assert_eq!(harness.table.queue_of(&job_id(1)).as_deref(), Some("scans"));
}

#[test]
fn resubmission_changes_nothing() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    let repeated = harness.table.submit(
        harness.now,
        &job_id(1),
        request(vec![step(5)]),
        &policy("scans"),
    );
    assert_eq!(repeated, Ok(SubmitOutcome::AlreadyExists));
    harness.take_changes();
    assert!(harness.last_changes.writes.is_empty());
    assert_eq!(harness.ready_ids().len(), 1);
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Done);
    let repeated_after_end = harness.table.submit(
        harness.now,
        &job_id(1),
        request(vec![step(1)]),
        &policy("scans"),
    );
    assert_eq!(repeated_after_end, Ok(SubmitOutcome::AlreadyExists));
}

#[test]
fn started_job_is_no_longer_pending() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    harness.submit(2, request(vec![step(1)]));
    assert_eq!(harness.table.pending_count("scans"), 2);
    harness.start(&unit_id(1, 0, 0, Some(0)));
    assert_eq!(harness.table.pending_count("scans"), 1);
    harness.cancel(2);
    assert_eq!(harness.table.pending_count("scans"), 0);
}

#[test]
fn cancellation_revokes_units_and_stops_runs() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2), step_after(1, &[0])]));
    let started = harness.start(&unit_id(1, 0, 0, Some(0)));
    assert_eq!(harness.cancel(1), CancelOutcome::Cancelled);
    assert_eq!(harness.status(1), Some(JobState::Cancelled));
    assert!(harness.ready_ids().is_empty());
    assert_eq!(
        harness.last_changes.runs_to_stop,
        vec![started[0].run.clone()]
    );
    assert!(!harness.table.is_current(&started[0].run));
    assert!(harness.table.assigned_runs()[0].stopping);
    let recovered = harness.recovered();
    assert_eq!(
        recovered.table.assigned_runs(),
        harness.table.assigned_runs()
    );
    assert_eq!(
        harness.cancel(1),
        CancelOutcome::AlreadyEnded(JobState::Cancelled)
    );
    assert_eq!(harness.cancel(9), CancelOutcome::UnknownJob);
    harness.finish(&started[0].run, RunEnd::Stopped);
    assert!(harness.ready_ids().is_empty());
    assert!(harness.table.assigned_runs().is_empty());
}

#[test]
fn ended_job_is_retained_as_its_final_state() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2)]));
    let first = harness.start(&unit_id(1, 0, 0, Some(0)));
    harness.start_and_finish(&unit_id(1, 0, 0, Some(1)), RunEnd::Done);
    harness.cancel(1);
    assert_eq!(harness.stored_keys().len(), 3);
    harness.lose(&first[0].run);
    assert_eq!(harness.stored_keys(), vec![format!("job/{}", job_id(1))]);
    let stored = harness.state.values().next().map(ToString::to_string);
    assert_eq!(
        stored.as_deref(),
        Some(r#"{"queue":"scans","state":"cancelled"}"#)
    );
    harness.advance(RETENTION_MS - 1);
    assert_eq!(harness.status(1), Some(JobState::Cancelled));
    assert_eq!(harness.recovered().status(1), Some(JobState::Cancelled));
    harness.advance(1);
    assert_eq!(harness.status(1), None);
    assert!(harness.stored_keys().is_empty());
}

#[test]
fn changed_policy_reissues_waiting_units() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2)]));
    harness.submit_with(2, request(vec![step(1)]), &policy("removed"));
    let started = harness.start(&unit_id(1, 0, 0, Some(0)));
    let newer = QueuePolicy {
        service: "other".into(),
        priority: 0,
        ..policy("scans")
    };
    harness
        .table
        .apply_configuration(&|queue| (queue == "scans").then(|| newer.clone()));
    harness.take_changes();
    assert_eq!(
        harness.last_changes.revoked_units,
        vec![unit_id(1, 0, 0, Some(1))]
    );
    assert_eq!(
        &*harness.ready_units[&unit_id(1, 0, 0, Some(1))].service,
        "other"
    );
    assert_eq!(harness.ready_units[&unit_id(1, 0, 0, Some(1))].priority, 0);
    assert_eq!(
        &*harness.ready_units[&unit_id(2, 0, 0, Some(0))].service,
        "imaging",
        "jobs of a queue without a policy keep the one that they have"
    );
    assert!(harness.table.is_current(&started[0].run));
    assert_eq!(harness.recovered().ready_units, harness.ready_units);
    harness
        .table
        .apply_configuration(&|queue| (queue == "scans").then(|| newer.clone()));
    harness.take_changes();
    assert_eq!(
        harness.last_changes,
        JobChanges::default(),
        "applying an unchanged policy has no effect"
    );
}
