//! The single-threaded runtime of a process.

use std::future::Future;
use std::io;
use tokio::task::LocalSet;

/// Runs `future` and the local tasks that it spawns on this thread, until the future is ready.
///
/// # Errors
/// The runtime could not be built, as when there are no descriptors left.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, future))
}
