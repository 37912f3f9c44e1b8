//! The front: clients' operations, workers' call-backs, `GET /up` and `GET /counters` on one listener.

use super::connections::{after, Activity, BodyReservation, ClientConnection, ClientConnections};
use super::http::{self, Bad, Conn, Head};
use super::pool::no_descriptors;
use super::request::{self, busy, path, Reply};
use crate::closing::Closing;
use crate::config::Limits;
use crate::core::{Operation, Receipt};
use crate::runtime::Hub;
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{info, warn};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for a request to come in whole, once begun; for the first one of a connection, from the moment the
/// connection is there. Guards against silent connections, half requests and heads that come in drop by drop: each
/// holds a descriptor. A bad client is owed an end within 3 s.
const REQUEST: Duration = Duration::from_millis(2_500);
/// Longest time for a client to read its answer.
const ANSWER: Duration = Duration::from_secs(5);
/// Connections that may wait to be accepted. Guards against floods of hundreds at once: what finds no place, usual
/// clients and call-backs among them, would be tried again by its system a second later.
const BACKLOG: i32 = 1_024;
/// Load shedding: sent to a connection for which there is no room.
const SHED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Listens and serves from now on.
pub(crate) fn listen(
    hub: &Rc<Hub>,
    addr: SocketAddr,
    limits: &Limits,
) -> io::Result<(Rc<ClientConnections>, SocketAddr)> {
    let listener = Async::new(shared_listener(addr)?)?;
    let addr = listener.get_ref().local_addr()?;
    let connections = Rc::new(ClientConnections::new(limits));
    let (hub, all) = (hub.clone(), connections.clone());
    hub.clone().spawn(async move {
        loop {
            let handed_over = async {
                all.handed_over().await;
                Err(io::Error::from(io::ErrorKind::ConnectionAborted))
            };
            match future::or(listener.accept(), handed_over).await {
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted && all.is_handed_over() => {
                    // What waits in the queue is taken, then the listener closes: later ones reach the successor.
                    while let Ok((stream, _)) = listener.get_ref().accept() {
                        let Ok(stream) = Async::new(stream) else {
                            continue;
                        };
                        let (served, socket) = (hub.clone(), ClientConnection::new(&all));
                        hub.with(|core, _| core.counters.front_sockets += 1);
                        hub.spawn(async move { serve(served, stream, socket).await });
                    }
                    drop(listener);
                    return info!(hub.log, "the clients' address is left to the successor");
                }
                Ok((stream, _)) => {
                    let mut socket = ClientConnection::new(&all);
                    while all.free_one_for(&socket) {
                        future::yield_now().await; // lets the one given up close
                    }
                    hub.with(|core, _| core.counters.front_sockets += 1);
                    if !all.admit(&mut socket) {
                        // Guards against connections that queue up outside, where they would hear nothing.
                        hub.with(|core, _| core.counters.front_sockets_refused += 1);
                        let conn = Conn::new(stream);
                        let _ = conn.stream().get_ref().write(SHED_RESPONSE);
                        hub.spawn(async move { conn.close(Closing::immediate()).await });
                        future::yield_now().await; // lets it close
                        continue;
                    }
                    let served = hub.clone();
                    hub.spawn(async move { serve(served, stream, socket).await });
                    future::yield_now().await; // guards against a flood that keeps all else waiting
                }
                // Out of descriptors: guards against a busy loop, and makes room for those that wait.
                Err(e) => {
                    if no_descriptors(&e) {
                        all.free_one();
                    }
                    warn!(hub.log, "a front socket could not be accepted"; "error" => %e);
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    });
    Ok((connections, addr))
}

/// A listener that a second process of the same user may share while it replaces this one.
fn shared_listener(addr: SocketAddr) -> io::Result<TcpListener> {
    use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
    let family = if addr.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let fd = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    sockopt::set_socket_reuseport(&fd, true)?;
    rustix::net::bind(&fd, &addr)?;
    rustix::net::listen(&fd, BACKLOG)?;
    Ok(TcpListener::from(fd))
}

/// A request that was read whole.
struct Received {
    head: Head,
    body: Vec<u8>,
    _reservation: Option<BodyReservation>,
}

/// Reads a request. An error that its head alone shows is told before its body is read.
async fn receive(
    hub: &Hub,
    conn: &mut Conn,
    socket: &ClientConnection,
) -> Result<Result<Received, Reply>, Bad> {
    let head = conn.request().await?;
    let mut reservation = None;
    if is_operation(&head) {
        if let Err(reply) = request::check(&hub.classes.borrow(), &head.method, &head.target) {
            return Ok(Err(reply));
        }
        reservation = socket.all.reserve_body(http::body_length(&head)?);
        if reservation.is_none() || socket.reserved {
            return Ok(Err(busy("no room for another operation")));
        }
    }
    let body = conn.body(&head).await?;
    if is_operation(&head) && conn.has_input() {
        // Guards against requests hidden behind a wrong length, and against hundreds in one go: a client sends
        // one at a time.
        return Err(Bad::Malformed("more than one request at a time"));
    }
    Ok(Ok(Received {
        head,
        body,
        _reservation: reservation,
    }))
}

async fn serve(hub: Rc<Hub>, stream: Async<TcpStream>, mut socket: ClientConnection) {
    let mut conn = Conn::new(stream);
    let mut by = Instant::now() + REQUEST;
    let mut first = true;
    while socket.next_request(&mut conn, first).await {
        if !std::mem::take(&mut first) {
            by = Instant::now() + REQUEST;
        }
        socket.set_activity(Activity::Reading);
        let late = async {
            Timer::at(by).await;
            Err(Bad::Late)
        };
        let given_up = async {
            socket.given_up().await;
            Err(Bad::Ended)
        };
        let read = future::or(
            receive(&hub, &mut conn, &socket),
            future::or(late, given_up),
        )
        .await;
        socket.set_activity(Activity::Busy);
        let mut receipt = Receipt::default();
        let (reply, close) = match read {
            Ok(Ok(Received {
                head,
                body,
                _reservation,
            })) => {
                match respond(&hub, &mut conn, &mut socket, &head, body).await {
                    // More that has come before the answer would have to wait: it is not taken up.
                    Some((reply, booked)) => {
                        receipt = booked;
                        let more = conn.has_input() && !socket.worker || conn.is_overrun();
                        (reply, head.close || more)
                    }
                    None => return, // the client has gone away
                }
            }
            Ok(Err(reply)) => (reply, true),
            Err(Bad::Ended) => return,
            Err(Bad::Late) => (Reply::plain(408, "it did not come in time"), true),
            Err(Bad::TooLarge) => (Reply::plain(413, "the body is over 64 KiB"), true),
            Err(Bad::Malformed(why)) => (Reply::plain(400, why), true),
        };
        // What was wrong once is not waited for again: guards against bad clients that stay.
        let bad = matches!(reply.status, 400 | 404 | 405 | 408 | 409 | 413);
        if bad {
            hub.with(|core, _| core.counters.bad_requests += 1);
        }
        let close = close || bad || socket.all.is_closing() && !socket.worker;
        // Guards against a client that does not read: it would hold its socket for ever.
        let written = future::or(
            async { conn.write(&bytes(&reply, close)).await.is_ok() },
            async {
                after(ANSWER).await;
                false
            },
        );
        if !written.await {
            return;
        }
        receipt.written();
        if close {
            socket.set_activity(Activity::Leaving);
            return future::or(conn.close(Closing::graceful()), socket.given_up()).await;
        }
    }
    // Between requests, or before the first. Bytes may come in this very moment, a request among them: it is not taken, and
    // its client sends it once more elsewhere. One that gives way to others has no time to linger.
    socket.set_activity(Activity::Leaving);
    let stopping = socket.all.is_closing();
    match socket.is_given_up() && !stopping {
        true => conn.close(Closing::immediate()).await,
        false => conn.close(Closing::idle()).await,
    }
}

fn bytes(reply: &Reply, close: bool) -> Vec<u8> {
    let reason = match reply.status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    };
    let mut text = format!("HTTP/1.1 {} {reason}\r\n", reply.status);
    if let Some((name, value)) = &reply.header {
        text += &format!("{name}: {value}\r\n");
    }
    if close {
        text += "Connection: close\r\n";
    }
    if reply.status != 204 {
        text += &format!("Content-Length: {}\r\n", reply.body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&reply.body);
    bytes
}

const CALL_BACKS: &str = "/v1/job-events";

fn is_operation(head: &Head) -> bool {
    !matches!(path(&head.target), CALL_BACKS | "/up" | "/counters")
}

/// Answers one request; none if its client has gone away.
async fn respond(
    hub: &Rc<Hub>,
    conn: &mut Conn,
    socket: &mut ClientConnection,
    head: &Head,
    body: Vec<u8>,
) -> Option<(Reply, Receipt)> {
    let reply = match (path(&head.target), head.method.as_str()) {
        (CALL_BACKS, "POST") => {
            socket.mark_worker();
            super::callback::call_back(hub, &body, true)
        }
        (CALL_BACKS, _) => Reply::only("POST"),
        ("/up", "GET") if hub.stopping.get() => Reply::plain(503, "stopping"),
        ("/up", "GET") => Reply::plain(200, "up"),
        ("/counters", "GET") => Reply::plain(200, &hub.with(|core, _| core.counters.to_json())),
        ("/up" | "/counters", _) => Reply::only("GET"),
        _ => match operation(hub, head, body) {
            Ok(operation) => return dispatch(hub, conn, socket, operation).await,
            Err(reply) => reply,
        },
    };
    Some((reply, Receipt::default()))
}

fn operation(hub: &Hub, head: &Head, body: Vec<u8>) -> Result<Operation, Reply> {
    let tenant = hub
        .tenant_header
        .as_deref()
        .map(|name| request::tenant(head.all(name)));
    let operation = request::operation(
        &hub.classes.borrow(),
        &head.method,
        &head.target,
        |n| head.get(n),
        body,
    )?;
    Ok(Operation {
        tenant: tenant.transpose()?.flatten(),
        ..operation
    })
}

async fn dispatch(
    hub: &Rc<Hub>,
    conn: &mut Conn,
    socket: &mut ClientConnection,
    operation: Operation,
) -> Option<(Reply, Receipt)> {
    let class = operation.class.0 as usize;
    let told = |reply: &Reply| {
        hub.with(|core, _| {
            core.counters
                .record_response(&hub.classes.borrow()[class].name, reply.status)
        })
    };
    let pending = match hub.submit(operation) {
        Ok(pending) => pending,
        Err(why) => {
            let reply = request::not_taken(why);
            told(&reply);
            return Some((reply, Receipt::default()));
        }
    };
    socket.proven = true;
    let answer = future::or(async { Some(pending.answer().await) }, async {
        conn.ended().await;
        None
    });
    let (reply, receipt) = answer
        .await
        .map(|(answer, receipt)| (request::reply(answer), receipt))?;
    told(&reply);
    Some((reply, receipt))
}
