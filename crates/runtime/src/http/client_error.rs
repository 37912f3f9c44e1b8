//! Errors of the HTTP client.
//!
//! The messages include their reasons, so the reasons are not exposed as `source`: printing the error chain
//! would show them twice.

use std::io;

/// Reason why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No byte of the request reached the peer's process, so the request may be sent to another address.
    #[error("not sent: {0}: call another address")]
    NotSent(NotSentReason),
    /// The request was written, so the peer may have executed it.
    #[error("sent, but not answered: {0}: repeat it only if it can be repeated")]
    Unknown(UnknownReason),
}

/// Reason why a request was not sent.
#[derive(Debug, thiserror::Error)]
pub enum NotSentReason {
    /// The request's time-out expired while the client's maximum number of requests was in flight.
    #[error("too many calls at once")]
    TooManyRequests,
    /// The connection could not be established.
    #[error("{0}")]
    Connect(io::Error),
    /// Connecting exceeded the client's connect time-out or the time-out of the request.
    #[error("connecting took too long")]
    ConnectTimeout,
    /// The new connection broke before the request was written.
    #[error("{0}")]
    Http(hyper::Error),
}

/// Reason why it is unknown whether a request was executed.
#[derive(Debug, thiserror::Error)]
pub enum UnknownReason {
    /// The request's time-out expired before the response was complete.
    #[error("the deadline is over")]
    Timeout,
    /// The response carries the ID of another request.
    #[error("the answer is that of another call")]
    MismatchedResponse,
    /// The connection broke after the request was written.
    #[error("{0}")]
    Http(hyper::Error),
    /// The response body was truncated, or it exceeds the client's limit.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}
