//! One connection of a server: reads complete requests, passes them to the handler, and closes when the
//! server does.

use super::hyper_io::{LoopTimer, Stream};
use super::request_id::{copy_id_to_response, REQUEST_ID_HEADER};
use super::server_limits::{ServerLimits, SharedLimits};
use super::server_phase::{wait_for_phase, Phase};
use super::{sockets, text, Request, Response};
use ::http::header::{HeaderValue, CONNECTION};
use ::http::StatusCode;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// The parts of a server that one of its connections uses.
pub(super) struct ServerConnection<H> {
    pub(super) limits: SharedLimits,
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) handler: H,
}

impl<H, F> ServerConnection<H>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    /// Serves requests until the client closes the connection, the idle time-out expires, or the server
    /// closes.
    pub(super) async fn serve(self, stream: TcpStream) {
        if sockets::configure(&stream).is_err() {
            return;
        }
        let limits = self.limits.current();
        let mut phase = self.phase.clone();
        let service = service_fn(move |request| {
            let limits = self.limits.current();
            let phase = self.phase.clone();
            let handler = self.handler.clone();
            async move { Ok::<_, Infallible>(respond(&limits, &phase, handler, request).await) }
        });
        let connection = builder(&limits).serve_connection(Stream(stream), service);
        let mut connection = pin!(connection);
        tokio::select! {
            biased;
            _ended = connection.as_mut() => return,
            () = wait_for_phase(&mut phase, Phase::Closed) => {}
        }
        connection.as_mut().graceful_shutdown();
        // An error here is caused by the client: it disconnected, sent something other than HTTP, or exceeded
        // the idle time-out.
        let _ = connection.await;
    }
}

fn builder(limits: &ServerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .auto_date_header(false)
        .timer(LoopTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    builder
}

async fn respond<H, F>(
    limits: &ServerLimits,
    phase: &watch::Receiver<Phase>,
    handler: H,
    request: ::http::Request<Incoming>,
) -> ::http::Response<Full<Bytes>>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let mut response = match read_request(limits, request).await {
        Ok(request) => handler(request).await,
        Err(error) => error.response(),
    };
    copy_id_to_response(id, response.headers_mut());
    if *phase.borrow() >= Phase::Leaving {
        set_connection_close(&mut response);
    }
    response.map(Full::new)
}

/// Reason why a request body could not be read.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum ReadError {
    #[error("the body is longer than the limit: send less")]
    TooLong,
    #[error("the body broke off: send it again")]
    Broken,
    #[error("the body came too slowly: send it again")]
    Timeout,
}

impl ReadError {
    /// Closes the connection after the response, because the rest of the body may still arrive on it.
    fn response(self) -> Response {
        let status = match self {
            ReadError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            ReadError::Broken => StatusCode::BAD_REQUEST,
            ReadError::Timeout => StatusCode::REQUEST_TIMEOUT,
        };
        let mut response = text(status, format!("{self}\n"));
        set_connection_close(&mut response);
        response
    }
}

async fn read_request(
    limits: &ServerLimits,
    request: ::http::Request<Incoming>,
) -> Result<Request, ReadError> {
    let (head, body) = request.into_parts();
    if body.is_end_stream() {
        return Ok(Request::from_parts(head, Bytes::new()));
    }
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(ReadError::TooLong);
    }
    let collected = Limited::new(body, limits.max_body_bytes).collect();
    match tokio::time::timeout(limits.body_timeout, collected).await {
        Ok(Ok(body)) => Ok(Request::from_parts(head, body.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadError::TooLong),
        Ok(Err(_)) => Err(ReadError::Broken),
        Err(_) => Err(ReadError::Timeout),
    }
}

fn set_connection_close(response: &mut Response) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}
