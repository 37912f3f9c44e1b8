//! Why a request has no response.
//!
//! The texts hold their reasons, which are therefore not `source`s: a chain of errors would print them twice.

use std::io;

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No byte of the request reached the peer's program: it may be sent elsewhere.
    #[error("not sent: {0}: call another address")]
    NotSent(NotSentReason),
    /// The request may have been executed.
    #[error("sent, but not answered: {0}: repeat it only if it can be repeated")]
    Unknown(UnknownReason),
}

/// Why a request was not sent.
#[derive(Debug, thiserror::Error)]
pub enum NotSentReason {
    /// Its timeout ended while others had all of the client's places.
    #[error("too many calls at once")]
    TooManyRequests,
    /// Connecting failed.
    #[error("{0}")]
    Connect(io::Error),
    /// Connecting took longer than the client's limit or the request's timeout.
    #[error("connecting took too long")]
    ConnectTimeout,
    /// The new connection broke before the request was written.
    #[error("{0}")]
    Http(hyper::Error),
}

/// Why it is not known whether a request was executed.
#[derive(Debug, thiserror::Error)]
pub enum UnknownReason {
    /// Its timeout is over.
    #[error("the deadline is over")]
    Timeout,
    /// The response is that of another request.
    #[error("the answer is that of another call")]
    MismatchedResponse,
    /// The connection broke after the request was written.
    #[error("{0}")]
    Http(hyper::Error),
    /// The response's body broke off or is too long.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}
