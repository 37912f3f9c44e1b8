//! The shutdown phases of a server, which its connections observe.

use tokio::sync::watch;

/// Phases of a server. A server never returns to an earlier phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub(super) enum Phase {
    Serving,
    /// Responses carry `Connection: close`; connections are still accepted.
    Leaving,
    /// No connections are accepted, and idle connections are closed.
    Closed,
}

/// Waits until the server reaches `phase` or a later one. If all handles of the server have been dropped, its
/// phase can no longer change, and this waits forever.
pub(super) async fn wait_for_phase(current: &mut watch::Receiver<Phase>, phase: Phase) {
    if current.wait_for(|current| *current >= phase).await.is_err() {
        std::future::pending::<()>().await;
    }
}
