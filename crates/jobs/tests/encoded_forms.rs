//! Compares the encoded forms of stored records and of completions with recorded ones, byte for byte: other
//! processes and former versions depend on them.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{
    assignment, gang_step, job_id, policy, request, step, step_after, step_with_checkpoints,
    task_id, unit_id, Harness, START,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use streamusher_jobs::{Completion, LatencyBreakdown, LatencyStage, QueuePolicy};
use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::task::RunEnd;

const RECORDS: &str = include_str!("fixtures/encoded/records.txt");
/// Records written by former versions, which did not store the time at which a run was assigned.
const RECORDS_WITHOUT_START_TIMES: &str =
    include_str!("fixtures/encoded/records_without_start_times.txt");
const COMPLETIONS: &str = include_str!("fixtures/encoded/completions.jsonl");
const STAGES: &str = include_str!("fixtures/encoded/latency_stages.jsonl");
/// Records of the replicated state, by key.
type Records = BTreeMap<Arc<str>, Arc<str>>;

/// Prefix of the fixture's lines that hold the name of a state; the records of the state follow.
const STATE_HEADING: &str = "# ";

fn hedged_with_checkpoints() -> StepRequest {
    StepRequest {
        hedged: true,
        ..step_with_checkpoints(1)
    }
}

/// Submits a job in which every field of the request is set.
fn submitted() -> Harness {
    let mut harness = Harness::new();
    let first = StepRequest {
        same_rack: true,
        node_selector: Some("ssd".into()),
        affinity: Some("rack-1".into()),
        anti_affinity: 2,
        ..gang_step(2)
    };
    let second = StepRequest {
        depends_on: vec![0],
        hedged: true,
        long_running: true,
        ..step(1)
    };
    let all_fields = JobRequest {
        repeat_count: 3,
        start_at_ms: START.unix_ms,
        interval_ms: 60_000,
        ..request(vec![first, second])
    };
    harness.submit(1, all_fields);
    harness
}

/// A task with a failed run, a checkpoint and avoided workers, whose second run has reported a newer
/// checkpoint.
fn failed_and_started_again() -> Harness {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step_with_checkpoints(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    let first = harness.start(&id)[0].run.clone();
    harness.finish_with_checkpoint(&first, RunEnd::Failed, "c1");
    let other_worker = [assignment(task_id(1, 0, 0, 0), "w9")];
    let second = harness.table.start_unit(harness.now, &id, &other_worker)[0]
        .run
        .clone();
    harness.ready_units.remove(&id);
    harness.table.on_checkpoint(&second, "c2");
    harness.table.on_run_stalled(&second);
    harness.take_changes();
    harness
}

/// A task whose run was lost, and that has not been placed again.
fn lost() -> Harness {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2)]));
    let run = harness.start(&unit_id(1, 0, 0, Some(0)))[0].run.clone();
    harness.lose(&run);
    harness
}

/// A gang whose other members are being stopped after one member failed.
fn broken_gang() -> Harness {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![gang_step(3), step_after(1, &[0])]));
    let started = harness.start(&unit_id(1, 0, 0, None));
    harness.finish(&started[0].run, RunEnd::Failed);
    harness
}

/// A gang that is done while a member of it is still assigned.
fn done_gang() -> Harness {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![gang_step(2), step_after(1, &[0])]));
    let started = harness.start(&unit_id(1, 0, 0, None));
    harness.finish(&started[1].run, RunEnd::Done);
    harness
}

/// A hedged task whose second run waits for placement.
fn hedged_waiting() -> Harness {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![hedged_with_checkpoints()]));
    let run = harness.start(&unit_id(1, 0, 0, Some(0)))[0].run.clone();
    assert!(harness.table.hedge(&run));
    harness.take_changes();
    harness
}

/// A hedged task with two runs, of which the first was started from a checkpoint.
fn hedged_with_two_runs() -> Harness {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![hedged_with_checkpoints()]));
    let id = unit_id(1, 0, 0, Some(0));
    let lost = harness.start(&id)[0].run.clone();
    harness.finish_with_checkpoint(&lost, RunEnd::Stopped, "c1");
    let first = harness.start(&id)[0].run.clone();
    assert!(harness.table.hedge(&first));
    harness.take_changes();
    harness.start(&id);
    harness
}

/// A hedged task whose second run succeeded first, so that the earlier one is being stopped.
fn hedged_done_by_second_run() -> Harness {
    let mut harness = Harness::new();
    harness.submit(
        1,
        request(vec![hedged_with_checkpoints(), step_after(1, &[0])]),
    );
    let id = unit_id(1, 0, 0, Some(0));
    let first = harness.start(&id)[0].run.clone();
    assert!(harness.table.hedge(&first));
    harness.take_changes();
    let second = harness.start(&id)[0].run.clone();
    harness.finish(&second, RunEnd::Done);
    harness
}

fn three_iterations() -> Harness {
    let mut harness = Harness::new();
    let repeated = JobRequest {
        repeat_count: 5,
        start_at_ms: START.unix_ms,
        interval_ms: 1_000,
        ..request(vec![step(1)])
    };
    harness.submit(1, repeated);
    harness.advance(3_000);
    harness
}

/// A job with finished iterations that do not include the first one.
fn later_iterations_done() -> Harness {
    let mut harness = three_iterations();
    harness.start_and_finish(&unit_id(1, 1, 0, Some(0)), RunEnd::Done);
    harness.start_and_finish(&unit_id(1, 3, 0, Some(0)), RunEnd::Done);
    harness
}

/// A job with finished iterations from the first one on, and a further one beyond a gap.
fn first_iterations_done() -> Harness {
    let mut harness = later_iterations_done();
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Done);
    harness
}

/// A cancelled job with an assigned run.
fn cancelled_with_run_left() -> Harness {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(2)]));
    harness.start(&unit_id(1, 0, 0, Some(0)));
    harness.cancel(1);
    harness
}

/// One job for each final state, without assigned runs.
fn ended() -> Harness {
    let mut harness = Harness::new();
    for number in 1..=3 {
        harness.submit(number, request(vec![step(1)]));
    }
    harness.start_and_finish(&unit_id(1, 0, 0, Some(0)), RunEnd::Done);
    harness.start_and_finish(&unit_id(2, 0, 0, Some(0)), RunEnd::Failed);
    harness.start_and_finish(&unit_id(2, 0, 0, Some(0)), RunEnd::Failed);
    harness.cancel(3);
    harness
}

/// Policies with numbers at their limits or that JSON cannot represent, and names with special characters.
fn unusual_policies() -> Harness {
    let mut harness = Harness::new();
    let extreme = QueuePolicy {
        queue: "q \"1\"".into(),
        service: "é".into(),
        priority: 0,
        max_attempts: u32::MAX,
        stretch: 0.1 + 0.2,
        target_latency_ms: u64::MAX,
    };
    harness.submit_with(1, request(vec![step(1)]), &extreme);
    let infinite = QueuePolicy {
        stretch: f64::INFINITY,
        ..policy("scans")
    };
    harness.submit_with(2, request(vec![step(1)]), &infinite);
    harness
}

fn states() -> Vec<(&'static str, Harness)> {
    vec![
        ("submitted", submitted()),
        ("failed_and_started_again", failed_and_started_again()),
        ("lost", lost()),
        ("broken_gang", broken_gang()),
        ("done_gang", done_gang()),
        ("hedged_waiting", hedged_waiting()),
        ("hedged_with_two_runs", hedged_with_two_runs()),
        ("hedged_done_by_second_run", hedged_done_by_second_run()),
        ("later_iterations_done", later_iterations_done()),
        ("first_iterations_done", first_iterations_done()),
        ("cancelled_with_run_left", cancelled_with_run_left()),
        ("ended", ended()),
        ("unusual_policies", unusual_policies()),
    ]
}

/// Parses a fixture into the records of each state.
fn recorded_states(records: &'static str) -> BTreeMap<&'static str, Records> {
    let mut recorded = BTreeMap::<&str, Records>::new();
    let mut name = "";
    for line in records.lines() {
        if let Some(heading) = line.strip_prefix(STATE_HEADING) {
            name = heading;
            continue;
        }
        let (key, value) = line.split_once(' ').expect("a key and its value");
        recorded
            .entry(name)
            .or_default()
            .insert(key.into(), value.into());
    }
    recorded
}

#[test]
fn encoded_forms_are_as_recorded() {
    let mut encoded = String::new();
    for (name, harness) in states() {
        writeln!(encoded, "{STATE_HEADING}{name}").expect("text can be appended");
        for (key, value) in &harness.state {
            writeln!(encoded, "{key} {value}").expect("text can be appended");
        }
    }
    assert_eq!(encoded, RECORDS);
}

/// If a former version did not record the time of an assignment, recovery uses the time of the takeover. That
/// is the same time in this test.
#[rstest]
#[case::present(RECORDS)]
#[case::without_start_times(RECORDS_WITHOUT_START_TIMES)]
fn recorded_records_are_decoded_to_the_same_state(#[case] records: &'static str) {
    let recorded = recorded_states(records);
    for (name, harness) in states() {
        let decoded = Harness::recovered_from(harness.now, recorded[name].clone());
        assert!(decoded.last_changes.writes.is_empty(), "{name}");
        assert_eq!(decoded.ready_units, harness.ready_units, "{name}");
        assert_eq!(
            decoded.table.assigned_runs(),
            harness.table.assigned_runs(),
            "{name}"
        );
        for number in 1..=3 {
            assert_eq!(decoded.status(number), harness.status(number), "{name}");
            let (queue, expected) = (
                decoded.table.queue_of(&job_id(number)),
                harness.table.queue_of(&job_id(number)),
            );
            assert_eq!(queue, expected, "{name}");
        }
    }
}

#[rstest]
#[case::queue("queue")]
#[case::state("state")]
#[case::open("open")]
#[case::service("service")]
#[case::priority("priority")]
#[case::max_attempts("max_attempts")]
#[case::stretch("stretch")]
#[case::target_latency("target_latency_ms")]
#[case::submitted("submitted_ms")]
#[case::done_below("done_below")]
#[case::done_above("done_above")]
#[case::request("request")]
#[case::run("run")]
#[case::worker("worker")]
#[case::stopping("stopping")]
#[case::done("done")]
#[case::failed("failed")]
#[case::counted("counted")]
#[case::checkpoint("checkpoint")]
#[case::started_from("started_from")]
#[case::avoid("avoid")]
#[case::earlier("earlier")]
fn fixture_holds_every_field_of_a_record(#[case] field: &str) {
    assert!(RECORDS.contains(&format!("\"{field}\":")));
}

fn completions() -> Vec<Completion> {
    let mut every_stage = LatencyBreakdown::default();
    for (index, stage) in LatencyStage::ALL.into_iter().enumerate() {
        every_stage.add(stage, 1 + index as u64);
    }
    let first = Completion {
        job: job_id(1),
        iteration: 7,
        queue: "scans".into(),
        service: "imaging".into(),
        priority: 2,
        target_latency_ms: 800,
        stretch: 2.5,
        succeeded: true,
        due_unix_ms: START.unix_ms,
        latency_ms: 78,
        objective_ms: 3_050,
        breakdown: every_stage,
    };
    let second = Completion {
        succeeded: false,
        breakdown: LatencyBreakdown::default(),
        ..first.clone()
    };
    vec![first, second]
}

#[test]
fn encoded_completions_are_as_recorded() {
    let encoded = |completion| serde_json::to_string(completion).expect("a completion is encoded");
    let lines: Vec<String> = completions().iter().map(encoded).collect();
    assert_eq!(lines, COMPLETIONS.lines().collect::<Vec<_>>());
    let decoded = |line| serde_json::from_str(line).expect("a recorded completion is decoded");
    let decoded: Vec<Completion> = COMPLETIONS.lines().map(decoded).collect();
    assert_eq!(decoded, completions());
}

#[test]
fn encoded_latency_stages_are_as_recorded() {
    let encoded = |stage| serde_json::to_string(&stage).expect("a stage is encoded");
    let lines: Vec<String> = LatencyStage::ALL.into_iter().map(encoded).collect();
    assert_eq!(lines, STAGES.lines().collect::<Vec<_>>());
    let decoded = |line| serde_json::from_str(line).expect("a recorded stage is decoded");
    let stages: Vec<LatencyStage> = STAGES.lines().map(decoded).collect();
    assert_eq!(stages, LatencyStage::ALL);
}
