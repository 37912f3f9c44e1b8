//! What is kept of a job: all of it while it is open, then only its final state.

use crate::job::Job;
use std::sync::Arc;
use streamusher_protocol::job::JobState;

/// What is kept of a job.
#[derive(Debug)]
pub(crate) enum JobEntry {
    /// The job has not ended, or runs of it are left.
    Open(Box<Job>),
    /// The job has ended and no run of it is left.
    Ended {
        /// The queue it was submitted to.
        queue: Arc<str>,
        /// Its final state.
        state: JobState,
    },
}

impl JobEntry {
    /// The job's state, as shown to clients.
    pub(crate) fn state(&self) -> JobState {
        match self {
            JobEntry::Open(job) => job.state(),
            JobEntry::Ended { state, .. } => *state,
        }
    }

    /// The queue that the job was submitted to.
    pub(crate) fn queue(&self) -> &Arc<str> {
        match self {
            JobEntry::Open(job) => &job.policy.queue,
            JobEntry::Ended { queue, .. } => queue,
        }
    }
}
