//! Front sockets: clients' operations, workers' call-backs, `GET /up` and `GET /counters` on one listener.

use super::http::{Bad, Conn, Head};
use super::load_from_json;
use super::pool::no_descriptors;
use super::request::{self, path, Reply};
use crate::core::{Ending, NotTaken, Operation, StepNews};
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
    /// Those between requests, the longest idle first, and whether they stay open during a stop.
    idle: RefCell<BTreeMap<u64, (bool, Sender<()>)>>,
    next: Cell<u64>,
    closing: Cell<(bool, bool)>,
}

impl Sockets {
    /// Front sockets that are not known to be workers'.
    pub(crate) fn clients(&self) -> usize {
        self.open.get() - self.workers.get()
    }

    /// Closes all clients' that are between requests, now and from now on; workers' too if told so. One that has
    /// sent nothing yet is nobody's so far and stays: guards against turning away call-backs during a stop, as
    /// workers open connections for them.
    pub(crate) fn close_idle(&self, workers: bool) {
        self.closing.set((true, workers));
        self.idle.borrow_mut().retain(|_, (stays, _)| *stays && !workers);
    }

    /// Closes the one that is idle for longest, if there is one.
    fn make_room(&self) -> bool {
        self.idle.borrow_mut().pop_first().is_some()
    }

    /// Waits for the next request; false if the connection is to be closed instead.
    async fn next_request(&self, conn: &mut Conn, stays: bool) -> bool {
        if conn.has_input() {
            return true;
        }
        let closing = self.closing.get();
        if closing.0 && (!stays || closing.1) {
            return false;
        }
        let (keep, closed) = bounded::<()>(1);
        let number = self.next.replace(self.next.get() + 1);
        self.idle.borrow_mut().insert(number, (stays, keep));
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
pub(crate) fn listen(
    hub: &Rc<Hub>, addr: SocketAddr, most: usize, reserve: usize,
) -> io::Result<(Rc<Sockets>, SocketAddr)> {
    let listener = Async::<TcpListener>::bind(addr)?;
    let addr = listener.get_ref().local_addr()?;
    let sockets = Rc::new(Sockets::default());
    let (hub, all) = (hub.clone(), sockets.clone());
    hub.clone().spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    all.open.set(all.open.get() + 1);
                    while all.open.get() > most && !all.make_room() && all.open.get() > most + reserve {
                        Timer::after(Duration::from_millis(5)).await; // all are busy: the rest queue up outside
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
    Ok((sockets, addr))
}

async fn serve(hub: Rc<Hub>, stream: Async<TcpStream>, mut socket: FrontSocket) {
    let mut conn = Conn::new(stream);
    let sockets = socket.sockets.clone();
    let mut spoken = false;
    while sockets.next_request(&mut conn, socket.worker || !spoken).await {
        spoken = true;
        let read = async {
            let head = conn.request().await?;
            if is_operation(&head) {
                if let Err(reply) = request::check(&hub.classes, &head.method, &head.target) {
                    return Ok((head, Err(reply)));
                }
            }
            let body = conn.body(&head).await?;
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
        let close = close || sockets.closing.get().0 && !socket.worker;
        if conn.write(&bytes(&reply, close)).await.is_err() {
            return;
        }
        if close {
            return linger(conn).await;
        }
    }
}

async fn linger(mut conn: Conn) {
    // The end is told first and the rest read: closing with bytes unread would reset the connection, and the
    // answer just written could be lost.
    let _ = conn.stream().get_ref().shutdown(std::net::Shutdown::Write);
    future::or(conn.ended(), async {
        Timer::after(LINGER).await;
    })
    .await;
}

fn bytes(reply: &Reply, close: bool) -> Vec<u8> {
    let reason = match reply.status {
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
    hub: &Rc<Hub>, conn: &mut Conn, socket: &mut FrontSocket, head: &Head, body: Vec<u8>,
) -> Option<Reply> {
    Some(match (path(&head.target), head.method.as_str()) {
        (CALL_BACKS, "POST") => {
            socket.is_worker();
            call_back(hub, &body)
        }
        (CALL_BACKS, _) => Reply::only("POST"),
        ("/up", "GET") if hub.stopping.get() => Reply::plain(503, "stopping"),
        ("/up", "GET") => Reply::plain(200, "up"),
        ("/counters", "GET") => Reply::plain(200, &hub.with(|core, _| core.counters.line())),
        ("/up" | "/counters", _) => Reply::only("GET"),
        _ => match request::operation(&hub.classes, &head.method, &head.target, |n| head.get(n), body) {
            Ok(operation) => return dispatch(hub, conn, operation).await,
            Err(reply) => reply,
        },
    })
}

async fn dispatch(hub: &Rc<Hub>, conn: &mut Conn, operation: Operation) -> Option<Reply> {
    let pending = match hub.submit(operation) {
        Ok(pending) => pending,
        Err(NotTaken::SameId) => return Some(Reply::plain(409, "an operation of this id is in hand")),
        Err(NotTaken::Full) => {
            return Some(Reply::plain(503, "too many operations").with("Retry-After", "1".into()))
        }
    };
    let answer = future::or(async { Some(pending.answer().await) }, async {
        conn.ended().await;
        None
    });
    answer.await.map(request::reply)
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
