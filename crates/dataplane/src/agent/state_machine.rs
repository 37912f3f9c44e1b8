//! The agent's state machine: handles events and returns actions.

use super::commands::{CommandsUpdate, CurrentCommands};
use super::former_instances::FormerInstances;
use super::heartbeat_response::{has_commands, respond, respond_superseded, StartCommands};
use super::sync_schedule::{InFlightSync, SyncSchedule};
use super::worker::{Urgency, Worker};
use super::{hold, AgentAction, AgentEvent, AgentSettings, AgentStatus};
use std::sync::Arc;
use streamusher_protocol::heartbeat::Heartbeat;
use streamusher_protocol::internal::{AgentCommands, AgentSync};
use streamusher_protocol::Millis;

/// How long an idle worker's heartbeat waits for commands. Together with the network delay both ways, this
/// stays within the second for which the worker waits.
const LONG_POLL_MS: Millis = 650;

/// How long the primary may hold a sync. It determines how often checkpoints are reported and how soon an
/// unresponsive primary is detected.
const SYNC_HOLD_MS: Millis = 350;

/// A heartbeat that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct LongPoll {
    request_id: u64,
    deadline: Millis,
}

/// A lease that the primary has granted for one instance of the worker.
struct WorkerLease {
    instance: Arc<str>,
    /// End of the lease on the agent's clock.
    until: Millis,
}

/// The lease that the response to a sync grants. The primary renews its own count of a worker's lease only when
/// it applies a report of this worker: a sync without a worker grants none, nor does one whose report the
/// primary ignored because its commands are for another worker. The lease counts from the time when the sync
/// was sent, which is before the primary received it.
fn granted_lease(answered: &InFlightSync, commands: &AgentCommands) -> Option<WorkerLease> {
    let instance = answered.reported_instance.as_ref()?;
    if commands.instance.as_ref() != Some(instance) {
        return None;
    }
    Some(WorkerLease {
        instance: Arc::clone(instance),
        until: answered.sent_at.saturating_add(commands.lease_ms),
    })
}

/// The state machine of one agent.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    started_at: Millis,
    worker: Option<Worker>,
    former_instances: FormerInstances,
    commands: CurrentCommands,
    syncs: SyncSchedule,
    long_poll: Option<LongPoll>,
}

impl Agent {
    /// Creates an agent that has just started: without lease, commands and worker.
    pub fn new(settings: AgentSettings, now: Millis) -> Agent {
        Agent {
            settings,
            started_at: now,
            worker: None,
            former_instances: FormerInstances::default(),
            commands: CurrentCommands::default(),
            syncs: SyncSchedule::default(),
            long_poll: None,
        }
    }

    /// Handles an event and returns the resulting actions in order of execution. `now` must not decrease
    /// between calls.
    pub fn handle(&mut self, now: Millis, event: AgentEvent) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        match event {
            AgentEvent::Heartbeat {
                request_id,
                instance,
                heartbeat,
            } => self.on_heartbeat(now, request_id, instance, heartbeat, &mut actions),
            AgentEvent::Deregister {
                request_id,
                instance,
            } => self.on_deregister(now, request_id, instance, &mut actions),
            AgentEvent::SyncResponse { sequence, commands } => {
                self.on_sync_response(sequence, commands);
            }
            AgentEvent::SyncFailed { sequence } => self.syncs.on_failed(now, sequence),
            AgentEvent::Tick => {}
        }
        self.detect_gone_worker(now);
        self.finish_long_poll(now, &mut actions);
        self.begin_due_sync(now, &mut actions);
        actions
    }

    /// Time by which [`AgentEvent::Tick`] is needed unless another event occurs first; `None` if no time-out
    /// is pending.
    pub fn next_wakeup(&self) -> Option<Millis> {
        let long_poll = self.long_poll.map(|long_poll| long_poll.deadline);
        [long_poll, self.syncs.next_sync_at(), self.worker_gone_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Answers the long poll without start commands, because the process is about to exit.
    pub fn shut_down(&mut self, now: Millis) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        self.answer_long_poll(now, StartCommands::Withhold, &mut actions);
        actions
    }

    /// The agent's section of the status document.
    pub fn status(&self, now: Millis) -> AgentStatus {
        let worker = self.worker.as_ref();
        AgentStatus {
            name: Arc::clone(&self.settings.name),
            boot: self.settings.boot,
            epoch: self.commands.epoch(),
            revision: self.commands.revision(),
            lease_left_ms: worker.map_or(0, |worker| worker.lease_until().saturating_sub(now)),
            instance: worker.map(|worker| Arc::clone(&worker.instance)),
            gone: worker.is_some_and(Worker::is_gone),
            running: worker.map_or(0, |worker| worker.heartbeat.running.len()),
            offered: worker.map_or(0, |worker| worker.offered().len()),
            syncs_in_flight: self.syncs.in_flight_count(),
            syncs: self.syncs.sent_count(),
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Millis,
        request_id: u64,
        instance: Arc<str>,
        heartbeat: Heartbeat,
        actions: &mut Vec<AgentAction>,
    ) {
        self.supersede_long_poll(actions);
        if self.is_stale(&instance, heartbeat.sequence) {
            let response = respond_superseded(&self.commands);
            actions.push(AgentAction::Respond {
                request_id,
                response,
            });
            return;
        }
        self.update_worker(now, instance, heartbeat);
        let deadline = if self.may_wait(now) {
            now.saturating_add(LONG_POLL_MS)
        } else {
            now
        };
        self.long_poll = Some(LongPoll {
            request_id,
            deadline,
        });
    }

    /// Whether a heartbeat comes from a replaced or deregistered instance, or is not newer than the newest
    /// one received.
    fn is_stale(&self, instance: &Arc<str>, sequence: u64) -> bool {
        if self.former_instances.contains(instance) {
            return true;
        }
        match &self.worker {
            Some(worker) if worker.instance == *instance => {
                worker.has_deregistered() || sequence <= worker.heartbeat.sequence
            }
            _ => false,
        }
    }

    fn update_worker(&mut self, now: Millis, instance: Arc<str>, heartbeat: Heartbeat) {
        let urgency = if let Some(worker) = self.worker_of(&instance) {
            worker.on_heartbeat(now, heartbeat)
        } else {
            let hold_until = self.earlier_hold_until();
            self.replace_worker(Worker::new(instance, heartbeat, now, hold_until));
            Urgency::Immediate
        };
        if urgency == Urgency::Immediate {
            self.syncs.request_sync();
        }
    }

    fn worker_of(&mut self, instance: &Arc<str>) -> Option<&mut Worker> {
        self.worker
            .as_mut()
            .filter(|worker| worker.instance == *instance)
    }

    /// Latest time at which a hold granted before this agent's restart can end.
    fn earlier_hold_until(&self) -> Millis {
        let max_hold_ms = self.settings.max_granted_hold_ms();
        self.started_at
            .saturating_add(hold::max_duration_ms(max_hold_ms))
    }

    fn replace_worker(&mut self, worker: Worker) {
        if let Some(former) = self.worker.replace(worker) {
            self.former_instances.push(former.instance);
        }
    }

    /// Whether the newest heartbeat may wait for commands: the worker is idle, and it has a lease or may soon
    /// be granted one with the commands.
    fn may_wait(&self, now: Millis) -> bool {
        let Some(worker) = &self.worker else {
            return false;
        };
        worker.is_idle() && (worker.lease_until() > now || self.syncs.is_in_contact())
    }

    fn on_deregister(
        &mut self,
        now: Millis,
        request_id: u64,
        instance: Arc<str>,
        actions: &mut Vec<AgentAction>,
    ) {
        actions.push(AgentAction::AcknowledgeDeregistration { request_id });
        if self.former_instances.contains(&instance) {
            return;
        }
        self.supersede_long_poll(actions);
        if let Some(worker) = self.worker_of(&instance) {
            worker.on_deregister(now);
        } else {
            let hold_until = self.earlier_hold_until();
            self.replace_worker(Worker::new_leaving(instance, now, hold_until));
        }
        self.on_worker_leaving();
    }

    /// Drops the start commands and requests a sync: the primary may assign the runs to other workers once it
    /// learns that this worker is leaving or gone.
    fn on_worker_leaving(&mut self) {
        self.commands.drop_starts_before(self.syncs.next_sequence());
        self.syncs.request_sync();
    }

    fn on_sync_response(&mut self, sequence: u64, commands: AgentCommands) {
        let Some(answered) = self.syncs.on_response(sequence) else {
            return;
        };
        let lease = granted_lease(&answered, &commands);
        let update = self.commands.on_response(sequence, commands);
        if update != CommandsUpdate::Fenced {
            self.apply_lease(lease);
        }
        let withdrew_start = CommandsUpdate::Applied {
            withdrew_start: true,
        };
        if update == withdrew_start {
            self.syncs.request_sync();
        }
        if let Some(worker) = &mut self.worker {
            worker.retain_sent_stops(self.commands.stops(&worker.instance));
        }
    }

    /// Applies a lease, unless it is for a worker that another one has replaced since.
    fn apply_lease(&mut self, lease: Option<WorkerLease>) {
        let Some(WorkerLease { instance, until }) = lease else {
            return;
        };
        let worker = if cfg!(feature = "mutant-lease-instance") {
            self.worker.as_mut()
        } else {
            self.worker_of(&instance)
        };
        if let Some(worker) = worker {
            worker.on_lease_granted(until);
        }
    }

    /// Time at which the worker counts as gone unless it sends another heartbeat; `None` if there is no
    /// worker or it already counts as gone.
    fn worker_gone_at(&self) -> Option<Millis> {
        let heartbeat_ms = self.settings.heartbeat_ms;
        if let Some(worker) = &self.worker {
            return worker.gone_at(heartbeat_ms);
        }
        // The primary's commands name a worker that has sent no heartbeat since this agent started.
        self.commands.instance()?;
        let silent_at = self
            .started_at
            .saturating_add(hold::silence_timeout_ms(heartbeat_ms));
        let gone_at = self.earlier_hold_until().max(silent_at);
        Some(gone_at.saturating_add(1))
    }

    fn detect_gone_worker(&mut self, now: Millis) {
        if self.worker_gone_at().is_none_or(|gone_at| now < gone_at) {
            return;
        }
        match (&mut self.worker, self.commands.instance()) {
            (Some(worker), _) => worker.on_gone(),
            (None, Some(instance)) => {
                self.worker = Some(Worker::new_silent(Arc::clone(instance), now));
            }
            (None, None) => return,
        }
        self.on_worker_leaving();
    }

    /// Answers the long poll if its deadline has passed or there are commands for the worker.
    fn finish_long_poll(&mut self, now: Millis, actions: &mut Vec<AgentAction>) {
        let (Some(long_poll), Some(worker)) = (self.long_poll, &self.worker) else {
            return;
        };
        let has_expired = now >= long_poll.deadline;
        if has_expired || has_commands(&self.settings, &self.commands, worker, now) {
            self.answer_long_poll(now, StartCommands::Include, actions);
        }
    }

    fn answer_long_poll(
        &mut self,
        now: Millis,
        start_commands: StartCommands,
        actions: &mut Vec<AgentAction>,
    ) {
        let (Some(long_poll), Some(worker)) = (self.long_poll.take(), &mut self.worker) else {
            return;
        };
        let response = respond(&self.settings, &self.commands, worker, now, start_commands);
        actions.push(AgentAction::Respond {
            request_id: long_poll.request_id,
            response,
        });
    }

    /// Answers the long poll without hold and commands, because a newer request has arrived.
    fn supersede_long_poll(&mut self, actions: &mut Vec<AgentAction>) {
        if let Some(long_poll) = self.long_poll.take() {
            actions.push(AgentAction::Respond {
                request_id: long_poll.request_id,
                response: respond_superseded(&self.commands),
            });
        }
    }

    fn begin_due_sync(&mut self, now: Millis, actions: &mut Vec<AgentAction>) {
        if self.syncs.next_sync_at().is_none_or(|due_at| now < due_at) {
            return;
        }
        let reported_instance = self
            .worker
            .as_ref()
            .map(|worker| Arc::clone(&worker.instance));
        let sequence = self.syncs.begin(now, reported_instance);
        actions.push(AgentAction::SendSync(AgentSync {
            agent: Arc::clone(&self.settings.name),
            boot: self.settings.boot,
            sequence,
            epoch: self.commands.epoch(),
            revision: self.commands.revision(),
            wait_ms: SYNC_HOLD_MS,
            worker: self.worker.as_ref().map(|worker| worker.report(now)),
        }));
    }
}
