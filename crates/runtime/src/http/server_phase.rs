//! The phases of a server, which its connections follow.

use tokio::sync::watch;

/// The phases of a server; it never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub(super) enum Phase {
    Serving,
    /// Responses say `Connection: close`.
    Leaving,
    /// No connections are accepted, and idle ones are closed.
    Closed,
}

/// Waits until the server is in `phase` or a later one. A server whose handles are all gone stays as it is.
pub(super) async fn reached(current: &mut watch::Receiver<Phase>, phase: Phase) {
    if current.wait_for(|current| *current >= phase).await.is_err() {
        std::future::pending::<()>().await;
    }
}
