//! Every write, reply and answer of a fixed course of events, byte for byte as recorded: an encoded form that changes
//! would not be understood by another version's nodes, agents, gates and tools.
//!
//! `ENCODED_SHOW=1 cargo test -p streamusher-scheduler --test encoded -- --nocapture` prints the present transcript.

mod support;

use std::fmt::Write;
use streamusher_protocol::heartbeat::WorkerState;
use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::task::RunEnd;
use streamusher_scheduler::{
    Effects, Event, OperatorRequest, OperatorRequestKind, SchedulerResponse, SchedulerSettings,
};
use support::{settings, TestAgent, World, JOB};

const RECORDED: &str = include_str!("fixtures/encoded/scheduler.txt");
const STEPS: &str = r#"[{"count":2,"cpu":300,"mem_mb":10,"estimated_ms":500},
    {"count":1,"cpu":600,"mem_mb":20,"estimated_ms":500,"hedged":true},
    {"count":2,"gang":true,"cpu":100,"mem_mb":10,"estimated_ms":500,"long_running":true}]"#;
const FAILING_STEPS: &str = r#"[{"count":1,"cpu":600,"mem_mb":10,"estimated_ms":500}]"#;

fn with_fair_share() -> SchedulerSettings {
    let fair_share = streamusher_fair_share::FairShareSettings {
        most_delay_ms: 60_000,
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
        .expect("a string takes all");
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
        writeln!(transcript, "reply {request} {shown}").expect("a string takes all");
    }
}

/// The course of events; what each scene wrote and answered, and what operators are shown after it.
struct Course {
    world: World,
    transcript: String,
}

impl Course {
    fn new(settings: SchedulerSettings) -> Course {
        Course {
            world: World::with(settings),
            transcript: String::new(),
        }
    }

    fn end_scene(&mut self, name: &str) {
        writeln!(self.transcript, "--- {name}").expect("a string takes all");
        for effects in std::mem::take(&mut self.world.effects) {
            show_effects(&mut self.transcript, &effects);
        }
        let status = serde_json::to_value(self.world.scheduler.status(self.world.now));
        let job = JOB.parse().expect("a job's identifier");
        let explained = self.world.scheduler.explain_job(self.world.now, &job);
        let user = self
            .world
            .scheduler
            .explain_user(self.world.now, &"r".into());
        let state: Vec<String> = self
            .world
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
            writeln!(self.transcript, "{name} {shown}").expect("a string takes all");
        }
    }

    fn operator(&mut self, kind: OperatorRequestKind, base: Option<u64>, body: &str) {
        let order = OperatorRequest {
            kind,
            base,
            body: body.into(),
        };
        self.world.handle(Event::OperatorRequest {
            id: 1_000_000,
            request: order,
        });
    }
}

fn run_requests_of_clients_and_operators(course: &mut Course) {
    let update = r#"{"version":2,"upsert":{"services":[{"name":"s","guards":false}]}}"#;
    course.operator(OperatorRequestKind::Read, None, "");
    course.operator(OperatorRequestKind::Update, None, update);
    course.operator(OperatorRequestKind::Update, Some(1), update);
    course.operator(OperatorRequestKind::Update, Some(1), update);
    course.operator(OperatorRequestKind::Replace, Some(2), "{");
    course.operator(
        OperatorRequestKind::Replace,
        Some(9),
        r#"{"version":10,"routes":[],"services":[]}"#,
    );
    let world = &mut course.world;
    world.call(ClientMethod::Get, "/nowhere/", "");
    world.call(ClientMethod::Get, "/q/", "");
    world.call(ClientMethod::Post, "/q/", "");
    world.call(ClientMethod::Get, "/q/xyz", "");
    world.call(ClientMethod::Get, &format!("/q/{JOB}"), "");
    world.call(ClientMethod::Delete, &format!("/q/{JOB}"), "");
    world.call(ClientMethod::Post, &format!("/q/{JOB}"), "{");
    world.call(
        ClientMethod::Post,
        &format!("/q/{JOB}"),
        r#"{"spec":"text","steps":[]}"#,
    );
    course.end_scene("requests");
}

fn run_job_of_three_steps(course: &mut Course) -> (TestAgent, TestAgent) {
    let mut first = TestAgent::new("side-1", "i-1");
    let mut second = TestAgent::new("side-2", "i-2");
    course.world.settle(&mut first);
    course.world.submit(STEPS);
    course.world.settle(&mut first);
    course.end_scene("started");
    first.begin_all();
    course.world.settle(&mut first);
    course.world.wait(300);
    course.world.settle(&mut second);
    first.end_all(RunEnd::Done);
    course.world.settle(&mut first);
    first.begin_all();
    first.report.running[0].checkpoint = "saved".into();
    first.report.running[0].percent = 12.5;
    course.world.settle(&mut first);
    course.end_scene("second step");
    course.world.wait(1_000);
    course.world.settle(&mut second);
    course.end_scene("hedged");
    second.begin_all();
    course.world.settle(&mut second);
    first.end_all(RunEnd::Done);
    course.world.settle(&mut first);
    course.world.settle(&mut second);
    second.end_all(RunEnd::Stopped);
    course.world.settle(&mut second);
    course.end_scene("gang");
    (first, second)
}

fn run_failures_and_a_takeover(course: &mut Course, first: &mut TestAgent) {
    let world = &mut course.world;
    for number in 1..=3 {
        let body = format!(r#"{{"spec":"text","steps":{FAILING_STEPS}}}"#);
        world.call(ClientMethod::Post, &format!("/q/{number:016x}"), &body);
        for _ in 0..2 {
            world.settle(first);
            first.begin_all();
            world.settle(first);
            first.end_all(RunEnd::Failed);
            world.settle(first);
        }
    }
    world.wait(1_100);
    course.end_scene("penalties");
    course.world.fail_over();
    course.world.settle(first);
    course.end_scene("takeover");
}

fn run_losses(course: &mut Course, first: &mut TestAgent, second: &mut TestAgent) {
    let world = &mut course.world;
    second.report.state = WorkerState::Draining;
    second.report.remaining_ms = Some(200);
    second.report.sequence += 1;
    world.settle(second);
    world.call(ClientMethod::Delete, &format!("/q/{JOB}"), "");
    world.settle(first);
    course.end_scene("drained and cancelled");
    first.replace_worker("i-9");
    course.world.settle(first);
    course.world.wait(7_000);
    course.end_scene("lost");
    course.world.handle(Event::RequestAbandoned { id: 1 });
    course.world.wait(15_000);
    course.end_scene("all leases expired");
}

fn transcript(settings: SchedulerSettings) -> String {
    let mut course = Course::new(settings);
    course.end_scene("configured");
    run_requests_of_clients_and_operators(&mut course);
    let (mut first, mut second) = run_job_of_three_steps(&mut course);
    run_failures_and_a_takeover(&mut course, &mut first);
    run_losses(&mut course, &mut first, &mut second);
    course.transcript
}

#[test]
fn encoded_forms_are_as_recorded() {
    let present = format!(
        "=== without fair share\n{}=== with fair share\n{}",
        transcript(settings()),
        transcript(with_fair_share())
    );
    if std::env::var_os("ENCODED_SHOW").is_some() {
        print!("{present}");
        return;
    }
    for (number, (present, recorded)) in present.lines().zip(RECORDED.lines()).enumerate() {
        assert_eq!(present, recorded, "line {}", number + 1);
    }
    assert_eq!(present.len(), RECORDED.len());
}
