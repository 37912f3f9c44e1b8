//! The agent as a program over loopback, with a stand-in for the primary.

#[path = "common/primary.rs"]
mod primary;

use http::StatusCode;
use primary::*;
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

/// An agent that serves its worker here.
fn agent_of(primary: SocketAddr) -> Client {
    let program = AgentProcess::new(&settings(primary));
    program.start("127.0.0.1:0".parse().unwrap());
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
    let address = server.local_address().unwrap();
    tokio::task::spawn_local(server.run(move |call| program.clone().respond(call)));
    Client::new(address)
}

fn order() -> StartCommand {
    StartCommand {
        task: "5c0e7a21d94b36f8.0.0.1".parse().unwrap(),
        run: 1,
        spec: "spec".into(),
        checkpoint: "".into(),
    }
}

/// Orders one start of any worker that has called.
fn ordering(call: Request) -> Response {
    if call.uri().path() != AGENT_SYNC_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let sync: AgentSync = parse_json(call.body()).unwrap();
    let instance = sync.worker.map(|worker| worker.instance);
    let start = instance.iter().map(|_| order()).collect();
    let orders = AgentCommands {
        epoch: 4,
        revision: 1,
        lease_ms: LEASE_MS,
        instance,
        start,
        ..AgentCommands::default()
    };
    json(StatusCode::OK, &orders)
}

async fn heartbeat(worker: &Client, body: String) -> Response {
    worker
        .send(call("POST", HEARTBEAT, body), SOON)
        .await
        .unwrap()
}

#[test]
fn given_a_primary_that_orders_a_start_when_the_worker_calls_then_it_gets_it_with_a_hold() {
    run(async {
        let primary = Primary::start(|call| std::future::ready(ordering(call)));
        let worker = agent_of(primary.address);

        let mut answer = HeartbeatResponse::default();
        let mut called_at = Instant::now();
        for sequence in 1.. {
            let body = format!("{{\"service\":\"app\",\"sequence\":{sequence}}}");
            called_at = Instant::now();
            answer = parse_json(heartbeat(&worker, body).await.body()).unwrap();
            if !answer.start.is_empty() {
                break;
            }
        }

        assert_eq!(answer.start, [order()]);
        assert_eq!(answer.fence_token, 4);
        // The lease begins with a sync, which may be sent while the call is held; the hold begins with the call.
        let lease_over = u128::from(LEASE_MS) + called_at.elapsed().as_millis();
        let most = lease_over * 97 / 100;
        assert!(
            (500..=most).contains(&u128::from(answer.hold_ms.unwrap())),
            "{answer:?}, at most {most}"
        );
    });
}

#[test]
fn given_a_malformed_heartbeat_when_it_comes_then_400_names_the_field() {
    run(async {
        let primary = Primary::start(|_call| std::future::pending::<Response>());
        let worker = agent_of(primary.address);

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
fn given_no_primary_when_a_draining_worker_calls_and_ends_then_both_are_acknowledged_at_once() {
    run(async {
        let free = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let worker = agent_of(free);

        let body =
            "{\"service\":\"app\",\"sequence\":1,\"state\":\"draining\",\"remaining_ms\":4000}";
        let drained = heartbeat(&worker, body.to_owned()).await;
        let end = call("POST", "/streamusher/Instances.Deregister/i-1", "");
        let ended = worker.send(end, SOON).await.unwrap();

        assert_eq!(
            (drained.status(), ended.status()),
            (StatusCode::OK, StatusCode::OK)
        );
    });
}

#[test]
fn given_another_path_or_method_when_called_then_404_or_405() {
    run(async {
        let primary = Primary::start(|_call| std::future::pending::<Response>());
        let worker = agent_of(primary.address);

        let path = worker
            .send(call("POST", "/streamusher/Instances.Heartbeat/", ""), SOON)
            .await
            .unwrap();
        let method = worker.send(call("GET", HEARTBEAT, ""), SOON).await.unwrap();

        assert_eq!(
            (path.status(), method.status()),
            (StatusCode::NOT_FOUND, StatusCode::METHOD_NOT_ALLOWED)
        );
    });
}

#[test]
fn given_settings_of_another_role_when_checked_then_the_error_names_the_key() {
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
