//! Why a job is refused, and why a stored record cannot be used.

use std::sync::Arc;
use streamusher_protocol::job::MAX_SPEC_BYTES;

/// Why a job is refused. The text names the field and the remedy; nothing of the job was kept.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The spec is too long.
    #[error("spec has {0} bytes: send at most {MAX_SPEC_BYTES}")]
    SpecTooLong(usize),
    /// There is no step.
    #[error("steps is empty: send at least one step")]
    NoSteps,
    /// There are too many steps.
    #[error("steps has {found} entries: send at most {most}")]
    TooManySteps {
        /// Steps found.
        found: usize,
        /// Steps allowed.
        most: usize,
    },
    /// A step has no task.
    #[error("steps[{0}].count is 0: send at least 1")]
    NoTasks(usize),
    /// The job has too many tasks at one time.
    #[error("steps[].count add up to {found} tasks: send at most {most}, as several jobs")]
    TooManyTasks {
        /// Tasks found.
        found: u64,
        /// Tasks allowed.
        most: u64,
    },
    /// A step depends on one that is not before it.
    #[error("steps[{step}].depends_on names step {on}: name earlier steps only, counted from 0")]
    NotEarlier {
        /// The step.
        step: usize,
        /// What it names.
        on: u32,
    },
    /// The job repeats too often.
    #[error("repeat_count is {found}: send at most {most}, and less where interval_ms is 0 and steps have many tasks")]
    TooManyRepeats {
        /// Repeats found.
        found: u32,
        /// Repeats allowed.
        most: u64,
    },
    /// A number is beyond all use.
    #[error("{field} is {found}: send at most {most}")]
    TooLarge {
        /// The field's path in the body.
        field: String,
        /// Value found.
        found: u64,
        /// Value allowed.
        most: u64,
    },
    /// A text is too long.
    #[error("{field} has {found} bytes: send at most {most}")]
    TextTooLong {
        /// The field's path in the body.
        field: String,
        /// Bytes found.
        found: usize,
        /// Bytes allowed.
        most: usize,
    },
}

/// Why a stored record cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The key is neither a job's nor a task's.
    #[error("key {0:?} is neither job/ID nor task/ID.TIME.STEP.INDEX: take the state from another replica")]
    InvalidKey(Arc<str>),
    /// The value cannot be read.
    #[error("record {key:?} cannot be read ({reason}): take the state from another replica")]
    InvalidValue {
        /// The key.
        key: Arc<str>,
        /// What is wrong with its value.
        reason: String,
    },
    /// A task's job or step is not there.
    #[error("record {0:?} belongs to no stored job: take the state from another replica")]
    TaskWithoutJob(Arc<str>),
}
