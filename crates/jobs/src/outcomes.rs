//! Outcomes of clients' requests.

use streamusher_protocol::job::JobState;

/// Outcome of a valid submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is new.
    Accepted,
    /// A job with this identifier is known already, whatever its request; nothing changed.
    AlreadyKnown,
}

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled now.
    Cancelled,
    /// The job had ended before, in this state.
    AlreadyEnded(JobState),
    /// No such job is known.
    UnknownJob,
}
