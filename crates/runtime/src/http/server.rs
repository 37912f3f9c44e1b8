//! HTTP server: accepts connections within its limits, and shuts down without losing a request.

use super::server_connection::ServerConnection;
use super::server_limits::{ServerLimits, SharedLimits};
use super::server_phase::{wait_for_phase, Phase};
use super::{sockets, Request, Response};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

/// Pause after a failed accept. When the cause persists, for example a lack of file descriptors, an immediate
/// retry would fail as well.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Upper bound for `max_connections`, beyond the number of file descriptors of any machine.
const MAX_CONNECTIONS: u32 = 1 << 20;

/// Closes a server and changes its limits. Clones control the same server.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    phase: Rc<watch::Sender<Phase>>,
    limits: SharedLimits,
}

impl ServerHandle {
    /// From now on, responses carry `Connection: close`. The server still accepts connections.
    pub fn leave(&self) {
        self.advance(Phase::Leaving);
    }

    /// Stops accepting connections, answers the requests that have been read, and closes idle connections.
    /// After that, [`Server::run`] returns.
    pub fn close(&self) {
        self.advance(Phase::Closed);
    }

    /// Replaces the limits. Limits for bodies apply from the next request on; limits for heads and idle time
    /// apply to new connections. `max_connections` cannot be changed.
    pub fn set_limits(&self, limits: ServerLimits) {
        self.limits.replace(limits);
    }

    fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let is_later = *current < phase;
            if is_later {
                *current = phase;
            }
            is_later
        });
    }
}

/// A server that is bound to an address but does not accept connections until [`Server::run`] is called.
pub struct Server {
    listener: TcpListener,
    limits: SharedLimits,
    handle: ServerHandle,
    phase: watch::Receiver<Phase>,
}

impl Server {
    /// Binds to `address` and listens; port 0 selects a free port. Must be called within the event loop.
    ///
    /// # Errors
    /// Returns an error if the address does not belong to this machine or is in use.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> io::Result<Server> {
        let (sender, phase) = watch::channel(Phase::Serving);
        let limits = SharedLimits::new(limits);
        let handle = ServerHandle {
            phase: Rc::new(sender),
            limits: limits.clone(),
        };
        Ok(Server {
            listener: sockets::listen(address)?,
            limits,
            handle,
            phase,
        })
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    /// Returns an error if the operating system does not report the address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns a handle that closes the server and changes its limits.
    pub fn handle(&self) -> ServerHandle {
        self.handle.clone()
    }

    /// Serves connections on local tasks until the server has been closed and every connection has ended.
    /// Must be called within a `LocalSet`.
    pub async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response> + 'static,
    {
        let max_connections = u32::try_from(self.limits.current().max_connections)
            .unwrap_or(MAX_CONNECTIONS)
            .clamp(1, MAX_CONNECTIONS);
        let permits = Arc::new(Semaphore::new(max_connections as usize));
        let mut phase = self.phase.clone();
        loop {
            let (stream, permit) = tokio::select! {
                biased;
                () = wait_for_phase(&mut phase, Phase::Closed) => break,
                next = next_connection(&self.listener, &permits) => next,
            };
            let connection = ServerConnection {
                limits: self.limits.clone(),
                phase: self.phase.clone(),
                handler: handler.clone(),
            };
            tokio::task::spawn_local(async move {
                connection.serve(stream).await;
                drop(permit);
            });
        }
        drop(self.listener);
        let _all_ended = permits.acquire_many(max_connections).await;
    }
}

async fn next_connection(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> (TcpStream, Option<OwnedSemaphorePermit>) {
    let permit = Arc::clone(permits).acquire_owned().await.ok();
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => return (stream, permit),
            Err(error) => {
                log::warn!("accept failed: {error}; retrying in {ACCEPT_RETRY_INTERVAL:?}");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
