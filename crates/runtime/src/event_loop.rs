//! The single-threaded event loop of a process.

use std::future::Future;
use std::io;
use tokio::task::LocalSet;

/// Runs `future` and the local tasks that it spawns on the current thread until `future` completes.
///
/// # Errors
/// Returns an error if the runtime cannot be built, for example because no file descriptors are left.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, future))
}
