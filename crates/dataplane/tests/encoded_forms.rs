//! Encoded forms that other programs depend on, byte for byte: messages between data plane and control plane,
//! heartbeats, status documents, and the responses that gate and agent generate themselves.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

#[path = "support/primary.rs"]
mod primary;
#[allow(dead_code, reason = "this test uses only some of the helpers")]
#[path = "agent/simulation.rs"]
mod simulation;

use http::header::{HeaderName, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use http::StatusCode;
use primary::{core_address, request, run, settings, view, Primary};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use simulation::{busy_heartbeat, commands, running, start, stop, task, Simulation};
use std::fmt::{Debug, Write};
use std::net::SocketAddr;
use streamusher_dataplane::agent_process::{self, AgentProcess};
use streamusher_dataplane::gate::{self, Gate};
use streamusher_protocol::heartbeat::{
    FinishedRun, Heartbeat, HeartbeatResponse, Resources, RunningTask, WorkerState,
};
use streamusher_protocol::internal::{
    AgentCommands, AgentSync, ClientMethod, ClientRequest, ClientResponse, ClusterView,
    ClusterWatch, GateLeaseRequest, GateLeaseResponse, NotPrimary, WorkerReport, AGENT_PORT_OFFSET,
    STATUS_PATH,
};
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_runtime::http::{json, Client, Request, Response};
use streamusher_runtime::settings::ProcessSettings;

const MESSAGES: &str = include_str!("fixtures/encoded/messages.tsv");
const STATUS: &str = include_str!("fixtures/encoded/status.tsv");
const RESPONSES: &str = include_str!("fixtures/encoded/responses.tsv");

/// Encoded forms, compared with a fixture. Each line consists of a name, a tab and the encoded form.
struct EncodedForms {
    fixture: &'static str,
    encoded: String,
}

impl EncodedForms {
    fn new(fixture: &'static str) -> EncodedForms {
        EncodedForms {
            fixture,
            encoded: String::new(),
        }
    }

    fn line(&mut self, name: &str, encoded: &str) {
        writeln!(self.encoded, "{name}\t{encoded}").unwrap();
    }

    /// Encodes `value` as the line `name`, and checks that the fixture's line of that name decodes to
    /// `value`.
    fn value<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        self.line(name, &serde_json::to_string(value).unwrap());
        let recorded = self
            .fixture
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix('\t'))
            .unwrap_or_else(|| panic!("{name} is not recorded"));
        assert_eq!(&serde_json::from_str::<T>(recorded).unwrap(), value);
    }

    fn response(&mut self, name: &str, response: &Response) {
        let header = |name: HeaderName| {
            let value = response.headers().get(name);
            value
                .map_or("-", |value| value.to_str().unwrap())
                .to_owned()
        };
        let fields = [
            response.status().as_u16().to_string(),
            header(CONTENT_TYPE),
            header(ALLOW),
            header(RETRY_AFTER),
            serde_json::to_string(&String::from_utf8_lossy(response.body())).unwrap(),
        ];
        self.line(name, &fields.join("\t"));
    }

    fn check(&self) {
        assert_eq!(self.encoded, self.fixture);
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn full_heartbeat() -> Heartbeat {
    let ends = [
        RunEnd::Done,
        RunEnd::Failed,
        RunEnd::Stopped,
        RunEnd::LeaseExpired,
        RunEnd::GangBroken,
        RunEnd::GangIncomplete,
        RunEnd::Rejected,
    ];
    let finished = ends
        .into_iter()
        .zip(1_u32..)
        .map(|(end, number)| FinishedRun {
            number: u64::from(number),
            task: task(number),
            run: 2,
            end,
            checkpoint: "7".into(),
        });
    Heartbeat {
        service: "app".into(),
        address: "10.0.0.1:80".into(),
        zone: "hall-a".into(),
        version: "v2".into(),
        slots: 3,
        state: WorkerState::Draining,
        warmup_left_ms: 12,
        capacity: Resources {
            cpu: 4,
            mem_mb: 512,
            gpu: 1,
        },
        labels: vec!["ssd".into(), "big".into()],
        clock_ms: 99,
        sequence: 8,
        remaining_ms: Some(4_000),
        running: vec![
            RunningTask {
                task: task(9),
                run: 1,
                checkpoint: "saved".into(),
                percent: 0.5,
            },
            running(10, 2),
        ],
        finished: finished.collect(),
    }
}

fn full_report() -> WorkerReport {
    let heartbeat = full_heartbeat();
    WorkerReport {
        instance: "i-1".into(),
        sequence: heartbeat.sequence,
        service: heartbeat.service,
        zone: heartbeat.zone,
        capacity: heartbeat.capacity,
        labels: heartbeat.labels,
        state: heartbeat.state,
        remaining_ms: heartbeat.remaining_ms,
        gone: true,
        silent_ms: 31,
        running: heartbeat.running,
        finished: heartbeat.finished,
        offered: vec![RunId {
            task: task(3),
            run: 1,
        }],
    }
}

fn full_commands() -> AgentCommands {
    AgentCommands {
        last_seen: 5,
        stop: vec![stop(2, 1)],
        view: Some(view(3, Some(address(7_300)))),
        ..commands(3, 4, &[start(1, 1)])
    }
}

fn full_sync() -> AgentSync {
    AgentSync {
        agent: "side-1".into(),
        boot: 7,
        sequence: 2,
        epoch: 3,
        revision: 4,
        wait_ms: 350,
        worker: Some(full_report()),
    }
}

#[test]
fn encoded_forms_of_messages_are_as_recorded() {
    let mut recorded = EncodedForms::new(MESSAGES);
    worker_messages(&mut recorded);
    agent_messages(&mut recorded);
    client_messages(&mut recorded);
    cluster_messages(&mut recorded);
    recorded.check();
}

fn worker_messages(recorded: &mut EncodedForms) {
    recorded.value("heartbeat", &full_heartbeat());
    recorded.value("heartbeat default", &Heartbeat::default());
    recorded.value(
        "heartbeat response",
        &HeartbeatResponse {
            hold_ms: Some(3_880),
            last_seen: Some(5),
            fence_token: 3,
            start: vec![start(1, 1)],
            stop: vec![stop(2, 1)],
            retry_after_ms: Some(20),
        },
    );
    recorded.value("heartbeat response default", &HeartbeatResponse::default());
}

fn agent_messages(recorded: &mut EncodedForms) {
    recorded.value("agent sync", &full_sync());
    recorded.value(
        "agent sync without worker",
        &AgentSync {
            worker: None,
            ..full_sync()
        },
    );
    recorded.value(
        "agent sync of new worker",
        &AgentSync {
            worker: Some(WorkerReport {
                state: WorkerState::Ready,
                remaining_ms: None,
                gone: false,
                offered: Vec::new(),
                ..full_report()
            }),
            ..full_sync()
        },
    );
    recorded.value("agent commands", &full_commands());
    recorded.value("agent commands default", &AgentCommands::default());
}

fn client_messages(recorded: &mut EncodedForms) {
    for method in [ClientMethod::Get, ClientMethod::Post, ClientMethod::Delete] {
        let request = ClientRequest {
            method,
            host: "ficu95.example".into(),
            path: "/lohu930/5c0e?x=%20".into(),
            body: if method == ClientMethod::Post {
                "{}"
            } else {
                ""
            }
            .into(),
            configuration_version: 6,
        };
        recorded.value(&format!("client request {method:?}"), &request);
    }
    recorded.value(
        "client response",
        &ClientResponse {
            status: 429,
            body: "{}".into(),
            retry_after_ms: Some(500),
        },
    );
    recorded.value(
        "client response minimal",
        &primary::client_response(200, ""),
    );
}

fn cluster_messages(recorded: &mut EncodedForms) {
    recorded.value(
        "cluster watch",
        &ClusterWatch {
            epoch: 4,
            wait_ms: 3_000,
        },
    );
    recorded.value("cluster view", &view(3, Some(address(7_300))));
    recorded.value("cluster view default", &ClusterView::default());
    recorded.value(
        "not primary",
        &NotPrimary {
            view: view(3, Some(address(7_300))),
        },
    );
    recorded.value(
        "gate lease request",
        &GateLeaseRequest {
            address: "127.0.0.1:7301".into(),
            membership_version: 9,
        },
    );
    recorded.value(
        "gate lease response",
        &GateLeaseResponse {
            configuration_version: 11,
            membership_version: 9,
            members: Some(vec!["127.0.0.1:7301".into()]),
        },
    );
    recorded.value("gate lease response default", &GateLeaseResponse::default());
}

#[test]
fn encoded_forms_of_status_documents_are_as_recorded() {
    let mut recorded = EncodedForms::new(STATUS);
    let mut simulation = Simulation::start();
    let encode = |simulation: &Simulation| {
        serde_json::to_string(&simulation.agent.status(simulation.now)).unwrap()
    };
    recorded.line("new agent", &encode(&simulation));
    simulation.heartbeat(busy_heartbeat(1, &[running(1, 1), running(2, 1)]));
    simulation.respond_to_sync(full_commands());
    simulation.now += 10;
    recorded.line("agent with worker", &encode(&simulation));
    simulation.advance(20_000);
    recorded.line("agent with gone worker", &encode(&simulation));
    run(async move {
        let gate = Gate::new(&settings(address(7_300)));
        let status = gate.respond_internal(&request("GET", STATUS_PATH, ""));
        recorded.line("gate", std::str::from_utf8(status.body()).unwrap());
        gate.begin_shutdown();
        let _rejected = gate.clone().respond(request("GET", "/", "")).await;
        let _rejected = gate.clone().respond(request("PUT", "/", "")).await;
        gate.control_plane()
            .set_seeds(vec![core_address(address(1))]);
        let status = gate.respond_internal(&request("GET", STATUS_PATH, ""));
        recorded.line(
            "gate that leaves",
            std::str::from_utf8(status.body()).unwrap(),
        );
        recorded.line("agent process", &status_of_agent_process().await);
        recorded.check();
    });
}

/// The status document of an agent process, with zeros for the values that differ between runs of the test.
async fn status_of_agent_process() -> String {
    let free_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let status_address = free_listener.local_addr().unwrap();
    drop(free_listener);
    let agent_process = AgentProcess::new(&settings(address(1)));
    agent_process.start(status_address);
    tokio::task::yield_now().await;
    let client = Client::new(status_address);
    let response = loop {
        let sent = client
            .send(request("GET", STATUS_PATH, ""), primary::TEST_TIMEOUT)
            .await;
        match sent {
            Ok(response) => break response,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let mut status: Value = serde_json::from_slice(response.body()).unwrap();
    let text = std::str::from_utf8(response.body()).unwrap().to_owned();
    let boot = status["agent"]["boot"].take().to_string();
    let syncs = format!(
        "\"syncs_under_way\":{},\"syncs\":{}",
        status["agent"]["syncs_under_way"], status["agent"]["syncs"]
    );
    text.replace(&boot, "0")
        .replace(&syncs, "\"syncs_under_way\":0,\"syncs\":0")
}

#[test]
fn responses_generated_by_gate_and_agent_are_as_recorded() {
    run(async {
        let mut recorded = EncodedForms::new(RESPONSES);
        gate_responses(&mut recorded).await;
        agent_responses(&mut recorded).await;
        settings_errors(&mut recorded);
        recorded.check();
    });
}

async fn gate_responses(recorded: &mut EncodedForms) {
    let gate = Gate::new(&settings(address(1)));
    let wrong_method = gate.clone().respond(request("PUT", "/", "")).await;
    recorded.response("gate: method", &wrong_method);
    let not_text = gate.clone().respond(request("POST", "/", vec![0xff])).await;
    recorded.response("gate: body is not text", &not_text);
    for path in ["/streamusher/readiness", "/other"] {
        recorded.response(
            &format!("gate: readiness {path}"),
            &gate.respond_readiness(&request("GET", path, "")),
        );
    }
    for (method, path) in [("GET", "/other"), ("POST", STATUS_PATH)] {
        let response = gate.respond_internal(&request(method, path, ""));
        recorded.response(&format!("gate: internal {method} {path}"), &response);
    }
    for (method, body) in [("GET", ""), ("POST", "{\"from\":7}")] {
        let response = gate
            .relay()
            .respond(&request(method, "/internal/relay", body));
        recorded.response(&format!("gate: relay {method}"), &response);
    }
    let responses = [
        primary::client_response(200, "{}"),
        primary::client_response(204, ""),
        primary::client_response(99, "{}"),
        ClientResponse {
            retry_after_ms: Some(1_250),
            ..primary::client_response(503, "{}")
        },
    ];
    for response in responses {
        let status = response.status;
        let primary = Primary::responding(response);
        recorded.response(
            &format!("gate: primary says {status}"),
            &forward_request(&primary).await,
        );
    }
    let primary = Primary::start(|_request| std::future::ready(json(StatusCode::OK, &0)));
    recorded.response("gate: not understood", &forward_request(&primary).await);
    let primary = Primary::start(|_request: Request| std::future::pending::<Response>());
    let gate = gate_with_primary(&primary).await;
    let silent = gate
        .respond(primary::request_with_deadline("POST", "/a", 600))
        .await;
    recorded.response("gate: primary is silent", &silent);
}

async fn gate_with_primary(primary: &Primary) -> Gate {
    let gate = Gate::new(&settings(primary.address));
    gate.start("127.0.0.1:0".parse().unwrap());
    let until = tokio::time::Instant::now() + primary::TEST_TIMEOUT;
    gate.control_plane().wait_for_primary(until).await.unwrap();
    gate
}

async fn forward_request(primary: &Primary) -> Response {
    gate_with_primary(primary)
        .await
        .respond(request("POST", "/a", "{}"))
        .await
}

async fn agent_responses(recorded: &mut EncodedForms) {
    let agent_process = AgentProcess::new(&settings(address(1)));
    let requests = [
        ("GET", "/streamusher/Instances.Heartbeat/i-1", ""),
        ("POST", "/streamusher/Instances.Heartbeat/", "{}"),
        ("POST", "/streamusher/Instances.Heartbeat/a/b", "{}"),
        ("POST", "/streamusher/Instances.Heartbeat/i-1", "{"),
        (
            "POST",
            "/streamusher/Instances.Heartbeat/i-1",
            "{\"service\":\"app\"}",
        ),
        (
            "POST",
            "/streamusher/Instances.Heartbeat/i-1",
            "{\"service\":\"app\",\"sequence\":1}",
        ),
        ("POST", "/streamusher/Instances.Deregister/i-1", ""),
    ];
    for (method, path, body) in requests {
        let response = agent_process
            .clone()
            .respond(request(method, path, body))
            .await;
        recorded.response(&format!("agent: {method} {path} {body}"), &response);
    }
}

fn settings_errors(recorded: &mut EncodedForms) {
    let serving = |party: &str| ProcessSettings {
        serves: vec![party.into()],
        ..ProcessSettings::default()
    };
    let mut front = serving("front");
    recorded.line(
        "settings: gate",
        &gate::check(&serving("side")).unwrap_err().to_string(),
    );
    recorded.line(
        "settings: front",
        &gate::check(&front).unwrap_err().to_string(),
    );
    front.listen.front = Some(address(80));
    recorded.line(
        "settings: ready",
        &gate::check(&front).unwrap_err().to_string(),
    );
    let agent = agent_process::check(&front).unwrap_err().to_string();
    recorded.line("settings: agent", &agent);
    let control = agent_process::check(&serving("side"))
        .unwrap_err()
        .to_string();
    recorded.line("settings: control", &control);
    let status = settings(address(7_300)).internal_address(AGENT_PORT_OFFSET);
    recorded.line("status address of an agent", &status.to_string());
}
