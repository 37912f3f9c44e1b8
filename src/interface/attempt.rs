//! How an attempt of a request at one worker ends.

use super::{JobId, LoadReport};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker served it.
    Succeeded,
    /// The worker returned an error; it may have run.
    WorkerError,
    /// Load shedding: the worker rejected it as full. It never ran, unless
    /// [`Settings::shed_may_have_run`](super::Settings::shed_may_have_run) is set.
    Shed,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection was made: it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub job: JobId,
    /// The attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The request has its final answer.
    pub is_final: bool,
    /// What the worker reported of its load.
    pub report: Option<LoadReport>,
}
