//! Workers as this primary knows them.
//!
//! Only the agent of a worker that runs something is replicated; a new primary learns all else from agents' reports.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use streamusher_protocol::heartbeat::{Resources, StopCommand, WorkerState};
use streamusher_protocol::internal::WorkerReport;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Superseded workers that are remembered: late reports of them are ignored.
const MAX_SUPERSEDED: usize = 1_000;

/// Whether a worker and its agent are heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Responsiveness {
    /// Both are heard.
    Responsive,
    /// The agent reports that it has not heard the worker for too long.
    WorkerUnresponsive,
    /// The agent has not been heard for too long, or never by this primary.
    AgentUnresponsive,
}

/// A worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The agent that reports it; none while it is known only from a task's record.
    pub(crate) agent: Option<Arc<str>>,
    pub(crate) service: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Resources,
    pub(crate) state: WorkerState,
    /// Sequence number of the newest heartbeat that was reported.
    pub(crate) heartbeat_sequence: u64,
    /// While it drains: the earliest time at which it may leave.
    pub(crate) leaves_at: Option<Millis>,
    /// It has deregistered, or its lease expired without a heartbeat: nothing runs there any more.
    pub(crate) terminated: bool,
    pub(crate) responsiveness: Responsiveness,
    /// Time since its last heartbeat, as of the newest report.
    pub(crate) reported_heartbeat_age_ms: Millis,
    /// Finished runs up to this sequence number are processed.
    pub(crate) last_finished: u64,
    /// From then on nothing runs there, unless its agent calls before.
    pub(crate) lease_expires_at: Millis,
    /// Runs that it reports and that are not, or no longer, active: to be stopped.
    pub(crate) unknown_runs: Vec<StopCommand>,
    /// Whether placement may use it; follows [`Worker::is_schedulable`] with each update of placement.
    pub(crate) schedulable: bool,
}

impl Worker {
    /// A worker of which nothing is known but how long its lease may last.
    pub(crate) fn new(lease_expires_at: Millis) -> Worker {
        Worker {
            agent: None,
            service: "".into(),
            zone: "".into(),
            labels: Vec::new(),
            capacity: Resources::default(),
            state: WorkerState::Ready,
            heartbeat_sequence: 0,
            leaves_at: None,
            terminated: false,
            responsiveness: Responsiveness::Responsive,
            reported_heartbeat_age_ms: 0,
            last_finished: 0,
            lease_expires_at,
            unknown_runs: Vec::new(),
            schedulable: false,
        }
    }

    /// A worker of which the replicated state holds the agent, and whose agent this primary has not heard yet.
    pub(crate) fn recorded(agent: Arc<str>, lease_expires_at: Millis) -> Worker {
        Worker {
            agent: Some(agent),
            responsiveness: Responsiveness::AgentUnresponsive,
            ..Worker::new(lease_expires_at)
        }
    }

    /// Takes over the description in a report. True where placement needs to be updated.
    pub(crate) fn update_description(&mut self, now: Millis, report: &WorkerReport) -> bool {
        let changed = self.service != report.service
            || self.zone != report.zone
            || self.labels != report.labels
            || self.capacity != report.capacity;
        if changed {
            self.service = report.service.clone();
            self.zone = report.zone.clone();
            self.labels.clone_from(&report.labels);
            self.capacity = report.capacity;
        }
        self.state = report.state;
        self.terminated = report.gone;
        self.leaves_at = report
            .remaining_ms
            .map(|remaining_ms| now.saturating_add(remaining_ms));
        changed
    }

    /// Whether it may be given new work.
    pub(crate) fn is_schedulable(&self) -> bool {
        self.agent.is_some()
            && self.responsiveness == Responsiveness::Responsive
            && self.state == WorkerState::Ready
            && !self.terminated
    }
}

/// All known workers, and those that others have superseded on their machines.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: BTreeMap<WorkerId, Worker>,
    /// Oldest first.
    superseded: VecDeque<WorkerId>,
}

impl WorkerTable {
    pub(crate) fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    pub(crate) fn insert(&mut self, id: WorkerId, worker: Worker) {
        self.workers.insert(id, worker);
    }

    /// The worker; a new one with this lease where it is not known.
    pub(crate) fn get_or_insert(&mut self, id: &WorkerId, lease_expires_at: Millis) -> &mut Worker {
        self.workers
            .entry(id.clone())
            .or_insert_with(|| Worker::new(lease_expires_at))
    }

    pub(crate) fn remove(&mut self, id: &WorkerId) {
        self.workers.remove(id);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter()
    }

    /// Identifiers of the workers that a condition holds for, in order.
    pub(crate) fn ids_where(&self, mut condition: impl FnMut(&Worker) -> bool) -> Vec<WorkerId> {
        self.iter()
            .filter(|(_, worker)| condition(worker))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// The agent of a worker.
    pub(crate) fn agent_of(&self, id: &WorkerId) -> Option<&Arc<str>> {
        self.get(id)?.agent.as_ref()
    }

    /// The workers of an agent: its present one, and former ones that it has not reported yet.
    pub(crate) fn ids_of_agent<'a>(
        &'a self,
        agent: &'a Arc<str>,
    ) -> impl Iterator<Item = &'a WorkerId> {
        self.iter()
            .filter(move |(_, worker)| worker.agent.as_ref() == Some(agent))
            .map(|(id, _)| id)
    }

    /// Remembers that another worker has taken a worker's place on its machine.
    pub(crate) fn mark_superseded(&mut self, id: WorkerId) {
        self.superseded.push_back(id);
        if self.superseded.len() > MAX_SUPERSEDED {
            self.superseded.pop_front();
        }
    }

    /// Whether another worker has taken a worker's place.
    pub(crate) fn is_superseded(&self, id: &WorkerId) -> bool {
        self.superseded.contains(id)
    }
}
