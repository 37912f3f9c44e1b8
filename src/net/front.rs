//! Front sockets: clients' operations, workers' call-backs, `GET /up` and `GET /counters` on one listener.

use super::http::{Bad, Conn, Head};
use super::load_from_json;
use super::pool::no_descriptors;
use crate::core::{Answer, Ending, NotTaken, Operation, StepNews};
use crate::interface::{ClassId, Micros};
use crate::runtime::Hub;
use async_channel::{bounded, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use serde::Deserialize;
use slog::warn;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Longest time for one request to come in whole, once begun.
const REQUEST: Duration = Duration::from_secs(30);
/// How long a closed connection is still read, so that what was last written to it is not lost with it.
const LINGER: Duration = Duration::from_secs(1);

/// All front sockets. Those between requests can be closed to make room, or at the end.
#[derive(Default)]
pub(crate) struct Sockets {
    open: Cell<usize>,
    workers: Cell<usize>,
    /// Those between requests, the longest idle first, and whether a worker's.
    idle: RefCell<BTreeMap<u64, (bool, Sender<()>)>>,
    next: Cell<u64>,
    closing: Cell<(bool, bool)>,
}

impl Sockets {
    /// Front sockets that are not known to be workers'.
    pub(crate) fn clients(&self) -> usize {
        self.open.get() - self.workers.get()
    }

    /// Closes all clients' that are between requests, now and from now on; workers' too if told so.
    pub(crate) fn close_idle(&self, workers: bool) {
        self.closing.set((true, workers));
        self.idle.borrow_mut().retain(|_, (worker, _)| *worker && !workers);
    }

    fn make_room(&self) {
        self.idle.borrow_mut().pop_first();
    }

    /// Waits for the next request; false if the connection is to be closed instead.
    async fn next_request(&self, conn: &mut Conn, worker: bool) -> bool {
        if conn.has_input() {
            return true;
        }
        let closing = self.closing.get();
        if closing.0 && (!worker || closing.1) {
            return false;
        }
        let (keep, closed) = bounded::<()>(1);
        let number = self.next.replace(self.next.get() + 1);
        self.idle.borrow_mut().insert(number, (worker, keep));
        let input = async { conn.wait_input().await.is_ok() };
        let came = future::or(input, async {
            let _ = closed.recv().await;
            false
        })
        .await;
        self.idle.borrow_mut().remove(&number);
        came
    }
}

/// One front socket, counted while it is open.
struct FrontSocket {
    sockets: Rc<Sockets>,
    worker: bool,
}

impl FrontSocket {
    fn is_worker(&mut self) {
        if !std::mem::replace(&mut self.worker, true) {
            self.sockets.workers.set(self.sockets.workers.get() + 1);
        }
    }
}

impl Drop for FrontSocket {
    fn drop(&mut self) {
        self.sockets.open.set(self.sockets.open.get() - 1);
        self.sockets.workers.set(self.sockets.workers.get() - usize::from(self.worker));
    }
}

/// Listens and serves from now on.
pub(crate) fn listen(hub: &Rc<Hub>, addr: SocketAddr, most: usize) -> io::Result<Rc<Sockets>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    let sockets = Rc::new(Sockets::default());
    let (hub, all) = (hub.clone(), sockets.clone());
    hub.clone().spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    all.open.set(all.open.get() + 1);
                    if all.open.get() > most {
                        all.make_room();
                    }
                    let socket = FrontSocket { sockets: all.clone(), worker: false };
                    let served = hub.clone();
                    hub.with(|core, _| core.counters.front_sockets += 1);
                    hub.spawn(async move { serve(served, stream, socket).await });
                }
                // Out of descriptors: guards against a busy loop, and makes room for those that wait.
                Err(e) => {
                    if no_descriptors(&e) {
                        all.make_room();
                    }
                    warn!(hub.log, "a front socket could not be accepted"; "error" => %e);
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    });
    Ok(sockets)
}

async fn serve(hub: Rc<Hub>, stream: Async<TcpStream>, mut socket: FrontSocket) {
    let mut conn = Conn::new(stream);
    let sockets = socket.sockets.clone();
    while sockets.next_request(&mut conn, socket.worker).await {
        let read = async {
            let head = conn.request().await?;
            let body = if is_operation(&head) { check_early(&hub, &head) } else { Ok(()) };
            let body = match body {
                Ok(()) => conn.body(&head).await?,
                Err(reply) => return Ok((head, Err(reply))),
            };
            Ok((head, Ok(body)))
        };
        let late = async {
            Timer::after(REQUEST).await;
            Err(Bad::Malformed("it did not come in time"))
        };
        let (reply, close) = match future::or(read, late).await {
            Ok((head, Ok(body))) => match respond(&hub, &mut conn, &mut socket, &head, body).await {
                Some(reply) => (reply, head.close),
                None => return, // the client has gone away
            },
            Ok((_, Err(reply))) => (reply, true),
            Err(Bad::Ended) => return,
            Err(Bad::TooLarge) => (Reply::plain(413, "the body is over 64 KiB"), true),
            Err(Bad::Malformed(why)) => (Reply::plain(400, why), true),
        };
        if matches!(reply.status, 400 | 404 | 405 | 409 | 413) {
            hub.with(|core, _| core.counters.bad_requests += 1);
        }
        let close = close || hub.stopping.get() && !socket.worker;
        if conn.write(&reply.bytes(close)).await.is_err() {
            return;
        }
        if close {
            break;
        }
    }
    // The end is told first and the rest read: closing with bytes unread would reset the connection, and the
    // answer just written could be lost.
    let _ = conn.stream().get_ref().shutdown(std::net::Shutdown::Write);
    future::or(conn.ended(), async {
        Timer::after(LINGER).await;
    })
    .await;
}

struct Reply {
    status: u16,
    body: Vec<u8>,
    headers: String,
}

impl Reply {
    fn plain(status: u16, text: &str) -> Reply {
        let body = if text.is_empty() { Vec::new() } else { format!("{text}\n").into_bytes() };
        Reply { status, body, headers: String::new() }
    }

    fn with(mut self, header: &str) -> Reply {
        self.headers = format!("{header}\r\n");
        self
    }

    fn bytes(&self, close: bool) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            204 => "No Content",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            409 => "Conflict",
            413 => "Content Too Large",
            429 => "Too Many Requests",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            _ => "",
        };
        let close = if close { "Connection: close\r\n" } else { "" };
        let mut bytes = format!("HTTP/1.1 {} {reason}\r\n{}{close}", self.status, self.headers).into_bytes();
        if self.status != 204 {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", self.body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

const CALL_BACKS: &str = "/v1/job-events";

fn path(head: &Head) -> &str {
    head.target.split('?').next().unwrap_or("")
}

fn is_operation(head: &Head) -> bool {
    !matches!(path(head), CALL_BACKS | "/up" | "/counters")
}

/// Answers one request; none if its client has gone away.
async fn respond(
    hub: &Rc<Hub>, conn: &mut Conn, socket: &mut FrontSocket, head: &Head, body: Vec<u8>,
) -> Option<Reply> {
    let only = |method: &str| Reply::plain(405, &format!("only {method}")).with(&format!("Allow: {method}"));
    Some(match (path(head), head.method.as_str()) {
        (CALL_BACKS, "POST") => {
            socket.is_worker();
            call_back(hub, &body)
        }
        (CALL_BACKS, _) => only("POST"),
        ("/up", "GET") if hub.stopping.get() => Reply::plain(503, "stopping"),
        ("/up", "GET") => Reply::plain(200, "up"),
        ("/counters", "GET") => Reply::plain(200, &hub.with(|core, _| core.counters.line())),
        ("/up" | "/counters", _) => only("GET"),
        _ => match operation(hub, head, body) {
            Ok(operation) => return dispatch(hub, conn, operation).await,
            Err(reply) => reply,
        },
    })
}

async fn dispatch(hub: &Rc<Hub>, conn: &mut Conn, operation: Operation) -> Option<Reply> {
    let pending = match hub.submit(operation) {
        Ok(pending) => pending,
        Err(NotTaken::SameId) => return Some(Reply::plain(409, "an operation of this id is in hand")),
        Err(NotTaken::Full) => return Some(Reply::plain(503, "too many operations").with("Retry-After: 1")),
    };
    let answer = future::or(async { Some(pending.answer().await) }, async {
        conn.ended().await;
        None
    });
    Some(match answer.await? {
        Answer::Served(result) => Reply { status: 200, body: result.to_vec(), headers: String::new() },
        Answer::Busy { hold_off_us: 0 } => Reply::plain(429, "busy"),
        Answer::Busy { hold_off_us } => {
            Reply::plain(429, "busy").with(&format!("Retry-After: {:.3}", hold_off_us as f64 / 1e6))
        }
        Answer::Failed { late: false } => Reply::plain(502, "failed"),
        Answer::Failed { late: true } => Reply::plain(504, "out of time"),
    })
}

fn class(hub: &Hub, head: &Head) -> Result<ClassId, Reply> {
    let name = path(head).split('/').nth(1).unwrap_or("");
    hub.with(|core, _| core.class(name)).ok_or_else(|| Reply::plain(404, "no such class"))
}

/// What the head alone shows to be wrong, before a body is read for nothing.
fn check_early(hub: &Hub, head: &Head) -> Result<(), Reply> {
    class(hub, head)?;
    if head.method != "POST" {
        return Err(Reply::plain(405, "only POST").with("Allow: POST"));
    }
    Ok(())
}

fn operation(hub: &Hub, head: &Head, body: Vec<u8>) -> Result<Operation, Reply> {
    let class = class(hub, head)?;
    let bad = |why: &str| Reply::plain(400, why);
    let id = head.get("x-correlation-id").ok_or_else(|| bad("no X-Correlation-Id"))?;
    if !is_id(id) {
        return Err(bad("X-Correlation-Id: not an id"));
    }
    let (keyed, deadline_us) =
        hub.with(|core, _| (core.is_keyed(class), core.class_settings(class).deadline_us));
    let left_us = match head.get("x-time-left-ms") {
        Some(ms) => ms.parse::<Micros>().map_err(|_| bad("X-Time-Left-Ms: not whole milliseconds"))?,
        None => deadline_us / 1_000,
    };
    let idempotency_key = head.get("idempotency-key").map(str::to_string);
    if keyed && idempotency_key.as_ref().is_none_or(|k| k.is_empty()) {
        return Err(bad("no Idempotency-Key"));
    }
    let mut slots = 1.0;
    for fact in head.get("x-facts").unwrap_or("").split(',').filter(|f| !f.trim().is_empty()) {
        let (name, value) = fact.split_once('=').ok_or_else(|| bad("X-Facts: not name=value"))?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        let value = value.ok_or_else(|| bad("X-Facts: not a number"))?;
        if name.trim() == "slots" {
            slots = value;
        }
    }
    let parts: Vec<&str> = path(head).split('/').skip(2).filter(|p| !p.is_empty()).collect();
    Ok(Operation {
        id: id.to_string(),
        class,
        target: head.target.clone(),
        subject: parts.last().map(|p| p.to_string()),
        idempotency_key,
        slots,
        left_us: left_us.min(86_400_000).saturating_mul(1_000),
        body,
    })
}

/// Ids stand in paths of cancels and in call-backs: guards against one that would mean something else there.
pub(crate) fn is_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= 128
        && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._~:".contains(&b))
}

#[derive(Deserialize)]
struct CallBack {
    id: String,
    from: String,
    #[serde(flatten)]
    state: JobState,
    load: Option<HashMap<String, f64>>,
}

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
enum JobState {
    Started,
    Running { share: f64 },
    Done { result: String },
    Failed,
    Returned,
    Lost,
}

/// A call may come before the 202, again, or after the end: it counts once, and is answered 204 all the same.
fn call_back(hub: &Hub, body: &[u8]) -> Reply {
    let call: CallBack = match serde_json::from_slice(body) {
        Ok(call) => call,
        Err(e) => return Reply::plain(400, &format!("not a call-back: {e}")),
    };
    hub.with(|core, _| {
        core.counters.callbacks += 1;
        let Some(step) = core.find_step(&call.id, &call.from) else {
            core.counters.callbacks_unmatched += 1;
            return;
        };
        let ending = match call.state {
            JobState::Started => return core.step(step, StepNews::Started),
            JobState::Running { share } => return core.step(step, StepNews::Progress(share)),
            JobState::Done { result } => Ending::Served(result.into_bytes().into()),
            JobState::Failed => Ending::WorkerFailed,
            JobState::Returned => Ending::TurnedAway,
            JobState::Lost => Ending::Lost,
        };
        let report = call.load.map(|l| core.report(&load_from_json(&l)));
        core.step(step, StepNews::Ended(ending, report));
    });
    Reply::plain(204, "")
}
