//! Sessions of agents: their deferred requests, and the commands that each agent should hold.
//!
//! None of this is replicated. Each primary numbers an agent's command revisions from the beginning; the
//! epoch distinguishes them from the revisions of other primaries.

use crate::event::RequestId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::heartbeat::{StartCommand, StopCommand};
use streamusher_protocol::internal::{AgentCommands, AgentSync};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Whether a sync renewed the lease that the primary counts for the worker that it reports. Only the response
/// to such a sync grants a lease: the agent extends runs until the granted lease ends, and the primary starts
/// them elsewhere once the counted one has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseRenewal {
    Renewed,
    NotRenewed,
}

/// An agent's request that is deferred until new commands exist or its deadline expires.
#[derive(Debug)]
pub(crate) struct DeferredSync {
    pub(crate) request: RequestId,
    pub(crate) deadline: Millis,
    pub(crate) renewal: LeaseRenewal,
}

/// The content of an agent's commands. Each change of the content gets a new revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct CommandSet {
    pub(crate) worker: Option<WorkerId>,
    /// All finished runs up to this sequence number have been processed.
    pub(crate) last_finished: u64,
    pub(crate) start: Vec<StartCommand>,
    pub(crate) stop: Vec<StopCommand>,
}

/// What this primary knows about an agent.
#[derive(Debug, Default)]
pub(crate) struct AgentSession {
    /// Identifies one start of the agent's process.
    boot: u64,
    /// First revision issued after the current agent process called. An agent that confirms it is not an
    /// earlier process.
    first_revision: u64,
    /// Sequence number of the newest request from the current agent process.
    sequence: u64,
    /// The worker that the agent reports, or that the replicated state records for it.
    pub(crate) worker: Option<WorkerId>,
    pub(crate) last_sync_at: Millis,
    deferred: Option<DeferredSync>,
    revision: u64,
    commands: CommandSet,
    /// Newest revision that the agent is known to hold.
    confirmed_revision: u64,
    /// Whether the commands must be recomputed.
    commands_stale: bool,
}

impl AgentSession {
    /// Whether a newer request from the same agent process has already been processed.
    pub(crate) fn is_outdated(&self, sync: &AgentSync) -> bool {
        self.boot == sync.boot && sync.sequence <= self.sequence
    }

    /// Records a request that is not outdated. `epoch` is the epoch of this primary.
    pub(crate) fn on_sync(&mut self, now: Millis, epoch: u64, sync: &AgentSync) {
        if self.boot != sync.boot {
            self.restart(sync.boot);
        }
        self.sequence = sync.sequence;
        self.last_sync_at = now;
        self.confirmed_revision = if sync.epoch == epoch {
            sync.revision
        } else {
            0
        };
    }

    /// Resets the session for a new agent process. Only the worker and the revision counter are kept.
    fn restart(&mut self, boot: u64) {
        let worker = self.worker.take();
        let first_revision = self.revision + 1;
        *self = AgentSession {
            boot,
            first_revision,
            revision: first_revision,
            worker,
            commands_stale: true,
            ..AgentSession::default()
        };
    }

    /// Sets the worker that the commands are for.
    pub(crate) fn assign_worker(&mut self, worker: WorkerId) {
        self.worker = Some(worker);
        self.commands_stale = true;
    }

    /// Whether the newest request is known to come from the current agent process. A request of an earlier
    /// process may arrive late.
    pub(crate) fn is_confirmed_by_current_process(&self) -> bool {
        self.confirmed_revision >= self.first_revision
    }

    pub(crate) fn confirmed_revision(&self) -> u64 {
        self.confirmed_revision
    }

    /// Revision that the next change of the commands gets.
    pub(crate) fn next_revision(&self) -> u64 {
        self.revision + 1
    }
}

/// All agents that have called this primary.
pub(crate) struct AgentTable {
    epoch: u64,
    lease_ms: Millis,
    sessions: BTreeMap<Arc<str>, AgentSession>,
    /// Agents that have called, or whose commands became stale, since deferred requests were last answered.
    unreviewed: BTreeSet<Arc<str>>,
    /// Deadlines of deferred requests. May still contain deadlines of requests that have been answered since.
    deadlines: BTreeSet<(Millis, Arc<str>)>,
}

impl AgentTable {
    /// Creates a table without agents. All commands carry this epoch and lease duration.
    pub(crate) fn new(epoch: u64, lease_ms: Millis) -> AgentTable {
        AgentTable {
            epoch,
            lease_ms,
            sessions: BTreeMap::new(),
            unreviewed: BTreeSet::new(),
            deadlines: BTreeSet::new(),
        }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&AgentSession> {
        self.sessions.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut AgentSession> {
        self.sessions.get_mut(name)
    }

    pub(crate) fn get_or_insert(&mut self, name: &Arc<str>) -> &mut AgentSession {
        self.sessions.entry(name.clone()).or_default()
    }

    /// Defers a request until its deadline.
    pub(crate) fn defer(&mut self, name: &Arc<str>, deferred: DeferredSync) {
        self.deadlines.insert((deferred.deadline, name.clone()));
        self.unreviewed.insert(name.clone());
        self.get_or_insert(name).deferred = Some(deferred);
    }

    /// Takes an agent's deferred request, whether or not its deadline has expired.
    pub(crate) fn take_deferred(&mut self, name: &str) -> Option<DeferredSync> {
        self.sessions.get_mut(name)?.deferred.take()
    }

    /// Takes an agent's deferred request if its deadline has expired or the agent lacks the newest commands.
    pub(crate) fn take_due_request(&mut self, now: Millis, name: &str) -> Option<DeferredSync> {
        let session = self.sessions.get_mut(name)?;
        let has_new_commands = session.confirmed_revision < session.revision;
        session
            .deferred
            .take_if(|deferred| has_new_commands || deferred.deadline <= now)
    }

    /// Drops a deferred request whose caller has disconnected.
    pub(crate) fn drop_deferred(&mut self, request: RequestId) {
        for session in self.sessions.values_mut() {
            session
                .deferred
                .take_if(|deferred| deferred.request == request);
        }
    }

    /// Takes the names of the agents whose deferred request may be due, in order.
    pub(crate) fn take_unreviewed(&mut self, now: Millis) -> BTreeSet<Arc<str>> {
        let mut names = std::mem::take(&mut self.unreviewed);
        while let Some((deadline, name)) = self.deadlines.pop_first() {
            if deadline > now {
                self.deadlines.insert((deadline, name));
                break;
            }
            names.insert(name);
        }
        names
    }

    /// Marks an agent's commands as stale, so that they are recomputed.
    pub(crate) fn invalidate_commands(&mut self, name: &Arc<str>) {
        if let Some(session) = self.sessions.get_mut(name) {
            session.commands_stale = true;
            self.unreviewed.insert(name.clone());
        }
    }

    /// Returns the agent's session if its commands are stale.
    pub(crate) fn get_if_stale(&self, name: &str) -> Option<&AgentSession> {
        self.get(name).filter(|session| session.commands_stale)
    }

    /// Sets an agent's commands. Changed commands, and the first ones, get a new revision.
    pub(crate) fn set_commands(&mut self, name: &str, commands: CommandSet) {
        let Some(session) = self.sessions.get_mut(name) else {
            return;
        };
        session.commands_stale = false;
        if session.commands != commands || session.revision == 0 {
            session.commands = commands;
            session.revision += 1;
        }
    }

    /// Returns an agent's current commands in their wire form, as the response to a sync.
    pub(crate) fn commands(&self, name: &str, renewal: LeaseRenewal) -> Option<AgentCommands> {
        let session = self.get(name)?;
        let commands = &session.commands;
        let lease_ms = match renewal {
            LeaseRenewal::Renewed => self.lease_ms,
            LeaseRenewal::NotRenewed if cfg!(feature = "mutant-uncounted-lease") => self.lease_ms,
            LeaseRenewal::NotRenewed => 0,
        };
        Some(AgentCommands {
            epoch: self.epoch,
            revision: session.revision,
            lease_ms,
            instance: commands.worker.clone(),
            last_seen: commands.last_finished,
            start: commands.start.clone(),
            stop: commands.stop.clone(),
            view: None,
        })
    }
}
