//! Workers as this primary knows them.
//!
//! Only the agent of a worker with runs is replicated. A new primary learns everything else from agents'
//! reports.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use streamusher_protocol::heartbeat::{Resources, StopCommand, WorkerState};
use streamusher_protocol::internal::WorkerReport;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Maximum number of superseded workers that are remembered, so that late reports about them are ignored.
const MAX_SUPERSEDED: usize = 1_000;

/// Whether a worker and its agent are responsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Responsiveness {
    /// Both the worker and its agent are responsive.
    Responsive,
    /// The agent reports that the worker has not sent a heartbeat for too long.
    WorkerUnresponsive,
    /// The agent has not called for too long, or has never called this primary.
    AgentUnresponsive,
}

/// What this primary knows about a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Agent that reports the worker; `None` while the worker is known only from a task's record.
    pub(crate) agent: Option<Arc<str>>,
    pub(crate) service: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Resources,
    pub(crate) state: WorkerState,
    /// Sequence number of the newest heartbeat that has been reported.
    pub(crate) heartbeat_sequence: u64,
    /// Earliest time at which a draining worker may leave.
    pub(crate) leaves_at: Option<Millis>,
    /// Whether the worker has deregistered, or its lease has expired without a heartbeat. Nothing runs there
    /// any more.
    pub(crate) terminated: bool,
    pub(crate) responsiveness: Responsiveness,
    /// Time since the worker's last heartbeat, as of the newest report.
    pub(crate) reported_heartbeat_age_ms: Millis,
    /// All finished runs up to this sequence number have been processed.
    pub(crate) last_finished: u64,
    /// Time from which on nothing runs there, unless the agent calls before it.
    pub(crate) lease_expires_at: Millis,
    /// Runs that the worker reports although they are not, or no longer, active. They are to be stopped.
    pub(crate) unknown_runs: Vec<StopCommand>,
    /// Whether placement may use the worker. Set from [`Worker::is_schedulable`] on each update of placement.
    pub(crate) schedulable: bool,
}

impl Worker {
    /// Creates a worker of which only the latest expiry of its lease is known.
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

    /// Creates a worker whose agent is known from the replicated state and has not called this primary yet.
    pub(crate) fn recorded(agent: Arc<str>, lease_expires_at: Millis) -> Worker {
        Worker {
            agent: Some(agent),
            responsiveness: Responsiveness::AgentUnresponsive,
            ..Worker::new(lease_expires_at)
        }
    }

    /// Applies the description in a report. Returns true if placement must be updated.
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

    /// Whether the worker may be assigned new runs.
    pub(crate) fn is_schedulable(&self) -> bool {
        self.agent.is_some()
            && self.responsiveness == Responsiveness::Responsive
            && self.state == WorkerState::Ready
            && !self.terminated
    }
}

/// All known workers, and the workers that have been superseded on their machines.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: BTreeMap<WorkerId, Worker>,
    /// Ordered from the oldest to the newest.
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

    /// Returns the worker, inserting a new one with this lease if it is unknown.
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

    /// Returns the identifiers of the workers that satisfy a condition, in order.
    pub(crate) fn ids_where(&self, mut condition: impl FnMut(&Worker) -> bool) -> Vec<WorkerId> {
        self.iter()
            .filter(|(_, worker)| condition(worker))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the agent of a worker, if one is known.
    pub(crate) fn agent_of(&self, id: &WorkerId) -> Option<&Arc<str>> {
        self.get(id)?.agent.as_ref()
    }

    /// Iterates over the workers of an agent: the current one, and former ones that are not superseded yet.
    pub(crate) fn ids_of_agent<'a>(
        &'a self,
        agent: &'a Arc<str>,
    ) -> impl Iterator<Item = &'a WorkerId> {
        self.iter()
            .filter(move |(_, worker)| worker.agent.as_ref() == Some(agent))
            .map(|(id, _)| id)
    }

    /// Records that another worker has replaced a worker on its machine.
    pub(crate) fn mark_superseded(&mut self, id: WorkerId) {
        self.superseded.push_back(id);
        if self.superseded.len() > MAX_SUPERSEDED {
            self.superseded.pop_front();
        }
    }

    /// Whether another worker has replaced a worker on its machine.
    pub(crate) fn is_superseded(&self, id: &WorkerId) -> bool {
        self.superseded.contains(id)
    }
}
