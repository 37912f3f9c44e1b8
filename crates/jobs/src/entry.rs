//! Entry of the job store: the full state of an open job, or only the final state of an ended one.

use crate::job::Job;
use std::sync::Arc;
use streamusher_protocol::job::JobState;

/// Stored state of a job.
#[derive(Debug)]
pub(crate) enum JobEntry {
    /// The job has not ended, or runs of it are still assigned.
    Open(Box<Job>),
    /// The job has ended and none of its runs is assigned any more.
    Ended {
        /// Queue to which the job was submitted.
        queue: Arc<str>,
        state: JobState,
    },
}

impl JobEntry {
    pub(crate) fn state(&self) -> JobState {
        match self {
            JobEntry::Open(job) => job.state(),
            JobEntry::Ended { state, .. } => *state,
        }
    }

    pub(crate) fn queue(&self) -> &Arc<str> {
        match self {
            JobEntry::Open(job) => &job.policy.queue,
            JobEntry::Ended { queue, .. } => queue,
        }
    }
}
