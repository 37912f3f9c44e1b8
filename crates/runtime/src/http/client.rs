//! HTTP client that sends requests to one address over persistent connections.

use super::client_error::{NotSentReason, RequestError, UnknownReason};
use super::connection_pool::{ConnectionPool, Generation, PooledConnection, Sender};
use super::request_id::{may_be_response_to, RequestIds};
use super::{Request, Response};
use ::http::header::{HeaderValue, HOST};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{timeout_at, Instant};

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum number of requests in flight, each on a connection of its own. Further requests wait.
    pub max_requests: usize,
    /// Maximum number of idle connections kept open.
    pub max_idle_connections: usize,
    /// Maximum length of a response body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for establishing a connection.
    pub connect_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            max_requests: 32,
            max_idle_connections: 8,
            max_body_bytes: 8 << 20,
            // A running machine accepts a connection within one round trip; a failed one never does.
            connect_timeout: Duration::from_millis(300),
        }
    }
}

/// Sends requests to one address. Clones share their connections.
#[derive(Clone)]
pub struct Client {
    shared: Rc<Shared>,
}

struct Shared {
    host: Option<HeaderValue>,
    max_body_bytes: usize,
    permits: Semaphore,
    pool: ConnectionPool,
    request_ids: RequestIds,
}

impl Client {
    /// Creates a client with the default limits. It connects when the first request is sent.
    pub fn new(address: SocketAddr) -> Client {
        Client::with_limits(address, ClientLimits::default())
    }

    /// Creates a client with the given limits.
    pub fn with_limits(address: SocketAddr, limits: ClientLimits) -> Client {
        let max_requests = limits.max_requests.clamp(1, Semaphore::MAX_PERMITS);
        Client {
            shared: Rc::new(Shared {
                host: HeaderValue::from_str(&address.to_string()).ok(),
                max_body_bytes: limits.max_body_bytes,
                permits: Semaphore::new(max_requests),
                pool: ConnectionPool::new(
                    address,
                    limits.max_idle_connections,
                    limits.connect_timeout,
                ),
                request_ids: RequestIds::default(),
            }),
        }
    }

    /// Returns the address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.shared.pool.address()
    }

    /// Sends a request and waits at most `timeout` for the complete response. Dropping the future of a
    /// request closes its connection.
    ///
    /// # Errors
    /// Returns an error if there is no response; [`RequestError`] tells whether the request may have been
    /// executed.
    pub async fn send(
        &self,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, RequestError> {
        let deadline = Instant::now() + timeout;
        let _permit = timeout_at(deadline, self.shared.permits.acquire())
            .await
            .map_err(|_| RequestError::NotSent(NotSentReason::TooManyRequests))?;
        self.shared.send(request, deadline).await
    }

    /// Closes the idle connections, and each connection in use once its response has been received.
    pub fn reset(&self) {
        self.shared.pool.reset();
    }
}

/// Outcome of sending a request on one connection.
enum Exchange {
    Response(::http::Response<Incoming>, Sender),
    /// The connection broke before the request was written; hyper returned the request.
    Returned(::http::Request<Full<Bytes>>, hyper::Error),
}

impl Shared {
    async fn send(&self, request: Request, deadline: Instant) -> Result<Response, RequestError> {
        let (mut request, id) = self.prepare(request);
        loop {
            let generation = self.pool.generation();
            let PooledConnection { sender, is_new } = self
                .pool
                .take(deadline)
                .await
                .map_err(RequestError::NotSent)?;
            match exchange(sender, request, &id, deadline).await {
                Ok(Exchange::Response(response, sender)) => {
                    return self.read(response, sender, generation, deadline).await;
                }
                Ok(Exchange::Returned(_, error)) if is_new => {
                    return Err(RequestError::NotSent(NotSentReason::Http(error)));
                }
                // The peer had closed this idle connection; another connection may work.
                Ok(Exchange::Returned(returned, _)) => request = returned,
                Err(reason) => return Err(RequestError::Unknown(reason)),
            }
        }
    }

    fn prepare(&self, request: Request) -> (::http::Request<Full<Bytes>>, HeaderValue) {
        let mut request = request.map(Full::new);
        let id = self.request_ids.insert_next(request.headers_mut());
        if let (false, Some(host)) = (request.headers().contains_key(HOST), &self.host) {
            request.headers_mut().insert(HOST, host.clone());
        }
        (request, id)
    }

    /// Reads the response body and returns the connection to the pool.
    async fn read(
        &self,
        response: ::http::Response<Incoming>,
        sender: Sender,
        generation: Generation,
        deadline: Instant,
    ) -> Result<Response, RequestError> {
        let (head, body) = response.into_parts();
        let collected = Limited::new(body, self.max_body_bytes).collect();
        let body = match timeout_at(deadline, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Err(RequestError::Unknown(UnknownReason::Body(error))),
            Err(_) => return Err(RequestError::Unknown(UnknownReason::Timeout)),
        };
        self.pool.put_back(sender, generation);
        Ok(Response::from_parts(head, body))
    }
}

/// Writes a request to a connection and reads the head of its response.
async fn exchange(
    mut sender: Sender,
    request: ::http::Request<Full<Bytes>>,
    id: &HeaderValue,
    deadline: Instant,
) -> Result<Exchange, UnknownReason> {
    let mut error = match timeout_at(deadline, sender.try_send_request(request)).await {
        Ok(Ok(response)) if may_be_response_to(response.headers(), id) => {
            return Ok(Exchange::Response(response, sender));
        }
        Ok(Ok(_)) => return Err(UnknownReason::MismatchedResponse),
        Ok(Err(error)) => error,
        Err(_) => return Err(UnknownReason::Timeout),
    };
    // Only a request that hyper returns is certain not to have been written.
    match error.take_message() {
        Some(request) => Ok(Exchange::Returned(request, error.into_error())),
        None => Err(UnknownReason::Http(error.into_error())),
    }
}
