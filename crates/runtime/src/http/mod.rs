//! HTTP/1.1 client and server that handle complete bodies on a single thread.
//!
//! - [`Client`] sends requests to one address over persistent connections. Its [`RequestError`] distinguishes
//!   requests that were certainly not executed from those that may have been.
//! - [`Server`] answers complete requests within [`ServerLimits`], and shuts down without losing one.
//! - [`Outbox`] sends messages that may be lost, in batches.
//! - [`json`], [`text`] and [`empty`] build responses; [`parse_json`] decodes a body.

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

/// A request with its complete body.
pub type Request = ::http::Request<Bytes>;

/// A response with its complete body.
pub type Response = ::http::Response<Bytes>;
