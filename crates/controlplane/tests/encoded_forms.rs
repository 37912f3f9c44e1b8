//! Encoded forms that other programs, other releases and operators' scripts read: the store on disk, messages
//! between control machines, the responses of both ports, and the output of `show-disk` and `status --json`.
//!
//! The fixtures were written by release 0.1.0. `RECORD_FIXTURES=1 cargo test ... --test encoded_forms`
//! overwrites the texts; use it only for a form that is new.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use http::{HeaderMap, Method};
use serde_json::{json, Value};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use streamusher_controlplane::driver::ControlOutcome;
use streamusher_controlplane::peer_messages::PeerEnvelope;
use streamusher_controlplane::store::Store;
use streamusher_controlplane::{control_api, internal_api};
use streamusher_coordination::{
    DiskChange, DiskId, EpochRecord, LogPosition, Member, Message, ProposalNumber, WitnessState,
};
use streamusher_protocol::internal::{
    AgentCommands, CoreAddress, AGENT_SYNC_PATH, CLIENT_REQUEST_PATH, CLUSTER_PATH,
    CLUSTER_WATCH_PATH, COORDINATION_PATH, EXPLAIN_PATH, GATE_LEASE_PATH, RELAY_PATH, STATUS_PATH,
};
use streamusher_protocol::store::Write;
use streamusher_runtime::http::Response;
use streamusher_scheduler::{OperatorResponse, SchedulerResponse};
use support::cluster::{run_bounded, Cluster};
use support::TestFolder;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamusher-control");

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// Compares a text with its fixture byte by byte.
fn assert_recorded(name: &str, encoded: &str) {
    let path = fixtures().join("encoded").join(name);
    if std::env::var_os("RECORD_FIXTURES").is_some() {
        fs::write(&path, encoded).unwrap();
    }
    let recorded = fs::read_to_string(&path).unwrap();
    assert_eq!(encoded, recorded, "{}", path.display());
}

fn member(id: u64, host: u8) -> Member {
    Member {
        id: DiskId(id),
        address: CoreAddress {
            internal: format!("10.0.0.{host}:7300").into(),
            control: format!("10.0.0.{host}:8144").into(),
        },
    }
}

fn record(epoch: u64, term: u64) -> Arc<EpochRecord> {
    Arc::new(EpochRecord {
        epoch,
        term,
        primary: Some(DiskId(0xab)),
        replicas: vec![DiskId(0xab), DiskId(0xcd)],
        members: vec![member(0xab, 1), member(0xcd, 2), member(0xef, 3)],
        proposer: DiskId(0xab),
    })
}

fn proposal(round: u64) -> ProposalNumber {
    ProposalNumber {
        round,
        disk: DiskId(0xcd),
        start: 3,
    }
}

/// The changes with which the store in `fixtures/store` was written.
fn stored_changes() -> [DiskChange; 3] {
    let witness = |accepted| WitnessState {
        id: DiskId(0xab),
        starts: 3,
        decided: record(7, 6),
        promise: proposal(9),
        accepted,
        candidate: true,
    };
    let position = |sequence| Some(LogPosition { epoch: 6, sequence });
    [
        DiskChange {
            witness: Some(witness(None)),
            position: position(40),
            writes: vec![Write::set("job/1", r#"{"former":1}"#)],
            replace_all: false,
        },
        DiskChange {
            witness: None,
            position: position(41),
            writes: vec![
                Write::set("config/current", r#"{"version":5}"#),
                Write::set("job/1", r#"{"state":"pending"}"#),
                Write::set("job/2", "{}"),
                Write::set("task/1", "[1,\"é\"]"),
            ],
            replace_all: true,
        },
        DiskChange {
            witness: Some(witness(Some((proposal(8), record(8, 8))))),
            position: position(42),
            writes: vec![Write::remove("job/2")],
            replace_all: false,
        },
    ]
}

/// Copies the recorded store. Git does not track empty folders, so the copy creates the database's empty
/// folders.
fn copy_of_recorded_store() -> TestFolder {
    let copy = TestFolder::copy_of(&fixtures().join("store"));
    for folder in EMPTY_FOLDERS {
        fs::create_dir_all(copy.path().join(folder)).unwrap();
    }
    copy
}

const EMPTY_FOLDERS: [&str; 1] = ["control/keyspaces/1/tables"];

#[test]
fn store_on_disk_is_read_as_recorded() {
    let copy = copy_of_recorded_store();

    let (store, image) = Store::open(copy.path()).unwrap();
    drop(store);

    let [_, _, last] = stored_changes();
    assert_eq!(image.witness, last.witness);
    assert_eq!(Some(image.position), last.position);
    let state: Vec<(&str, &str)> = image
        .state
        .iter()
        .map(|(key, value)| (&**key, &**value))
        .collect();
    assert_eq!(
        state,
        [
            ("config/current", r#"{"version":5}"#),
            ("job/1", r#"{"state":"pending"}"#),
            ("task/1", "[1,\"é\"]"),
        ]
    );
}

/// Compares all keys and values of the database with the fixture. Reads them without the store's own code.
#[test]
fn keys_and_values_on_disk_are_as_recorded() {
    let written = TestFolder::new();
    let (store, _) = Store::open(written.path()).unwrap();
    for change in stored_changes() {
        store.apply(&change).unwrap();
    }
    drop(store);

    assert_recorded("store.txt", &raw_content(written.path()));
    assert_recorded("store.txt", &raw_content(copy_of_recorded_store().path()));
}

fn raw_content(data_dir: &Path) -> String {
    let database = fjall::Database::builder(data_dir.join("control"))
        .open()
        .unwrap();
    let keyspace = database.keyspace("control", Default::default).unwrap();
    let mut lines = String::new();
    for guard in keyspace.iter() {
        let (key, value) = guard.into_inner().unwrap();
        lines.push_str(std::str::from_utf8(&key).unwrap());
        lines.push(' ');
        lines.push_str(std::str::from_utf8(&value).unwrap());
        lines.push('\n');
    }
    lines
}

#[test]
fn show_disk_prints_as_recorded() {
    let copy = copy_of_recorded_store();

    let output = Command::new(PROGRAM)
        .arg("show-disk")
        .arg(copy.path())
        .output()
        .unwrap();

    let text = String::from_utf8(output.stdout).unwrap();
    let text = text.replace(copy.path().to_str().unwrap(), "DATA_DIR");
    assert_recorded("show_disk.txt", &text);
    assert_eq!(output.status.code(), Some(0));

    let empty = TestFolder::new();
    drop(Store::open(empty.path()).unwrap());
    let text = streamusher_controlplane::show_disk::show(empty.path()).unwrap();
    let first_line_end = text.find('\n').unwrap();
    assert_recorded("show_disk_empty.txt", &text[first_line_end + 1..]);
}

#[test]
fn encoded_forms_are_as_recorded() {
    let envelope = PeerEnvelope {
        from: "10.0.0.1:7300".into(),
        messages: vec![
            Message::Hello {
                member: member(0xab, 1),
                epoch: 7,
            },
            Message::Decided {
                record: record(7, 6),
            },
        ],
    };
    let empty = PeerEnvelope {
        from: "10.0.0.2:7300".into(),
        messages: Vec::new(),
    };
    let encoded = [&envelope, &empty].map(|envelope| serde_json::to_string(envelope).unwrap());
    assert_recorded("envelope.jsonl", &format!("{}\n", encoded.join("\n")));

    let recorded = fs::read_to_string(fixtures().join("encoded/envelope.jsonl")).unwrap();
    for (line, sent) in recorded.lines().zip([envelope, empty]) {
        let received: PeerEnvelope = serde_json::from_str(line).unwrap();
        assert_eq!(received.from, sent.from);
        assert_eq!(received.messages, sent.messages);
    }
}

/// Reduces a JSON value to its keys and the types of its values. Equal adjacent items of a list are shown
/// once.
fn shape(value: &Value) -> Value {
    match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(key, value)| (key.clone(), shape(value)))
            .collect::<serde_json::Map<String, Value>>()
            .into(),
        Value::Array(values) => {
            let mut shapes: Vec<Value> = values.iter().map(shape).collect();
            shapes.dedup();
            shapes.into()
        }
        Value::Number(_) => json!("number"),
        Value::String(_) => json!("string"),
        Value::Bool(_) => json!("boolean"),
        Value::Null => Value::Null,
    }
}

/// The headers of a response, except those that differ between runs.
fn headers_of(headers: &HeaderMap) -> String {
    let mut lines: Vec<String> = headers
        .iter()
        .filter(|(name, _)| {
            !["date", "content-length", "streamusher-call"].contains(&name.as_str())
        })
        .map(|(name, value)| format!("{name}: {}\n", value.to_str().unwrap()))
        .collect();
    lines.sort();
    lines.concat()
}

/// Records responses in order, with the addresses of the test's machines replaced by names of their roles.
struct Transcript<'a> {
    cluster: &'a mut Cluster,
    text: String,
    names: Vec<(String, &'static str)>,
}

impl Transcript<'_> {
    fn push(&mut self, title: &str, response: &Response) {
        let body = String::from_utf8(response.body().to_vec()).unwrap();
        let body = match serde_json::from_str::<Value>(&body) {
            Ok(value) => format!("{:#}\n", shape(&value)),
            Err(_) => body,
        };
        let status = response.status();
        let headers = headers_of(response.headers());
        let mut entry = format!("== {title}\n{status}\n{headers}\n{body}");
        for (address, name) in &self.names {
            entry = entry.replace(address, name);
        }
        self.text.push_str(&entry);
    }

    async fn post(&mut self, title: &str, machine: usize, path: &str, body: &Value) {
        let response = self.cluster.post(machine, path, body).await;
        self.push(title, &response);
    }

    async fn get(&mut self, title: &str, machine: usize, path: &str) {
        let address = self.cluster.internal(machine);
        let response = self.cluster.send(address, Method::GET, path).await;
        self.push(title, &response);
    }

    async fn operator_request(
        &mut self,
        title: &str,
        machine: usize,
        path: &str,
        base: Option<&str>,
        body: &str,
    ) {
        let response = self
            .cluster
            .operator_request(machine, path, base, body)
            .await;
        self.push(title, &response);
    }
}

fn configuration() -> String {
    json!({
        "version": 5,
        "routes": [{"name": "r", "host": "h.example", "path_prefix": "/queue/", "kind": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 800, "priority": 0, "service": "s"}],
        "services": [{"name": "s"}],
    })
    .to_string()
}

fn agent_sync() -> Value {
    json!({"agent": "side-1", "boot": 7, "sequence": 1, "epoch": 0, "revision": 0, "wait_ms": 1})
}

fn client_request(method: &str) -> Value {
    let job =
        json!({"spec": "work", "steps": [{"count": 1, "cpu": 500, "mem_mb": 64}]}).to_string();
    let body = if method == "POST" { job.as_str() } else { "" };
    json!({"method": method, "host": "h.example", "path": "/queue/5c0e7a21d94b36f8", "body": body})
}

async fn responses_of_the_internal_port(
    transcript: &mut Transcript<'_>,
    primary: usize,
    other: usize,
) {
    let wrong = json!({"unknown": 7});
    let view = json!({"epoch": 0, "wait_ms": 1});
    let lease = json!({"address": "10.9.9.9:1", "roster": 0});
    let relay = json!({"from": {"Member": "10.9.9.9:1"}, "messages": []});
    let job = json!({"job": "5c0e7a21d94b36f8"});
    for (title, path, body) in [
        (
            "messages of a control machine",
            COORDINATION_PATH,
            &json!({"from": "10.9.9.9:1", "messages": []}),
        ),
        ("sync of an agent", AGENT_SYNC_PATH, &agent_sync()),
        (
            "submission of a client",
            CLIENT_REQUEST_PATH,
            &client_request("POST"),
        ),
        (
            "question of a client",
            CLIENT_REQUEST_PATH,
            &client_request("GET"),
        ),
        ("lease of a gate", GATE_LEASE_PATH, &lease),
        ("relay", RELAY_PATH, &relay),
        ("watch", CLUSTER_WATCH_PATH, &view),
        ("explain a job", EXPLAIN_PATH, &job),
        (
            "explain an unknown job",
            EXPLAIN_PATH,
            &json!({"job": "0000000000000001"}),
        ),
        ("explain a user", EXPLAIN_PATH, &json!({"user": "r"})),
    ] {
        transcript
            .post(&format!("{title}, at the primary"), primary, path, body)
            .await;
        transcript
            .post(&format!("{title}, elsewhere"), other, path, body)
            .await;
        transcript
            .post(&format!("{title}, malformed"), primary, path, &wrong)
            .await;
    }
    transcript.get("view", primary, CLUSTER_PATH).await;
    transcript
        .get("status of the primary", primary, STATUS_PATH)
        .await;
    transcript
        .get("unknown path", primary, "/internal/nothing")
        .await;
}

async fn responses_of_the_control_port(
    transcript: &mut Transcript<'_>,
    primary: usize,
    other: usize,
) {
    let replace = "/streamusher/Config.Replace";
    let update = "/streamusher/Config.Update";
    let read = "/streamusher/Config.Read";
    let configuration = configuration();
    for (title, path, base, body) in [
        ("replace again", replace, Some("0"), configuration.as_str()),
        ("lost race", replace, Some("1"), r#"{"version":9}"#),
        ("no base", replace, None, "{}"),
        ("base is no number", replace, Some("five"), "{}"),
        ("not JSON", replace, Some("5"), "{"),
        ("update", update, Some("5"), r#"{"version":8}"#),
        ("read", read, None, ""),
        ("wrong method", replace, None, ""),
        ("wrong method of read", read, None, "{}"),
        ("unknown path", "/streamusher/Config.Delete", None, ""),
        (
            "heartbeat",
            "/streamusher/Instances.Heartbeat/i-1",
            None,
            "{}",
        ),
        (
            "deregistration",
            "/streamusher/Instances.Deregister/i-1",
            None,
            "{}",
        ),
    ] {
        transcript
            .operator_request(
                &format!("{title}, at the primary"),
                primary,
                path,
                base,
                body,
            )
            .await;
        transcript
            .operator_request(&format!("{title}, elsewhere"), other, path, base, body)
            .await;
    }
}

#[test]
fn responses_of_both_ports_are_as_recorded() {
    run_bounded(async {
        let mut cluster = Cluster::start().await;
        let primary = cluster.primary().await;
        let other = (primary + 1) % 3;
        let taken = cluster
            .operator_request(
                primary,
                "/streamusher/Config.Replace",
                Some("0"),
                &configuration(),
            )
            .await;
        assert!(taken.status().is_success());
        let names = vec![
            (cluster.control(primary).to_string(), "PRIMARY_CONTROL"),
            (cluster.internal(primary).to_string(), "PRIMARY_INTERNAL"),
        ];
        let text = String::new();
        let mut transcript = Transcript {
            cluster: &mut cluster,
            text,
            names,
        };

        responses_of_the_internal_port(&mut transcript, primary, other).await;
        assert_recorded("internal_port.txt", &std::mem::take(&mut transcript.text));
        responses_of_the_control_port(&mut transcript, primary, other).await;
        assert_recorded("control_port.txt", &std::mem::take(&mut transcript.text));

        let address = cluster.internal(primary).to_string();
        let output = tokio::task::spawn_blocking(move || {
            Command::new(PROGRAM)
                .args(["status", "--json", &address])
                .output()
        });
        let output = output.await.unwrap().unwrap();
        let status: Value = serde_json::from_slice(&output.stdout).unwrap();
        let primary_status = &status["machines"][cluster.internal(primary).to_string()];
        let text = format!("{:#}\n", shape(primary_status));
        assert_recorded("status_of_primary.json", &text);
        assert_eq!(status.as_object().unwrap().len(), 1);
        assert_eq!(status["machines"].as_object().unwrap().len(), 3);
        assert_eq!(output.status.code(), Some(0));
    });
}

#[test]
fn responses_without_a_primary_are_as_recorded() {
    run_bounded(async {
        let mut cluster = Cluster::without_machines();
        cluster.start_machine(0, false).await;
        let text = String::new();
        let mut transcript = Transcript {
            cluster: &mut cluster,
            text,
            names: Vec::new(),
        };

        transcript
            .operator_request("read", 0, "/streamusher/Config.Read", None, "")
            .await;
        transcript
            .post("sync of an agent", 0, AGENT_SYNC_PATH, &agent_sync())
            .await;
        transcript.get("status", 0, STATUS_PATH).await;
        assert_recorded("without_primary.txt", &transcript.text);
    });
}

#[test]
fn status_of_an_unreachable_process_is_as_recorded() {
    let output = Command::new(PROGRAM)
        .args(["status", "--json", "127.0.0.1:1"])
        .output()
        .unwrap();

    let status: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        shape(&status),
        json!({ "machines": { "127.0.0.1:1": { "error": "string" } } })
    );
    assert_eq!(output.status.code(), Some(1));
}

/// Responses that a cluster rarely returns: to a request with an unknown outcome, and to a scheduler response
/// of the wrong type.
#[test]
fn responses_to_rare_outcomes_are_as_recorded() {
    let operator_response = OperatorResponse {
        status: 200,
        body: "{}".into(),
    };
    let to_operator = SchedulerResponse::Operator(operator_response);
    let to_agent = SchedulerResponse::Agent(AgentCommands::default());
    let own_address = "10.0.0.1:8144";
    let responses = [
        internal_api::response_to(ControlOutcome::Unknown),
        internal_api::response_to(ControlOutcome::Response(to_operator)),
        control_api::response_to(ControlOutcome::Unknown, own_address, "/path"),
        control_api::response_to(ControlOutcome::Response(to_agent), own_address, "/path"),
    ];

    let mut text = String::new();
    for response in responses {
        let body = String::from_utf8(response.body().to_vec()).unwrap();
        let headers = headers_of(response.headers());
        let entry = format!("{}\n{headers}\n{body}", response.status());
        text.push_str(&entry);
    }
    assert_recorded("rare_outcomes.txt", &text);
}
