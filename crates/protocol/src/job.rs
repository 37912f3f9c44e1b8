//! Jobs as clients submit them, and the job states reported to clients.

use crate::heartbeat::Resources;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum length of `spec`, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// A job as a client submits it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Description of the work, passed to workers unchanged.
    #[serde(default)]
    pub spec: Arc<str>,
    /// The steps of the job.
    pub steps: Vec<StepRequest>,
    /// Number of iterations of a timed job; 0 for a job that is not timed.
    #[serde(default, skip_serializing_if = "is_default")]
    pub repeat_count: u32,
    /// Due time of the first iteration of a timed job, in milliseconds since 1970.
    #[serde(default, skip_serializing_if = "is_default")]
    pub start_at_ms: Millis,
    /// Interval between two iterations of a timed job.
    #[serde(default, skip_serializing_if = "is_default")]
    pub interval_ms: Millis,
}

/// One step of a job: a number of tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a field of its own in the client's JSON"
)]
pub struct StepRequest {
    /// Number of tasks in the step.
    pub count: u32,
    /// Resources that each task requires.
    #[serde(flatten)]
    pub resources: Resources,
    /// Rough estimate of the run time of a task.
    #[serde(default, skip_serializing_if = "is_default")]
    pub estimated_ms: Millis,
    /// Indexes, from 0, of earlier steps that must be done before this step.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u32>,
    /// Whether the tasks save checkpoints.
    #[serde(default, skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang, whose members run only all at once.
    #[serde(default, skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks are slower when they are placed on more than one rack.
    #[serde(default, skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node_selector: Option<Arc<str>>,
    /// Rack that holds the data of the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub affinity: Option<Arc<str>>,
    /// Maximum number of tasks of one iteration on one worker; 0 means no limit.
    #[serde(default, skip_serializing_if = "is_default")]
    pub anti_affinity: u32,
    /// Whether a task may have a speculative second run.
    #[serde(default, skip_serializing_if = "is_default")]
    pub hedged: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_default")]
    pub long_running: bool,
}

/// State of a job, as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task of the job has run.
    Pending,
    /// At least one task of the job runs or has run.
    Running,
    /// Every task has ended with [`RunEnd::Done`](crate::task::RunEnd::Done).
    Succeeded,
    /// A task or gang has failed as many times as its queue allows.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl JobState {
    /// Returns true if the state cannot change any more.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            JobState::Succeeded | JobState::Failed | JobState::Cancelled
        )
    }
}

/// Response to a GET request for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Current state of the job.
    pub state: JobState,
}

/// Response to a GET request for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Number of jobs waiting in the queue.
    pub waiting: u64,
}

/// Returns true if a field has its default value, which is not encoded.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
