//! Answers to what clients ask of the record.

use streamusher_protocol::job::JobState;

/// What became of a job that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is new.
    Accepted,
    /// Its identifier is known already; nothing changed.
    AlreadyKnown,
}

/// What became of an order to cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It is cancelled now.
    Cancelled,
    /// It had ended before.
    AlreadyEnded(JobState),
    /// There is no such job.
    UnknownJob,
}
