//! Pool of persistent connections to one address.

use super::client_error::NotSentReason;
use super::hyper_io::Stream;
use super::sockets;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Maximum number of bytes that a connection buffers. Longer bodies are streamed through the buffer.
const MAX_BUFFER_BYTES: usize = 32_768;

/// Sends requests on a connection, one at a time.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Generation of the pool, which each reset increments. Only connections of the current generation are
/// returned to the pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Generation(u64);

/// A connection taken from the pool.
pub(super) struct PooledConnection {
    pub(super) sender: Sender,
    /// True if the connection was opened for this request, false if it was idle in the pool.
    pub(super) is_new: bool,
}

/// The idle connections to one address.
pub(super) struct ConnectionPool {
    address: SocketAddr,
    max_idle_connections: usize,
    connect_timeout: Duration,
    state: RefCell<PoolState>,
}

#[derive(Default)]
struct PoolState {
    idle: Vec<Sender>,
    generation: Generation,
}

impl ConnectionPool {
    pub(super) fn new(
        address: SocketAddr,
        max_idle_connections: usize,
        connect_timeout: Duration,
    ) -> ConnectionPool {
        ConnectionPool {
            address,
            max_idle_connections,
            connect_timeout,
            state: RefCell::default(),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn generation(&self) -> Generation {
        self.state.borrow().generation
    }

    /// Takes an idle connection that still accepts a request, or opens a new one.
    pub(super) async fn take(&self, deadline: Instant) -> Result<PooledConnection, NotSentReason> {
        if let Some(sender) = self.take_idle(deadline).await {
            return Ok(PooledConnection {
                sender,
                is_new: false,
            });
        }
        let connect_deadline = deadline.min(Instant::now() + self.connect_timeout);
        match timeout_at(connect_deadline, connect(self.address)).await {
            Ok(Ok(sender)) => Ok(PooledConnection {
                sender,
                is_new: true,
            }),
            Ok(Err(error)) => Err(NotSentReason::Connect(error)),
            Err(_) => Err(NotSentReason::ConnectTimeout),
        }
    }

    async fn take_idle(&self, deadline: Instant) -> Option<Sender> {
        loop {
            let mut sender = self.state.borrow_mut().idle.pop()?;
            if let Ok(Ok(())) = timeout_at(deadline, sender.ready()).await {
                return Some(sender);
            }
        }
    }

    /// Returns a connection to the pool for the next request. The connection is dropped instead if the pool
    /// was reset since `generation`, if the pool is full, or if the connection is closed.
    pub(super) fn put_back(&self, sender: Sender, generation: Generation) {
        let mut state = self.state.borrow_mut();
        let has_capacity = state.idle.len() < self.max_idle_connections;
        if state.generation == generation && has_capacity && !sender.is_closed() {
            state.idle.push(sender);
        }
    }

    /// Closes the idle connections. Connections in use are not returned to the pool.
    pub(super) fn reset(&self) {
        let mut state = self.state.borrow_mut();
        state.generation.0 += 1;
        state.idle = Vec::new();
    }
}

async fn connect(address: SocketAddr) -> io::Result<Sender> {
    let stream = sockets::connect(address).await?;
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(Stream(stream));
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        // The request in flight receives the connection's errors.
        let _ = connection.await;
    });
    Ok(sender)
}
