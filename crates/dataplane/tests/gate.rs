//! The gate over loopback, with a simulated primary.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

#[path = "support/primary.rs"]
mod primary;

use http::StatusCode;
use primary::{
    client_response, request, request_with_deadline, run, settings, view, Primary, TEST_TIMEOUT,
};
use rstest::rstest;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use streamusher_dataplane::gate::{check, retry_after_outage_ms, Gate};
use streamusher_protocol::internal::{ClientMethod, ClientResponse, NotPrimary};
use streamusher_runtime::http::{json, Response};
use streamusher_runtime::settings::ProcessSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PATH: &str = "/lohu930/5c0e7a21d94b36f8";

/// Starts a gate and waits until it has discovered the primary.
async fn start_gate(primary: SocketAddr) -> Gate {
    let gate = Gate::new(&settings(primary));
    gate.start("127.0.0.1:0".parse().unwrap());
    gate.control_plane()
        .wait_for_primary(tokio::time::Instant::now() + TEST_TIMEOUT)
        .await
        .expect("the gate discovers the primary");
    gate
}

fn misdirected(to: Option<SocketAddr>) -> Response {
    json(
        StatusCode::MISDIRECTED_REQUEST,
        &NotPrimary { view: view(2, to) },
    )
}

fn retry_after(response: &Response) -> Option<&str> {
    response
        .headers()
        .get("retry-after")
        .map(|value| value.to_str().unwrap())
}

fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Starts a primary that closes the connection after receiving the first client request completely, and
/// answers later requests.
async fn start_disconnecting_primary() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Rc::new(Cell::new(0));
    let counted = Rc::clone(&requests);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counted = Rc::clone(&counted);
            tokio::task::spawn_local(async move { serve_raw(stream, address, &counted).await });
        }
    });
    (address, requests)
}

async fn serve_raw(mut stream: TcpStream, address: SocketAddr, requests: &Cell<u32>) {
    while let Some(head) = read_request(&mut stream).await {
        let body = if head.starts_with("GET /internal/cluster") {
            serde_json::to_string(&view(1, Some(address))).unwrap()
        } else {
            requests.set(requests.get() + 1);
            if requests.get() == 1 {
                return;
            }
            serde_json::to_string(&client_response(200, "{}")).unwrap()
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(response.as_bytes()).await.unwrap();
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        read.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(read).unwrap().to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head.replacen("get ", "GET ", 1))
}

#[test]
fn submitted_job_is_forwarded_with_host_path_and_body_unchanged() {
    run(async {
        let primary = Primary::responding(client_response(200, "{}"));
        let gate = start_gate(primary.address).await;

        let response = gate
            .respond(request(
                "POST",
                "/lohu930/5c0e?x=%20",
                "{\"spec\":\"\\\"ü\"}",
            ))
            .await;

        assert_eq!(
            (response.status(), &response.body()[..]),
            (StatusCode::OK, &b"{}"[..])
        );
        assert_eq!(
            response.headers().get("content-type").unwrap(),
            "application/json"
        );
        let requests = primary.client_requests();
        assert_eq!(
            (requests.len(), requests[0].method),
            (1, ClientMethod::Post)
        );
        assert_eq!(
            (&*requests[0].host, &*requests[0].path),
            ("ficu95.example", "/lohu930/5c0e?x=%20")
        );
        assert_eq!(&*requests[0].body, "{\"spec\":\"\\\"ü\"}");
    });
}

#[rstest]
#[case(1, "0.001")]
#[case(500, "0.5")]
#[case(1_000, "1")]
#[case(1_001, "1.001")]
#[case(0, "0.001")]
fn retry_after_is_in_seconds(#[case] given: u64, #[case] wanted: &str) {
    run(async {
        let primary = Primary::responding(ClientResponse {
            retry_after_ms: Some(given),
            ..client_response(429, "")
        });
        let gate = start_gate(primary.address).await;

        let response = gate.respond(request("POST", PATH, "{}")).await;

        assert_eq!(
            (response.status(), retry_after(&response)),
            (StatusCode::TOO_MANY_REQUESTS, Some(wanted))
        );
    });
}

#[rstest]
#[case(0, 250)]
#[case(249, 250)]
#[case(900, 900)]
#[case(60_000, 2_000)]
fn retry_after_grows_with_the_outage(#[case] outage: u64, #[case] wanted: u64) {
    assert_eq!(retry_after_outage_ms(outage), wanted);
}

#[rstest]
#[case("POST")]
#[case("GET")]
#[case("DELETE")]
fn request_without_a_primary_is_answered_503_at_once(#[case] method: &str) {
    run(async {
        let gate = Gate::new(&settings(free_address()));

        let response = gate.respond(request(method, PATH, "")).await;

        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        let seconds: f64 = retry_after(&response).unwrap().parse().unwrap();
        assert!((0.25..=2.0).contains(&seconds), "{seconds}");
    });
}

#[rstest]
#[case("POST")]
#[case("GET")]
fn rejected_request_is_sent_to_the_successor_once(#[case] method: &str) {
    run(async {
        let second = Primary::responding(client_response(200, "{}"));
        let successor_address = second.address;
        let first = Primary::start(move |_request| {
            std::future::ready(misdirected(Some(successor_address)))
        });
        let gate = start_gate(first.address).await;

        let response = gate.respond(request(method, PATH, "{}")).await;

        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(
            (
                first.requests.borrow().len(),
                second.requests.borrow().len()
            ),
            (1, 1)
        );
    });
}

#[test]
fn rejection_without_a_successor_is_answered_503() {
    run(async {
        let first = Primary::start(|_request| std::future::ready(misdirected(None)));
        let gate = start_gate(first.address).await;

        let response = gate.respond(request("POST", PATH, "{}")).await;

        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        let seconds: f64 = retry_after(&response).unwrap().parse().unwrap();
        assert!((0.25..=2.0).contains(&seconds), "{seconds}");
    });
}

#[test]
fn unreachable_successor_is_answered_503() {
    run(async {
        let unreachable_address = free_address();
        let first = Primary::start(move |_request| {
            std::future::ready(misdirected(Some(unreachable_address)))
        });
        let gate = start_gate(first.address).await;

        let response = gate.respond(request("POST", PATH, "{}")).await;

        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn silent_primary_is_answered_502_without_retry() {
    run(async {
        let primary = Primary::start(|_request| std::future::pending::<Response>());
        let gate = start_gate(primary.address).await;

        let response = gate.respond(request_with_deadline("POST", PATH, 300)).await;

        assert_eq!(
            (response.status(), retry_after(&response)),
            (StatusCode::BAD_GATEWAY, None)
        );
        assert_eq!(primary.requests.borrow().len(), 1);
    });
}

#[rstest]
#[case("GET", StatusCode::OK, 2)]
#[case("DELETE", StatusCode::OK, 2)]
#[case("POST", StatusCode::BAD_GATEWAY, 1)]
fn only_idempotent_requests_are_retried_after_a_broken_connection(
    #[case] method: &str,
    #[case] wanted: StatusCode,
    #[case] wanted_requests: u32,
) {
    run(async {
        let (address, requests) = start_disconnecting_primary().await;
        let gate = start_gate(address).await;

        let response = gate
            .respond(request_with_deadline(method, PATH, 15_000))
            .await;

        assert_eq!(
            (response.status(), requests.get()),
            (wanted, wanted_requests)
        );
    });
}

#[rstest]
#[case("GET", StatusCode::OK, 2)]
#[case("DELETE", StatusCode::OK, 2)]
#[case("POST", StatusCode::BAD_GATEWAY, 1)]
fn only_idempotent_requests_are_retried_after_a_failed_commit(
    #[case] method: &str,
    #[case] wanted: StatusCode,
    #[case] wanted_requests: usize,
) {
    run(async {
        let first = Cell::new(true);
        let primary = Primary::start(move |_request| {
            let status = if first.replace(false) {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::OK
            };
            std::future::ready(json(status, &client_response(200, "{}")))
        });
        let gate = start_gate(primary.address).await;

        let response = gate
            .respond(request_with_deadline(method, PATH, 15_000))
            .await;

        assert_eq!(
            (response.status(), primary.requests.borrow().len()),
            (wanted, wanted_requests)
        );
    });
}

#[rstest]
#[case(500)]
#[case(404)]
fn unexpected_status_of_the_primary_is_answered_502(#[case] status: u16) {
    run(async {
        let status = StatusCode::from_u16(status).unwrap();
        let primary = Primary::start(move |_request| std::future::ready(json(status, &0)));
        let gate = start_gate(primary.address).await;

        let response = gate.respond(request("GET", PATH, "")).await;

        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    });
}

#[test]
fn wrong_method_or_body_is_rejected_without_the_primary() {
    run(async {
        let primary = Primary::responding(client_response(200, "{}"));
        let gate = start_gate(primary.address).await;

        let method = gate.clone().respond(request("PUT", PATH, "")).await;
        let body = gate.respond(request("POST", PATH, vec![0xff, 0xfe])).await;

        assert_eq!(
            (method.status(), body.status()),
            (StatusCode::METHOD_NOT_ALLOWED, StatusCode::BAD_REQUEST)
        );
        assert_eq!(method.headers().get("allow").unwrap(), "POST, GET, DELETE");
        assert!(primary.requests.borrow().is_empty());
    });
}

#[test]
fn gate_is_ready_with_a_primary_until_its_shutdown() {
    run(async {
        let probe = request("GET", "/streamusher/readiness", "");
        let gate_without_primary = Gate::new(&settings(free_address()));
        let primary = Primary::responding(client_response(200, "{}"));
        let gate = start_gate(primary.address).await;

        let before = gate_without_primary.respond_readiness(&probe).status();
        let ready = gate.respond_readiness(&probe).status();
        gate.begin_shutdown();
        let after_shutdown = gate.respond_readiness(&probe).status();
        let elsewhere = gate.respond_readiness(&request("GET", "/", "")).status();

        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        assert_eq!(
            [before, ready, after_shutdown],
            [unavailable, StatusCode::OK, unavailable]
        );
        assert_eq!(elsewhere, StatusCode::NOT_FOUND);
    });
}

#[test]
fn settings_of_another_role_are_rejected_naming_the_key() {
    let mut settings = ProcessSettings {
        serves: vec!["side".into()],
        ..ProcessSettings::default()
    };
    assert!(check(&settings).unwrap_err().to_string().contains("serves"));

    settings.serves = vec!["front".into()];
    assert!(check(&settings)
        .unwrap_err()
        .to_string()
        .contains("listen.front"));

    settings.listen.front = Some(free_address());
    assert!(check(&settings)
        .unwrap_err()
        .to_string()
        .contains("listen.ready"));
}
