//! Persistent connections to one address.

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

/// The most bytes that a connection buffers; bodies stream through it.
const MAX_BUFFER_BYTES: usize = 32_768;

/// A connection that takes one request at a time.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Which connections may be kept: a reset begins a new generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Generation(u64);

/// A connection taken from the pool.
pub(super) struct PooledConnection {
    pub(super) sender: Sender,
    /// Whether it was opened for this request, and not idle before.
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

    /// An idle connection that still takes a request, or a new one.
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

    /// Keeps a connection for the next request, unless the pool was reset since `generation`, is full, or the connection is
    /// closed.
    pub(super) fn put_back(&self, sender: Sender, generation: Generation) {
        let mut state = self.state.borrow_mut();
        let has_room = state.idle.len() < self.max_idle_connections;
        if state.generation == generation && has_room && !sender.is_closed() {
            state.idle.push(sender);
        }
    }

    /// Closes the idle connections; those in use are not kept.
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
        // Its errors are returned to the request in flight.
        let _ = connection.await;
    });
    Ok(sender)
}
