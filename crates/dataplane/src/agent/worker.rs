//! What the agent knows of its worker: its newest heartbeat, what it was handed since, and whether it is gone.

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
    /// It sends heartbeats.
    Active,
    /// It has been silent for so long that nothing can run there. It may come back.
    Silent,
    /// It has deregistered, and its hold is not over: its process may end later.
    Leaving,
    /// It has deregistered, and nothing can run there. Only a new instance can follow.
    Departed,
}

/// Whether the primary must learn of a heartbeat at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    Immediate,
    /// With the next sync: only progress and checkpoints have changed.
    NextSync,
}

/// One instance of the worker.
///
/// Invariant: `hold_until` is not before the end of any hold that a response to this instance has granted, counted by the
/// slowest clock, as long as the worker may have used that hold.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) instance: Arc<str>,
    /// The newest heartbeat, and when it was received.
    pub(super) heartbeat: Heartbeat,
    pub(super) received_at: Millis,
    /// After this no run can go on there.
    hold_until: Millis,
    /// Runs whose start commands were sent since the newest heartbeat.
    offered: Vec<RunId>,
    /// Stop commands that were sent and are still in force.
    sent_stops: BTreeSet<StopCommand>,
    presence: Presence,
}

impl Worker {
    /// A worker whose first heartbeat has come. `earlier_hold_until` bounds a hold granted by an earlier start of this agent.
    pub(super) fn new(
        instance: Arc<str>,
        heartbeat: Heartbeat,
        now: Millis,
        earlier_hold_until: Millis,
    ) -> Worker {
        let hold_until = if heartbeat.running.is_empty() {
            now
        } else {
            earlier_hold_until.max(now)
        };
        Worker {
            instance,
            heartbeat,
            received_at: now,
            hold_until,
            offered: Vec::new(),
            sent_stops: BTreeSet::new(),
            presence: Presence::Active,
        }
    }

    /// A worker of which only the instance id is known, and that nothing can run there any more.
    pub(super) fn known_silent(instance: Arc<str>, now: Millis) -> Worker {
        let mut worker = Worker::new(instance, Heartbeat::default(), now, now);
        worker.presence = Presence::Silent;
        worker
    }

    /// A worker of which only its deregistration has come. `earlier_hold_until` bounds a hold granted by an earlier start
    /// of this agent.
    pub(super) fn known_leaving(
        instance: Arc<str>,
        now: Millis,
        earlier_hold_until: Millis,
    ) -> Worker {
        let mut worker = Worker::new(instance, Heartbeat::default(), now, now);
        worker.presence = Presence::Leaving;
        worker.hold_until = earlier_hold_until;
        worker
    }

    /// Takes a newer heartbeat of the same instance.
    pub(super) fn on_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> Urgency {
        let is_urgent = self.is_gone()
            || !self.offered.is_empty()
            || differs_in_substance(&self.heartbeat, &heartbeat);
        if heartbeat.running.is_empty() {
            // Nothing runs, and start commands of earlier responses are too late: holds that they granted are unused.
            self.hold_until = now;
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

    /// Whether it takes new runs.
    pub(super) fn is_ready(&self) -> bool {
        self.heartbeat.state == WorkerState::Ready && self.presence == Presence::Active
    }

    /// Whether its newest heartbeat says that it is ready and runs nothing.
    pub(super) fn is_idle(&self) -> bool {
        self.heartbeat.state == WorkerState::Ready && self.heartbeat.running.is_empty()
    }

    pub(super) fn is_draining(&self) -> bool {
        self.heartbeat.state == WorkerState::Draining
    }

    /// Whether nothing can run there any more.
    pub(super) fn is_gone(&self) -> bool {
        matches!(self.presence, Presence::Silent | Presence::Departed)
    }

    pub(super) fn has_deregistered(&self) -> bool {
        matches!(self.presence, Presence::Leaving | Presence::Departed)
    }

    /// It deregisters. It is not known when its process ends: runs there, or offered, may go on until the hold is over.
    pub(super) fn on_deregister(&mut self) {
        let may_run = !self.heartbeat.running.is_empty() || !self.offered.is_empty();
        self.presence = if may_run {
            Presence::Leaving
        } else {
            Presence::Departed
        };
    }

    /// Whether a start command is still to be sent.
    pub(super) fn needs_start(&self, command: &StartCommand) -> bool {
        let StartCommand { task, run, .. } = command;
        !self.is_running(task, *run) && !self.has_finished(task, *run)
    }

    /// Whether a stop command is still to be sent: until the run is no longer at work, and once if it never was, so that
    /// the worker rejects a start command that is on its way.
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

    /// A response to the newest heartbeat carries these commands.
    pub(super) fn on_commands_sent(&mut self, starts: &[StartCommand], stops: &[StopCommand]) {
        let offered = starts.iter().map(|command| RunId {
            task: command.task.clone(),
            run: command.run,
        });
        self.offered.extend(offered);
        self.sent_stops.extend(stops.iter().cloned());
    }

    /// Forgets the sent stop commands that are not in force any more.
    pub(super) fn retain_sent_stops(&mut self, in_force: &[StopCommand]) {
        if !self.sent_stops.is_empty() {
            self.sent_stops.retain(|command| in_force.contains(command));
        }
    }

    /// A response to the newest heartbeat grants this hold.
    pub(super) fn on_hold_granted(&mut self, hold_ms: Millis) {
        let ends_at = self
            .received_at
            .saturating_add(hold::max_duration_ms(hold_ms));
        self.hold_until = self.hold_until.max(ends_at);
    }

    /// Runs whose start commands were sent since the newest heartbeat.
    pub(super) fn offered(&self) -> &[RunId] {
        &self.offered
    }

    /// When it counts as gone unless it sends another heartbeat; none where it does already.
    pub(super) fn gone_at(&self, heartbeat_ms: Millis) -> Option<Millis> {
        let silence_timeout_ms = hold::silence_timeout_ms(heartbeat_ms);
        let silent_at = self.received_at.saturating_add(silence_timeout_ms);
        match self.presence {
            Presence::Active => Some(self.hold_until.max(silent_at).saturating_add(1)),
            Presence::Leaving => Some(self.hold_until.saturating_add(1)),
            Presence::Silent | Presence::Departed => None,
        }
    }

    /// The time of [`Worker::gone_at`] has come: nothing can run there, and responses that it has not received are too late.
    pub(super) fn on_gone(&mut self) {
        self.offered.clear();
        self.presence = if self.has_deregistered() {
            Presence::Departed
        } else {
            Presence::Silent
        };
    }

    /// What a sync reports of it.
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
fn differs_in_substance(former: &Heartbeat, current: &Heartbeat) -> bool {
    former.state != current.state
        || former.capacity != current.capacity
        || former.labels != current.labels
        || former.service != current.service
        || newest_end(&current.finished) > newest_end(&former.finished)
        || !are_same_runs(&former.running, &current.running)
}

fn newest_end(finished: &[FinishedRun]) -> u64 {
    finished.iter().map(|run| run.number).max().unwrap_or(0)
}

fn are_same_runs(former: &[RunningTask], current: &[RunningTask]) -> bool {
    let is_same =
        |one: &RunningTask, other: &RunningTask| one.run == other.run && one.task == other.task;
    if former.len() != current.len() {
        return false;
    }
    // Usually in the same order, which costs one pass.
    let mut pairs = former.iter().zip(current);
    if pairs.all(|(one, other)| is_same(one, other)) {
        return true;
    }
    former
        .iter()
        .all(|one| current.iter().any(|other| is_same(one, other)))
}
