//! Stored records of jobs and tasks: JSON under the keys `job/ID` and `task/ID.ITERATION.STEP.INDEX` of the
//! replicated state.
//!
//! The keys and the field names are the same in every version, because a new primary may read records that a
//! former version wrote.

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

/// Record of a job.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// Name of the queue's route.
    pub(crate) queue: Arc<str>,
    /// Final state; absent until the job ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) state: Option<JobState>,
    /// State that is needed to continue the job; absent once the job has ended and none of its runs is
    /// assigned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) open: Option<OpenJobRecord>,
}

/// State that is needed to continue a job. The fields of the policy are those of
/// [`QueuePolicy`](crate::QueuePolicy).
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OpenJobRecord {
    /// Service whose workers run the tasks, as in the queue's policy.
    pub(crate) service: Arc<str>,
    /// Priority in the queue's policy; 0 is the highest.
    pub(crate) priority: u32,
    /// Number of failed attempts that fails the job, as in the queue's policy.
    pub(crate) max_attempts: u32,
    /// Factor of the queue's latency objective on the work. Always finite, because JSON cannot represent
    /// infinity and NaN.
    pub(crate) stretch: f64,
    /// Constant part of the queue's latency objective, in milliseconds.
    pub(crate) target_latency_ms: Millis,
    /// Time of the submission, in milliseconds since 1970.
    #[serde(rename = "submitted_ms")]
    pub(crate) submitted_unix_ms: Millis,
    /// All iterations before this one are finished.
    #[serde(rename = "done_below", default, skip_serializing_if = "is_zero")]
    pub(crate) finished_below: u32,
    /// Finished iterations from `finished_below` on.
    #[serde(rename = "done_above", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) finished_above: Vec<u32>,
    pub(crate) request: JobRequest,
}

/// Record of a task. The state of a gang is stored in the record of its first task.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    /// Number of the newest run.
    pub(crate) run: u32,
    /// Worker to which the newest run is assigned; absent once that run is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) worker: Option<WorkerId>,
    /// The newest run is being stopped; its result is ignored.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) stopping: bool,
    /// The task's unit is done.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) done: bool,
    /// Number of failed attempts of the unit.
    #[serde(rename = "failed", default, skip_serializing_if = "is_zero")]
    pub(crate) failed_attempts: u32,
    /// The newest run that was counted as a failed attempt.
    #[serde(rename = "counted", default, skip_serializing_if = "is_zero")]
    pub(crate) last_failed_run: u32,
    /// Newest checkpoint of the unit; empty if there is none.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub(crate) checkpoint: Arc<str>,
    /// Checkpoint from which the newest run was started, if it is not the newest checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) started_from: Option<Arc<str>>,
    /// Time at which the newest run was assigned, in milliseconds since 1970; 0 once that run is over, or if
    /// a former version did not record the time.
    #[serde(rename = "since_ms", default, skip_serializing_if = "is_zero")]
    pub(crate) assigned_unix_ms: Millis,
    /// Workers to avoid, the newest last.
    #[serde(rename = "avoid", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) avoided_workers: Vec<WorkerId>,
    /// Earlier run of a hedged task that continues beside the newest one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) earlier: Option<RunAssignment>,
}

/// Parsed key of a record.
pub(crate) enum RecordKey {
    /// Key of a job's record.
    Job(JobId),
    /// Key of a task's record.
    Task(TaskId),
}

impl RecordKey {
    /// Parses the key of a record.
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

/// Key of a job's record.
pub(crate) fn job_key(job: &JobId) -> Arc<str> {
    format!("{JOB_PREFIX}{job}").into()
}

/// Key of a task's record.
pub(crate) fn task_key(task: &TaskId) -> Arc<str> {
    format!("{TASK_PREFIX}{task}").into()
}

pub(crate) fn decode<T: DeserializeOwned>(value: &str) -> Result<T, InvalidRecord> {
    Ok(serde_json::from_str(value)?)
}

#[expect(
    clippy::expect_used,
    reason = "JSON encoding fails only for maps with keys other than strings, and the records of this module have none"
)]
pub(crate) fn encode<T: Serialize>(value: &T) -> Arc<str> {
    serde_json::to_string(value)
        .expect("a record can be encoded as JSON")
        .into()
}

/// Whether a value is the default of its type, which is left out of records.
pub(crate) fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
