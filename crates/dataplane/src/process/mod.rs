//! What the gate and the agent share as processes: listeners, the status document, the event loop.

mod listener;
mod status;

pub use listener::{bind, BindError};
pub use status::{respond_status, serve_status};

use std::collections::hash_map::RandomState;
use std::future::Future;
use std::hash::BuildHasher;
use std::time::Duration;

/// Waits for `future`, at most for `timeout`. Whether it completed.
pub async fn completes_within(timeout: Duration, future: impl Future) -> bool {
    tokio::time::timeout(timeout, future).await.is_ok()
}

/// A number that differs from start to start.
pub fn random_number() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

/// Runs a process's future on this thread until it is ready.
///
/// # Errors
/// The event loop could not be created, or the future's own error.
pub fn run(process: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    streamusher_runtime::event_loop::block_on(process)?
}
