//! What a dispatcher is told.

use super::{AttemptEnd, Endpoint, JobId, LoadReport, Request, WorkerId};

/// An event for a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list: the whole of it, or only what changed.
    EndpointUpdate {
        /// The list is whole: workers that it does not name are gone.
        complete: bool,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// Polling the endpoint list failed, or the subscription broke.
    DiscoveryFailed,
    /// A request has arrived; it is owed exactly one final answer.
    Arrived(Request),
    /// An attempt has begun to run.
    Started {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt runs and has done part of its work.
    Progress {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// The part done, 0 to 1.
        done: f64,
    },
    /// A streamed answer has begun: from now on the client depends on this attempt.
    StreamBegan {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client is gone; it is owed nothing any more.
    ClientGone {
        /// The request.
        job: JobId,
    },
    /// A timer has come due.
    Timer {
        /// As given to [`Action::Schedule`](super::Action::Schedule).
        token: u64,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// It answered.
        answered: bool,
        /// What it reported of its load.
        report: Option<LoadReport>,
    },
    /// What the other dispatchers together have observed against a worker. Not used by the decisions yet: a dispatcher
    /// trusts its own observations first.
    PeerObservation {
        /// The worker.
        worker: WorkerId,
        /// Sum of the observers' confidence, each 1 to 100; 0 once nothing is held against it any more.
        confidence: u32,
    },
    /// Another dispatcher sent a message. Its content is not used.
    PeerMessage,
    /// All events of this moment have been handed over.
    BatchEnd,
}
