//! What a client submits, and the states it is shown.

use crate::heartbeat::Resources;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The longest `spec`, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// A job as its client hands it in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// What to run; handed to workers as it is.
    #[serde(default)]
    pub spec: Arc<str>,
    /// Its steps.
    pub steps: Vec<StepRequest>,
    /// Above 0: the steps run this many times.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub repeat_count: u32,
    /// When the first time is due, since 1970.
    #[serde(default, skip_serializing_if = "is_zero_millis")]
    pub start_at_ms: Millis,
    /// Between two times.
    #[serde(default, skip_serializing_if = "is_zero_millis")]
    pub interval_ms: Millis,
}

/// One step of a job: tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepRequest {
    /// How many tasks.
    pub count: u32,
    /// What each task takes.
    #[serde(flatten)]
    pub resources: Resources,
    /// A rough guess of how long a task takes.
    #[serde(default, skip_serializing_if = "is_zero_millis")]
    pub estimated_ms: Millis,
    /// Earlier steps, from 0, that must be done before.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u32>,
    /// Its tasks write checkpoints.
    #[serde(default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Its tasks work only together.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// On more than one rack its tasks are slower.
    #[serde(default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node_selector: Option<Arc<str>>,
    /// The rack that holds the data.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub affinity: Option<Arc<str>>,
    /// At most so many of its tasks (of one iteration) on one worker; 0 means no limit.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub anti_affinity: u32,
    /// Copies may run at the same time.
    #[serde(default, skip_serializing_if = "is_false")]
    pub hedged: bool,
    /// Its tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_false")]
    pub long_running: bool,
}

/// What a client is shown of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Nothing of it has run.
    Pending,
    /// Something of it runs or has run.
    Running,
    /// Every task has ended done.
    Succeeded,
    /// A task or a gang has failed as often as the queue allows.
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

/// The answer to a GET of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Its state.
    pub state: JobState,
}

/// The answer to a GET of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Jobs that wait.
    pub waiting: u64,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_zero_millis(value: &Millis) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}
