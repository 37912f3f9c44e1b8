//! Server and client over loopback. Deadlines here only bound what should happen at once.

use bytes::Bytes;
use http::StatusCode;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_runtime::http::{
    json, parse_json, text, Client, Request, RequestError, Response, Server, ServerHandle,
    ServerLimits,
};
use streamusher_runtime::runtime;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

const SOON: Duration = Duration::from_secs(20);

fn run<F: Future<Output = ()>>(future: F) {
    runtime::block_on(async { tokio::time::timeout(SOON, future).await.expect("bounded") })
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

async fn echo(call: Request) -> Response {
    Response::new(call.into_body())
}

#[test]
fn given_a_server_when_called_then_it_answers_with_the_whole_body() {
    run(async {
        let (address, _handle, _running) = serve(ServerLimits::default(), echo);
        let client = Client::new(address);
        let body = vec![b'x'; 300_000];

        let answer = client.send(post("/a", body.clone()), SOON).await.unwrap();

        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.body(), &Bytes::from(body));
    });
}

#[test]
fn given_a_body_over_the_limit_when_sent_then_413() {
    run(async {
        let limits = ServerLimits {
            max_body: 100,
            ..ServerLimits::default()
        };
        let (address, _handle, _running) = serve(limits, echo);
        let client = Client::new(address);

        let answer = client
            .send(post("/a", vec![b'x'; 101]), SOON)
            .await
            .unwrap();

        assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    });
}

#[test]
fn given_many_calls_one_after_another_when_called_then_one_connection_serves_them() {
    run(async {
        let limits = ServerLimits {
            max_connections: 1,
            ..ServerLimits::default()
        };
        let (address, _handle, _running) = serve(limits, echo);
        let client = Client::new(address);

        for _ in 0..20 {
            client.send(get("/"), SOON).await.unwrap();
        }
    });
}

#[test]
fn given_a_dead_port_when_called_then_not_sent() {
    run(async {
        let free = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();

        let error = Client::new(free).send(get("/"), SOON).await.unwrap_err();

        assert!(matches!(error, RequestError::NotSent(_)), "{error}");
    });
}

#[test]
fn given_a_server_that_never_answers_when_the_deadline_is_over_then_unknown() {
    run(async {
        let (address, _handle, _running) = serve(ServerLimits::default(), |_call| {
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
fn given_a_closed_server_and_a_kept_connection_when_called_then_not_sent_without_a_guess() {
    run(async {
        let (address, handle, running) = serve(ServerLimits::default(), echo);
        let client = Client::new(address);
        client.send(get("/"), SOON).await.unwrap();
        handle.close();
        running.await.unwrap();

        let error = client.send(get("/"), SOON).await.unwrap_err();

        assert!(matches!(error, RequestError::NotSent(_)), "{error}");
    });
}

#[test]
fn given_a_request_at_work_when_the_server_closes_then_it_is_answered_first() {
    run(async {
        let (begun, release) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let (begun_there, release_there) = (Rc::clone(&begun), Rc::clone(&release));
        let (address, handle, running) = serve(ServerLimits::default(), move |_call| {
            let (begun, release) = (Rc::clone(&begun_there), Rc::clone(&release_there));
            async move {
                begun.notify_one();
                release.notified().await;
                text(StatusCode::OK, "late")
            }
        });
        let client = Client::new(address);
        let caller = client.clone();
        let call = tokio::task::spawn_local(async move { caller.send(get("/"), SOON).await });
        begun.notified().await;

        handle.close();
        release.notify_one();

        let answer = call.await.unwrap().unwrap();
        assert_eq!(answer.headers().get("connection").unwrap(), "close");
        running.await.unwrap();
    });
}

#[test]
fn given_a_leaving_server_when_called_then_it_serves_and_says_connection_close() {
    run(async {
        let (address, handle, _running) = serve(ServerLimits::default(), echo);
        handle.leave();

        let answer = Client::new(address).send(get("/"), SOON).await.unwrap();

        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.headers().get("connection").unwrap(), "close");
    });
}

#[test]
fn given_more_calls_than_connections_when_called_at_once_then_all_are_answered() {
    run(async {
        let limits = ServerLimits {
            max_connections: 2,
            ..ServerLimits::default()
        };
        let (address, _handle, _running) = serve(limits, echo);
        let answered = Rc::new(Cell::new(0));
        let calls: Vec<_> = (0..10)
            .map(|_| {
                let answered = Rc::clone(&answered);
                tokio::task::spawn_local(async move {
                    Client::new(address).send(get("/"), SOON).await.unwrap();
                    answered.set(answered.get() + 1);
                })
            })
            .collect();

        for call in calls {
            call.await.unwrap();
        }

        assert_eq!(answered.get(), 10);
    });
}

#[derive(Debug, serde::Deserialize)]
struct Body {
    #[allow(dead_code)]
    sequence: u64,
}

#[test]
fn given_a_body_without_a_field_when_parsed_then_the_error_names_it() {
    let error = parse_json::<Body>(b"{\"other\":1}").unwrap_err();

    assert_eq!(error.field, "sequence");
}

#[test]
fn given_a_field_of_another_type_when_parsed_then_the_error_names_it() {
    let error =
        parse_json::<Body>(b"{\"other\":\n1,\n\"sequence\":\"four\",\"more\":2}").unwrap_err();

    assert_eq!(error.field, "sequence");
}

#[test]
fn given_what_is_no_json_when_parsed_then_an_error_and_no_panic() {
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
fn given_a_value_when_answered_as_json_then_the_type_says_so() {
    let answer = json(StatusCode::OK, &[1, 2]);

    assert_eq!(
        answer.headers().get("content-type").unwrap(),
        "application/json"
    );
    assert_eq!(answer.body(), "[1,2]");
}

#[test]
fn given_new_limits_when_a_body_comes_then_the_next_request_is_held_to_them() {
    run(async {
        let limits = ServerLimits {
            max_body: 100,
            ..ServerLimits::default()
        };
        let (address, handle, _running) = serve(limits.clone(), echo);
        let client = Client::new(address);
        assert_eq!(
            client
                .send(post("/a", vec![b'x'; 101]), SOON)
                .await
                .unwrap()
                .status(),
            StatusCode::PAYLOAD_TOO_LARGE
        );

        handle.set_limits(ServerLimits {
            max_body: 200,
            ..limits
        });

        assert_eq!(
            client
                .send(post("/a", vec![b'x'; 200]), SOON)
                .await
                .unwrap()
                .status(),
            StatusCode::OK
        );
        assert_eq!(
            client
                .send(post("/a", vec![b'x'; 201]), SOON)
                .await
                .unwrap()
                .status(),
            StatusCode::PAYLOAD_TOO_LARGE
        );
    });
}
