//! HTTP/1.1 with whole bodies, on both sides, on one thread.
//!
//! - [`Client`] sends requests to one address over persistent connections, and distinguishes requests that were surely not
//!   executed from those that may have been ([`RequestError`]).
//! - [`Server`] answers whole requests within [`ServerLimits`], and closes without losing one.
//! - [`Outbox`] sends messages that may be lost, in batches.
//! - [`json`], [`text`], [`empty`] build responses; [`parse_json`] reads a body.

mod body;
mod client;
mod client_error;
mod connection_pool;
mod hyper_io;
mod outbox;
mod request_id;
mod responses;
mod server;
mod server_connection;
mod server_limits;
mod server_phase;
mod sockets;

pub use body::{parse_json, BodyError};
pub use client::{Client, ClientLimits};
pub use client_error::{NotSentReason, RequestError, UnknownReason};
pub use outbox::Outbox;
pub use request_id::REQUEST_ID_HEADER;
pub use responses::{empty, json, text};
pub use server::{Server, ServerHandle};
pub use server_limits::ServerLimits;

use bytes::Bytes;

/// A request with its whole body.
pub type Request = ::http::Request<Bytes>;

/// A response with its whole body.
pub type Response = ::http::Response<Bytes>;
