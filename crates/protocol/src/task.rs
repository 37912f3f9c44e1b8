//! Identifiers of jobs, tasks and runs, and the outcome of a run.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Number of hexadecimal digits in a job ID.
pub const JOB_ID_DIGITS: usize = 16;

/// Error for a text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is not a valid job ID.
    #[error("job id {0:?} is not {JOB_ID_DIGITS} hexadecimal digits: send the id that the client chose, in lower case")]
    Job(String),
    /// The text is not a valid task ID.
    #[error("task name {0:?} is not ID.TIME.STEP.INDEX")]
    Task(String),
}

/// ID of a job, chosen by the client: 16 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(Arc<str>);

impl JobId {
    /// Returns the job ID as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<JobId, IdError> {
        let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != JOB_ID_DIGITS || !is_hexadecimal {
            return Err(IdError::Job(text.chars().take(40).collect()));
        }
        Ok(JobId(text.into()))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// ID of one task in one iteration of a job. On the wire it is the text `ID.ITERATION.STEP.INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the job's iteration, from 0.
    pub iteration: u32,
    /// Index of the step within the job, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<TaskId, IdError> {
        let invalid_task_id = || IdError::Task(text.chars().take(80).collect());
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(invalid_task_id)?.parse()?;
        let mut next_number = || {
            parts
                .next()
                .and_then(|part| part.parse::<u32>().ok())
                .ok_or_else(invalid_task_id)
        };
        let task = TaskId {
            job,
            iteration: next_number()?,
            step: next_number()?,
            index: next_number()?,
        };
        match parts.next() {
            Some(_) => Err(invalid_task_id()),
            None => Ok(task),
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.iteration, self.step, self.index
        )
    }
}

/// Identifies one start of a task. All members of a gang have the same run number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// The task that is run.
    pub task: TaskId,
    /// Number of the run among the starts of the task, from 1.
    pub run: u32,
}

/// Outcome of a run, as reported by the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunEnd {
    /// The run succeeded.
    Done,
    /// The run failed because of a fault of the task or the worker. It counts as an attempt.
    Failed,
    /// A command stopped the run.
    Stopped,
    /// The worker's lease expired during the run.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// Another member of the gang ended.
    #[serde(rename = "broken")]
    GangBroken,
    /// The other members of the gang did not start in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The worker rejected the run without starting it.
    #[serde(rename = "refused")]
    Rejected,
}

macro_rules! impl_serde_as_text {
    ($name:ty) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$name, D::Error> {
                let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

impl_serde_as_text!(JobId);
impl_serde_as_text!(TaskId);
