//! Actions that a dispatcher requests from its embedder.

use super::{JobId, Micros, WorkerId};

/// An action that the embedder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a worker. The attempts of a request are numbered from 0 in the order of these
    /// actions. An attempt has no timeout of its own: it may last until the client gives up.
    Send {
        /// The request to send.
        job: JobId,
        /// The worker to send it to.
        worker: WorkerId,
    },
    /// Cancel a running attempt.
    Cancel {
        /// The request that the attempt belongs to.
        job: JobId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: the request is rejected; the client may safely retry it.
    Reject {
        /// The rejected request.
        job: JobId,
        /// Time that the client is advised to wait before it retries; 0 for no advice.
        retry_after_us: Micros,
    },
    /// Final answer: the request has failed.
    Fail {
        /// The failed request.
        job: JobId,
    },
    /// Set a timer that triggers an [`Event::Timer`](super::Event::Timer).
    Schedule {
        /// Time until the timer expires.
        delay_us: Micros,
        /// Returned unchanged in the event.
        token: u64,
    },
    /// Probe a worker for its load.
    Probe {
        /// The worker to probe.
        worker: WorkerId,
    },
    /// Subscribe to the endpoint list. Missed changes are delivered first.
    Subscribe,
}
