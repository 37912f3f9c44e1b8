//! Outcomes of client requests.

use streamusher_protocol::job::JobState;

/// Outcome of a valid submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is new.
    Accepted,
    /// A job with this identifier exists already. Its request is not compared, and nothing changed.
    AlreadyExists,
}

/// Outcome of a cancellation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job was open and is cancelled now.
    Cancelled,
    /// The job had already ended, in this state.
    AlreadyEnded(JobState),
    /// No job with this identifier is known, or its retention is over.
    UnknownJob,
}
