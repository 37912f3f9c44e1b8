//! HTTP server on one listener: clients' operations, workers' call-backs, `GET /up` and `GET /counters`.

use super::connections::{after, Activity, BodyReservation, ClientConnection, ClientConnections};
use super::http::{self, Conn, Head, ReadError};
use super::pool::is_out_of_resources;
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

/// Time limit for reading a complete request once it has begun; for the first request of a connection it runs
/// from the accept. Guards against silent connections, incomplete requests and heads that arrive byte by
/// byte: each holds a descriptor. A bad client must be disconnected within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for a client to read its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Length of the accept queue. Guards against bursts of hundreds of connections: those that exceed the queue,
/// normal clients and call-backs among them, would be retried by their system only a second later.
const ACCEPT_QUEUE_LENGTH: i32 = 1_024;
/// Load shedding: response to a connection that exceeds the limits.
const SHED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Opens the listener and starts to serve.
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
                    // Accepts the connections that are already queued and then closes the listener, so that
                    // later ones reach the successor.
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
                    while all.evict_for(&socket) {
                        future::yield_now().await; // lets the evicted connection close
                    }
                    hub.with(|core, _| core.counters.front_sockets += 1);
                    if !all.admit(&mut socket) {
                        // Guards against connections that wait in the accept queue without any response.
                        hub.with(|core, _| core.counters.front_sockets_refused += 1);
                        let conn = Conn::new(stream);
                        let _ = conn.stream().get_ref().write(SHED_RESPONSE);
                        hub.spawn(async move { conn.close(Closing::immediate()).await });
                        future::yield_now().await; // lets the connection close
                        continue;
                    }
                    let served = hub.clone();
                    hub.spawn(async move { serve(served, stream, socket).await });
                    future::yield_now().await; // guards against a flood of connections that starves other tasks
                }
                // Out of descriptors: guards against a busy loop, and frees a descriptor for the queued
                // connections.
                Err(e) => {
                    if is_out_of_resources(&e) {
                        all.evict_one();
                    }
                    warn!(hub.log, "a front socket could not be accepted"; "error" => %e);
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    });
    Ok((connections, addr))
}

/// Opens a listener on an address that a second process of the same user may share while it replaces this
/// one.
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
    rustix::net::listen(&fd, ACCEPT_QUEUE_LENGTH)?;
    Ok(TcpListener::from(fd))
}

/// A request that was read completely.
struct Received {
    head: Head,
    body: Vec<u8>,
    _reservation: Option<BodyReservation>,
}

/// Reads a request. An error that the head alone reveals is reported before the body is read.
async fn receive(
    hub: &Hub,
    conn: &mut Conn,
    socket: &ClientConnection,
) -> Result<Result<Received, Reply>, ReadError> {
    let head = conn.request().await?;
    let mut reservation = None;
    if is_operation(&head) {
        if let Err(reply) = request::check_target(&hub.classes.borrow(), &head.method, &head.target)
        {
            return Ok(Err(reply));
        }
        reservation = socket.all.reserve_body(http::body_length(&head)?);
        if reservation.is_none() || socket.reserved {
            return Ok(Err(busy("no room for another operation")));
        }
    }
    let body = conn.body(&head).await?;
    if is_operation(&head) && conn.has_input() {
        // Guards against requests hidden behind a wrong length and against hundreds of pipelined requests: a
        // client sends one request at a time.
        return Err(ReadError::Malformed("more than one request at a time"));
    }
    Ok(Ok(Received {
        head,
        body,
        _reservation: reservation,
    }))
}

async fn serve(hub: Rc<Hub>, stream: Async<TcpStream>, mut socket: ClientConnection) {
    let mut conn = Conn::new(stream);
    let mut deadline = Instant::now() + REQUEST_TIMEOUT;
    let mut is_first = true;
    while socket.next_request(&mut conn, is_first).await {
        if !std::mem::take(&mut is_first) {
            deadline = Instant::now() + REQUEST_TIMEOUT;
        }
        socket.set_activity(Activity::Reading);
        let timeout = async {
            Timer::at(deadline).await;
            Err(ReadError::Late)
        };
        let evicted = async {
            socket.evicted().await;
            Err(ReadError::Ended)
        };
        let read = future::or(
            receive(&hub, &mut conn, &socket),
            future::or(timeout, evicted),
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
                    // Further input that arrived before the response would have to wait: it is not processed,
                    // and the connection is closed.
                    Some((reply, answer_receipt)) => {
                        receipt = answer_receipt;
                        let has_more_input =
                            conn.has_input() && !socket.worker || conn.is_overrun();
                        (reply, head.close || has_more_input)
                    }
                    None => return, // the client has disconnected
                }
            }
            Ok(Err(reply)) => (reply, true),
            Err(ReadError::Ended) => return,
            Err(ReadError::Late) => (Reply::plain(408, "it did not come in time"), true),
            Err(ReadError::TooLarge) => (Reply::plain(413, "the body is over 64 KiB"), true),
            Err(ReadError::Malformed(error)) => (Reply::plain(400, error), true),
        };
        // The connection is closed after a bad request: guards against bad clients that stay connected.
        let bad = matches!(reply.status, 400 | 404 | 405 | 408 | 409 | 413);
        if bad {
            hub.with(|core, _| core.counters.bad_requests += 1);
        }
        let close = close || bad || socket.all.is_closing() && !socket.worker;
        // Guards against a client that does not read: it would hold its socket indefinitely.
        let written = future::or(
            async { conn.write(&encode(&reply, close)).await.is_ok() },
            async {
                after(RESPONSE_TIMEOUT).await;
                false
            },
        );
        if !written.await {
            return;
        }
        receipt.written();
        if close {
            socket.set_activity(Activity::Closing);
            return future::or(conn.close(Closing::graceful()), socket.evicted()).await;
        }
    }
    // Between requests, or before the first one. A request may be arriving at this very moment: it is not
    // processed, and its client sends it again elsewhere. A connection that was evicted to make room is
    // closed without lingering.
    socket.set_activity(Activity::Closing);
    let stopping = socket.all.is_closing();
    match socket.is_evicted() && !stopping {
        true => conn.close(Closing::immediate()).await,
        false => conn.close(Closing::idle()).await,
    }
}

fn encode(reply: &Reply, close: bool) -> Vec<u8> {
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

const CALLBACK_PATH: &str = "/v1/job-events";

fn is_operation(head: &Head) -> bool {
    !matches!(path(&head.target), CALLBACK_PATH | "/up" | "/counters")
}

/// Produces the response to one request; `None` if its client has disconnected.
async fn respond(
    hub: &Rc<Hub>,
    conn: &mut Conn,
    socket: &mut ClientConnection,
    head: &Head,
    body: Vec<u8>,
) -> Option<(Reply, Receipt)> {
    let reply = match (path(&head.target), head.method.as_str()) {
        (CALLBACK_PATH, "POST") => {
            socket.mark_worker();
            super::callback::handle_callback(hub, &body, true)
        }
        (CALLBACK_PATH, _) => Reply::method_not_allowed("POST"),
        ("/up", "GET") if hub.stopping.get() => Reply::plain(503, "stopping"),
        ("/up", "GET") => Reply::plain(200, "up"),
        ("/counters", "GET") => Reply::plain(200, &hub.with(|core, _| core.counters.to_json())),
        ("/up" | "/counters", _) => Reply::method_not_allowed("GET"),
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
    let count_response = |reply: &Reply| {
        hub.with(|core, _| {
            core.counters
                .record_response(&hub.classes.borrow()[class].name, reply.status)
        })
    };
    let pending = match hub.submit(operation) {
        Ok(pending) => pending,
        Err(error) => {
            let reply = request::submit_error_reply(error);
            count_response(&reply);
            return Some((reply, Receipt::default()));
        }
    };
    socket.proven = true;
    let answer = future::or(async { Some(pending.answer().await) }, async {
        conn.closed_by_peer().await;
        None
    });
    let (reply, receipt) = answer
        .await
        .map(|(answer, receipt)| (request::reply(answer), receipt))?;
    count_response(&reply);
    Some((reply, receipt))
}
