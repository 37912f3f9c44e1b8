//! Responses of peers that misbehave: each request gets its own response or none, and none is sent twice.

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

/// Bounds what should happen at once.
const SOON: Duration = Duration::from_secs(20);
/// Timeout of a request that is abandoned.
const SHORT: Duration = Duration::from_millis(50);

/// Paths of the requests that a peer has read, in their order.
type Seen = Rc<RefCell<Vec<String>>>;

/// A connection at a scripted peer.
struct Connection {
    stream: TcpStream,
    seen: Seen,
}

impl Connection {
    /// Reads one request without a body; gives its path and its id.
    async fn read_request(&mut self) -> (String, String) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            assert_eq!(
                self.stream.read(&mut byte).await.unwrap(),
                1,
                "the caller closed"
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
        self.seen.borrow_mut().push(path.clone());
        (path, id)
    }

    async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
        self.stream.flush().await.unwrap();
    }

    /// Ends once the caller has closed.
    async fn closed(&mut self) {
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

/// Runs a peer that gives each connection, counted from 0, to `script`, beside a caller.
fn run<P, F, C>(script: P, caller: impl FnOnce(Client, Seen) -> C + 'static)
where
    P: Fn(usize, Connection) -> F + 'static,
    F: Future<Output = ()> + 'static,
    C: Future<Output = ()> + 'static,
{
    event_loop::block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let seen = Seen::default();
        let noted = seen.clone();
        tokio::task::spawn_local(async move {
            for number in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::task::spawn_local(script(
                    number,
                    Connection {
                        stream,
                        seen: noted.clone(),
                    },
                ));
            }
        });
        tokio::time::timeout(SOON, caller(Client::new(address), seen))
            .await
            .expect("bounded");
    })
    .unwrap();
}

/// Answers every request of a connection as it should.
async fn serve_well(mut connection: Connection) {
    loop {
        let (path, id) = connection.read_request().await;
        connection.write(&response(&path, &id)).await;
    }
}

#[test]
fn repeated_response_is_not_taken_for_the_next_requests() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.read_request().await;
        connection.write(&response(&path, &id)).await;
        connection.read_request().await;
        connection.write(&response(&path, &id)).await;
        connection.closed().await;
    };
    run(script, |client, seen| async move {
        assert_eq!(body_of(client.send(get("/one"), SOON).await), "/one");
        let second = client.send(get("/two"), SOON).await;
        assert!(
            matches!(second, Err(RequestError::Unknown(_))),
            "{second:?}"
        );
        assert_eq!(body_of(client.send(get("/three"), SOON).await), "/three");
        assert_eq!(
            *seen.borrow(),
            ["/one", "/two", "/three"],
            "none was sent twice"
        );
    });
}

#[test]
fn second_of_two_responses_is_not_taken_for_the_next_requests() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.read_request().await;
        connection
            .write(&(response(&path, &id) + &response("/wrong", &id)))
            .await;
        connection.closed().await;
    };
    run(script, |client, seen| async move {
        assert_eq!(body_of(client.send(get("/one"), SOON).await), "/one");
        // Whether the second response has arrived yet or arrives after the request, it is never that request's.
        match client.send(get("/two"), SOON).await {
            Ok(response) => assert_eq!(response.body(), "/two"),
            Err(error) => assert!(matches!(error, RequestError::Unknown(_)), "{error}"),
        }
        assert!(
            seen.borrow().iter().filter(|path| *path == "/two").count() <= 1,
            "it was sent twice"
        );
    });
}

#[test]
fn unsolicited_response_on_an_idle_connection_is_dropped() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.read_request().await;
        connection.write(&response(&path, &id)).await;
        connection.write(&response("/wrong", "77")).await;
        connection.closed().await;
    };
    run(script, |client, seen| async move {
        assert_eq!(body_of(client.send(get("/one"), SOON).await), "/one");
        // The connection's task reads what has come, and closes it.
        tokio::time::sleep(SHORT).await;
        assert_eq!(body_of(client.send(get("/two"), SOON).await), "/two");
        assert_eq!(*seen.borrow(), ["/one", "/two"]);
    });
}

#[test]
fn response_to_an_abandoned_request_is_dropped() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.read_request().await;
        tokio::time::sleep(SHORT * 2).await;
        // The caller may have closed: then there is nobody to answer.
        let _ = connection
            .stream
            .write_all(response(&path, &id).as_bytes())
            .await;
        connection.closed().await;
    };
    run(script, |client, seen| async move {
        let first = client.send(get("/one"), SHORT).await;
        assert!(matches!(first, Err(RequestError::Unknown(_))), "{first:?}");
        assert_eq!(body_of(client.send(get("/two"), SOON).await), "/two");
        tokio::time::sleep(SHORT * 3).await;
        assert_eq!(body_of(client.send(get("/three"), SOON).await), "/three");
        assert_eq!(*seen.borrow(), ["/one", "/two", "/three"]);
    });
}

#[test]
fn early_response_counts_and_its_connection_is_not_reused() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.read_request().await;
        let early = response(&path, &id).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        connection.write(&early).await;
    };
    run(script, |client, seen| async move {
        let request = http::Request::post("/one")
            .body(Bytes::from(vec![b'x'; 4_000]))
            .unwrap();
        let first = client.send(request, SOON).await;
        assert!(
            first.is_ok() || matches!(first, Err(RequestError::Unknown(_))),
            "{first:?}"
        );
        assert_eq!(body_of(client.send(get("/two"), SOON).await), "/two");
        assert_eq!(*seen.borrow(), ["/one", "/two"]);
    });
}

#[test]
fn response_in_pieces_is_read_whole() {
    let script = |_, mut connection: Connection| async move {
        let (path, id) = connection.read_request().await;
        for byte in response(&path, &id).as_bytes() {
            connection.stream.write_all(&[*byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        connection.closed().await;
    };
    run(script, |client, _seen| async move {
        assert_eq!(body_of(client.send(get("/one"), SOON).await), "/one");
    });
}

#[rstest]
#[case::closed(false)]
#[case::reset(true)]
fn request_on_a_broken_connection_is_unknown_and_sent_once(#[case] reset: bool) {
    let script = move |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        connection.read_request().await;
        if reset {
            connection.stream.set_zero_linger().unwrap();
        }
    };
    run(script, |client, seen| async move {
        let first = client.send(get("/one"), SOON).await;
        assert!(matches!(first, Err(RequestError::Unknown(_))), "{first:?}");
        assert_eq!(body_of(client.send(get("/two"), SOON).await), "/two");
        assert_eq!(
            *seen.borrow(),
            ["/one", "/two"],
            "the first was not sent again"
        );
    });
}

#[test]
fn peer_that_closes_reused_connections_executes_each_request_at_most_once() {
    let script = |_, mut connection: Connection| async move {
        let (path, id) = connection.read_request().await;
        connection.write(&response(&path, &id)).await;
    };
    run(script, |client, seen| async move {
        let mut answered = 0;
        for number in 0..200 {
            let path = format!("/{number}");
            match client.send(get(&path), SOON).await {
                Ok(response) => {
                    assert_eq!(response.body(), path.as_bytes());
                    answered += 1;
                }
                Err(error) => {
                    let times = seen.borrow().iter().filter(|seen| **seen == path).count();
                    let is_told = matches!(error, RequestError::Unknown(_)) || times == 0;
                    assert!(is_told, "{path}, carried out {times} times: {error}");
                }
            }
        }
        assert!(answered >= 100, "{answered} of 200 were answered");
        let seen = seen.borrow();
        let distinct: std::collections::BTreeSet<&String> = seen.iter().collect();
        assert_eq!(distinct.len(), seen.len(), "a request was executed twice");
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
        assert_eq!(body_of(client.send(get("/one"), SOON).await), "/one");
        assert_eq!(body_of(client.send(get("/two"), SOON).await), "/two");
    });
}
