//! Compares every write, response and explanation of a fixed sequence of events with a recorded transcript,
//! byte for byte. Nodes, agents, gates and tools of other versions would not understand a changed encoding.
//!
//! `ENCODED_SHOW=1 cargo test -p streamusher-scheduler --test encoded -- --nocapture` prints the current
//! transcript.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use std::fmt::Write;
use streamusher_protocol::heartbeat::WorkerState;
use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::task::RunEnd;
use streamusher_scheduler::{
    Effects, Event, OperatorRequest, OperatorRequestKind, SchedulerResponse, SchedulerSettings,
};
use support::{settings, TestAgent, TestCluster, JOB};

const RECORDED: &str = include_str!("fixtures/encoded/scheduler.txt");
const STEPS: &str = r#"[{"count":2,"cpu":300,"mem_mb":10,"estimated_ms":500},
    {"count":1,"cpu":600,"mem_mb":20,"estimated_ms":500,"hedged":true},
    {"count":2,"gang":true,"cpu":100,"mem_mb":10,"estimated_ms":500,"long_running":true}]"#;
const FAILING_STEPS: &str = r#"[{"count":1,"cpu":600,"mem_mb":10,"estimated_ms":500}]"#;

fn with_fair_share() -> SchedulerSettings {
    let fair_share = streamusher_fair_share::FairShareSettings {
        max_delay_ms: 60_000,
        half_delay_core_s: 10,
        ..streamusher_fair_share::FairShareSettings::with_half_life(60_000)
    };
    SchedulerSettings {
        fair_share: Some(fair_share),
        ..settings()
    }
}

fn show_effects(transcript: &mut String, effects: &Effects) {
    for write in &effects.writes {
        match &write.value {
            Some(value) => writeln!(transcript, "write {} {value}", write.key),
            None => writeln!(transcript, "remove {}", write.key),
        }
        .expect("writing to a string succeeds");
    }
    for pending in &effects.responses {
        let request = pending.request;
        let shown = match &pending.response {
            SchedulerResponse::Client(response) => {
                format!("client {}", serde_json::to_string(response).expect("JSON"))
            }
            SchedulerResponse::Agent(commands) => {
                format!("agent {}", serde_json::to_string(commands).expect("JSON"))
            }
            SchedulerResponse::Operator(response) => {
                format!("operator {} {}", response.status, response.body)
            }
        };
        writeln!(transcript, "reply {request} {shown}").expect("writing to a string succeeds");
    }
}

/// Runs the sequence of events and records the transcript. Each section lists what was written and answered,
/// followed by what operators are shown.
struct TranscriptRecorder {
    cluster: TestCluster,
    transcript: String,
}

impl TranscriptRecorder {
    fn new(settings: SchedulerSettings) -> TranscriptRecorder {
        TranscriptRecorder {
            cluster: TestCluster::with_settings(settings),
            transcript: String::new(),
        }
    }

    fn end_section(&mut self, name: &str) {
        writeln!(self.transcript, "--- {name}").expect("writing to a string succeeds");
        for effects in std::mem::take(&mut self.cluster.effects) {
            show_effects(&mut self.transcript, &effects);
        }
        let status = serde_json::to_value(self.cluster.scheduler.status(self.cluster.now));
        let job = JOB.parse().expect("a job's identifier");
        let explained = self.cluster.scheduler.explain_job(self.cluster.now, &job);
        let user = self
            .cluster
            .scheduler
            .explain_user(self.cluster.now, &"r".into());
        let state: Vec<String> = self
            .cluster
            .state
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        for (name, shown) in [
            ("status", status.expect("JSON").to_string()),
            ("job", serde_json::to_string(&explained).expect("JSON")),
            ("user", serde_json::to_string(&user).expect("JSON")),
            ("state", state.join(" ")),
        ] {
            writeln!(self.transcript, "{name} {shown}").expect("writing to a string succeeds");
        }
    }

    fn operator(&mut self, kind: OperatorRequestKind, base: Option<u64>, body: &str) {
        let request = OperatorRequest {
            kind,
            base,
            body: body.into(),
        };
        self.cluster.handle(Event::OperatorRequest {
            id: 1_000_000,
            request,
        });
    }
}

fn run_requests_of_clients_and_operators(recorder: &mut TranscriptRecorder) {
    let update = r#"{"version":2,"upsert":{"services":[{"name":"s","guards":false}]}}"#;
    recorder.operator(OperatorRequestKind::Read, None, "");
    recorder.operator(OperatorRequestKind::Update, None, update);
    recorder.operator(OperatorRequestKind::Update, Some(1), update);
    recorder.operator(OperatorRequestKind::Update, Some(1), update);
    recorder.operator(OperatorRequestKind::Replace, Some(2), "{");
    recorder.operator(
        OperatorRequestKind::Replace,
        Some(9),
        r#"{"version":10,"routes":[],"services":[]}"#,
    );
    let cluster = &mut recorder.cluster;
    cluster.request(ClientMethod::Get, "/nowhere/", "");
    cluster.request(ClientMethod::Get, "/q/", "");
    cluster.request(ClientMethod::Post, "/q/", "");
    cluster.request(ClientMethod::Get, "/q/xyz", "");
    cluster.request(ClientMethod::Get, &format!("/q/{JOB}"), "");
    cluster.request(ClientMethod::Delete, &format!("/q/{JOB}"), "");
    cluster.request(ClientMethod::Post, &format!("/q/{JOB}"), "{");
    cluster.request(
        ClientMethod::Post,
        &format!("/q/{JOB}"),
        r#"{"spec":"text","steps":[]}"#,
    );
    recorder.end_section("requests");
}

fn run_job_of_three_steps(recorder: &mut TranscriptRecorder) -> (TestAgent, TestAgent) {
    let mut first = TestAgent::new("side-1", "i-1");
    let mut second = TestAgent::new("side-2", "i-2");
    recorder.cluster.settle(&mut first);
    recorder.cluster.submit(STEPS);
    recorder.cluster.settle(&mut first);
    recorder.end_section("started");
    first.start_all();
    recorder.cluster.settle(&mut first);
    recorder.cluster.wait(300);
    recorder.cluster.settle(&mut second);
    first.finish_all(RunEnd::Done);
    recorder.cluster.settle(&mut first);
    first.start_all();
    first.report.running[0].checkpoint = "saved".into();
    first.report.running[0].percent = 12.5;
    recorder.cluster.settle(&mut first);
    recorder.end_section("second step");
    recorder.cluster.wait(1_000);
    recorder.cluster.settle(&mut second);
    recorder.end_section("hedged");
    second.start_all();
    recorder.cluster.settle(&mut second);
    first.finish_all(RunEnd::Done);
    recorder.cluster.settle(&mut first);
    recorder.cluster.settle(&mut second);
    second.finish_all(RunEnd::Stopped);
    recorder.cluster.settle(&mut second);
    recorder.end_section("gang");
    (first, second)
}

fn run_failures_and_a_takeover(recorder: &mut TranscriptRecorder, first: &mut TestAgent) {
    let cluster = &mut recorder.cluster;
    for number in 1..=3 {
        let body = format!(r#"{{"spec":"text","steps":{FAILING_STEPS}}}"#);
        cluster.request(ClientMethod::Post, &format!("/q/{number:016x}"), &body);
        for _ in 0..2 {
            cluster.settle(first);
            first.start_all();
            cluster.settle(first);
            first.finish_all(RunEnd::Failed);
            cluster.settle(first);
        }
    }
    cluster.wait(1_100);
    recorder.end_section("penalties");
    recorder.cluster.take_over();
    recorder.cluster.settle(first);
    recorder.end_section("takeover");
}

fn run_worker_losses(
    recorder: &mut TranscriptRecorder,
    first: &mut TestAgent,
    second: &mut TestAgent,
) {
    let cluster = &mut recorder.cluster;
    second.report.state = WorkerState::Draining;
    second.report.remaining_ms = Some(200);
    second.report.sequence += 1;
    cluster.settle(second);
    cluster.request(ClientMethod::Delete, &format!("/q/{JOB}"), "");
    cluster.settle(first);
    recorder.end_section("drained and cancelled");
    first.replace_worker("i-9");
    recorder.cluster.settle(first);
    recorder.cluster.wait(7_000);
    recorder.end_section("lost");
    recorder.cluster.handle(Event::RequestAbandoned { id: 1 });
    recorder.cluster.wait(15_000);
    recorder.end_section("all leases expired");
}

fn transcript(settings: SchedulerSettings) -> String {
    let mut recorder = TranscriptRecorder::new(settings);
    recorder.end_section("configured");
    run_requests_of_clients_and_operators(&mut recorder);
    let (mut first, mut second) = run_job_of_three_steps(&mut recorder);
    run_failures_and_a_takeover(&mut recorder, &mut first);
    run_worker_losses(&mut recorder, &mut first, &mut second);
    recorder.transcript
}

#[test]
fn encoded_forms_are_as_recorded() {
    let actual = format!(
        "=== without fair share\n{}=== with fair share\n{}",
        transcript(settings()),
        transcript(with_fair_share())
    );
    if std::env::var_os("ENCODED_SHOW").is_some() {
        print!("{actual}");
        return;
    }
    for (number, (actual, recorded)) in actual.lines().zip(RECORDED.lines()).enumerate() {
        assert_eq!(actual, recorded, "line {}", number + 1);
    }
    assert_eq!(actual.len(), RECORDED.len());
}
