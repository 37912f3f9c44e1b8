//! Events that the embedder passes to a dispatcher.

use super::{AttemptEnd, Endpoint, JobId, LoadReport, Request, WorkerId};

/// Input of a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list: the complete list or only the changed entries.
    EndpointUpdate {
        /// Whether the list is complete: workers that it does not contain have left.
        complete: bool,
        /// Entries of the list, or those that changed.
        endpoints: Vec<Endpoint>,
    },
    /// A poll of the endpoint list failed, or the subscription broke.
    DiscoveryFailed,
    /// A request arrived. It must receive exactly one final answer.
    Arrived(Request),
    /// An attempt started to run.
    Started {
        /// The request that the attempt belongs to.
        job: JobId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// A running attempt reported progress.
    Progress {
        /// The request that the attempt belongs to.
        job: JobId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Completed share of the work, 0 to 1.
        done: f64,
    },
    /// The worker began to stream the answer: from now on the client depends on this attempt.
    StreamBegan {
        /// The request that the attempt belongs to.
        job: JobId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected and no longer needs an answer.
    ClientGone {
        /// The client's request.
        job: JobId,
    },
    /// A timer expired.
    Timer {
        /// The token given to [`Action::Schedule`](super::Action::Schedule).
        token: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The probed worker.
        worker: WorkerId,
        /// Whether the worker answered.
        answered: bool,
        /// Load report of the worker; `None` if it sent none.
        report: Option<LoadReport>,
    },
    /// Aggregated observations of the other dispatchers about a faulty worker. The decisions do not use them
    /// yet: a dispatcher trusts its own observations first.
    PeerObservation {
        /// The observed worker.
        worker: WorkerId,
        /// Sum of the observers' confidence, each 1 to 100; 0 once no observation against the worker remains.
        confidence: u32,
    },
    /// Another dispatcher sent a message. Its content is ignored.
    PeerMessage,
    /// All events of the current batch have been passed in.
    BatchEnd,
}
