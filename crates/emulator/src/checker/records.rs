//! Recorded observations of tasks and jobs.

use crate::cast::index_u32;
use crate::workers::effect::WorkerIndex;
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::Millis;

/// A worker in one of its incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WorkerInstance {
    pub(super) worker: WorkerIndex,
    pub(super) incarnation: u32,
}

/// Number under which a worker reports the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EndNumber {
    pub(super) instance: WorkerInstance,
    pub(super) number: u64,
}

/// Position of an end in the record of its task.
#[derive(Clone, Debug)]
pub(super) struct EndPosition {
    pub(super) task: TaskId,
    pub(super) index: usize,
}

/// Start of a run.
#[derive(Clone, Debug)]
pub(super) struct StartRecord {
    pub(super) started_at: Millis,
    pub(super) instance: WorkerInstance,
    pub(super) run: u32,
}

/// End of a run.
#[derive(Clone, Debug)]
pub(super) struct EndRecord {
    pub(super) ended_at: Millis,
    pub(super) run: u32,
    pub(super) outcome: RunEnd,
    pub(super) acknowledged_at: Option<Millis>,
    /// Whether the lease expired before the end was acknowledged; such an end no longer counts.
    pub(super) discarded: bool,
}

/// All observations of a task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskRecord {
    /// Starts of the runs that are in progress.
    pub(super) running: Vec<StartRecord>,
    pub(super) starts: Vec<StartRecord>,
    pub(super) ends: Vec<EndRecord>,
    /// Time until which the lease of a lost worker with a run of this task would have lasted; the loss cannot
    /// be known earlier.
    pub(super) leased_until: Millis,
}

impl TaskRecord {
    /// Whether a run of the task is in progress.
    pub(crate) fn is_running(&self) -> bool {
        !self.running.is_empty()
    }

    /// Time at which the first run of the task was done.
    pub(crate) fn done_at(&self) -> Option<Millis> {
        let done = self.ends.iter().filter(|end| end.outcome == RunEnd::Done);
        done.map(|end| end.ended_at).min()
    }

    pub(super) fn is_done(&self) -> bool {
        self.done_at().is_some()
    }

    /// Number of failed ends before a time that are acknowledged.
    pub(super) fn acknowledged_failures(&self, before: Millis) -> u32 {
        let counts = |end: &&EndRecord| {
            end.outcome == RunEnd::Failed && end.acknowledged_at.is_some() && end.ended_at < before
        };
        index_u32(self.ends.iter().filter(counts).count())
    }

    pub(super) fn failed_runs(&self) -> impl Iterator<Item = u32> + '_ {
        let failed = self.ends.iter().filter(|end| end.outcome == RunEnd::Failed);
        failed.map(|end| end.run)
    }
}

/// Observations of a job by its client.
#[derive(Clone, Debug, Default)]
pub(super) struct JobRecord {
    /// Submission attempts that were not rejected.
    pub(super) open_attempts: u32,
    pub(super) attempts: u32,
    pub(super) accepted_at: Option<Millis>,
    pub(super) cancel_sent_at: Option<Millis>,
    pub(super) cancel_acknowledged_at: Option<Millis>,
    /// Whether the job can never succeed.
    pub(super) cannot_succeed: bool,
    /// State in the latest response to a query of the job.
    pub(super) shown: Option<JobState>,
    /// Time since which no task has run although one could; `Millis::MAX` after this was reported.
    pub(super) idle_since: Option<Millis>,
}

impl JobRecord {
    /// Whether the latest reported state is final.
    pub(super) fn is_shown_final(&self) -> bool {
        self.shown.is_some_and(JobState::is_final)
    }
}
