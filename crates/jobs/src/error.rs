//! Why a job is rejected, and why a stored record cannot be used.

use std::sync::Arc;
use streamusher_protocol::job::MAX_SPEC_BYTES;

/// Why a job is rejected. The text is the client's answer: it names the field and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The spec is longer than [`MAX_SPEC_BYTES`]; it has this many bytes.
    #[error("spec has {0} bytes: send at most {MAX_SPEC_BYTES}")]
    SpecTooLong(usize),
    /// There is no step.
    #[error("steps is empty: send at least one step")]
    NoSteps,
    /// There are too many steps.
    #[error("steps has {found} entries: send at most {limit}")]
    TooManySteps {
        /// Number of steps.
        found: usize,
        /// Largest number allowed.
        limit: usize,
    },
    /// The step of this index has no task.
    #[error("steps[{0}].count is 0: send at least 1")]
    NoTasks(usize),
    /// An iteration of the job has too many tasks.
    #[error("steps[].count add up to {found} tasks: send at most {limit}, as several jobs")]
    TooManyTasks {
        /// Number of tasks.
        found: u64,
        /// Largest number allowed.
        limit: u64,
    },
    /// A step depends on one that is not before it.
    #[error(
        "steps[{step}].depends_on names step {dependency}: name earlier steps only, counted from 0"
    )]
    DependencyNotEarlier {
        /// The step.
        step: usize,
        /// The step that it depends on.
        dependency: u32,
    },
    /// The job has too many iterations.
    #[error("repeat_count is {found}: send at most {limit}, and less where interval_ms is 0 and steps have many tasks")]
    TooManyIterations {
        /// Number of iterations.
        found: u32,
        /// Largest number allowed.
        limit: u64,
    },
    /// A number is too large.
    #[error("{field} is {found}: send at most {limit}")]
    TooLarge {
        /// The field's path in the request.
        field: String,
        /// The number.
        found: u64,
        /// Largest number allowed.
        limit: u64,
    },
    /// A text is too long.
    #[error("{field} has {found} bytes: send at most {limit}")]
    TextTooLong {
        /// The field's path in the request.
        field: String,
        /// Its length in bytes.
        found: usize,
        /// Largest length allowed.
        limit: usize,
    },
}

/// Why a stored record cannot be used. The replicated state is damaged, or from a version that is not compatible.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The key is neither a job's nor a task's.
    #[error("key {0:?} is neither job/ID nor task/ID.TIME.STEP.INDEX: take the state from another replica")]
    InvalidKey(Arc<str>),
    /// The value is not valid.
    #[error("record {key:?} cannot be read ({source}): take the state from another replica")]
    InvalidValue {
        /// The record's key.
        key: Arc<str>,
        /// What is wrong with the value.
        source: InvalidRecord,
    },
    /// The key is that of a task whose job or step is not there.
    #[error("record {0:?} belongs to no stored job: take the state from another replica")]
    TaskWithoutJob(Arc<str>),
}

/// What is wrong with the value of a stored record.
#[derive(Debug, thiserror::Error)]
pub enum InvalidRecord {
    /// It is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The request in it is one that is not accepted.
    #[error(transparent)]
    Request(#[from] SubmitError),
    /// It holds neither a final state nor what is needed to go on.
    #[error("neither state nor open is there")]
    NeitherStateNorOpen,
}
