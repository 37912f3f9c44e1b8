//! Recovery from stored records, including damaged ones.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{policy, request, settings, step, Harness, START};
use rstest::rstest;
use std::sync::Arc;
use streamusher_jobs::{JobTable, QueuePolicy, RecordError};

const JOB: &str = "job/0000000000000001";
const TASK: &str = "task/0000000000000001.0.0.0";
/// Open part of a job's record; `COUNT` is replaced by the number of tasks.
const OPEN: &str = r#"{"service":"s","priority":0,"max_attempts":1,"stretch":1,"target_latency_ms":1,"submitted_ms":1,"request":{"steps":[{"count":COUNT}]}}"#;

fn open(count: &str) -> String {
    format!(r#"{{"queue":"q","open":{}}}"#, OPEN.replace("COUNT", count))
}

fn recover(records: &[(&str, &str)]) -> Result<JobTable, RecordError> {
    let records: Vec<(Arc<str>, Arc<str>)> = records
        .iter()
        .map(|(key, value)| (Arc::from(*key), Arc::from(*value)))
        .collect();
    JobTable::recover(settings(), START, records.into_iter())
}

#[test]
fn job_with_a_non_finite_stretch_is_recovered() {
    let mut harness = Harness::new();
    harness.submit_with(
        1,
        request(vec![step(1)]),
        &QueuePolicy {
            stretch: f64::NAN,
            ..policy("scans")
        },
    );
    assert_eq!(harness.recovered().ready_units, harness.ready_units);
}

#[rstest]
#[case::truncated(&[(JOB, r#"{"queue":"q""#)])]
#[case::empty(&[(JOB, "")])]
#[case::neither_state_nor_request(&[(JOB, r#"{"queue":"q"}"#)])]
#[case::other_key(&[("order/1", "1")])]
#[case::bad_id(&[("job/1", r#"{"queue":"q","state":"failed"}"#)])]
#[case::task_without_job(&[(TASK, r#"{"run":1}"#)])]
#[case::task_of_an_ended_job(&[(JOB, r#"{"queue":"q","state":"failed"}"#), (TASK, r#"{"run":1}"#)])]
#[case::negative_run(&[(TASK, r#"{"run":-1}"#)])]
fn error_names_the_damaged_record(#[case] records: &[(&str, &str)]) {
    let error = recover(records)
        .expect_err("the records are rejected")
        .to_string();
    assert!(
        records.iter().any(|(key, _)| error.contains(key)),
        "{error}"
    );
    assert!(error.contains("another replica"), "{error}");
}

#[rstest]
#[case::huge_count(open("4000000000"), r#"{"run":1}"#, TASK)]
#[case::no_run(open("1"), r#"{"run":0,"worker":"w"}"#, TASK)]
#[case::beyond_the_step(open("1"), r#"{"run":1}"#, "task/0000000000000001.0.0.1")]
#[case::beyond_the_job(open("1"), r#"{"run":1}"#, "task/0000000000000001.0.1.0")]
#[case::beyond_its_iterations(open("1"), r#"{"run":1}"#, "task/0000000000000001.4294967295.0.0")]
fn record_that_does_not_fit_its_job_is_rejected(
    #[case] job: String,
    #[case] record: &str,
    #[case] key: &str,
) {
    assert!(recover(&[(JOB, &job), (key, record)]).is_err());
}

#[test]
fn records_are_accepted_in_any_order() {
    let table = recover(&[(TASK, r#"{"run":3,"worker":"w"}"#), (JOB, &open("1"))])
        .expect("the records are accepted");
    assert_eq!(table.assigned_runs().len(), 1);
    assert_eq!(table.assigned_runs()[0].run.run, 3);
}
