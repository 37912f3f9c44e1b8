//! Answers of peers that misbehave: each call gets its own answer or none, and no call is sent twice.

use bytes::Bytes;
use rstest::rstest;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_runtime::http::{Client, Request, RequestError, Response};
use streamusher_runtime::runtime;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bounds what should happen at once.
const SOON: Duration = Duration::from_secs(20);
/// How long a call that is given up waits.
const SHORT: Duration = Duration::from_millis(50);

/// Paths of the calls that a peer has read, in their order.
type Seen = Rc<RefCell<Vec<String>>>;

/// A connection at a scripted peer.
struct Connection {
    stream: TcpStream,
    seen: Seen,
}

impl Connection {
    /// Reads one call without a body; gives its path and its number.
    async fn call(&mut self) -> (String, String) {
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

fn answer(body: &str, id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nstreamusher-call: {id}\r\n\r\n{body}",
        body.len()
    )
}

fn get(path: &str) -> Request {
    http::Request::get(path).body(Bytes::new()).unwrap()
}

fn body_of(answer: Result<Response, RequestError>) -> String {
    String::from_utf8(answer.unwrap().into_body().to_vec()).unwrap()
}

/// Runs a peer that gives each connection, counted from 0, to `script`, beside a caller.
fn run<P, F, C>(script: P, caller: impl FnOnce(Client, Seen) -> C + 'static)
where
    P: Fn(usize, Connection) -> F + 'static,
    F: Future<Output = ()> + 'static,
    C: Future<Output = ()> + 'static,
{
    runtime::block_on(async move {
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

/// Answers every call of a connection as it should.
async fn serve_well(mut connection: Connection) {
    loop {
        let (path, id) = connection.call().await;
        connection.write(&answer(&path, &id)).await;
    }
}

#[test]
fn given_an_answer_that_comes_again_when_the_next_call_waits_then_it_is_not_that_calls_answer() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.call().await;
        connection.write(&answer(&path, &id)).await;
        connection.call().await;
        connection.write(&answer(&path, &id)).await;
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
fn given_two_answers_at_once_when_the_next_call_is_made_then_it_gets_its_own() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.call().await;
        connection
            .write(&(answer(&path, &id) + &answer("/wrong", &id)))
            .await;
        connection.closed().await;
    };
    run(script, |client, seen| async move {
        assert_eq!(body_of(client.send(get("/one"), SOON).await), "/one");
        // Whether the second answer has come yet or comes after the call, it is never that call's.
        match client.send(get("/two"), SOON).await {
            Ok(answer) => assert_eq!(answer.body(), "/two"),
            Err(error) => assert!(matches!(error, RequestError::Unknown(_)), "{error}"),
        }
        assert!(
            seen.borrow().iter().filter(|path| *path == "/two").count() <= 1,
            "it was sent twice"
        );
    });
}

#[test]
fn given_an_answer_that_nobody_asked_for_on_a_resting_connection_then_the_next_call_gets_its_own() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.call().await;
        connection.write(&answer(&path, &id)).await;
        connection.write(&answer("/wrong", "77")).await;
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
fn given_a_call_that_was_given_up_when_its_answer_comes_then_it_is_nobodys() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.call().await;
        tokio::time::sleep(SHORT * 2).await;
        // The caller may have closed: then there is nobody to answer.
        let _ = connection
            .stream
            .write_all(answer(&path, &id).as_bytes())
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
fn given_an_answer_before_the_whole_call_was_read_then_it_counts_and_the_connection_does_not() {
    let script = |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        let (path, id) = connection.call().await;
        let early = answer(&path, &id).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        connection.write(&early).await;
    };
    run(script, |client, seen| async move {
        let call = http::Request::post("/one")
            .body(Bytes::from(vec![b'x'; 4_000]))
            .unwrap();
        let first = client.send(call, SOON).await;
        assert!(
            first.is_ok() || matches!(first, Err(RequestError::Unknown(_))),
            "{first:?}"
        );
        assert_eq!(body_of(client.send(get("/two"), SOON).await), "/two");
        assert_eq!(*seen.borrow(), ["/one", "/two"]);
    });
}

#[test]
fn given_an_answer_in_pieces_then_it_is_read_whole() {
    let script = |_, mut connection: Connection| async move {
        let (path, id) = connection.call().await;
        for byte in answer(&path, &id).as_bytes() {
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
fn given_a_connection_that_ends_between_call_and_answer_then_the_call_is_unknown_and_sent_once(
    #[case] reset: bool,
) {
    let script = move |number, mut connection: Connection| async move {
        if number > 0 {
            return serve_well(connection).await;
        }
        connection.call().await;
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
fn given_a_peer_that_closes_as_its_connection_is_used_again_then_each_call_is_carried_out_once_at_most(
) {
    let script = |_, mut connection: Connection| async move {
        let (path, id) = connection.call().await;
        connection.write(&answer(&path, &id)).await;
    };
    run(script, |client, seen| async move {
        let mut answered = 0;
        for number in 0..200 {
            let path = format!("/{number}");
            match client.send(get(&path), SOON).await {
                Ok(answer) => {
                    assert_eq!(answer.body(), path.as_bytes());
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
        assert_eq!(distinct.len(), seen.len(), "a call was carried out twice");
    });
}

#[test]
fn given_a_peer_of_an_earlier_release_that_returns_no_number_then_its_answers_count() {
    let script = |_, mut connection: Connection| async move {
        loop {
            let (path, _) = connection.call().await;
            connection
                .write(&answer(&path, "").replace("streamusher-call: \r\n", ""))
                .await;
        }
    };
    run(script, |client, _seen| async move {
        assert_eq!(body_of(client.send(get("/one"), SOON).await), "/one");
        assert_eq!(body_of(client.send(get("/two"), SOON).await), "/two");
    });
}
