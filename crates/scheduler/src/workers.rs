//! Workers and the agents beside them, as the primary knows them. Nothing here is replicated: a new primary hears it anew.

use crate::event::RequestId;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{Resources, StartCommand, StopCommand, WorkerState};
use streamusher_protocol::internal::{AgentSync, WorkerReport};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// A worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The agent that reports it; none while only the replicated state tells of it.
    pub(crate) agent: Option<Arc<str>>,
    pub(crate) service: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) capacity: Resources,
    pub(crate) state: WorkerState,
    /// The newest heartbeat that was reported.
    pub(crate) sequence: u64,
    /// While it drains: when it may be gone.
    pub(crate) leaves_at: Option<Millis>,
    /// It has deregistered, or its holds are over.
    pub(crate) gone: bool,
    /// It has not called its agent for too long to be given work.
    pub(crate) silent: bool,
    /// For how long it had not called its agent at the newest report.
    pub(crate) silent_ms: Millis,
    /// Its agent has not been heard for too long, or not by this primary.
    pub(crate) agent_silent: bool,
    /// Ends up to this number are taken note of.
    pub(crate) last_seen: u64,
    /// By then nothing runs there unless the agent calls again.
    pub(crate) lease_until: Millis,
    /// Runs that it lists and that nobody ordered, or that are over for us: to be stopped.
    pub(crate) strays: Vec<StopCommand>,
    /// Whether placement was told that it takes work.
    pub(crate) open: bool,
}

impl Worker {
    pub(crate) fn new(lease_until: Millis) -> Worker {
        Worker {
            agent: None,
            service: "".into(),
            zone: "".into(),
            labels: Vec::new(),
            capacity: Resources::default(),
            state: WorkerState::Ready,
            sequence: 0,
            leaves_at: None,
            gone: false,
            silent: false,
            silent_ms: 0,
            agent_silent: false,
            last_seen: 0,
            lease_until,
            strays: Vec::new(),
            open: false,
        }
    }

    /// Takes over what a report says of the worker itself. True where placement must hear of it.
    pub(crate) fn describe(&mut self, now: Millis, report: &WorkerReport) -> bool {
        let changed = self.service != report.service
            || self.zone != report.zone
            || self.labels != report.labels
            || self.capacity != report.capacity;
        if changed {
            self.service = report.service.clone();
            self.zone = report.zone.clone();
            self.labels = report.labels.clone();
            self.capacity = report.capacity;
        }
        self.state = report.state;
        self.gone = report.gone;
        self.leaves_at = report.remaining_ms.map(|rest| now.saturating_add(rest));
        changed
    }

    /// Whether it may be given new work.
    pub(crate) fn takes_work(&self) -> bool {
        let is_heard = self.agent.is_some() && !self.agent_silent;
        is_heard && self.state == WorkerState::Ready && !self.gone && !self.silent
    }
}

/// An agent's call that waits for orders.
#[derive(Debug)]
pub(crate) struct Parked {
    pub(crate) request: RequestId,
    pub(crate) until: Millis,
}

/// What an agent's orders contain; a change gives them a new revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Content {
    pub(crate) instance: Option<WorkerId>,
    pub(crate) last_seen: u64,
    pub(crate) start: Vec<StartCommand>,
    pub(crate) stop: Vec<StopCommand>,
}

/// An agent.
#[derive(Debug, Default)]
pub(crate) struct Agent {
    pub(crate) boot: u64,
    /// The first revision that was made since this start of it called: who confirms that is not an earlier start.
    first_revision: u64,
    pub(crate) sequence: u64,
    pub(crate) worker: Option<WorkerId>,
    pub(crate) heard_at: Millis,
    pub(crate) parked: Option<Parked>,
    pub(crate) revision: u64,
    pub(crate) content: Content,
    /// The newest revision that the agent is known to hold.
    pub(crate) confirmed: u64,
    /// Its orders must be made anew.
    pub(crate) dirty: bool,
}

impl Agent {
    /// Whether a call was overtaken by a newer one.
    pub(crate) fn is_late(&self, sync: &AgentSync) -> bool {
        self.boot == sync.boot && sync.sequence <= self.sequence
    }

    /// A call of another start has come: of what was known only the worker and the count of orders stay.
    pub(crate) fn restart(&mut self, boot: u64) {
        let worker = self.worker.take();
        let first_revision = self.revision + 1;
        *self = Agent {
            boot,
            first_revision,
            revision: first_revision,
            worker,
            dirty: true,
            ..Agent::default()
        };
    }

    /// Whether the newest call came from the start that is at work now: one of an earlier start may come late.
    pub(crate) fn is_at_work(&self) -> bool {
        self.confirmed >= self.first_revision
    }
}
