//! The stored forms of jobs and tasks, as JSON under `job/ID` and `task/ID.TIME.STEP.INDEX`.

use crate::error::RecordError;
use crate::step::EarlierRun;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::job::{JobRequest, JobState};
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

const JOB_PREFIX: &str = "job/";
const TASK_PREFIX: &str = "task/";

/// A job's record. `open` is there until the job has ended and no run of it is left.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// The route's name.
    pub queue: Arc<str>,
    /// The final state, once there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<JobState>,
    /// All that is needed to go on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open: Option<OpenRecord>,
}

/// What is needed to go on with a job.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OpenRecord {
    /// The queue's terms.
    pub service: Arc<str>,
    /// See [`crate::QueuePolicy`].
    pub priority: u32,
    /// See [`crate::QueuePolicy`].
    pub max_attempts: u32,
    /// See [`crate::QueuePolicy`].
    pub stretch: f64,
    /// See [`crate::QueuePolicy`].
    pub target_latency_ms: Millis,
    /// When it was handed in, since 1970.
    pub submitted_ms: Millis,
    /// All iterations before this one are done.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub done_below: u32,
    /// Later iterations that are done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done_above: Vec<u32>,
    /// The request.
    pub request: JobRequest,
}

/// A task's record. The state of a gang stands in the record of its first task.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    /// The newest run.
    pub run: u32,
    /// Where that run sits, until it is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
    /// Its result is not wanted any more.
    #[serde(default, skip_serializing_if = "is_false")]
    pub stopping: bool,
    /// The unit is done.
    #[serde(default, skip_serializing_if = "is_false")]
    pub done: bool,
    /// Failed attempts of the unit.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// The newest run counted as a failed attempt.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub counted: u32,
    /// The newest checkpoint.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub checkpoint: Arc<str>,
    /// What the newest run was started with, where that is no longer the newest checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_from: Option<Arc<str>>,
    /// Workers to avoid.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub avoid: Vec<WorkerId>,
    /// A run that goes on beside the newest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier: Option<EarlierRun>,
}

/// What a key names.
pub(crate) enum Key {
    /// A job's record.
    Job(JobId),
    /// A task's record.
    Task(TaskId),
}

impl Key {
    /// Reads a key.
    pub fn parse(key: &Arc<str>) -> Result<Key, RecordError> {
        let job = key
            .strip_prefix(JOB_PREFIX)
            .and_then(|id| id.parse().ok())
            .map(Key::Job);
        let task = || {
            key.strip_prefix(TASK_PREFIX)
                .and_then(|id| id.parse().ok())
                .map(Key::Task)
        };
        job.or_else(task)
            .ok_or_else(|| RecordError::InvalidKey(key.clone()))
    }
}

/// The key of a job's record.
pub(crate) fn job_key(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// The key of a task's record.
pub(crate) fn task_key(task: &TaskId) -> String {
    format!("{TASK_PREFIX}{task}")
}

/// Reads a value.
pub(crate) fn read<T: DeserializeOwned>(key: &Arc<str>, value: &str) -> Result<T, RecordError> {
    serde_json::from_str(value).map_err(|e| RecordError::InvalidValue {
        key: key.clone(),
        reason: e.to_string(),
    })
}

/// Writes a value. The forms of this module have only text keys and numbers that JSON can hold, so that this cannot
/// fail; an empty text would be refused by [`read`].
pub(crate) fn write<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}
