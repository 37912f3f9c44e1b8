//! The serving side: accepts connections, reads whole requests, answers them, and closes without losing one.

use super::call_id::{return_id, CALL_ID};
use super::sockets;
use super::stream::{LoopTimer, Stream};
use super::{text, Request, Response};
use ::http::header::{HeaderValue, CONNECTION};
use ::http::StatusCode;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

/// Pause after an accept that failed, as for want of descriptors: the next would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest buffer that hyper takes.
const LEAST_BUFFER: usize = 8_192;

/// What a server takes of its callers.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Longest body in bytes; a longer one is answered with 413.
    pub max_body: usize,
    /// Longest head of a request in bytes, at least 8192; a longer one is answered with 431.
    pub max_header: usize,
    /// How long a body may take to come; then 408.
    pub body_timeout: Duration,
    /// How long a connection may rest before the next head has come.
    pub idle_timeout: Duration,
    /// Connections at once; further ones wait in the kernel's queue.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            max_body: 1 << 20,
            max_header: 16_384,
            body_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            max_connections: 1_024,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
enum Phase {
    Serving,
    Leaving,
    Closed,
}

/// Closes a server; clones close the same one.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    phase: Rc<watch::Sender<Phase>>,
    limits: SharedLimits,
}

/// Limits that may change while the server runs.
type SharedLimits = Rc<RefCell<Rc<ServerLimits>>>;

impl ServerHandle {
    /// From now on answers say `Connection: close`; connections are still accepted.
    pub fn leave(&self) {
        self.advance(Phase::Leaving);
    }

    /// Accepts no more, answers what has been read, and closes idle connections; then [`Server::run`] returns.
    pub fn close(&self) {
        self.advance(Phase::Closed);
    }

    /// Changes the limits: for bodies from the next request on, for heads and rests with new connections. `max_connections`
    /// stays.
    pub fn set_limits(&self, limits: ServerLimits) {
        *self.limits.borrow_mut() = Rc::new(limits);
    }

    fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|now| {
            let later = *now < phase;
            if later {
                *now = phase;
            }
            later
        });
    }
}

/// A bound server.
pub struct Server {
    listener: TcpListener,
    limits: SharedLimits,
    handle: ServerHandle,
    phase: watch::Receiver<Phase>,
}

impl Server {
    /// Listens at `address`; port 0 takes a free one. Within the runtime.
    ///
    /// # Errors
    /// The address is not this machine's or is taken.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> io::Result<Server> {
        let (sender, phase) = watch::channel(Phase::Serving);
        let limits: SharedLimits = Rc::new(RefCell::new(Rc::new(limits)));
        let handle = ServerHandle {
            phase: Rc::new(sender),
            limits: Rc::clone(&limits),
        };
        Ok(Server {
            listener: sockets::listen(address)?,
            limits,
            handle,
            phase,
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The socket does not tell.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// What closes it.
    pub fn handle(&self) -> ServerHandle {
        self.handle.clone()
    }

    /// Serves with local tasks until it was closed and every connection has ended. Within a `LocalSet`.
    pub async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response> + 'static,
    {
        let most = self
            .limits
            .borrow()
            .max_connections
            .clamp(1, MOST_CONNECTIONS as usize) as u32;
        let places = Arc::new(Semaphore::new(most as usize));
        let mut phase = self.phase.clone();
        loop {
            let (stream, place) = tokio::select! {
                biased;
                () = until(&mut phase, Phase::Closed) => break,
                next = next_connection(&self.listener, &places) => next,
            };
            let connection = Connection {
                limits: Rc::clone(&self.limits),
                phase: self.phase.clone(),
                handler: handler.clone(),
            };
            tokio::task::spawn_local(async move {
                connection.serve(stream).await;
                drop(place);
            });
        }
        drop(self.listener);
        let _all_ended = places.acquire_many(most).await;
    }
}

/// Bound of `max_connections`; beyond any machine's descriptors.
const MOST_CONNECTIONS: u32 = 1 << 20;

/// Waits until the server is in `wanted` or later. A server whose handles are all gone stays as it is.
async fn until(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    if phase.wait_for(|now| *now >= wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn next_connection(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> (TcpStream, Option<OwnedSemaphorePermit>) {
    let place = Arc::clone(places).acquire_owned().await.ok();
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => return (stream, place),
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

struct Connection<H> {
    limits: SharedLimits,
    phase: watch::Receiver<Phase>,
    handler: H,
}

impl<H, F> Connection<H>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    async fn serve(self, stream: TcpStream) {
        if sockets::tune(&stream).is_err() {
            return;
        }
        let limits = Rc::clone(&self.limits.borrow());
        let mut phase = self.phase.clone();
        let service = service_fn(move |request| {
            let limits = Rc::clone(&self.limits.borrow());
            let phase = self.phase.clone();
            let handler = self.handler.clone();
            async move { Ok::<_, Infallible>(answer(&limits, &phase, handler, request).await) }
        });
        let connection = builder(&limits).serve_connection(Stream(stream), service);
        let mut connection = pin!(connection);
        tokio::select! {
            biased;
            _ended = connection.as_mut() => return,
            () = until(&mut phase, Phase::Closed) => {}
        }
        connection.as_mut().graceful_shutdown();
        // An error here is the caller's: it broke off, sent what is not HTTP, or rested too long.
        let _ = connection.await;
    }
}

fn builder(limits: &ServerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    let buffer = limits.max_header.max(LEAST_BUFFER);
    builder
        .auto_date_header(false)
        .timer(LoopTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(buffer);
    builder
}

async fn answer<H, F>(
    limits: &ServerLimits,
    phase: &watch::Receiver<Phase>,
    handler: H,
    request: ::http::Request<Incoming>,
) -> ::http::Response<Full<Bytes>>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let id = request.headers().get(CALL_ID).cloned();
    let mut answer = match whole(limits, request).await {
        Ok(call) => handler(call).await,
        Err(refusal) => refusal,
    };
    return_id(id, answer.headers_mut());
    if *phase.borrow() >= Phase::Leaving {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer.map(Full::new)
}

/// Reads the body, or says why not; the connection of a body that was not read whole is not used again.
async fn whole(
    limits: &ServerLimits,
    request: ::http::Request<Incoming>,
) -> Result<Request, Response> {
    let (head, body) = request.into_parts();
    if body.is_end_stream() {
        return Ok(Request::from_parts(head, Bytes::new()));
    }
    let too_long = || {
        refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is longer than the limit: send less\n",
        )
    };
    if body.size_hint().lower() > limits.max_body as u64 {
        return Err(too_long());
    }
    let collected = Limited::new(body, limits.max_body).collect();
    match tokio::time::timeout(limits.body_timeout, collected).await {
        Ok(Ok(body)) => Ok(Request::from_parts(head, body.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_long()),
        Ok(Err(_)) => Err(refusal(
            StatusCode::BAD_REQUEST,
            "the body broke off: send it again\n",
        )),
        Err(_) => Err(refusal(
            StatusCode::REQUEST_TIMEOUT,
            "the body came too slowly: send it again\n",
        )),
    }
}

fn refusal(status: StatusCode, reason: &'static str) -> Response {
    let mut answer = text(status, reason);
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
