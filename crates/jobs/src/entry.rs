//! What is kept of a job: all of it, or only how it ended.

use crate::job::Job;
use crate::record::JobRecord;
use std::sync::Arc;
use streamusher_protocol::job::JobState;

/// What is kept of a job.
#[derive(Debug)]
pub(crate) enum Entry {
    /// It has not ended, or runs of it are left.
    Kept(Box<Job>),
    /// It has ended.
    Ended {
        /// The queue it was handed to.
        queue: Arc<str>,
        /// Its final state.
        state: JobState,
    },
}

impl Entry {
    /// The state that clients are shown.
    pub fn state(&self) -> JobState {
        match self {
            Entry::Kept(job) => job.state(),
            Entry::Ended { state, .. } => *state,
        }
    }

    /// The queue that the job was handed to.
    pub fn queue(&self) -> &Arc<str> {
        match self {
            Entry::Kept(job) => &job.terms.queue,
            Entry::Ended { queue, .. } => queue,
        }
    }

    /// The stored form.
    pub fn record(&self) -> JobRecord {
        match self {
            Entry::Kept(job) => job.record(),
            Entry::Ended { queue, state } => JobRecord {
                queue: queue.clone(),
                state: Some(*state),
                open: None,
            },
        }
    }
}
