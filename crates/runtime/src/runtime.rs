//! The one thread of a process and its tasks.

use std::future::Future;
use std::io;
use tokio::task::LocalSet;

/// Runs `future` and the local tasks that it starts on this thread, until the future is ready.
///
/// # Errors
/// The event loop could not be made, as when descriptors are used up.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, future))
}
