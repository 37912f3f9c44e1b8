//! What the agent knows of its worker.

use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{
    FinishedRun, Heartbeat, RunningTask, StartCommand, StopCommand, WorkerState,
};
use streamusher_protocol::internal::WorkerReport;
use streamusher_protocol::task::{RunId, TaskId};
use streamusher_protocol::Millis;

/// A worker's steady clock may run 2% slow: what it holds lasts so much longer, in thousandths.
const SLOW_CLOCK_THOUSANDTHS: Millis = 980;

/// Added to the end of a hold before the worker counts as gone.
const GONE_SLACK_MS: Millis = 50;

/// Halves of `heartbeat_ms` without a heartbeat before a worker may be called gone.
const SILENT_HALF_HEARTBEATS: Millis = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It calls.
    Here,
    /// It has not called for so long that nothing can run there.
    Silent,
    /// It has deregistered, and runs there may be held for a while yet: its process may end later.
    Leaving,
    /// It has deregistered, and nothing can run there; only a new instance comes after it.
    Departed,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) instance: Arc<str>,
    pub(super) heartbeat: Heartbeat,
    pub(super) received_at: Millis,
    /// After this nothing that it was granted is held any more.
    hold_over_at: Millis,
    offered: Vec<RunId>,
    stops_told: BTreeSet<StopCommand>,
    presence: Presence,
}

impl Worker {
    /// A worker whose first heartbeat has come. An earlier start of this agent may have granted it a hold.
    pub(super) fn new(
        instance: Arc<str>,
        heartbeat: Heartbeat,
        now: Millis,
        earlier_hold_over_at: Millis,
    ) -> Worker {
        let hold_over_at = if heartbeat.running.is_empty() {
            now
        } else {
            earlier_hold_over_at.max(now)
        };
        Worker {
            instance,
            heartbeat,
            received_at: now,
            hold_over_at,
            offered: Vec::new(),
            stops_told: BTreeSet::new(),
            presence: Presence::Here,
        }
    }

    /// A worker of which only the id is known, and that nothing runs there any more.
    pub(super) fn only_gone(instance: Arc<str>, now: Millis) -> Worker {
        let mut worker = Worker::new(instance, Heartbeat::default(), now, now);
        worker.presence = Presence::Silent;
        worker
    }

    /// A worker of which only its deregistration was heard; an earlier start of this agent may have granted it a hold.
    pub(super) fn only_leaving(instance: Arc<str>, now: Millis, hold_over_at: Millis) -> Worker {
        let mut worker = Worker::new(instance, Heartbeat::default(), now, now);
        worker.presence = Presence::Leaving;
        worker.hold_over_at = hold_over_at;
        worker
    }

    /// Takes a newer heartbeat. Whether it tells what the primary must hear at once.
    pub(super) fn take(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        let news =
            self.is_gone() || !self.offered.is_empty() || tells_news(&self.heartbeat, &heartbeat);
        if heartbeat.running.is_empty() {
            // Nothing runs, and what earlier answers ordered can no longer begin: the holds they granted are without use.
            self.hold_over_at = now;
        }
        self.offered.clear();
        self.presence = Presence::Here;
        self.received_at = now;
        self.heartbeat = heartbeat;
        news
    }

    pub(super) fn is_ready(&self) -> bool {
        self.heartbeat.state == WorkerState::Ready && self.presence == Presence::Here
    }

    pub(super) fn is_draining(&self) -> bool {
        self.heartbeat.state == WorkerState::Draining
    }

    pub(super) fn is_gone(&self) -> bool {
        matches!(self.presence, Presence::Silent | Presence::Departed)
    }

    /// Whether it has deregistered.
    pub(super) fn has_deregistered(&self) -> bool {
        matches!(self.presence, Presence::Leaving | Presence::Departed)
    }

    /// It deregisters. Runs at work there, or offered, are held until their hold is over: it is not known when the
    /// worker ends.
    pub(super) fn deregister(&mut self) {
        let holds = !self.heartbeat.running.is_empty() || !self.offered.is_empty();
        self.presence = if holds {
            Presence::Leaving
        } else {
            Presence::Departed
        };
    }

    pub(super) fn is_running(&self, task: &TaskId, run: u32) -> bool {
        self.heartbeat
            .running
            .iter()
            .any(|at_work| at_work.run == run && at_work.task == *task)
    }

    pub(super) fn has_finished(&self, task: &TaskId, run: u32) -> bool {
        self.heartbeat
            .finished
            .iter()
            .any(|ended| ended.run == run && ended.task == *task)
    }

    /// Whether a start is still to be handed on.
    pub(super) fn wants_start(&self, start: &StartCommand) -> bool {
        !self.is_running(&start.task, start.run) && !self.has_finished(&start.task, start.run)
    }

    /// Whether a stop is still to be handed on: until the run is no longer at work, and once if it never was, so that
    /// a start that is under way is rejected.
    pub(super) fn wants_stop(&self, stop: &StopCommand) -> bool {
        let untold = !self.stops_told.contains(stop) && !self.has_finished(&stop.task, stop.run);
        untold || self.is_running(&stop.task, stop.run)
    }

    /// Notes that an answer hands these on.
    pub(super) fn note_orders(&mut self, starts: &[StartCommand], stops: &[StopCommand]) {
        let offered = starts.iter().map(|start| RunId {
            task: start.task.clone(),
            run: start.run,
        });
        self.offered.extend(offered);
        self.stops_told.extend(stops.iter().cloned());
    }

    /// Forgets which stops were told among those that are no longer ordered.
    pub(super) fn keep_stops_told(&mut self, ordered: &[StopCommand]) {
        if !self.stops_told.is_empty() {
            self.stops_told.retain(|stop| ordered.contains(stop));
        }
    }

    /// Notes a hold that an answer to the newest heartbeat grants.
    pub(super) fn note_hold(&mut self, hold_ms: Millis) {
        let longest = longest_hold(hold_ms);
        self.hold_over_at = self
            .hold_over_at
            .max(self.received_at.saturating_add(longest));
    }

    pub(super) fn offered(&self) -> &[RunId] {
        &self.offered
    }

    /// When it is called gone if it stays silent; none if that is settled.
    pub(super) fn silent_at(&self, heartbeat_ms: Millis) -> Option<Millis> {
        let missed = self.received_at.saturating_add(silence(heartbeat_ms));
        match self.presence {
            Presence::Here => Some(self.hold_over_at.max(missed).saturating_add(1)),
            Presence::Leaving => Some(self.hold_over_at.saturating_add(1)),
            Presence::Silent | Presence::Departed => None,
        }
    }

    /// Nothing is held there any more, and answers that it has not had are too late.
    pub(super) fn note_silent(&mut self) {
        self.offered.clear();
        self.presence = if self.has_deregistered() {
            Presence::Departed
        } else {
            Presence::Silent
        };
    }

    pub(super) fn report(&self, now: Millis) -> WorkerReport {
        let heartbeat = &self.heartbeat;
        WorkerReport {
            instance: Arc::clone(&self.instance),
            sequence: heartbeat.sequence,
            service: Arc::clone(&heartbeat.service),
            zone: Arc::clone(&heartbeat.zone),
            capacity: heartbeat.capacity,
            labels: heartbeat.labels.clone(),
            state: if self.has_deregistered() {
                WorkerState::Draining
            } else {
                heartbeat.state
            },
            remaining_ms: heartbeat.remaining_ms,
            gone: self.is_gone(),
            silent_ms: now.saturating_sub(self.received_at),
            running: heartbeat.running.clone(),
            finished: heartbeat.finished.clone(),
            offered: self.offered.clone(),
        }
    }
}

/// How long a hold may last on the agent's clock, with slack.
pub(super) fn longest_hold(hold_ms: Millis) -> Millis {
    hold_ms
        .saturating_mul(1_000)
        .div_ceil(SLOW_CLOCK_THOUSANDTHS)
        .saturating_add(GONE_SLACK_MS)
}

/// How long a worker must have been silent before it may be called gone.
pub(super) fn silence(heartbeat_ms: Millis) -> Millis {
    heartbeat_ms.saturating_mul(SILENT_HALF_HEARTBEATS) / 2
}

/// Whether the change must be told at once: all but progress and checkpoints.
fn tells_news(before: &Heartbeat, after: &Heartbeat) -> bool {
    before.state != after.state
        || before.capacity != after.capacity
        || before.labels != after.labels
        || before.service != after.service
        || newest_end(&after.finished) > newest_end(&before.finished)
        || !same_runs(&before.running, &after.running)
}

fn newest_end(finished: &[FinishedRun]) -> u64 {
    finished.iter().map(|ended| ended.number).max().unwrap_or(0)
}

fn same_runs(before: &[RunningTask], after: &[RunningTask]) -> bool {
    let same =
        |one: &RunningTask, other: &RunningTask| one.run == other.run && one.task == other.task;
    if before.len() != after.len() {
        return false;
    }
    let in_order = before
        .iter()
        .zip(after)
        .all(|(one, other)| same(one, other));
    in_order
        || before
            .iter()
            .all(|one| after.iter().any(|other| same(one, other)))
}
