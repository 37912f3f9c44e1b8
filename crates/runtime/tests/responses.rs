//! Responses of misbehaving peers: each request receives its own response or none, and no request is sent
//! twice.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use bytes::Bytes;
use rstest::rstest;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_runtime::event_loop;
use streamusher_runtime::http::{Client, Request, RequestError, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Upper bound for operations that should complete at once.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time-out of a request that the client abandons.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Paths of the requests that the peer has read, in order of arrival.
type SeenPaths = Rc<RefCell<Vec<String>>>;

/// A connection accepted by the scripted peer.
struct Connection {
    stream: TcpStream,
    seen_paths: SeenPaths,
}

impl Connection {
    /// Reads one request without a body and returns its path and its request ID.
    async fn read_request(&mut self) -> (String, String) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            assert_eq!(
                self.stream.read(&mut byte).await.unwrap(),
                1,
                "the client closed the connection"
            );
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).unwrap();
        let path = head.split(' ').nth(1).unwrap().to_owned();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("streamusher-call: "))
            .unwrap()
            .to_owned();
        self.seen_paths.borrow_mut().push(path.clone());
        (path, id)
    }

    async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
        self.stream.flush().await.unwrap();
    }

    /// Waits until the client has closed the connection.
    async fn wait_until_closed(&mut self) {
        let mut rest = Vec::new();
        let _ = self.stream.read_to_end(&mut rest).await;
    }
}

fn response(body: &str, id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nstreamusher-call: {id}\r\n\r\n{body}",
        body.len()
    )
}

fn get(path: &str) -> Request {
    http::Request::get(path).body(Bytes::new()).unwrap()
}

fn body_of(response: Result<Response, RequestError>) -> String {
    String::from_utf8(response.unwrap().into_body().to_vec()).unwrap()
}

/// Runs a client against a peer that passes each connection, with its number from 0, to `script`.
fn run<P, F, C>(script: P, caller: impl FnOnce(Client, SeenPaths) -> C + 'static)
where
    P: Fn(usize, Connection) -> F + 'static,
    F: Future<Output = ()> + 'static,
    C: Future<Output = ()> + 'static,
{
    event_loop::block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let seen_paths = SeenPaths::default();
        let peer_seen_paths = seen_paths.clone();
        tokio::task::spawn_local(async move {
            for number in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::task::spawn_local(script(
                    number,
                    Connection {
                        stream,
                        seen_paths: peer_seen_paths.clone(),
                    },
                ));
            }
        });
        tokio::time::timeout(TEST_TIMEOUT, caller(Client::new(address), seen_paths))
            .await
            .expect("the test exceeded its time limit");
    })
    .unwrap();
}

/// Answers every request on a connection correctly.
async fn serve_correctly(mut connection: Connection) {
    loop {
        let (path, id) = connection.read_request().await;
        connection.write(&response(&path, &id)).await;
    }
}

#[test]
fn repeated_response_is_not_taken_for_the_next_requests() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_correctly(connection).await;
        }
        let (path, id) = connection.read_request().await;
        connection.write(&response(&path, &id)).await;
        connection.read_request().await;
        connection.write(&response(&path, &id)).await;
        connection.wait_until_closed().await;
    };
    run(script, |client, seen_paths| async move {
        assert_eq!(
            body_of(client.send(get("/one"), TEST_TIMEOUT).await),
            "/one"
        );
        let second = client.send(get("/two"), TEST_TIMEOUT).await;
        assert!(
            matches!(second, Err(RequestError::Unknown(_))),
            "{second:?}"
        );
        assert_eq!(
            body_of(client.send(get("/three"), TEST_TIMEOUT).await),
            "/three"
        );
        assert_eq!(
            *seen_paths.borrow(),
            ["/one", "/two", "/three"],
            "a request was sent twice"
        );
    });
}

#[test]
fn second_of_two_responses_is_not_taken_for_the_next_requests() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_correctly(connection).await;
        }
        let (path, id) = connection.read_request().await;
        connection
            .write(&(response(&path, &id) + &response("/wrong", &id)))
            .await;
        connection.wait_until_closed().await;
    };
    run(script, |client, seen_paths| async move {
        assert_eq!(
            body_of(client.send(get("/one"), TEST_TIMEOUT).await),
            "/one"
        );
        // The second response may arrive before or after the request for /two; in neither case is it the
        // response to that request.
        match client.send(get("/two"), TEST_TIMEOUT).await {
            Ok(response) => assert_eq!(response.body(), "/two"),
            Err(error) => assert!(matches!(error, RequestError::Unknown(_)), "{error}"),
        }
        assert!(
            seen_paths
                .borrow()
                .iter()
                .filter(|path| *path == "/two")
                .count()
                <= 1,
            "the request for /two was sent twice"
        );
    });
}

#[test]
fn unsolicited_response_on_an_idle_connection_is_dropped() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_correctly(connection).await;
        }
        let (path, id) = connection.read_request().await;
        connection.write(&response(&path, &id)).await;
        connection.write(&response("/wrong", "77")).await;
        connection.wait_until_closed().await;
    };
    run(script, |client, seen_paths| async move {
        assert_eq!(
            body_of(client.send(get("/one"), TEST_TIMEOUT).await),
            "/one"
        );
        // In the meantime, the connection's task reads the unsolicited response and closes the connection.
        tokio::time::sleep(SHORT_TIMEOUT).await;
        assert_eq!(
            body_of(client.send(get("/two"), TEST_TIMEOUT).await),
            "/two"
        );
        assert_eq!(*seen_paths.borrow(), ["/one", "/two"]);
    });
}

#[test]
fn response_to_an_abandoned_request_is_dropped() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_correctly(connection).await;
        }
        let (path, id) = connection.read_request().await;
        tokio::time::sleep(SHORT_TIMEOUT * 2).await;
        // The write fails if the client has already closed the connection.
        let _ = connection
            .stream
            .write_all(response(&path, &id).as_bytes())
            .await;
        connection.wait_until_closed().await;
    };
    run(script, |client, seen_paths| async move {
        let first = client.send(get("/one"), SHORT_TIMEOUT).await;
        assert!(matches!(first, Err(RequestError::Unknown(_))), "{first:?}");
        assert_eq!(
            body_of(client.send(get("/two"), TEST_TIMEOUT).await),
            "/two"
        );
        tokio::time::sleep(SHORT_TIMEOUT * 3).await;
        assert_eq!(
            body_of(client.send(get("/three"), TEST_TIMEOUT).await),
            "/three"
        );
        assert_eq!(*seen_paths.borrow(), ["/one", "/two", "/three"]);
    });
}

#[test]
fn connection_of_an_early_response_is_not_reused() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_correctly(connection).await;
        }
        let (path, id) = connection.read_request().await;
        let early = response(&path, &id).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        connection.write(&early).await;
    };
    run(script, |client, seen_paths| async move {
        let request = http::Request::post("/one")
            .body(Bytes::from(vec![b'x'; 4_000]))
            .unwrap();
        let first = client.send(request, TEST_TIMEOUT).await;
        assert!(
            first.is_ok() || matches!(first, Err(RequestError::Unknown(_))),
            "{first:?}"
        );
        assert_eq!(
            body_of(client.send(get("/two"), TEST_TIMEOUT).await),
            "/two"
        );
        assert_eq!(*seen_paths.borrow(), ["/one", "/two"]);
    });
}

#[test]
fn response_in_single_bytes_is_reassembled() {
    let script = |_, mut connection: Connection| async move {
        let (path, id) = connection.read_request().await;
        for byte in response(&path, &id).as_bytes() {
            connection.stream.write_all(&[*byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        connection.wait_until_closed().await;
    };
    run(script, |client, _seen| async move {
        assert_eq!(
            body_of(client.send(get("/one"), TEST_TIMEOUT).await),
            "/one"
        );
    });
}

#[rstest]
#[case::closed(false)]
#[case::reset(true)]
fn request_on_a_broken_connection_is_unknown_and_sent_once(#[case] reset: bool) {
    let script = move |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_correctly(connection).await;
        }
        connection.read_request().await;
        if reset {
            connection.stream.set_zero_linger().unwrap();
        }
    };
    run(script, |client, seen_paths| async move {
        let first = client.send(get("/one"), TEST_TIMEOUT).await;
        assert!(matches!(first, Err(RequestError::Unknown(_))), "{first:?}");
        assert_eq!(
            body_of(client.send(get("/two"), TEST_TIMEOUT).await),
            "/two"
        );
        assert_eq!(
            *seen_paths.borrow(),
            ["/one", "/two"],
            "the request for /one was sent again"
        );
    });
}

#[test]
fn peer_that_closes_reused_connections_executes_each_request_at_most_once() {
    let script = |_, mut connection: Connection| async move {
        let (path, id) = connection.read_request().await;
        connection.write(&response(&path, &id)).await;
    };
    run(script, |client, seen_paths| async move {
        let mut answered = 0;
        for number in 0..200 {
            let path = format!("/{number}");
            match client.send(get(&path), TEST_TIMEOUT).await {
                Ok(response) => {
                    assert_eq!(response.body(), path.as_bytes());
                    answered += 1;
                }
                Err(error) => {
                    let times = seen_paths
                        .borrow()
                        .iter()
                        .filter(|seen_path| **seen_path == path)
                        .count();
                    let is_unknown_or_not_executed =
                        matches!(error, RequestError::Unknown(_)) || times == 0;
                    assert!(
                        is_unknown_or_not_executed,
                        "{path}, executed {times} times: {error}"
                    );
                }
            }
        }
        assert!(answered >= 100, "{answered} of 200 were answered");
        let seen_paths = seen_paths.borrow();
        let distinct: std::collections::BTreeSet<&String> = seen_paths.iter().collect();
        assert_eq!(
            distinct.len(),
            seen_paths.len(),
            "a request was executed twice"
        );
    });
}

#[test]
fn responses_without_a_request_id_are_accepted() {
    let script = |_, mut connection: Connection| async move {
        loop {
            let (path, _) = connection.read_request().await;
            connection
                .write(&response(&path, "").replace("streamusher-call: \r\n", ""))
                .await;
        }
    };
    run(script, |client, _seen| async move {
        assert_eq!(
            body_of(client.send(get("/one"), TEST_TIMEOUT).await),
            "/one"
        );
        assert_eq!(
            body_of(client.send(get("/two"), TEST_TIMEOUT).await),
            "/two"
        );
    });
}
