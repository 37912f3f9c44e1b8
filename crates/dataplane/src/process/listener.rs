//! Binds listeners to addresses that a previous process may not have released yet.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_runtime::http::{Server, ServerLimits};

/// Number of attempts to bind an address, and the pause between two attempts: about two seconds in total.
const MAX_BIND_ATTEMPTS: u32 = 20;
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// An address could not be bound.
#[derive(Debug, thiserror::Error)]
#[error("listening at {address} failed: {reason}: free the port or change the settings")]
pub struct BindError {
    address: SocketAddr,
    /// Part of the message and therefore not the error's source: printing the chain of errors would repeat
    /// it.
    reason: io::Error,
}

/// Listens at `address`. Retries for about two seconds if the address cannot be bound.
///
/// # Errors
/// The address could not be bound.
pub async fn bind(address: SocketAddr, limits: ServerLimits) -> Result<Server, BindError> {
    let mut attempts = 1;
    loop {
        match Server::bind(address, limits.clone()) {
            Ok(server) => return Ok(server),
            Err(reason) if attempts >= MAX_BIND_ATTEMPTS => {
                return Err(BindError { address, reason })
            }
            Err(_) => attempts += 1,
        }
        tokio::time::sleep(BIND_RETRY_INTERVAL).await;
    }
}
