//! What the gate and the agent share as processes.

use std::collections::hash_map::RandomState;
use std::future::Future;
use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_protocol::internal::STATUS_PATH;
use streamusher_runtime::http::{json, text, Request, Response, Server, ServerLimits};

/// Tries to bind an address, and the pause between two: an earlier process may not be gone yet.
const BIND_TRIES: u32 = 20;
const BIND_PAUSE: Duration = Duration::from_millis(100);

/// The status interface: small bodies, few callers.
const STATUS_LIMITS: ServerLimits = ServerLimits {
    max_body: 4_096,
    max_header: 8_192,
    body_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
    max_connections: 8,
};

/// Listens at `address`, trying for two seconds.
///
/// # Errors
/// The address can't be bound; the message names it.
pub async fn bind(address: SocketAddr, limits: ServerLimits) -> anyhow::Result<Server> {
    let mut tries = 1;
    loop {
        match Server::bind(address, limits.clone()) {
            Ok(server) => return Ok(server),
            Err(error) if tries >= BIND_TRIES => {
                anyhow::bail!(
                    "listening at {address} failed: {error}: free the port or change the settings"
                )
            }
            Err(_) => tries += 1,
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

/// Serves `GET /internal/status` with what `status` gives. Without it the process still does its work, so a port that
/// can't be bound is only logged.
pub async fn serve_status<T, S>(address: SocketAddr, status: S)
where
    T: serde::Serialize + 'static,
    S: Fn() -> T + Clone + 'static,
{
    let handler = move |call: Request| std::future::ready(answer_status(&call, &status));
    match bind(address, STATUS_LIMITS).await {
        Ok(server) => server.run(handler).await,
        Err(error) => log::warn!("no status interface: {error}"),
    }
}

/// Answers `GET /internal/status` with what `status` gives, and anything else with 404.
pub fn answer_status<T: serde::Serialize>(call: &Request, status: impl Fn() -> T) -> Response {
    let known = call.method() == http::Method::GET && call.uri().path() == STATUS_PATH;
    match known {
        true => json(http::StatusCode::OK, &status()),
        false => text(
            http::StatusCode::NOT_FOUND,
            format!("only GET {STATUS_PATH} is here\n"),
        ),
    }
}

/// Ends `future` after `limit`; whether it was ready by itself.
pub async fn at_most(limit: Duration, future: impl Future) -> bool {
    tokio::time::timeout(limit, future).await.is_ok()
}

/// A number that differs from start to start.
pub fn random_number() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

/// Runs a program's future on this thread.
///
/// # Errors
/// The event loop could not be made, or the program failed.
pub fn run(program: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let ended: io::Result<anyhow::Result<()>> = streamusher_runtime::runtime::block_on(program);
    ended?
}
