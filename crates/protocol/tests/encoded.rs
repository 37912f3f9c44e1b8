//! Every message of the protocol, compared byte for byte: other releases and programs in other languages read
//! and write these texts.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt::{Debug, Write as _};
use std::sync::Arc;
use streamusher_protocol::config::{Configuration, Limits, Remove, Route, Service, Update, Upsert};
use streamusher_protocol::heartbeat::{
    FinishedRun, Heartbeat, HeartbeatResponse, Resources, RunningTask, StartCommand, StopCommand,
    WorkerState,
};
use streamusher_protocol::internal::{
    AgentCommands, AgentSync, ClientMethod, ClientRequest, ClientResponse, ClusterView,
    ClusterWatch, CoreAddress, ExplainRequest, GateLeaseRequest, GateLeaseResponse, NotPrimary,
    WorkerReport,
};
use streamusher_protocol::job::{JobRequest, JobState, JobStatus, QueueStatus, StepRequest};
use streamusher_protocol::store::Write;
use streamusher_protocol::task::{JobId, RunEnd, RunId, TaskId};

/// The encoded messages. Each line holds a name and the JSON text of a value that decodes to the same value.
#[derive(Default)]
struct Encoded {
    lines: String,
}

impl Encoded {
    /// Adds a value, and checks that its encoding decodes to the same value.
    fn add<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        let text = serde_json::to_string(value).unwrap();
        let decoded: T = serde_json::from_str(&text).unwrap();
        assert_eq!(&decoded, value, "{name}");
        writeln!(self.lines, "{name} {text}").unwrap();
    }
}

/// Checks that a text decodes to the expected value.
fn assert_decodes<T: DeserializeOwned + PartialEq + Debug>(text: &str, expected: &T) {
    let decoded: T = serde_json::from_str(text).unwrap();
    assert_eq!(&decoded, expected, "{text}");
}

fn job() -> JobId {
    "5c0e7a21d94b36f8".parse().unwrap()
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: job(),
        iteration: 2,
        step: 1,
        index,
    }
}

fn core_address(index: u32) -> CoreAddress {
    CoreAddress {
        internal: format!("10.0.0.{index}:7000").into(),
        control: format!("10.0.0.{index}:8000").into(),
    }
}

fn view() -> ClusterView {
    ClusterView {
        epoch: 7,
        primary: Some(core_address(1)),
        members: vec![core_address(1), core_address(2)],
    }
}

fn unknown_fields() -> Map<String, Value> {
    let text = r#"{"zeta":[1,{"b":null}],"alpha":"\u00e9\"","Mixed":1.5}"#;
    serde_json::from_str(text).unwrap()
}

fn resources() -> Resources {
    Resources {
        cpu: 1_500,
        mem_mb: 2_048,
        gpu: 2,
    }
}

fn running() -> RunningTask {
    RunningTask {
        task: task(0),
        run: 3,
        checkpoint: "saved \"here\"".into(),
        percent: 62.5,
    }
}

fn finished(number: u64, end: RunEnd) -> FinishedRun {
    FinishedRun {
        number,
        task: task(1),
        run: 4,
        end,
        checkpoint: "".into(),
    }
}

fn start() -> StartCommand {
    StartCommand {
        task: task(2),
        run: 1,
        spec: "spec".into(),
        checkpoint: "saved".into(),
    }
}

fn stop() -> StopCommand {
    StopCommand {
        task: task(3),
        run: 9,
    }
}

const RUN_ENDS: [RunEnd; 7] = [
    RunEnd::Done,
    RunEnd::Failed,
    RunEnd::Stopped,
    RunEnd::LeaseExpired,
    RunEnd::GangBroken,
    RunEnd::GangIncomplete,
    RunEnd::Rejected,
];

fn report() -> WorkerReport {
    WorkerReport {
        instance: "w1".into(),
        sequence: 12,
        service: "render".into(),
        zone: "a".into(),
        capacity: resources(),
        labels: vec!["fast".into(), "r1".into()],
        state: WorkerState::Draining,
        remaining_ms: Some(4_000),
        gone: true,
        silent_ms: 150,
        running: vec![running()],
        finished: vec![finished(1, RunEnd::Done)],
        offered: vec![RunId {
            task: task(5),
            run: 2,
        }],
    }
}

fn minimal_report() -> WorkerReport {
    WorkerReport {
        remaining_ms: None,
        gone: false,
        silent_ms: 0,
        state: WorkerState::Ready,
        labels: Vec::new(),
        running: Vec::new(),
        finished: Vec::new(),
        offered: Vec::new(),
        ..report()
    }
}

fn route() -> Route {
    Route {
        name: "short".into(),
        host: "jobs.example".into(),
        path_prefix: "/v1".into(),
        timeout_ms: 1_000,
        target_latency_ms: 250,
        priority: 1,
        service: "render".into(),
        max_attempts: 3,
        stretch: 1.25,
        other: unknown_fields(),
    }
}

fn service() -> Service {
    Service {
        name: "render".into(),
        health_path: "/health".into(),
        guards: true,
        other: unknown_fields(),
    }
}

fn limits() -> Limits {
    Limits {
        max_header_bytes: 1,
        max_body_bytes: 2,
        header_timeout_ms: 3,
        idle_timeout_ms: 4,
        other: unknown_fields(),
    }
}

fn add_identifiers(encoded: &mut Encoded) {
    encoded.add("job-id", &job());
    encoded.add("task-id", &task(0));
    encoded.add(
        "run-id",
        &RunId {
            task: task(0),
            run: 1,
        },
    );
    for end in RUN_ENDS {
        encoded.add("run-end", &end);
    }
    encoded.add("write-set", &Write::set("job/1", "{\"a\":1}"));
    encoded.add("write-remove", &Write::remove("job/1"));
}

fn add_heartbeats(encoded: &mut Encoded) {
    encoded.add("resources", &resources());
    encoded.add("worker-state", &WorkerState::Ready);
    encoded.add("worker-state", &WorkerState::Draining);
    encoded.add("running-task", &running());
    for (number, end) in (1..).zip(RUN_ENDS) {
        encoded.add("finished-run", &finished(number, end));
    }
    encoded.add("start-command", &start());
    encoded.add("stop-command", &stop());
    let full = Heartbeat {
        service: "render".into(),
        address: "10.0.0.9:80".into(),
        zone: "a".into(),
        version: "1.2".into(),
        slots: 4,
        state: WorkerState::Draining,
        warmup_left_ms: 500,
        capacity: resources(),
        labels: vec!["fast".into(), "r1".into()],
        clock_ms: 123_456,
        sequence: 12,
        remaining_ms: Some(4_000),
        running: vec![running()],
        finished: vec![finished(1, RunEnd::Failed)],
    };
    encoded.add("heartbeat-full", &full);
    encoded.add("heartbeat-least", &Heartbeat::default());
    let full = HeartbeatResponse {
        hold_ms: Some(3_000),
        last_seen: Some(7),
        fence_token: 5,
        start: vec![start()],
        stop: vec![stop()],
        retry_after_ms: Some(250),
    };
    encoded.add("heartbeat-response-full", &full);
    encoded.add("heartbeat-response-least", &HeartbeatResponse::default());
}

fn add_agents(encoded: &mut Encoded) {
    encoded.add("worker-report-full", &report());
    encoded.add("worker-report-least", &minimal_report());
    let sync = |worker: Option<WorkerReport>| AgentSync {
        agent: "m1".into(),
        boot: 99,
        sequence: 3,
        epoch: 7,
        revision: 4,
        wait_ms: 2_000,
        worker,
    };
    encoded.add("agent-sync-full", &sync(Some(report())));
    encoded.add("agent-sync-least", &sync(None));
    let full = AgentCommands {
        epoch: 7,
        revision: 4,
        lease_ms: 2_000,
        instance: Some("w1".into()),
        last_seen: 6,
        start: vec![start()],
        stop: vec![stop()],
        view: Some(view()),
    };
    encoded.add("agent-commands-full", &full);
    encoded.add("agent-commands-least", &AgentCommands::default());
}

fn add_cluster(encoded: &mut Encoded) {
    encoded.add("core-address", &core_address(1));
    encoded.add("cluster-view-full", &view());
    encoded.add("cluster-view-least", &ClusterView::default());
    let watch = ClusterWatch {
        epoch: 7,
        wait_ms: 100,
    };
    encoded.add("cluster-watch", &watch);
    encoded.add("not-primary", &NotPrimary { view: view() });
    encoded.add("explain-job", &ExplainRequest::Job(job()));
    encoded.add("explain-user", &ExplainRequest::User("anna".into()));
    let lease = GateLeaseRequest {
        address: "10.0.0.3:7001".into(),
        membership_version: 3,
    };
    encoded.add("gate-lease-request", &lease);
    let full = GateLeaseResponse {
        configuration_version: 4,
        membership_version: 3,
        members: Some(vec!["10.0.0.3:7001".into()]),
    };
    encoded.add("gate-lease-response-full", &full);
    encoded.add("gate-lease-response-least", &GateLeaseResponse::default());
}

fn add_clients(encoded: &mut Encoded) {
    for method in [ClientMethod::Get, ClientMethod::Post, ClientMethod::Delete] {
        encoded.add("client-method", &method);
    }
    let request = |body: &str| ClientRequest {
        method: ClientMethod::Post,
        host: "jobs.example".into(),
        path: "/v1/jobs".into(),
        body: body.into(),
        configuration_version: 4,
    };
    encoded.add("client-request-full", &request("{\"steps\":[]}"));
    encoded.add("client-request-least", &request(""));
    let response = |retry_after_ms: Option<u64>| ClientResponse {
        status: 503,
        body: "{}".into(),
        retry_after_ms,
    };
    encoded.add("client-response-full", &response(Some(300)));
    encoded.add("client-response-least", &response(None));
    let full = JobRequest {
        spec: "run".into(),
        steps: vec![StepRequest {
            count: 3,
            resources: resources(),
            estimated_ms: 400,
            depends_on: vec![0],
            checkpoints: true,
            gang: true,
            same_rack: true,
            node_selector: Some("fast".into()),
            affinity: Some("r1".into()),
            anti_affinity: 2,
            hedged: true,
            long_running: true,
        }],
        repeat_count: 4,
        start_at_ms: 1_700_000_000_000,
        interval_ms: 60_000,
    };
    encoded.add("job-request-full", &full);
    let minimal = JobRequest {
        steps: vec![StepRequest::default()],
        ..JobRequest::default()
    };
    encoded.add("job-request-least", &minimal);
    for state in [
        JobState::Pending,
        JobState::Running,
        JobState::Succeeded,
        JobState::Failed,
        JobState::Cancelled,
    ] {
        encoded.add("job-status", &JobStatus { state });
    }
    encoded.add("queue-status", &QueueStatus { waiting: 17 });
}

fn add_configurations(encoded: &mut Encoded) {
    let full = Configuration {
        version: 4,
        routes: vec![route(), Route::default()],
        services: vec![service(), Service::default()],
        limits: limits(),
        other: unknown_fields(),
    };
    encoded.add("configuration-full", &full);
    encoded.add("configuration-least", &Configuration::default());
}

#[test]
fn encoded_forms_are_as_recorded() {
    let mut encoded = Encoded::default();
    add_identifiers(&mut encoded);
    add_heartbeats(&mut encoded);
    add_agents(&mut encoded);
    add_cluster(&mut encoded);
    add_clients(&mut encoded);
    add_configurations(&mut encoded);
    let recorded = include_str!("fixtures/encoded/messages.txt");
    for (encoded, recorded) in encoded.lines.lines().zip(recorded.lines()) {
        assert_eq!(encoded, recorded);
    }
    assert_eq!(encoded.lines.lines().count(), recorded.lines().count());
}

#[test]
fn absent_fields_take_their_defaults() {
    let minimal = Heartbeat {
        service: "render".into(),
        sequence: 1,
        ..Heartbeat::default()
    };
    assert_decodes(r#"{"service":"render","sequence":1}"#, &minimal);
    assert_decodes("{}", &HeartbeatResponse::default());
    assert_decodes("{}", &Resources::default());
    let minimal = JobRequest {
        steps: vec![StepRequest {
            count: 1,
            ..StepRequest::default()
        }],
        ..JobRequest::default()
    };
    assert_decodes(r#"{"steps":[{"count":1}]}"#, &minimal);
    let minimal = Configuration {
        version: 1,
        ..Configuration::default()
    };
    assert_decodes(r#"{"version":1}"#, &minimal);
    let minimal = Route {
        name: "a".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        timeout_ms: 5,
        service: "s".into(),
        max_attempts: 1,
        ..Route::default()
    };
    let text = r#"{"name":"a","host":"h","path_prefix":"/","timeout_ms":5,"service":"s"}"#;
    assert_decodes(text, &minimal);
    let minimal = ClientResponse {
        status: 200,
        body: "".into(),
        retry_after_ms: None,
    };
    assert_decodes(r#"{"status":200}"#, &minimal);
}

#[test]
fn updates_are_decoded_with_and_without_optional_fields() {
    let text = r#"{"version":5,"upsert":{"routes":[{"name":"a","host":"h","path_prefix":"/","timeout_ms":5,"service":"s"}],
        "services":[{"name":"s"}],"limits":{"max_header_bytes":9}},"remove":{"routes":["b"],"services":["t","u"]}}"#;
    let complete = Update {
        version: 5,
        upsert: Upsert {
            routes: vec![Route {
                name: "a".into(),
                host: "h".into(),
                path_prefix: "/".into(),
                timeout_ms: 5,
                service: "s".into(),
                max_attempts: 1,
                ..Route::default()
            }],
            services: vec![Service {
                name: "s".into(),
                ..Service::default()
            }],
            limits: Some(Limits {
                max_header_bytes: 9,
                ..Limits::default()
            }),
        },
        remove: Remove {
            routes: vec!["b".into()],
            services: vec!["t".into(), "u".into()],
        },
    };
    assert_decodes(text, &complete);
    let minimal = Update {
        version: 5,
        ..Update::default()
    };
    assert_decodes(r#"{"version":5}"#, &minimal);
    assert_decodes(r#"{"version":5,"upsert":{},"remove":{}}"#, &minimal);
}

#[test]
fn unknown_fields_are_preserved_in_configurations_and_ignored_elsewhere() {
    let text = r#"{"version":1,"routes":[],"services":[{"name":"s","health_path":"","guards":false,"later":[1]}],"limits":{"max_header_bytes":1,"max_body_bytes":2,"header_timeout_ms":3,"idle_timeout_ms":4,"later":null},"later":{"a":"b"}}"#;
    let decoded: Configuration = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&decoded).unwrap(), text);
    assert_decodes(r#"{"waiting":3,"later":1}"#, &QueueStatus { waiting: 3 });
    assert_decodes(
        r#"{"fence_token":0,"later":1}"#,
        &HeartbeatResponse::default(),
    );
    let empty: Arc<str> = "".into();
    let write = Write::set("a", empty);
    assert_decodes(r#"{"key":"a","value":"","later":1}"#, &write);
}

#[test]
fn listed_runs_and_commands_are_arrays_of_a_fixed_length() {
    let error = |text: &str| serde_json::from_str::<RunningTask>(text).unwrap_err();
    let short = error(r#"["5c0e7a21d94b36f8.0.0.0",1]"#).to_string();
    let recorded =
        "invalid length 2, expected tuple struct RunningTask with 4 elements at line 1 column 28";
    assert_eq!(short, recorded);
    let long = error(r#"["5c0e7a21d94b36f8.0.0.0",1,"",0.5,1]"#).to_string();
    assert_eq!(long, "trailing characters at line 1 column 36");
    let named = error(r#"{"task":"5c0e7a21d94b36f8.0.0.0"}"#).to_string();
    let recorded = "invalid type: map, expected tuple struct RunningTask at line 1 column 0";
    assert_eq!(named, recorded);
    let stop = serde_json::from_str::<StopCommand>(r#"["5c0e7a21d94b36f8.0.0.0"]"#);
    let recorded =
        "invalid length 1, expected tuple struct StopCommand with 2 elements at line 1 column 26";
    assert_eq!(stop.unwrap_err().to_string(), recorded);
}
