//! Server and client over loopback. The time-outs only bound operations that should complete at once.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use bytes::Bytes;
use http::StatusCode;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_runtime::event_loop;
use streamusher_runtime::http::{
    json, parse_json, text, Client, Request, RequestError, Response, Server, ServerHandle,
    ServerLimits,
};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run<F: Future<Output = ()>>(future: F) {
    event_loop::block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, future)
            .await
            .expect("the test exceeded its time limit");
    })
    .unwrap();
}

fn get(path: &str) -> Request {
    http::Request::get(path).body(Bytes::new()).unwrap()
}

fn post(path: &str, body: Vec<u8>) -> Request {
    http::Request::post(path).body(Bytes::from(body)).unwrap()
}

fn serve<H, F>(limits: ServerLimits, handler: H) -> (SocketAddr, ServerHandle, JoinHandle<()>)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
    let address = server.local_address().unwrap();
    let handle = server.handle();
    (
        address,
        handle,
        tokio::task::spawn_local(server.run(handler)),
    )
}

async fn echo(request: Request) -> Response {
    Response::new(request.into_body())
}

#[derive(Debug, serde::Deserialize)]
struct Body {
    #[allow(dead_code)]
    sequence: u64,
}

#[test]
fn server_responds_with_the_whole_body() {
    run(async {
        let (address, _handle, _running) = serve(ServerLimits::default(), echo);
        let client = Client::new(address);
        let body = vec![b'x'; 300_000];

        let response = client
            .send(post("/a", body.clone()), TEST_TIMEOUT)
            .await
            .unwrap();

        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.body(), &Bytes::from(body));
    });
}

#[test]
fn body_over_the_limit_is_rejected_with_413() {
    run(async {
        let limits = ServerLimits {
            max_body_bytes: 100,
            ..ServerLimits::default()
        };
        let (address, _handle, _running) = serve(limits, echo);
        let client = Client::new(address);

        let response = client
            .send(post("/a", vec![b'x'; 101]), TEST_TIMEOUT)
            .await
            .unwrap();

        assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
    });
}

#[test]
fn sequential_requests_share_one_connection() {
    run(async {
        let limits = ServerLimits {
            max_connections: 1,
            ..ServerLimits::default()
        };
        let (address, _handle, _running) = serve(limits, echo);
        let client = Client::new(address);

        for _ in 0..20 {
            client.send(get("/"), TEST_TIMEOUT).await.unwrap();
        }
    });
}

#[test]
fn request_to_a_closed_port_is_not_sent() {
    run(async {
        let unused_address = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();

        let error = Client::new(unused_address)
            .send(get("/"), TEST_TIMEOUT)
            .await
            .unwrap_err();

        assert!(matches!(error, RequestError::NotSent(_)), "{error}");
    });
}

#[test]
fn request_without_a_response_is_unknown_after_its_timeout() {
    run(async {
        let (address, _handle, _running) = serve(ServerLimits::default(), |_request| {
            std::future::pending::<Response>()
        });

        let error = Client::new(address)
            .send(get("/"), Duration::from_millis(50))
            .await
            .unwrap_err();

        assert!(matches!(error, RequestError::Unknown(_)), "{error}");
    });
}

#[test]
fn request_to_a_closed_server_on_a_persistent_connection_is_not_sent() {
    run(async {
        let (address, handle, running) = serve(ServerLimits::default(), echo);
        let client = Client::new(address);
        client.send(get("/"), TEST_TIMEOUT).await.unwrap();
        handle.close();
        running.await.unwrap();

        let error = client.send(get("/"), TEST_TIMEOUT).await.unwrap_err();

        assert!(matches!(error, RequestError::NotSent(_)), "{error}");
    });
}

#[test]
fn closing_server_answers_the_request_in_flight_first() {
    run(async {
        let (handler_started, release) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let (handler_started_clone, release_clone) =
            (Rc::clone(&handler_started), Rc::clone(&release));
        let (address, handle, running) = serve(ServerLimits::default(), move |_request| {
            let (handler_started, release) =
                (Rc::clone(&handler_started_clone), Rc::clone(&release_clone));
            async move {
                handler_started.notify_one();
                release.notified().await;
                text(StatusCode::OK, "late")
            }
        });
        let client = Client::new(address);
        let caller = client.clone();
        let request =
            tokio::task::spawn_local(async move { caller.send(get("/"), TEST_TIMEOUT).await });
        handler_started.notified().await;

        handle.close();
        release.notify_one();

        let response = request.await.unwrap().unwrap();
        assert_eq!(response.headers().get("connection").unwrap(), "close");
        running.await.unwrap();
    });
}

#[test]
fn leaving_server_responds_with_connection_close() {
    run(async {
        let (address, handle, _running) = serve(ServerLimits::default(), echo);
        handle.leave();

        let response = Client::new(address)
            .send(get("/"), TEST_TIMEOUT)
            .await
            .unwrap();

        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.headers().get("connection").unwrap(), "close");
    });
}

#[test]
fn more_requests_than_connections_are_all_answered() {
    run(async {
        let limits = ServerLimits {
            max_connections: 2,
            ..ServerLimits::default()
        };
        let (address, _handle, _running) = serve(limits, echo);
        let answered = Rc::new(Cell::new(0));
        let requests: Vec<_> = (0..10)
            .map(|_| {
                let answered = Rc::clone(&answered);
                tokio::task::spawn_local(async move {
                    Client::new(address)
                        .send(get("/"), TEST_TIMEOUT)
                        .await
                        .unwrap();
                    answered.set(answered.get() + 1);
                })
            })
            .collect();

        for request in requests {
            request.await.unwrap();
        }

        assert_eq!(answered.get(), 10);
    });
}

#[test]
fn error_names_the_missing_field() {
    let error = parse_json::<Body>(b"{\"other\":1}").unwrap_err();

    assert_eq!(error.field, "sequence");
}

#[test]
fn error_names_the_field_of_the_wrong_type() {
    let error =
        parse_json::<Body>(b"{\"other\":\n1,\n\"sequence\":\"four\",\"more\":2}").unwrap_err();

    assert_eq!(error.field, "sequence");
}

#[test]
fn malformed_json_is_an_error() {
    for body in [
        &b""[..],
        b"{",
        b"\xff\xfe\":",
        b"[\"a\":",
        b"\":\":\"",
        b"\n\n\n{]",
    ] {
        parse_json::<Body>(body).unwrap_err();
    }
}

#[test]
fn json_response_has_its_content_type() {
    let response = json(StatusCode::OK, &[1, 2]);

    assert_eq!(
        response.headers().get("content-type").unwrap(),
        "application/json"
    );
    assert_eq!(response.body(), "[1,2]");
}

#[test]
fn new_limits_apply_from_the_next_request_on() {
    run(async {
        let limits = ServerLimits {
            max_body_bytes: 100,
            ..ServerLimits::default()
        };
        let (address, handle, _running) = serve(limits.clone(), echo);
        let client = Client::new(address);
        assert_eq!(
            client
                .send(post("/a", vec![b'x'; 101]), TEST_TIMEOUT)
                .await
                .unwrap()
                .status(),
            StatusCode::PAYLOAD_TOO_LARGE
        );

        handle.set_limits(ServerLimits {
            max_body_bytes: 200,
            ..limits
        });

        assert_eq!(
            client
                .send(post("/a", vec![b'x'; 200]), TEST_TIMEOUT)
                .await
                .unwrap()
                .status(),
            StatusCode::OK
        );
        assert_eq!(
            client
                .send(post("/a", vec![b'x'; 201]), TEST_TIMEOUT)
                .await
                .unwrap()
                .status(),
            StatusCode::PAYLOAD_TOO_LARGE
        );
    });
}
