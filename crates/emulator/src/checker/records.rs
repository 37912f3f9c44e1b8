//! What was observed of tasks and jobs.

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

/// The number under which a worker reports an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EndNumber {
    pub(super) instance: WorkerInstance,
    pub(super) number: u64,
}

/// The place of an end in its task's record.
#[derive(Clone, Debug)]
pub(super) struct EndPosition {
    pub(super) task: TaskId,
    pub(super) index: usize,
}

/// The start of a run.
#[derive(Clone, Debug)]
pub(super) struct StartRecord {
    pub(super) started_at: Millis,
    pub(super) instance: WorkerInstance,
    pub(super) run: u32,
}

/// The end of a run.
#[derive(Clone, Debug)]
pub(super) struct EndRecord {
    pub(super) ended_at: Millis,
    pub(super) run: u32,
    pub(super) outcome: RunEnd,
    pub(super) acknowledged_at: Option<Millis>,
    /// The lease expired before the end was acknowledged: it does not count any more.
    pub(super) void: bool,
}

/// All that was observed of a task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskRecord {
    /// Starts of the runs that go on.
    pub(super) running: Vec<StartRecord>,
    pub(super) starts: Vec<StartRecord>,
    pub(super) ends: Vec<EndRecord>,
    /// A run was lost with its worker, whose lease would have lasted until then: before that nobody can know.
    pub(super) leased_until: Millis,
}

impl TaskRecord {
    /// Whether a run of it goes on.
    pub(crate) fn is_running(&self) -> bool {
        !self.running.is_empty()
    }

    /// When its first run was done.
    pub(crate) fn done_at(&self) -> Option<Millis> {
        let done = self.ends.iter().filter(|end| end.outcome == RunEnd::Done);
        done.map(|end| end.ended_at).min()
    }

    pub(super) fn is_done(&self) -> bool {
        self.done_at().is_some()
    }

    /// How many failed ends before a time are acknowledged.
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

/// What happened to a job, as its client observes it.
#[derive(Clone, Debug, Default)]
pub(super) struct JobRecord {
    /// Attempts to submit it that were not rejected.
    pub(super) open_attempts: u32,
    pub(super) attempts: u32,
    pub(super) accepted_at: Option<Millis>,
    pub(super) cancel_sent_at: Option<Millis>,
    pub(super) cancel_acknowledged_at: Option<Millis>,
    /// It can never succeed.
    pub(super) hopeless: bool,
    /// The state in which it was shown last.
    pub(super) shown: Option<JobState>,
    /// Since when nothing of it has run although something could; `Millis::MAX` once that was reported.
    pub(super) idle_since: Option<Millis>,
}

impl JobRecord {
    /// Whether it was shown in a final state.
    pub(super) fn is_shown_final(&self) -> bool {
        self.shown.is_some_and(JobState::is_final)
    }
}
