//! The record of all jobs.

use crate::changes::{AssignedRun, Changes, StartedRun};
use crate::error::{RecordError, SubmitError};
use crate::terms::{QueueTerms, Settings};
use std::sync::Arc;
use streamusher_protocol::job::{JobRequest, JobState};
use streamusher_protocol::task::{JobId, RunEnd, RunId, TaskId};
use streamusher_protocol::unit::{UnitId, WorkerId};
use streamusher_protocol::Now;

/// What became of a job that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It is new.
    New,
    /// Its identifier is known already; nothing changed.
    Known,
}

/// What became of an order to cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// It is cancelled now.
    Now,
    /// It had ended before.
    Already(JobState),
    /// There is no such job.
    Unknown,
}

/// The record of all jobs.
pub struct JobBook {
    settings: Settings,
}

impl JobBook {
    /// An empty record.
    pub fn new(settings: Settings) -> JobBook {
        JobBook { settings }
    }

    /// The record as it was written: `records` are all keys `job/...` and `task/...` of the replicated state, in any
    /// order.
    pub fn recover(
        settings: Settings, _now: Now, records: impl Iterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Result<JobBook, RecordError> {
        let mut records = records;
        if let Some((key, _)) = records.next() {
            return Err(RecordError::Key(key));
        }
        Ok(JobBook::new(settings))
    }

    /// Takes a job, once for each identifier whatever the body.
    pub fn submit(
        &mut self, _now: Now, _id: &JobId, _request: JobRequest, _terms: &QueueTerms,
    ) -> Result<Submitted, SubmitError> {
        Ok(Submitted::Known)
    }

    /// Ends a job at once; its runs are to be stopped.
    pub fn cancel(&mut self, _now: Now, _id: &JobId) -> Cancelled {
        Cancelled::Unknown
    }

    /// A job's state; none if it is not known.
    pub fn status(&self, _id: &JobId) -> Option<JobState> {
        None
    }

    /// The queue that a job was handed to.
    pub fn queue_of(&self, _id: &JobId) -> Option<Arc<str>> {
        None
    }

    /// Jobs of a queue that are pending.
    pub fn waiting(&self, _queue: &str) -> u64 {
        0
    }

    /// Applies a new configuration to all jobs that have not ended. A removed queue's jobs keep their terms.
    pub fn retune(&mut self, _lookup: &dyn Fn(&str) -> Option<QueueTerms>) {}

    /// Releases iterations that are due and pauses that are over; drops jobs that ended long ago.
    pub fn advance(&mut self, _now: Now) {}

    /// When [`JobBook::advance`] has something to do next, as milliseconds from `now`; none if nothing is planned.
    pub fn next_in(&self, _now: Now) -> Option<u64> {
        let _ = self.settings;
        None
    }

    /// Records that a unit was claimed: `on` names a worker for each of its tasks. Nothing is started (and the list
    /// is empty) if the unit does not wait or `on` is not exactly its tasks.
    pub fn begin(&mut self, _now: Now, _unit: &UnitId, _on: &[(TaskId, WorkerId)]) -> Vec<StartedRun> {
        Vec::new()
    }

    /// Records a run's end as its worker listed it. False if the run is not recorded as assigned: nothing changed.
    pub fn ended(&mut self, _now: Now, _run: &RunId, _how: RunEnd, _checkpoint: &str) -> bool {
        false
    }

    /// Records that a run is over without a noted end, as its worker is gone or its lease is over.
    pub fn lost(&mut self, _now: Now, _run: &RunId) {}

    /// Records that a run never began and never will.
    pub fn withdrawn(&mut self, _now: Now, _run: &RunId) {}

    /// Records the checkpoint that a run reported while at work.
    pub fn checkpointed(&mut self, _run: &RunId, _checkpoint: &str) {}

    /// Records that a run makes no progress at its worker: the unit avoids that worker from now on.
    pub fn stalled(&mut self, _run: &RunId) {}

    /// Whether a run is assigned and its result wanted.
    pub fn is_current(&self, _run: &RunId) -> bool {
        false
    }

    /// All runs that occupy a worker, for use after a recovery.
    pub fn assigned(&self) -> Vec<AssignedRun> {
        Vec::new()
    }

    /// Takes what changed since the last call.
    pub fn take_changes(&mut self) -> Changes {
        Changes::default()
    }
}
