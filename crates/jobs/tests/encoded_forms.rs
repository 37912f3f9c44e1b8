//! Bytes of the records in the replicated state and of the JSON of a completion, as other processes and former versions
//! know them.

mod common;

use common::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use streamusher_jobs::{Completion, JobTable, LatencyBreakdown, LatencyStage, QueuePolicy};
use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::task::RunEnd;

const RECORDS: &str = include_str!("fixtures/encoded/records.txt");
const COMPLETIONS: &str = include_str!("fixtures/encoded/completions.jsonl");
const STAGES: &str = include_str!("fixtures/encoded/latency_stages.jsonl");
/// Precedes the name of a state in the fixture; its records follow.
const STATE_HEADING: &str = "# ";

fn with_checkpoints(count: u32) -> StepRequest {
    StepRequest {
        checkpoints: true,
        ..step(count)
    }
}

fn hedged_with_checkpoints() -> StepRequest {
    StepRequest {
        hedged: true,
        ..with_checkpoints(1)
    }
}

/// A job with every field of a request.
fn submitted() -> World {
    let mut world = World::new();
    let first = StepRequest {
        same_rack: true,
        node_selector: Some("ssd".into()),
        affinity: Some("rack-1".into()),
        anti_affinity: 2,
        ..gang(2)
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
    world.submit(1, all_fields);
    world
}

/// A failed run, a checkpoint, a worker to avoid, and a second run that has reported a newer checkpoint.
fn failed_and_started_again() -> World {
    let mut world = World::new();
    world.submit(1, request(vec![with_checkpoints(1)]));
    let id = unit(1, 0, 0, Some(0));
    let first = world.begin(&id)[0].run.clone();
    world.end_with(&first, RunEnd::Failed, "c1");
    let other_worker = [assignment(task(1, 0, 0, 0), "w9")];
    let second = world.book.start_unit(world.now, &id, &other_worker)[0]
        .run
        .clone();
    world.ready.remove(&id);
    world.book.on_checkpoint(&second, "c2");
    world.book.on_run_stalled(&second);
    world.take();
    world
}

/// A run that was never placed again after it was lost.
fn lost() -> World {
    let mut world = World::new();
    world.submit(1, request(vec![step(2)]));
    let run = world.begin(&unit(1, 0, 0, Some(0)))[0].run.clone();
    world.lose(&run);
    world
}

/// A gang of which one member ended: the others are stopped.
fn broken_gang() -> World {
    let mut world = World::new();
    world.submit(1, request(vec![gang(3), after(1, &[0])]));
    let started = world.begin(&unit(1, 0, 0, None));
    world.end(&started[0].run, RunEnd::Failed);
    world
}

/// A gang that is done while members of it are still assigned.
fn done_gang() -> World {
    let mut world = World::new();
    world.submit(1, request(vec![gang(2), after(1, &[0])]));
    let started = world.begin(&unit(1, 0, 0, None));
    world.end(&started[1].run, RunEnd::Done);
    world
}

/// A hedged task whose second run waits for a worker.
fn hedged_waiting() -> World {
    let mut world = World::new();
    world.submit(1, request(vec![hedged_with_checkpoints()]));
    let run = world.begin(&unit(1, 0, 0, Some(0)))[0].run.clone();
    assert!(world.book.hedge(&run));
    world.take();
    world
}

/// A hedged task that has two runs, the first started from a checkpoint.
fn hedged_with_two_runs() -> World {
    let mut world = World::new();
    world.submit(1, request(vec![hedged_with_checkpoints()]));
    let id = unit(1, 0, 0, Some(0));
    let lost = world.begin(&id)[0].run.clone();
    world.end_with(&lost, RunEnd::Stopped, "c1");
    let first = world.begin(&id)[0].run.clone();
    assert!(world.book.hedge(&first));
    world.take();
    world.begin(&id);
    world
}

/// A hedged task of which the second run was done first: the earlier one is stopped.
fn hedged_done_by_second_run() -> World {
    let mut world = World::new();
    world.submit(1, request(vec![hedged_with_checkpoints(), after(1, &[0])]));
    let id = unit(1, 0, 0, Some(0));
    let first = world.begin(&id)[0].run.clone();
    assert!(world.book.hedge(&first));
    world.take();
    let second = world.begin(&id)[0].run.clone();
    world.end(&second, RunEnd::Done);
    world
}

fn three_iterations() -> World {
    let mut world = World::new();
    let repeated = JobRequest {
        repeat_count: 5,
        start_at_ms: START.unix_ms,
        interval_ms: 1_000,
        ..request(vec![step(1)])
    };
    world.submit(1, repeated);
    world.pass(3_000);
    world
}

/// Iterations that are done, the first one not among them.
fn later_iterations_done() -> World {
    let mut world = three_iterations();
    world.play(&unit(1, 1, 0, Some(0)), RunEnd::Done);
    world.play(&unit(1, 3, 0, Some(0)), RunEnd::Done);
    world
}

/// Iterations that are done, from the first on and beyond a gap.
fn first_iterations_done() -> World {
    let mut world = later_iterations_done();
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Done);
    world
}

/// A cancelled job of which a run is left.
fn cancelled_with_run_left() -> World {
    let mut world = World::new();
    world.submit(1, request(vec![step(2)]));
    world.begin(&unit(1, 0, 0, Some(0)));
    world.cancel(1);
    world
}

/// One job for each final state, none with runs left.
fn ended() -> World {
    let mut world = World::new();
    for number in 1..=3 {
        world.submit(number, request(vec![step(1)]));
    }
    world.play(&unit(1, 0, 0, Some(0)), RunEnd::Done);
    world.play(&unit(2, 0, 0, Some(0)), RunEnd::Failed);
    world.play(&unit(2, 0, 0, Some(0)), RunEnd::Failed);
    world.cancel(3);
    world
}

/// A policy whose numbers have no short form, or cannot be held by JSON.
fn unusual_policies() -> World {
    let mut world = World::new();
    let policy = QueuePolicy {
        queue: "q \"1\"".into(),
        service: "é".into(),
        priority: 0,
        max_attempts: u32::MAX,
        stretch: 0.1 + 0.2,
        target_latency_ms: u64::MAX,
    };
    world.submit_to(1, request(vec![step(1)]), &policy);
    let infinite = QueuePolicy {
        stretch: f64::INFINITY,
        ..terms("scans")
    };
    world.submit_to(2, request(vec![step(1)]), &infinite);
    world
}

fn states() -> Vec<(&'static str, World)> {
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

/// The records of each state in the fixture.
fn recorded_states() -> BTreeMap<&'static str, Vec<(Arc<str>, Arc<str>)>> {
    let mut recorded = BTreeMap::<&str, Vec<_>>::new();
    let mut name = "";
    for line in RECORDS.lines() {
        if let Some(heading) = line.strip_prefix(STATE_HEADING) {
            name = heading;
            continue;
        }
        let (key, value) = line.split_once(' ').expect("a key and its value");
        recorded
            .entry(name)
            .or_default()
            .push((key.into(), value.into()));
    }
    recorded
}

#[test]
fn encoded_forms_are_as_recorded() {
    let mut encoded = String::new();
    for (name, world) in states() {
        writeln!(encoded, "{STATE_HEADING}{name}").expect("text can be appended");
        for (key, value) in &world.state {
            writeln!(encoded, "{key} {value}").expect("text can be appended");
        }
    }
    assert_eq!(encoded, RECORDS);
}

#[test]
fn recorded_records_are_decoded_to_the_same_state() {
    let recorded = recorded_states();
    for (name, world) in states() {
        let records = recorded[name].iter().cloned();
        let book =
            JobTable::recover(settings(), world.now, records).expect("the records are valid");
        let mut decoded = World {
            book,
            now: world.now,
            ..World::new()
        };
        decoded.take();
        assert!(decoded.last.writes.is_empty(), "{name}");
        assert_eq!(decoded.ready, world.ready, "{name}");
        assert_eq!(
            decoded.book.assigned_runs(),
            world.book.assigned_runs(),
            "{name}"
        );
        for number in 1..=3 {
            assert_eq!(decoded.status(number), world.status(number), "{name}");
            let (queue, expected) = (
                decoded.book.queue_of(&job(number)),
                world.book.queue_of(&job(number)),
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
        job: job(1),
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
    let encoded = |completion| serde_json::to_string(completion).expect("it can be encoded");
    let lines: Vec<String> = completions().iter().map(encoded).collect();
    assert_eq!(lines, COMPLETIONS.lines().collect::<Vec<_>>());
    let decoded = |line| serde_json::from_str(line).expect("it can be decoded");
    let decoded: Vec<Completion> = COMPLETIONS.lines().map(decoded).collect();
    assert_eq!(decoded, completions());
}

#[test]
fn encoded_latency_stages_are_as_recorded() {
    let encoded = |stage| serde_json::to_string(&stage).expect("it can be encoded");
    let lines: Vec<String> = LatencyStage::ALL.into_iter().map(encoded).collect();
    assert_eq!(lines, STAGES.lines().collect::<Vec<_>>());
    let decoded = |line| serde_json::from_str(line).expect("it can be decoded");
    let stages: Vec<LatencyStage> = STAGES.lines().map(decoded).collect();
    assert_eq!(stages, LatencyStage::ALL);
}
