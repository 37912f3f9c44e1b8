//! The agent process over loopback, with a simulated primary.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

#[path = "support/primary.rs"]
mod primary;

use http::StatusCode;
use primary::{request, run, settings, Primary, TEST_TIMEOUT};
use std::net::SocketAddr;
use std::time::Instant;
use streamusher_dataplane::agent_process::{check, AgentProcess};
use streamusher_protocol::heartbeat::{HeartbeatResponse, StartCommand};
use streamusher_protocol::internal::{AgentCommands, AgentSync, AGENT_SYNC_PATH};
use streamusher_runtime::http::{
    empty, json, parse_json, Client, Request, Response, Server, ServerLimits,
};
use streamusher_runtime::settings::ProcessSettings;

const LEASE_MS: u64 = 4_000;
const HEARTBEAT: &str = "/streamusher/Instances.Heartbeat/i-1";

/// Starts an agent with a listener for its worker; returns the worker's HTTP client.
fn start_agent(primary: SocketAddr) -> Client {
    let agent = AgentProcess::new(&settings(primary));
    agent.start("127.0.0.1:0".parse().unwrap());
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
    let address = server.local_address().unwrap();
    tokio::task::spawn_local(server.run(move |request| agent.clone().respond(request)));
    Client::new(address)
}

fn start_command() -> StartCommand {
    StartCommand {
        task: "5c0e7a21d94b36f8.0.0.1".parse().unwrap(),
        run: 1,
        spec: "spec".into(),
        checkpoint: "".into(),
    }
}

/// Responds to a sync with one start command for the worker in its report.
fn respond_with_start(request: &Request) -> Response {
    if request.uri().path() != AGENT_SYNC_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let sync: AgentSync = parse_json(request.body()).unwrap();
    let instance = sync.worker.map(|worker| worker.instance);
    let start = instance.iter().map(|_| start_command()).collect();
    let commands = AgentCommands {
        epoch: 4,
        revision: 1,
        lease_ms: LEASE_MS,
        instance,
        start,
        ..AgentCommands::default()
    };
    json(StatusCode::OK, &commands)
}

async fn heartbeat(worker: &Client, body: String) -> Response {
    worker
        .send(request("POST", HEARTBEAT, body), TEST_TIMEOUT)
        .await
        .unwrap()
}

#[test]
fn start_command_reaches_the_worker_with_a_hold() {
    run(async {
        let primary = Primary::start(|request| std::future::ready(respond_with_start(&request)));
        let worker = start_agent(primary.address);

        let mut response = HeartbeatResponse::default();
        let mut sent_at = Instant::now();
        for sequence in 1.. {
            let body = format!("{{\"service\":\"app\",\"sequence\":{sequence}}}");
            sent_at = Instant::now();
            response = parse_json(heartbeat(&worker, body).await.body()).unwrap();
            if !response.start.is_empty() {
                break;
            }
        }

        assert_eq!(response.start, [start_command()]);
        assert_eq!(response.fence_token, 4);
        // The lease begins when a sync is sent, which may be while the agent holds the heartbeat; the hold
        // begins when the heartbeat is sent.
        let max_lease_ms = u128::from(LEASE_MS) + sent_at.elapsed().as_millis();
        let max_hold_ms = max_lease_ms * 97 / 100;
        assert!(
            (500..=max_hold_ms).contains(&u128::from(response.hold_ms.unwrap())),
            "{response:?}, at most {max_hold_ms}"
        );
    });
}

#[test]
fn malformed_heartbeat_is_rejected_naming_the_field() {
    run(async {
        let primary = Primary::start(|_request| std::future::pending::<Response>());
        let worker = start_agent(primary.address);

        let missing = heartbeat(&worker, "{\"service\":\"app\"}".to_owned()).await;
        let wrong = heartbeat(&worker, "{\"service\":\"app\",\"sequence\":-1}".to_owned()).await;

        assert_eq!(
            (missing.status(), wrong.status()),
            (StatusCode::BAD_REQUEST, StatusCode::BAD_REQUEST)
        );
        assert!(std::str::from_utf8(missing.body())
            .unwrap()
            .contains("sequence"));
        assert!(std::str::from_utf8(wrong.body())
            .unwrap()
            .contains("sequence"));
    });
}

#[test]
fn draining_and_deregistration_need_no_primary() {
    run(async {
        let unused_address = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let worker = start_agent(unused_address);

        let body =
            "{\"service\":\"app\",\"sequence\":1,\"state\":\"draining\",\"remaining_ms\":4000}";
        let drained = heartbeat(&worker, body.to_owned()).await;
        let end = request("POST", "/streamusher/Instances.Deregister/i-1", "");
        let ended = worker.send(end, TEST_TIMEOUT).await.unwrap();

        assert_eq!(
            (drained.status(), ended.status()),
            (StatusCode::OK, StatusCode::OK)
        );
    });
}

#[test]
fn unknown_path_or_method_is_rejected() {
    run(async {
        let primary = Primary::start(|_request| std::future::pending::<Response>());
        let worker = start_agent(primary.address);

        let path = worker
            .send(
                request("POST", "/streamusher/Instances.Heartbeat/", ""),
                TEST_TIMEOUT,
            )
            .await
            .unwrap();
        let method = worker
            .send(request("GET", HEARTBEAT, ""), TEST_TIMEOUT)
            .await
            .unwrap();

        assert_eq!(
            (path.status(), method.status()),
            (StatusCode::NOT_FOUND, StatusCode::METHOD_NOT_ALLOWED)
        );
    });
}

#[test]
fn settings_of_another_role_are_rejected_naming_the_key() {
    let mut settings = ProcessSettings {
        serves: vec!["front".into()],
        ..ProcessSettings::default()
    };
    assert!(check(&settings).unwrap_err().to_string().contains("serves"));

    settings.serves = vec!["side".into()];
    assert!(check(&settings)
        .unwrap_err()
        .to_string()
        .contains("listen.control"));
}
