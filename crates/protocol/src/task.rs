//! Identifiers of jobs, tasks and runs, and how a run ends.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Hexadecimal digits of a job's identifier.
pub const JOB_ID_DIGITS: usize = 16;

/// Why a text is not an identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is not a job's identifier.
    #[error("job id {0:?} is not {JOB_ID_DIGITS} hexadecimal digits: send the id that the client chose, in lower case")]
    Job(String),
    /// The text is not a task's identifier.
    #[error("task name {0:?} is not ID.TIME.STEP.INDEX")]
    Task(String),
}

/// A job's identifier, chosen by the client: 16 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(Arc<str>);

impl JobId {
    /// The identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<JobId, IdError> {
        let is_hexadecimal = text.bytes().all(|b| b.is_ascii_hexdigit());
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

/// One task of one iteration of a job; on the wire `ID.ITERATION.STEP.INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which iteration of the job, from 0.
    pub iteration: u32,
    /// Which step, from 0.
    pub step: u32,
    /// Which task of the step, from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<TaskId, IdError> {
        let bad = || IdError::Task(text.chars().take(80).collect());
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(bad)?.parse()?;
        let mut number = || {
            parts
                .next()
                .and_then(|p| p.parse::<u32>().ok())
                .ok_or_else(bad)
        };
        let task = TaskId {
            job,
            iteration: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            Some(_) => Err(bad()),
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

/// One start of a task. All members of a gang carry the same run number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Counts the task's starts, from 1.
    pub run: u32,
}

/// Outcome of a run, as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunEnd {
    /// It succeeded.
    Done,
    /// It failed, through a fault of the task or of the worker; counts as an attempt.
    Failed,
    /// It was stopped by a command.
    Stopped,
    /// The worker's lease expired.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[serde(rename = "broken")]
    GangBroken,
    /// The other members of its gang did not start in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// The worker rejected it; it was not started.
    #[serde(rename = "refused")]
    Rejected,
}

macro_rules! as_text {
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

as_text!(JobId);
as_text!(TaskId);
