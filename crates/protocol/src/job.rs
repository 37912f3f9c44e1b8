//! What a client submits, and the states that it is shown.

use crate::heartbeat::Resources;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The longest `spec`, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// A job as its client submits it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// What to run; passed to workers unchanged.
    #[serde(default)]
    pub spec: Arc<str>,
    /// Its steps.
    pub steps: Vec<StepRequest>,
    /// Above 0: a timed job, whose steps run this many times.
    #[serde(default, skip_serializing_if = "is_default")]
    pub repeat_count: u32,
    /// When the first iteration of a timed job is due, in milliseconds since 1970.
    #[serde(default, skip_serializing_if = "is_default")]
    pub start_at_ms: Millis,
    /// Between two iterations of a timed job.
    #[serde(default, skip_serializing_if = "is_default")]
    pub interval_ms: Millis,
}

/// One step of a job: tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a field of its own in the client's JSON"
)]
pub struct StepRequest {
    /// How many tasks.
    pub count: u32,
    /// What each task takes.
    #[serde(flatten)]
    pub resources: Resources,
    /// A rough estimate of how long a task runs.
    #[serde(default, skip_serializing_if = "is_default")]
    pub estimated_ms: Millis,
    /// Indices of earlier steps that must be done before, from 0.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u32>,
    /// Whether its tasks save checkpoints.
    #[serde(default, skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether its tasks form a gang: they run only all at once.
    #[serde(default, skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether its tasks are slower on more than one rack.
    #[serde(default, skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that a worker must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node_selector: Option<Arc<str>>,
    /// The rack with the data.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub affinity: Option<Arc<str>>,
    /// Most of its tasks of one iteration on one worker; 0 means no limit.
    #[serde(default, skip_serializing_if = "is_default")]
    pub anti_affinity: u32,
    /// Whether a task may have a speculative second run.
    #[serde(default, skip_serializing_if = "is_default")]
    pub hedged: bool,
    /// Whether its tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_default")]
    pub long_running: bool,
}

/// State of a job, as its client is shown it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// None of its tasks has run.
    Pending,
    /// A task of it runs or has run.
    Running,
    /// Every task has ended done.
    Succeeded,
    /// A task or gang has failed as often as its queue allows.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            JobState::Succeeded | JobState::Failed | JobState::Cancelled
        )
    }
}

/// Response to a GET of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Its state.
    pub state: JobState,
}

/// Response to a GET of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Number of jobs that wait.
    pub waiting: u64,
}

/// Whether a field has its default, which is not encoded.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
