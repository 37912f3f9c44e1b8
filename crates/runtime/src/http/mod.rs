//! HTTP/1.1 with whole bodies, on both sides, on one thread.

mod answers;
mod call_id;
mod client;
mod outbox;
mod server;
mod sockets;
mod stream;

pub use answers::{empty, json, parse_json, text, BodyError};
pub use call_id::CALL_ID;
pub use client::{Client, ClientLimits, RequestError};
pub use outbox::Outbox;
pub use server::{Server, ServerHandle, ServerLimits};

use bytes::Bytes;

/// A request with its whole body.
pub type Request = ::http::Request<Bytes>;

/// An answer with its whole body.
pub type Response = ::http::Response<Bytes>;
