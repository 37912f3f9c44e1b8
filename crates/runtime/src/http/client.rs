//! The calling side: persistent connections to one address, told apart by whether a failed call may have been carried out.

use super::call_id::{belongs, CallIds};
use super::sockets;
use super::stream::Stream;
use super::{Request, Response};
use ::http::header::{HeaderValue, HOST};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// What a client takes for itself.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Calls at once, each on a connection of its own; further ones wait.
    pub max_calls: usize,
    /// Connections kept while nothing is called.
    pub max_idle: usize,
    /// Longest body of an answer, in bytes.
    pub max_body: usize,
    /// How long connecting may take.
    pub connect_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            max_calls: 32,
            max_idle: 8,
            max_body: 8 << 20,
            // A machine that is up answers in a round trip; a dead one says nothing.
            connect_timeout: Duration::from_millis(300),
        }
    }
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No byte of the call reached the peer's program: it can be made elsewhere.
    #[error("not sent: {0}: call another address")]
    NotSent(String),
    /// It may have been carried out.
    #[error("sent, but not answered: {0}: repeat it only if it can be repeated")]
    Unknown(String),
}

type Sender = SendRequest<Full<Bytes>>;

/// Calls one address; clones share the connections.
#[derive(Clone)]
pub struct Client {
    shared: Rc<Shared>,
}

struct Shared {
    address: SocketAddr,
    host: Option<HeaderValue>,
    limits: ClientLimits,
    places: Semaphore,
    pool: RefCell<Pool>,
    ids: CallIds,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Sender>,
    /// Rises with each reset: connections made before are not taken back.
    generation: u64,
}

impl Client {
    /// A client with the usual limits; connects with the first call.
    pub fn new(address: SocketAddr) -> Client {
        Client::with_limits(address, ClientLimits::default())
    }

    /// A client with limits of its own.
    pub fn with_limits(address: SocketAddr, limits: ClientLimits) -> Client {
        let host = HeaderValue::from_str(&address.to_string()).ok();
        let places = Semaphore::new(limits.max_calls.clamp(1, Semaphore::MAX_PERMITS));
        let pool = RefCell::new(Pool::default());
        let ids = CallIds::default();
        Client {
            shared: Rc::new(Shared {
                address,
                host,
                limits,
                places,
                pool,
                ids,
            }),
        }
    }

    /// Whom it calls.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Makes a call and waits for the whole answer, at most for `deadline`. A call that is dropped closes its connection.
    ///
    /// # Errors
    /// No answer came: see [`RequestError`].
    pub async fn send(&self, call: Request, deadline: Duration) -> Result<Response, RequestError> {
        let until = Instant::now() + deadline;
        let waited = tokio::time::timeout_at(until, self.shared.places.acquire()).await;
        let _place =
            waited.map_err(|_| RequestError::NotSent("too many calls at once".to_owned()))?;
        self.shared.call(call, until).await
    }

    /// Closes the idle connections, and those at work once they have been answered.
    pub fn reset(&self) {
        let mut pool = self.shared.pool.borrow_mut();
        pool.generation += 1;
        pool.idle = Vec::new();
    }
}

impl Shared {
    async fn call(&self, call: Request, until: Instant) -> Result<Response, RequestError> {
        let (mut request, id) = self.prepare(call);
        loop {
            let generation = self.pool.borrow().generation;
            let (mut sender, fresh) = self.connection(until).await?;
            let sent = tokio::time::timeout_at(until, sender.try_send_request(request));
            let mut error = match sent.await {
                Err(_) => return Err(RequestError::Unknown("the deadline is over".to_owned())),
                Ok(Ok(answer)) if !belongs(answer.headers(), &id) => {
                    return Err(RequestError::Unknown(
                        "the answer is that of another call".to_owned(),
                    ));
                }
                Ok(Ok(answer)) => return self.read(answer, sender, generation, until).await,
                Ok(Err(error)) => error,
            };
            // Only a request that is handed back was surely not written.
            let Some(back) = error.take_message() else {
                return Err(RequestError::Unknown(error.into_error().to_string()));
            };
            if fresh {
                return Err(RequestError::NotSent(error.into_error().to_string()));
            }
            request = back;
        }
    }

    fn prepare(&self, call: Request) -> (::http::Request<Full<Bytes>>, HeaderValue) {
        let mut request = call.map(Full::new);
        let id = self.ids.stamp(request.headers_mut());
        if let (false, Some(host)) = (request.headers().contains_key(HOST), &self.host) {
            request.headers_mut().insert(HOST, host.clone());
        }
        (request, id)
    }

    /// A connection that takes a request, and whether it is new.
    async fn connection(&self, until: Instant) -> Result<(Sender, bool), RequestError> {
        loop {
            let idle = self.pool.borrow_mut().idle.pop();
            let Some(mut sender) = idle else { break };
            if matches!(
                tokio::time::timeout_at(until, sender.ready()).await,
                Ok(Ok(()))
            ) {
                return Ok((sender, false));
            }
        }
        let limit = until.min(Instant::now() + self.limits.connect_timeout);
        match tokio::time::timeout_at(limit, connect(self.address)).await {
            Ok(Ok(sender)) => Ok((sender, true)),
            Ok(Err(error)) => Err(RequestError::NotSent(error.to_string())),
            Err(_) => Err(RequestError::NotSent("connecting took too long".to_owned())),
        }
    }

    async fn read(
        &self,
        answer: ::http::Response<Incoming>,
        sender: Sender,
        generation: u64,
        until: Instant,
    ) -> Result<Response, RequestError> {
        let (head, body) = answer.into_parts();
        let collected = Limited::new(body, self.limits.max_body).collect();
        let body = match tokio::time::timeout_at(until, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Err(RequestError::Unknown(error.to_string())),
            Err(_) => return Err(RequestError::Unknown("the deadline is over".to_owned())),
        };
        self.keep(sender, generation);
        Ok(Response::from_parts(head, body))
    }

    fn keep(&self, sender: Sender, generation: u64) {
        let mut pool = self.pool.borrow_mut();
        if pool.generation == generation
            && pool.idle.len() < self.limits.max_idle
            && !sender.is_closed()
        {
            pool.idle.push(sender);
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<Sender> {
    let stream = sockets::connect(address).await?;
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER)
        .handshake(Stream(stream));
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        // Its errors are told to the call that was under way.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Bytes that a connection buffers at most; bodies stream through it.
const BUFFER: usize = 32_768;
