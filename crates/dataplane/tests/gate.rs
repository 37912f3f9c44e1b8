//! The gate over loopback, with a stand-in for the primary.

#[path = "common/primary.rs"]
mod primary;

use http::StatusCode;
use primary::*;
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

/// A gate that has found the primary.
async fn gate_of(primary: SocketAddr) -> Gate {
    let gate = Gate::new(&settings(primary));
    gate.start("127.0.0.1:0".parse().unwrap());
    gate.control_plane()
        .wait_for_primary(tokio::time::Instant::now() + SOON)
        .await
        .expect("a primary");
    gate
}

fn misdirected(to: Option<SocketAddr>) -> Response {
    json(
        StatusCode::MISDIRECTED_REQUEST,
        &NotPrimary { view: view(2, to) },
    )
}

fn retry_after(answer: &Response) -> Option<&str> {
    answer
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

#[test]
fn given_a_primary_when_a_job_is_handed_in_then_it_gets_host_path_and_body_as_they_came() {
    run(async {
        let primary = Primary::replying(reply(200, "{}"));
        let gate = gate_of(primary.address).await;

        let answer = gate
            .respond(call("POST", "/lohu930/5c0e?x=%20", "{\"spec\":\"\\\"ü\"}"))
            .await;

        assert_eq!(
            (answer.status(), &answer.body()[..]),
            (StatusCode::OK, &b"{}"[..])
        );
        assert_eq!(
            answer.headers().get("content-type").unwrap(),
            "application/json"
        );
        let calls = primary.client_calls();
        assert_eq!((calls.len(), calls[0].method), (1, ClientMethod::Post));
        assert_eq!(
            (&*calls[0].host, &*calls[0].path),
            ("ficu95.example", "/lohu930/5c0e?x=%20")
        );
        assert_eq!(&*calls[0].body, "{\"spec\":\"\\\"ü\"}");
    });
}

#[rstest]
#[case(1, "0.001")]
#[case(500, "0.5")]
#[case(1_000, "1")]
#[case(1_001, "1.001")]
#[case(0, "0.001")]
fn given_a_refusal_when_passed_on_then_retry_after_is_in_seconds(
    #[case] given: u64,
    #[case] wanted: &str,
) {
    run(async {
        let primary = Primary::replying(ClientResponse {
            retry_after_ms: Some(given),
            ..reply(429, "")
        });
        let gate = gate_of(primary.address).await;

        let answer = gate.respond(call("POST", PATH, "{}")).await;

        assert_eq!(
            (answer.status(), retry_after(&answer)),
            (StatusCode::TOO_MANY_REQUESTS, Some(wanted))
        );
    });
}

#[rstest]
#[case(0, 250)]
#[case(249, 250)]
#[case(900, 900)]
#[case(60_000, 2_000)]
fn given_an_outage_when_calls_are_refused_then_clients_come_back_after_as_long_again(
    #[case] outage: u64,
    #[case] wanted: u64,
) {
    assert_eq!(retry_after_outage_ms(outage), wanted);
}

#[rstest]
#[case("POST")]
#[case("GET")]
#[case("DELETE")]
fn given_no_primary_when_called_then_503_at_once(#[case] method: &str) {
    run(async {
        let gate = Gate::new(&settings(free_address()));

        let answer = gate.respond(call(method, PATH, "")).await;

        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        let seconds: f64 = retry_after(&answer).unwrap().parse().unwrap();
        assert!((0.25..=2.0).contains(&seconds), "{seconds}");
    });
}

#[rstest]
#[case("POST")]
#[case("GET")]
fn given_another_primary_when_the_first_refuses_then_the_call_is_made_there_once(
    #[case] method: &str,
) {
    run(async {
        let second = Primary::replying(reply(200, "{}"));
        let there = second.address;
        let first = Primary::start(move |_call| std::future::ready(misdirected(Some(there))));
        let gate = gate_of(first.address).await;

        let answer = gate.respond(call(method, PATH, "{}")).await;

        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(
            (first.calls.borrow().len(), second.calls.borrow().len()),
            (1, 1)
        );
    });
}

#[test]
fn given_a_refusal_that_names_no_other_when_a_job_is_handed_in_then_503() {
    run(async {
        let first = Primary::start(|_call| std::future::ready(misdirected(None)));
        let gate = gate_of(first.address).await;

        let answer = gate.respond(call("POST", PATH, "{}")).await;

        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        let seconds: f64 = retry_after(&answer).unwrap().parse().unwrap();
        assert!((0.25..=2.0).contains(&seconds), "{seconds}");
    });
}

#[test]
fn given_a_primary_that_is_gone_when_a_job_is_handed_in_then_503_as_nothing_was_sent() {
    run(async {
        let dead = free_address();
        let first = Primary::start(move |_call| std::future::ready(misdirected(Some(dead))));
        let gate = gate_of(first.address).await;

        let answer = gate.respond(call("POST", PATH, "{}")).await;

        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn given_a_primary_that_is_silent_when_a_job_is_handed_in_then_502_and_no_second_try() {
    run(async {
        let primary = Primary::start(|_call| std::future::pending::<Response>());
        let gate = gate_of(primary.address).await;

        let answer = gate.respond(hurried("POST", PATH, 300)).await;

        assert_eq!(
            (answer.status(), retry_after(&answer)),
            (StatusCode::BAD_GATEWAY, None)
        );
        assert_eq!(primary.calls.borrow().len(), 1);
    });
}

#[rstest]
#[case("GET", StatusCode::OK, 2)]
#[case("DELETE", StatusCode::OK, 2)]
#[case("POST", StatusCode::BAD_GATEWAY, 1)]
fn given_a_connection_that_breaks_after_the_call_when_repeated_then_only_what_may_be(
    #[case] method: &str,
    #[case] wanted: StatusCode,
    #[case] wanted_calls: u32,
) {
    run(async {
        let (address, calls) = breaking_primary().await;
        let gate = gate_of(address).await;

        let answer = gate.respond(hurried(method, PATH, 15_000)).await;

        assert_eq!((answer.status(), calls.get()), (wanted, wanted_calls));
    });
}

#[rstest]
#[case("GET", StatusCode::OK, 2)]
#[case("DELETE", StatusCode::OK, 2)]
#[case("POST", StatusCode::BAD_GATEWAY, 1)]
fn given_a_primary_that_could_not_commit_when_called_then_only_what_may_be_repeated_is(
    #[case] method: &str,
    #[case] wanted: StatusCode,
    #[case] wanted_calls: usize,
) {
    run(async {
        let first = Cell::new(true);
        let primary = Primary::start(move |_call| {
            let status = if first.replace(false) {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::OK
            };
            std::future::ready(json(status, &reply(200, "{}")))
        });
        let gate = gate_of(primary.address).await;

        let answer = gate.respond(hurried(method, PATH, 15_000)).await;

        assert_eq!(
            (answer.status(), primary.calls.borrow().len()),
            (wanted, wanted_calls)
        );
    });
}

#[rstest]
#[case(500)]
#[case(404)]
fn given_a_status_of_the_internal_protocol_when_it_comes_then_the_client_gets_502(
    #[case] status: u16,
) {
    run(async {
        let status = StatusCode::from_u16(status).unwrap();
        let primary = Primary::start(move |_call| std::future::ready(json(status, &0)));
        let gate = gate_of(primary.address).await;

        let answer = gate.respond(call("GET", PATH, "")).await;

        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    });
}

#[test]
fn given_another_method_or_a_body_that_is_no_text_when_called_then_the_primary_is_not() {
    run(async {
        let primary = Primary::replying(reply(200, "{}"));
        let gate = gate_of(primary.address).await;

        let method = gate.clone().respond(call("PUT", PATH, "")).await;
        let body = gate.respond(call("POST", PATH, vec![0xff, 0xfe])).await;

        assert_eq!(
            (method.status(), body.status()),
            (StatusCode::METHOD_NOT_ALLOWED, StatusCode::BAD_REQUEST)
        );
        assert_eq!(method.headers().get("allow").unwrap(), "POST, GET, DELETE");
        assert!(primary.calls.borrow().is_empty());
    });
}

#[test]
fn given_the_platform_when_it_asks_then_the_gate_is_ready_with_a_primary_until_it_leaves() {
    run(async {
        let question = call("GET", "/streamusher/readiness", "");
        let alone = Gate::new(&settings(free_address()));
        let primary = Primary::replying(reply(200, "{}"));
        let gate = gate_of(primary.address).await;

        let before = alone.respond_readiness(&question).status();
        let ready = gate.respond_readiness(&question).status();
        gate.leave();
        let leaving = gate.respond_readiness(&question).status();
        let elsewhere = gate.respond_readiness(&call("GET", "/", "")).status();

        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        assert_eq!(
            [before, ready, leaving],
            [unavailable, StatusCode::OK, unavailable]
        );
        assert_eq!(elsewhere, StatusCode::NOT_FOUND);
    });
}

#[test]
fn given_settings_of_another_role_when_checked_then_the_error_names_the_key() {
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

/// A primary that drops the first connection on which a client's call came whole, and answers later ones.
async fn breaking_primary() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Rc::new(Cell::new(0));
    let counted = Rc::clone(&calls);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counted = Rc::clone(&counted);
            tokio::task::spawn_local(async move { serve_raw(stream, address, &counted).await });
        }
    });
    (address, calls)
}

async fn serve_raw(mut stream: TcpStream, address: SocketAddr, calls: &Cell<u32>) {
    while let Some(head) = read_request(&mut stream).await {
        let body = if head.starts_with("GET /internal/cluster") {
            serde_json::to_string(&view(1, Some(address))).unwrap()
        } else {
            calls.set(calls.get() + 1);
            if calls.get() == 1 {
                return;
            }
            serde_json::to_string(&reply(200, "{}")).unwrap()
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await.unwrap();
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
