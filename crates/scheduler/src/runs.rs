//! Runs that take room at a worker, from the order to the proven end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::task::{JobId, RunId, TaskId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// How far a run is known to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Ordered; not seen at the worker yet.
    Ordered,
    /// Seen among the worker's running ones.
    Running,
}

/// A run that takes room at a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) worker: WorkerId,
    pub(crate) phase: Phase,
    /// Handed to the worker with the order.
    pub(crate) spec: Arc<str>,
    pub(crate) checkpoint: Arc<str>,
    /// The agent's orders from this revision on do not contain the run any more.
    pub(crate) withdrawn: Option<u64>,
    /// The worker is told to stop it.
    pub(crate) stopping: bool,
    pub(crate) estimated_ms: Millis,
    pub(crate) long_running: bool,
    pub(crate) gang: bool,
    /// A second copy may be started while it goes on, and none was asked for yet.
    pub(crate) hedged: bool,
    /// When it was ordered or, once seen, when it was first seen.
    pub(crate) since: Millis,
    pub(crate) percent: f64,
    /// When `percent` last rose.
    pub(crate) moved_at: Millis,
    /// Reports in a row that should have contained it.
    pub(crate) missing: u8,
}

impl Run {
    /// Expected time until it ends; by what it has done, or by its estimate while that says little.
    pub(crate) fn expected_rest(&self, now: Millis) -> Millis {
        /// Percent from which progress is the better guide.
        const TELLING: f64 = 8.0;
        let ran = now.saturating_sub(self.since);
        if self.percent >= TELLING {
            let rest = ran as f64 * (100.0 - self.percent).max(0.0) / self.percent;
            return rest as Millis;
        }
        self.estimated_ms.saturating_sub(ran)
    }
}

/// All runs, by identifier and by worker.
#[derive(Default)]
pub(crate) struct Runs {
    runs: BTreeMap<RunId, Run>,
    by_worker: BTreeMap<WorkerId, BTreeSet<RunId>>,
}

impl Runs {
    pub(crate) fn insert(&mut self, id: RunId, run: Run) {
        self.by_worker
            .entry(run.worker.clone())
            .or_default()
            .insert(id.clone());
        self.runs.insert(id, run);
    }

    pub(crate) fn get(&self, id: &RunId) -> Option<&Run> {
        self.runs.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &RunId) -> Option<&mut Run> {
        self.runs.get_mut(id)
    }

    pub(crate) fn remove(&mut self, id: &RunId) -> Option<Run> {
        let run = self.runs.remove(id)?;
        if let Some(ids) = self.by_worker.get_mut(&run.worker) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_worker.remove(&run.worker);
            }
        }
        Some(run)
    }

    /// The runs at a worker.
    pub(crate) fn at(&self, worker: &WorkerId) -> impl Iterator<Item = (&RunId, &Run)> {
        let ids = self.by_worker.get(worker).into_iter().flatten();
        ids.filter_map(|id| Some((id, self.runs.get(id)?)))
    }

    /// Identifiers of the runs at a worker.
    pub(crate) fn ids_at(&self, worker: &WorkerId) -> Vec<RunId> {
        self.by_worker
            .get(worker)
            .into_iter()
            .flatten()
            .cloned()
            .collect()
    }

    /// The run of a task at a worker.
    pub(crate) fn of_task(&self, task: &TaskId, worker: &WorkerId) -> Option<RunId> {
        let first = RunId {
            task: task.clone(),
            run: 0,
        };
        let last = RunId {
            task: task.clone(),
            run: u32::MAX,
        };
        self.runs
            .range(first..=last)
            .find(|(_, run)| run.worker == *worker)
            .map(|(id, _)| id.clone())
    }

    /// The runs of a job.
    pub(crate) fn of_job(&self, job: &JobId) -> impl Iterator<Item = (&RunId, &Run)> {
        let task = TaskId {
            job: job.clone(),
            iteration: 0,
            step: 0,
            index: 0,
        };
        let of_job = self.runs.range(RunId { task, run: 0 }..);
        let job = job.clone();
        of_job.take_while(move |(id, _)| id.task.job == job)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = (&RunId, &Run)> {
        self.runs.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }
}
