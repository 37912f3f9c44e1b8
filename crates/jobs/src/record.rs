//! Stored forms of jobs and tasks: JSON under `job/ID` and `task/ID.ITERATION.STEP.INDEX` in the replicated state.
//!
//! Their keys and field names are those of every version: a new primary may read what a former version wrote.

use crate::error::{InvalidRecord, RecordError};
use crate::run_assignment::RunAssignment;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::job::{JobRequest, JobState};
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

const JOB_PREFIX: &str = "job/";
const TASK_PREFIX: &str = "task/";

/// A job's record.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// Name of the queue's route.
    pub(crate) queue: Arc<str>,
    /// The final state, once the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) state: Option<JobState>,
    /// All that is needed to go on; there until the job has ended and no run of it is left.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) open: Option<OpenJobRecord>,
}

/// What is needed to go on with a job. The policy's fields are those of [`QueuePolicy`](crate::QueuePolicy).
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OpenJobRecord {
    /// From the queue's policy.
    pub(crate) service: Arc<str>,
    /// From the queue's policy.
    pub(crate) priority: u32,
    /// From the queue's policy.
    pub(crate) max_attempts: u32,
    /// From the queue's policy; finite, as JSON holds no other numbers.
    pub(crate) stretch: f64,
    /// From the queue's policy.
    pub(crate) target_latency_ms: Millis,
    /// When the job was submitted, since 1970.
    #[serde(rename = "submitted_ms")]
    pub(crate) submitted_unix_ms: Millis,
    /// All iterations before this one are finished.
    #[serde(rename = "done_below", default, skip_serializing_if = "is_zero")]
    pub(crate) finished_below: u32,
    /// Later iterations that are finished.
    #[serde(rename = "done_above", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) finished_above: Vec<u32>,
    /// The request.
    pub(crate) request: JobRequest,
}

/// A task's record. The state of a gang is in the record of its first task.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    /// Number of the newest run.
    pub(crate) run: u32,
    /// Worker that this run is assigned to, until it is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) worker: Option<WorkerId>,
    /// Its result is not wanted any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) stopping: bool,
    /// The unit is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) done: bool,
    /// Failed attempts of the unit.
    #[serde(rename = "failed", default, skip_serializing_if = "is_zero")]
    pub(crate) failed_attempts: u32,
    /// The newest run that counted as a failed attempt.
    #[serde(rename = "counted", default, skip_serializing_if = "is_zero")]
    pub(crate) last_failed_run: u32,
    /// The newest checkpoint.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub(crate) checkpoint: Arc<str>,
    /// Checkpoint that the newest run was started with, where that is not the newest one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) started_from: Option<Arc<str>>,
    /// When the newest run was assigned, in milliseconds since 1970, until it is over; 0 where a former version did not
    /// record it.
    #[serde(rename = "since_ms", default, skip_serializing_if = "is_zero")]
    pub(crate) assigned_unix_ms: Millis,
    /// Workers to avoid, the newest last.
    #[serde(rename = "avoid", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) avoided_workers: Vec<WorkerId>,
    /// Of a hedged task: a run that goes on beside the newest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) earlier: Option<RunAssignment>,
}

/// What the key of a record names.
pub(crate) enum RecordKey {
    /// A job.
    Job(JobId),
    /// A task.
    Task(TaskId),
}

impl RecordKey {
    /// Parses a key.
    pub(crate) fn parse(key: &Arc<str>) -> Result<RecordKey, RecordError> {
        let job = key.strip_prefix(JOB_PREFIX).and_then(|id| id.parse().ok());
        if let Some(job) = job {
            return Ok(RecordKey::Job(job));
        }
        let task = key.strip_prefix(TASK_PREFIX).and_then(|id| id.parse().ok());
        task.map(RecordKey::Task)
            .ok_or_else(|| RecordError::InvalidKey(key.clone()))
    }
}

/// The key of a job's record.
pub(crate) fn job_key(job: &JobId) -> Arc<str> {
    format!("{JOB_PREFIX}{job}").into()
}

/// The key of a task's record.
pub(crate) fn task_key(task: &TaskId) -> Arc<str> {
    format!("{TASK_PREFIX}{task}").into()
}

/// Decodes the value of a record.
pub(crate) fn decode<T: DeserializeOwned>(value: &str) -> Result<T, InvalidRecord> {
    Ok(serde_json::from_str(value)?)
}

/// Encodes the value of a record.
#[expect(
    clippy::expect_used,
    reason = "JSON encoding fails only on maps with keys that are no text, and the forms of this module have none"
)]
pub(crate) fn encode<T: Serialize>(value: &T) -> Arc<str> {
    serde_json::to_string(value)
        .expect("a record can be encoded as JSON")
        .into()
}

/// Whether a number is left out of a record.
pub(crate) fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
