//! The agent's record of its worker: the newest heartbeat, the commands sent since, and whether the worker is
//! gone.

use super::hold;
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{
    FinishedRun, Heartbeat, RunningTask, StartCommand, StopCommand, WorkerState,
};
use streamusher_protocol::internal::WorkerReport;
use streamusher_protocol::task::{RunId, TaskId};
use streamusher_protocol::Millis;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// The worker sends heartbeats.
    Active,
    /// Silent for so long that no run can be executing on the worker. The instance may send heartbeats again.
    Silent,
    /// Deregistered, but the hold has not ended: the worker's process may still be running.
    Leaving,
    /// Deregistered, and no run can be executing on the worker. Only a new instance can follow.
    Departed,
}

/// Whether the primary must receive the contents of a heartbeat immediately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    Immediate,
    /// Reported with the next sync: only progress and checkpoints have changed.
    NextSync,
}

/// One instance of the worker.
///
/// Invariants:
/// - `lease_until` is not after the end of the lease that the primary counts for this instance: it is extended
///   only by responses to syncs that reported this instance.
/// - `hold_until` is not before the end of any hold that a response to this instance has granted, counted by
///   the slowest clock, as long as the worker may be using that hold.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) instance: Arc<str>,
    /// The newest heartbeat; the agent received it at `received_at`.
    pub(super) heartbeat: Heartbeat,
    pub(super) received_at: Millis,
    /// End of the instance's lease on the agent's clock; 0 before the first.
    lease_until: Millis,
    /// Time after which no run can be executing on the worker.
    hold_until: Millis,
    /// Latest end of a hold that an earlier process of this agent may have granted. A heartbeat without runs
    /// does not end such a hold: it may have been sent before that process answered a later one.
    earlier_hold_until: Millis,
    /// Runs whose start commands were sent since the newest heartbeat was received.
    offered: Vec<RunId>,
    /// Stop commands that were sent and are still in force.
    sent_stops: BTreeSet<StopCommand>,
    presence: Presence,
}

impl Worker {
    /// Creates a worker from its first heartbeat. `earlier_hold_until` is the latest end of a hold granted
    /// before this agent's restart.
    pub(super) fn new(
        instance: Arc<str>,
        heartbeat: Heartbeat,
        now: Millis,
        earlier_hold_until: Millis,
    ) -> Worker {
        Worker {
            instance,
            heartbeat,
            received_at: now,
            lease_until: 0,
            hold_until: earlier_hold_until.max(now),
            earlier_hold_until,
            offered: Vec::new(),
            sent_stops: BTreeSet::new(),
            presence: Presence::Active,
        }
    }

    /// Creates a worker of which only the instance id is known and on which no run can be executing any more.
    pub(super) fn new_silent(instance: Arc<str>, now: Millis) -> Worker {
        let mut worker = Worker::new(instance, Heartbeat::default(), now, now);
        worker.presence = Presence::Silent;
        worker
    }

    /// Creates a worker of which only the deregistration has been received. `earlier_hold_until` is the
    /// latest end of a hold granted before this agent's restart.
    pub(super) fn new_leaving(
        instance: Arc<str>,
        now: Millis,
        earlier_hold_until: Millis,
    ) -> Worker {
        let mut worker = Worker::new(instance, Heartbeat::default(), now, earlier_hold_until);
        worker.presence = Presence::Leaving;
        worker
    }

    /// Records a newer heartbeat of the same instance; returns how soon the primary must receive it.
    pub(super) fn on_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> Urgency {
        let is_urgent = self.is_gone()
            || !self.offered.is_empty()
            || has_significant_change(&self.heartbeat, &heartbeat);
        if heartbeat.running.is_empty() {
            // Nothing is running, and start commands in earlier responses of this process arrive too late: the
            // holds granted with them are unused.
            self.hold_until = if cfg!(feature = "mutant-earlier-holds") {
                now
            } else {
                self.earlier_hold_until.max(now)
            };
        }
        self.offered.clear();
        self.presence = Presence::Active;
        self.received_at = now;
        self.heartbeat = heartbeat;
        if is_urgent {
            Urgency::Immediate
        } else {
            Urgency::NextSync
        }
    }

    /// Whether the worker accepts new runs.
    pub(super) fn is_ready(&self) -> bool {
        self.heartbeat.state == WorkerState::Ready && self.presence == Presence::Active
    }

    /// Whether the newest heartbeat reports that the worker is ready and has no runs.
    pub(super) fn is_idle(&self) -> bool {
        self.heartbeat.state == WorkerState::Ready && self.heartbeat.running.is_empty()
    }

    pub(super) fn is_draining(&self) -> bool {
        self.heartbeat.state == WorkerState::Draining
    }

    /// Whether no run can be executing on the worker any more.
    pub(super) fn is_gone(&self) -> bool {
        matches!(self.presence, Presence::Silent | Presence::Departed)
    }

    pub(super) fn has_deregistered(&self) -> bool {
        matches!(self.presence, Presence::Leaving | Presence::Departed)
    }

    /// Records the deregistration. It is unknown when the worker's process ends: runs that are executing or
    /// offered may continue until the hold ends.
    pub(super) fn on_deregister(&mut self, now: Millis) {
        let has_runs = !self.heartbeat.running.is_empty() || !self.offered.is_empty();
        let may_run = has_runs || now < self.hold_until;
        self.presence = if may_run {
            Presence::Leaving
        } else {
            Presence::Departed
        };
    }

    /// Whether a start command must still be sent.
    pub(super) fn needs_start(&self, command: &StartCommand) -> bool {
        let StartCommand { task, run, .. } = command;
        !self.is_running(task, *run) && !self.has_finished(task, *run)
    }

    /// Whether a stop command must still be sent: until the run is no longer executing, and once if it never
    /// was, so that the worker rejects a start command that is in transit.
    pub(super) fn needs_stop(&self, command: &StopCommand) -> bool {
        let StopCommand { task, run } = command;
        let is_unsent = !self.sent_stops.contains(command) && !self.has_finished(task, *run);
        is_unsent || self.is_running(task, *run)
    }

    fn is_running(&self, task: &TaskId, run: u32) -> bool {
        self.heartbeat
            .running
            .iter()
            .any(|running| running.run == run && running.task == *task)
    }

    fn has_finished(&self, task: &TaskId, run: u32) -> bool {
        self.heartbeat
            .finished
            .iter()
            .any(|finished| finished.run == run && finished.task == *task)
    }

    /// Records the commands that a response to the newest heartbeat carries.
    pub(super) fn on_commands_sent(&mut self, starts: &[StartCommand], stops: &[StopCommand]) {
        let offered = starts.iter().map(|command| RunId {
            task: command.task.clone(),
            run: command.run,
        });
        self.offered.extend(offered);
        self.sent_stops.extend(stops.iter().cloned());
    }

    /// Discards the sent stop commands that are no longer in force.
    pub(super) fn retain_sent_stops(&mut self, in_force: &[StopCommand]) {
        if !self.sent_stops.is_empty() {
            self.sent_stops.retain(|command| in_force.contains(command));
        }
    }

    /// End of the instance's lease on the agent's clock.
    pub(super) fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// Records a lease that the primary has granted for this instance.
    pub(super) fn on_lease_granted(&mut self, lease_until: Millis) {
        self.lease_until = self.lease_until.max(lease_until);
    }

    /// Records the hold that a response to the newest heartbeat grants.
    pub(super) fn on_hold_granted(&mut self, hold_ms: Millis) {
        let ends_at = self
            .received_at
            .saturating_add(hold::max_duration_ms(hold_ms));
        self.hold_until = self.hold_until.max(ends_at);
    }

    /// Runs whose start commands were sent since the newest heartbeat was received.
    pub(super) fn offered(&self) -> &[RunId] {
        &self.offered
    }

    /// Time at which the worker counts as gone unless it sends another heartbeat; `None` if it already counts
    /// as gone.
    pub(super) fn gone_at(&self, heartbeat_ms: Millis) -> Option<Millis> {
        let silence_timeout_ms = hold::silence_timeout_ms(heartbeat_ms);
        let silent_at = self.received_at.saturating_add(silence_timeout_ms);
        match self.presence {
            Presence::Active => Some(self.hold_until.max(silent_at).saturating_add(1)),
            Presence::Leaving => Some(self.hold_until.saturating_add(1)),
            Presence::Silent | Presence::Departed => None,
        }
    }

    /// Marks the worker as gone once the time of [`Worker::gone_at`] is reached: no run can be executing on
    /// it, and responses that it has not received arrive too late.
    pub(super) fn on_gone(&mut self) {
        self.offered.clear();
        self.presence = if self.has_deregistered() {
            Presence::Departed
        } else {
            Presence::Silent
        };
    }

    /// The worker's state as a sync reports it.
    pub(super) fn report(&self, now: Millis) -> WorkerReport {
        let heartbeat = &self.heartbeat;
        let state = if self.has_deregistered() {
            WorkerState::Draining
        } else {
            heartbeat.state
        };
        WorkerReport {
            instance: Arc::clone(&self.instance),
            sequence: heartbeat.sequence,
            service: Arc::clone(&heartbeat.service),
            zone: Arc::clone(&heartbeat.zone),
            capacity: heartbeat.capacity,
            labels: heartbeat.labels.clone(),
            state,
            remaining_ms: heartbeat.remaining_ms,
            gone: self.is_gone(),
            silent_ms: now.saturating_sub(self.received_at),
            running: heartbeat.running.clone(),
            finished: heartbeat.finished.clone(),
            offered: self.offered.clone(),
        }
    }
}

/// Whether two heartbeats differ in more than progress and checkpoints.
fn has_significant_change(former: &Heartbeat, current: &Heartbeat) -> bool {
    former.state != current.state
        || former.capacity != current.capacity
        || former.labels != current.labels
        || former.service != current.service
        || newest_finished_number(&current.finished) > newest_finished_number(&former.finished)
        || !are_same_runs(&former.running, &current.running)
}

fn newest_finished_number(finished: &[FinishedRun]) -> u64 {
    finished.iter().map(|run| run.number).max().unwrap_or(0)
}

fn are_same_runs(former: &[RunningTask], current: &[RunningTask]) -> bool {
    let is_same =
        |one: &RunningTask, other: &RunningTask| one.run == other.run && one.task == other.task;
    if former.len() != current.len() {
        return false;
    }
    // Both are usually in the same order, which one pass confirms.
    let mut pairs = former.iter().zip(current);
    if pairs.all(|(one, other)| is_same(one, other)) {
        return true;
    }
    former
        .iter()
        .all(|one| current.iter().any(|other| is_same(one, other)))
}
