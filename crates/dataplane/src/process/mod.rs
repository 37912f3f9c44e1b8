//! Functions shared by the gate and agent processes: listeners, the status document, the event loop.

mod listener;
mod status;

pub use listener::{bind, BindError};
pub use status::{respond_status, serve_status};

use std::collections::hash_map::RandomState;
use std::future::Future;
use std::hash::BuildHasher;
use std::time::Duration;

/// Waits for `future` for at most `timeout`; returns whether it completed.
pub async fn completes_within(timeout: Duration, future: impl Future) -> bool {
    tokio::time::timeout(timeout, future).await.is_ok()
}

/// A random number, different each time that a process starts.
pub fn random_number() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

/// Runs a process's future to completion on this thread.
///
/// # Errors
/// The event loop could not be created, or the future returned an error.
pub fn run(process: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    streamusher_runtime::event_loop::block_on(process)?
}
