//! What a dispatcher wants done.

use super::{JobId, Micros, WorkerId};

/// An action that the embedder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. Attempts of a request are numbered from 0 in the order of these actions; an attempt may last
    /// until the client gives up.
    Send {
        /// The request.
        job: JobId,
        /// The worker to send it to.
        worker: WorkerId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: rejected; the client may safely try again.
    Reject {
        /// The request.
        job: JobId,
        /// Advice to the client to wait this long; 0 for none.
        retry_after_us: Micros,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        job: JobId,
    },
    /// Set a timer: asks for an [`Event::Timer`](super::Event::Timer).
    Schedule {
        /// After this long.
        delay_us: Micros,
        /// To be given back with the event.
        token: u64,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to the endpoint list, missed changes first.
    Subscribe,
}
