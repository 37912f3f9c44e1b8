//! One worker: its heartbeats, what it does with their answers, and its hold.

use super::run::Running;
use super::{Plant, PlantOutput, Timer, WorkerIndex};
use crate::catalog::Catalog;
use crate::clock::WorkerClock;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use streamusher_protocol::heartbeat::{
    FinishedRun, Heartbeat, HeartbeatResponse, Resources, RunningTask, StartCommand, StopCommand,
    WorkerState,
};
use streamusher_protocol::task::{RunEnd, RunId, TaskId};
use streamusher_protocol::Millis;

/// Ends that one heartbeat lists at most.
pub const MOST_ENDS: usize = 500;
/// An answer that takes longer is dropped.
pub const ANSWER_LIMIT_MS: Millis = 1_000;
/// From an end to the heartbeat that tells of it.
pub const AFTER_END_MS: Millis = 50;
/// Between tries where nobody listens.
const REFUSED_RETRY_MS: Millis = 200;

/// What a worker is.
#[derive(Clone, Debug)]
pub struct WorkerKind {
    /// Its service.
    pub service: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its rack, which is one of its labels.
    pub rack: Arc<str>,
    /// All its labels.
    pub labels: Vec<Arc<str>>,
    /// Its room.
    pub capacity: Resources,
    /// Whether it rejects what does not fit.
    pub guards: bool,
    /// Work that it does in a millisecond when it is sound, in milliseconds of work.
    pub speed: f64,
    /// Its steady clock.
    pub clock: WorkerClock,
}

/// How a worker does its work.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Work done in a millisecond; 0 stands still.
    pub speed: f64,
    /// Share of starts that fail.
    pub failing: f64,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            speed: 1.0,
            failing: 0.0,
        }
    }
}

/// A heartbeat whose answer is awaited.
#[derive(Clone, Copy, Debug)]
pub struct Outstanding {
    /// Its sequence.
    pub sequence: u64,
    /// When it was sent.
    pub sent: Millis,
    /// Whether it said that the worker drains.
    pub draining: bool,
}

/// One worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it is.
    pub kind: WorkerKind,
    /// Whether it is up.
    pub up: bool,
    /// Counts its starts.
    pub life: u32,
    /// Its id in this life.
    pub instance: Arc<str>,
    /// How it works.
    pub health: Health,
    /// Whether it takes work.
    pub state: WorkerState,
    /// While it drains: when it leaves.
    pub leaves_at: Option<Millis>,
    /// The highest fencing token seen.
    pub fence: u64,
    /// Until when it holds what runs.
    pub hold_until: Millis,
    /// What runs.
    pub running: BTreeMap<RunId, Running>,
    pub(crate) finished: VecDeque<FinishedRun>,
    pub(crate) ends: u64,
    /// The highest run of each task that was stopped or ended here.
    pub(crate) barred: BTreeMap<TaskId, Barred>,
    pub(crate) outstanding: Option<Outstanding>,
    sequence: u64,
    plan: u64,
    next_heartbeat: Millis,
    ended_meanwhile: bool,
    held: bool,
}

/// The highest run of a task that is not started here any more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Barred {
    pub(crate) run: u32,
    /// It was stopped before it came.
    pub(crate) before_start: bool,
}

/// A worker's id in one of its lives.
pub fn instance_of(index: WorkerIndex, life: u32) -> Arc<str> {
    format!("i-{index:03}-{life}").into()
}

impl Worker {
    /// A worker that is not up yet.
    pub fn new(kind: WorkerKind) -> Worker {
        Worker {
            kind,
            up: false,
            life: 0,
            instance: "".into(),
            health: Health::default(),
            state: WorkerState::Ready,
            leaves_at: None,
            fence: 0,
            hold_until: 0,
            running: BTreeMap::new(),
            finished: VecDeque::new(),
            ends: 0,
            barred: BTreeMap::new(),
            outstanding: None,
            sequence: 0,
            plan: 0,
            next_heartbeat: 0,
            ended_meanwhile: false,
            held: false,
        }
    }

    /// What runs there takes, stops included.
    pub fn used(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |sum, run| {
                sum.saturating_add(&run.resources)
            })
    }

    fn heartbeat(&self, now: Millis, catalog: &Catalog, save_ms: Millis) -> Heartbeat {
        let listed = |(id, run): (&RunId, &Running)| {
            let percent = run.percent(now);
            RunningTask {
                task: id.task.clone(),
                run: id.run,
                checkpoint: run.saved(now, catalog, &id.task, save_ms),
                percent,
            }
        };
        Heartbeat {
            service: self.kind.service.clone(),
            address: "".into(),
            zone: self.kind.zone.clone(),
            version: "v1".into(),
            slots: 8,
            state: self.state,
            warmup_left_ms: 0,
            capacity: self.kind.capacity,
            labels: self.kind.labels.clone(),
            clock_ms: self.kind.clock.read(now),
            sequence: self.sequence,
            remaining_ms: self.leaves_at.map(|at| at.saturating_sub(now)),
            running: self.running.iter().map(listed).collect(),
            finished: self.finished.iter().take(MOST_ENDS).cloned().collect(),
        }
    }
}

impl Plant {
    /// A worker comes up with a new id.
    pub fn start_worker(&mut self, now: Millis, index: WorkerIndex) {
        let kind = self.workers[index].kind.clone();
        let life = self.workers[index].life + 1;
        let instance = instance_of(index, life);
        self.workers[index] = Worker {
            up: true,
            life,
            instance,
            ..Worker::new(kind)
        };
        let at = now + self.random.between(0, 200);
        self.plan_heartbeat(index, at);
    }

    /// A worker is down without a word.
    pub fn crash_worker(&mut self, now: Millis, catalog: &Catalog, index: WorkerIndex) {
        if !self.workers[index].up {
            return;
        }
        let runs: Vec<RunId> = self.workers[index].running.keys().cloned().collect();
        self.workers[index].running.clear();
        self.workers[index].up = false;
        let held_until = self.workers[index].hold_until;
        self.output.push(PlantOutput::Down {
            worker: index,
            held_until,
        });
        for run in runs {
            self.leave_gang(now, catalog, index, &run, RunEnd::LeaseExpired);
        }
    }

    /// A worker will leave after this time.
    pub fn drain_worker(&mut self, now: Millis, index: WorkerIndex, after: Millis) {
        let worker = &mut self.workers[index];
        if !worker.up || worker.state == WorkerState::Draining {
            return;
        }
        worker.state = WorkerState::Draining;
        worker.leaves_at = Some(now + after);
        self.timer(now + after, index, Timer::Leave);
        if self.workers[index].outstanding.is_none() {
            self.plan_heartbeat(index, now);
        } else {
            self.workers[index].ended_meanwhile = true;
        }
    }

    pub(super) fn leave(&mut self, _now: Millis, index: WorkerIndex) {
        let instance = self.workers[index].instance.clone();
        self.output.push(PlantOutput::Deregister {
            worker: index,
            instance,
        });
    }

    pub(super) fn plan_heartbeat(&mut self, index: WorkerIndex, at: Millis) {
        let worker = &mut self.workers[index];
        worker.plan += 1;
        worker.next_heartbeat = at;
        let plan = worker.plan;
        self.timer(at, index, Timer::Heartbeat(plan));
    }

    pub(super) fn heartbeat_due(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        plan: u64,
    ) {
        let save_ms = self.bounds.save_ms;
        let worker = &mut self.workers[index];
        if worker.plan != plan || worker.outstanding.is_some() {
            return;
        }
        worker.sequence += 1;
        worker.ended_meanwhile = false;
        let sequence = worker.sequence;
        let draining = worker.state == WorkerState::Draining;
        worker.outstanding = Some(Outstanding {
            sequence,
            sent: now,
            draining,
        });
        let heartbeat = Box::new(worker.heartbeat(now, catalog, save_ms));
        self.output.push(PlantOutput::Heartbeat {
            worker: index,
            heartbeat,
        });
        let limit = self.workers[index].kind.clock.true_span(ANSWER_LIMIT_MS);
        self.timer(now + limit + 1, index, Timer::AnswerLate(sequence));
    }

    pub(super) fn answer_late(&mut self, now: Millis, index: WorkerIndex, sequence: u64) {
        if self.workers[index]
            .outstanding
            .is_some_and(|out| out.sequence == sequence)
        {
            self.workers[index].outstanding = None;
            self.plan_heartbeat(index, now + AFTER_END_MS);
        }
    }

    /// Nobody listened, or the connection broke.
    pub fn heartbeat_failed(&mut self, now: Millis, index: WorkerIndex, life: u32, sequence: u64) {
        let worker = &mut self.workers[index];
        let awaited = worker
            .outstanding
            .is_some_and(|out| out.sequence == sequence);
        if worker.up && worker.life == life && awaited {
            worker.outstanding = None;
            self.plan_heartbeat(index, now + REFUSED_RETRY_MS);
        }
    }

    /// The answer to a heartbeat has come.
    pub fn answered(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        life: u32,
        sequence: u64,
        answer: &HeartbeatResponse,
    ) {
        let worker = &mut self.workers[index];
        if !worker.up || worker.life != life {
            return;
        }
        let Some(out) = worker.outstanding.filter(|out| out.sequence == sequence) else {
            return;
        };
        worker.outstanding = None;
        if out.draining {
            self.output
                .push(PlantOutput::DrainAcknowledged { worker: index });
        }
        if answer.fence_token >= self.workers[index].fence {
            self.workers[index].fence = answer.fence_token;
            self.obey(now, catalog, index, out.sent, answer);
        }
        self.plan_next(now, index, out.sent, answer.retry_after_ms);
    }

    fn plan_next(
        &mut self,
        now: Millis,
        index: WorkerIndex,
        sent: Millis,
        retry_after: Option<Millis>,
    ) {
        let soon = now + AFTER_END_MS;
        let ordinary = match retry_after {
            Some(wait) => now + wait.max(1),
            None => (sent + self.bounds.heartbeat_ms).max(now + 1),
        };
        let at = if self.workers[index].ended_meanwhile {
            soon.min(ordinary)
        } else {
            ordinary
        };
        self.plan_heartbeat(index, at);
    }

    fn obey(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        sent: Millis,
        answer: &HeartbeatResponse,
    ) {
        if let Some(up_to) = answer.last_seen {
            self.take_note(index, up_to);
        }
        if let Some(hold) = answer.hold_ms {
            self.hold(now, index, sent, hold);
        }
        for StopCommand { task, run } in &answer.stop {
            self.stop(
                now,
                index,
                &RunId {
                    task: task.clone(),
                    run: *run,
                },
            );
        }
        if answer.hold_ms.is_none() || self.workers[index].hold_until <= now {
            return;
        }
        for StartCommand {
            task,
            run,
            spec,
            checkpoint,
        } in &answer.start
        {
            self.start(
                now,
                catalog,
                index,
                RunId {
                    task: task.clone(),
                    run: *run,
                },
                spec,
                checkpoint,
            );
        }
    }

    fn take_note(&mut self, index: WorkerIndex, up_to: u64) {
        let worker = &mut self.workers[index];
        while worker
            .finished
            .front()
            .is_some_and(|end| end.number <= up_to)
        {
            worker.finished.pop_front();
        }
        self.output.push(PlantOutput::Noted {
            worker: index,
            up_to,
        });
    }

    fn hold(&mut self, now: Millis, index: WorkerIndex, sent: Millis, span: Millis) {
        let span = span.min(self.bounds.hold_max_ms);
        let worker = &mut self.workers[index];
        let until = sent + worker.kind.clock.true_span(span);
        if until > worker.hold_until && until > now {
            worker.hold_until = until;
            worker.held = true;
            self.timer(until, index, Timer::Hold);
        }
    }

    pub(super) fn check_hold(&mut self, now: Millis, catalog: &Catalog, index: WorkerIndex) {
        let worker = &mut self.workers[index];
        if !worker.held || worker.hold_until > now {
            return;
        }
        worker.held = false;
        self.output.push(PlantOutput::HoldOver { worker: index });
        let runs: Vec<RunId> = self.workers[index].running.keys().cloned().collect();
        for run in runs {
            self.end(now, catalog, index, &run, RunEnd::LeaseExpired);
        }
    }

    /// An end makes the next heartbeat come soon.
    pub(super) fn hasten_heartbeat(&mut self, now: Millis, index: WorkerIndex) {
        let soon = now + AFTER_END_MS;
        let worker = &mut self.workers[index];
        if worker.outstanding.is_some() {
            worker.ended_meanwhile = true;
        } else if worker.next_heartbeat > soon {
            self.plan_heartbeat(index, soon);
        }
    }
}
