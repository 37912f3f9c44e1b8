//! Errors of submissions and of stored records.

use std::sync::Arc;
use streamusher_protocol::job::MAX_SPEC_BYTES;

/// Reason why a submission is rejected. The text is sent to the client; it names the field and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The spec is longer than [`MAX_SPEC_BYTES`]. Holds its length in bytes.
    #[error("spec has {0} bytes: send at most {MAX_SPEC_BYTES}")]
    SpecTooLong(usize),
    /// The request has no step.
    #[error("steps is empty: send at least one step")]
    NoSteps,
    /// The request has too many steps.
    #[error("steps has {found} entries: send at most {limit}")]
    TooManySteps {
        /// Number of steps in the request.
        found: usize,
        /// Largest number allowed.
        limit: usize,
    },
    /// The step with this index has no task.
    #[error("steps[{0}].count is 0: send at least 1")]
    NoTasks(usize),
    /// An iteration of the job has too many tasks.
    #[error("steps[].count add up to {found} tasks: send at most {limit}, as several jobs")]
    TooManyTasks {
        /// Number of tasks per iteration.
        found: u64,
        /// Largest number allowed.
        limit: u64,
    },
    /// A step depends on itself or on a step that does not precede it.
    #[error(
        "steps[{step}].depends_on names step {dependency}: name earlier steps only, counted from 0"
    )]
    DependencyNotEarlier {
        /// Index of the dependent step.
        step: usize,
        /// Index of the step on which it depends.
        dependency: u32,
    },
    /// The job has too many iterations.
    #[error("repeat_count is {found}: send at most {limit}, and less where interval_ms is 0 and steps have many tasks")]
    TooManyIterations {
        /// Number of iterations in the request.
        found: u32,
        /// Largest number allowed.
        limit: u64,
    },
    /// A number exceeds its limit.
    #[error("{field} is {found}: send at most {limit}")]
    TooLarge {
        /// Path of the field in the request.
        field: String,
        /// Value in the request.
        found: u64,
        /// Largest value allowed.
        limit: u64,
    },
    /// A text exceeds its limit.
    #[error("{field} has {found} bytes: send at most {limit}")]
    TextTooLong {
        /// Path of the field in the request.
        field: String,
        /// Length of the text, in bytes.
        found: usize,
        /// Largest length allowed, in bytes.
        limit: usize,
    },
}

/// Reason why a stored record cannot be used: the replicated state is damaged, or an incompatible version
/// wrote it.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The key is neither that of a job nor that of a task.
    #[error("key {0:?} is neither job/ID nor task/ID.TIME.STEP.INDEX: take the state from another replica")]
    InvalidKey(Arc<str>),
    /// The value cannot be decoded or is not valid.
    #[error("record {key:?} cannot be read ({source}): take the state from another replica")]
    InvalidValue {
        /// Key of the record.
        key: Arc<str>,
        /// Fault of the value.
        source: InvalidRecord,
    },
    /// The record of a task does not fit a stored job: the job or the task is missing, or the record contradicts
    /// another one of its gang.
    #[error("record {0:?} belongs to no stored job: take the state from another replica")]
    TaskWithoutJob(Arc<str>),
}

/// Fault in the value of a stored record.
#[derive(Debug, thiserror::Error)]
pub enum InvalidRecord {
    /// The value is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The request in the record does not pass validation.
    #[error(transparent)]
    Request(#[from] SubmitError),
    /// The record holds neither a final state nor the state of an open job.
    #[error("neither state nor open is there")]
    NeitherStateNorOpen,
}
