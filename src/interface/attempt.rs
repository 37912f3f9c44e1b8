//! Outcomes of attempts: one attempt sends a request to one worker.

use super::{JobId, LoadReport};

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker served the request.
    Succeeded,
    /// The worker returned an error; the request may have run.
    WorkerError,
    /// Load shedding: the worker rejected the request because it is at capacity. The request has not run,
    /// unless [`Settings::shed_may_have_run`](super::Settings::shed_may_have_run) is set.
    Shed,
    /// No answer arrived in time; the request may have run.
    TimedOut,
    /// No connection was established; the request has not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    ConnectionLost,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// Report that an attempt has ended.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub job: JobId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Whether the request now has its final answer.
    pub is_final: bool,
    /// Load report of the worker; `None` if it sent none.
    pub report: Option<LoadReport>,
}
