//! Requests and records that cannot be used.

mod common;

use common::*;
use rstest::rstest;
use std::sync::Arc;
use streamusher_jobs::{JobTable, QueuePolicy, RecordError};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::{JobRequest, StepRequest};

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
#[case::sum_beyond_the_integer(request(vec![step(u32::MAX), step(u32::MAX)]), "add up to 8589934590 tasks")]
#[case::too_many_steps(request(vec![step(1); 1_001]), "steps has 1001 entries")]
#[case::own_step(request(vec![step(1), after(1, &[1])]), "steps[1].depends_on names step 1")]
#[case::later_step(request(vec![after(1, &[1]), step(1)]), "steps[0].depends_on names step 1")]
#[case::no_such_step(request(vec![step(1), after(1, &[0, u32::MAX])]), "names step 4294967295")]
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
fn given_a_job_that_cannot_be_run_when_it_is_submitted_then_the_field_is_named_and_nothing_is_kept(
    #[case] body: JobRequest,
    #[case] named: &str,
) {
    let mut world = World::new();
    let refused = world
        .book
        .submit(world.now, &job(1), body, &terms("scans"))
        .expect_err("it is refused");
    assert!(refused.to_string().contains(named), "{refused}");
    assert!(
        refused.to_string().contains("send ") || refused.to_string().contains("name "),
        "{refused}"
    );
    world.take();
    assert!(world.state.is_empty() && world.ready.is_empty());
    assert_eq!(world.status(1), None);
    assert_eq!(world.book.pending_count("scans"), 0);
}

#[test]
fn given_jobs_at_the_limits_when_they_are_submitted_then_they_are_taken() {
    let mut world = World::new();
    world.submit(
        1,
        JobRequest {
            spec: "x".repeat(4_000).into(),
            ..request(vec![step(10_000)])
        },
    );
    world.submit(2, repeated(1_000_000, 1_000_000_000_000, 1));
    world.submit(
        3,
        request(
            (0..1_000)
                .map(|i| after(1, &(0..i).collect::<Vec<u32>>()))
                .collect(),
        ),
    );
    assert_eq!(
        world.status(3),
        Some(streamusher_protocol::job::JobState::Pending)
    );
    assert_eq!(world.recovered().ready, world.ready);
}

#[test]
fn given_a_stretch_that_is_no_number_when_the_job_is_recovered_then_its_record_can_be_read() {
    let mut world = World::new();
    world.submit_to(
        1,
        request(vec![step(1)]),
        &QueuePolicy {
            stretch: f64::NAN,
            ..terms("scans")
        },
    );
    assert_eq!(world.recovered().ready, world.ready);
}

const OPEN: &str = r#"{"service":"s","priority":0,"max_attempts":1,"stretch":1,"target_latency_ms":1,"submitted_ms":1,"request":{"steps":[{"count":COUNT}]}}"#;

fn open(count: &str) -> String {
    format!(r#"{{"queue":"q","open":{}}}"#, OPEN.replace("COUNT", count))
}

fn recover(records: &[(&str, &str)]) -> Result<JobTable, RecordError> {
    let records: Vec<(Arc<str>, Arc<str>)> = records
        .iter()
        .map(|(k, v)| (Arc::from(*k), Arc::from(*v)))
        .collect();
    JobTable::recover(settings(), START, records.into_iter())
}

const JOB: &str = "job/0000000000000001";
const TASK: &str = "task/0000000000000001.0.0.0";

#[rstest]
#[case::cut_short(&[(JOB, r#"{"queue":"q""#)])]
#[case::empty(&[(JOB, "")])]
#[case::neither_state_nor_request(&[(JOB, r#"{"queue":"q"}"#)])]
#[case::other_key(&[("order/1", "1")])]
#[case::bad_id(&[("job/1", r#"{"queue":"q","state":"failed"}"#)])]
#[case::task_without_job(&[(TASK, r#"{"run":1}"#)])]
#[case::task_of_an_ended_job(&[(JOB, r#"{"queue":"q","state":"failed"}"#), (TASK, r#"{"run":1}"#)])]
#[case::negative_run(&[(TASK, r#"{"run":-1}"#)])]
fn given_a_damaged_record_when_it_is_recovered_then_it_is_named_and_nothing_is_built(
    #[case] records: &[(&str, &str)],
) {
    let refused = recover(records).expect_err("it is refused").to_string();
    assert!(
        records.iter().any(|(key, _)| refused.contains(key)),
        "{refused}"
    );
    assert!(refused.contains("another replica"), "{refused}");
}

#[rstest]
#[case::huge_count(open("4000000000"), r#"{"run":1}"#, TASK)]
#[case::no_run(open("1"), r#"{"run":0,"worker":"w"}"#, TASK)]
#[case::beyond_the_step(open("1"), r#"{"run":1}"#, "task/0000000000000001.0.0.1")]
#[case::beyond_the_job(open("1"), r#"{"run":1}"#, "task/0000000000000001.0.1.0")]
#[case::beyond_its_times(open("1"), r#"{"run":1}"#, "task/0000000000000001.4294967295.0.0")]
fn given_a_record_that_does_not_fit_its_job_when_it_is_recovered_then_nothing_is_built(
    #[case] job: String,
    #[case] record: &str,
    #[case] key: &str,
) {
    assert!(recover(&[(JOB, &job), (key, record)]).is_err());
}

#[test]
fn given_records_in_any_order_when_they_are_recovered_then_the_order_does_not_matter() {
    let book =
        recover(&[(TASK, r#"{"run":3,"worker":"w"}"#), (JOB, &open("1"))]).expect("it can be read");
    assert_eq!(book.assigned_runs().len(), 1);
    assert_eq!(book.assigned_runs()[0].run.run, 3);
}
