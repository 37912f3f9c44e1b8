//! One worker: what it is, and its state in its present incarnation.

use super::effect::WorkerIndex;
use super::heartbeat::HeartbeatSchedule;
use super::lease::WorkerLease;
use super::run::ActiveRun;
use super::run_history::RunHistory;
use crate::clock::WorkerClock;
use crate::submitted_jobs::SubmittedJobs;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{Heartbeat, Resources, RunningTask, WorkerState};
use streamusher_protocol::task::RunId;
use streamusher_protocol::Millis;

/// Slots that heartbeats name; the scheduler goes by resources.
const SLOTS: u32 = 8;

/// What a worker is.
#[derive(Clone, Debug)]
pub(crate) struct WorkerKind {
    /// Its service.
    pub(crate) service: Arc<str>,
    /// Its zone.
    pub(crate) zone: Arc<str>,
    /// Its rack, which is one of its labels.
    pub(crate) rack: Arc<str>,
    /// All its labels.
    pub(crate) labels: Vec<Arc<str>>,
    /// Its resources.
    pub(crate) capacity: Resources,
    /// Whether it rejects runs that exceed its capacity.
    pub(crate) rejects_overload: bool,
    /// Work that it does in a millisecond while it is sound, in milliseconds of work.
    pub(crate) speed: f64,
    /// Its steady clock.
    pub(crate) clock: WorkerClock,
}

/// How well a worker does its work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// Factor on its speed; 0 makes no progress.
    pub(crate) speed: f64,
    /// Share of the starts that fail.
    pub(crate) failure_rate: f64,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            speed: 1.0,
            failure_rate: 0.0,
        }
    }
}

/// One worker. Everything but `index` and `kind` begins anew with each incarnation.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// Its place among the workers of the fleet.
    pub(crate) index: WorkerIndex,
    /// What it is.
    pub(crate) kind: WorkerKind,
    /// Whether it is up.
    pub(crate) up: bool,
    /// Counts its starts.
    pub(crate) incarnation: u32,
    /// How it works.
    pub(crate) health: Health,
    /// Whether it takes work.
    pub(crate) state: WorkerState,
    /// While it drains: when it leaves.
    pub(crate) leaves_at: Option<Millis>,
    /// The highest fencing token seen.
    pub(crate) fence: u64,
    /// Its lease.
    pub(crate) lease: WorkerLease,
    /// What runs.
    pub(crate) running: BTreeMap<RunId, ActiveRun>,
    /// What has run.
    pub(crate) history: RunHistory,
    /// Its heartbeats.
    pub(crate) heartbeats: HeartbeatSchedule,
}

/// A worker's id in one of its incarnations.
pub(crate) fn instance_id(index: WorkerIndex, incarnation: u32) -> Arc<str> {
    format!("i-{index:03}-{incarnation}").into()
}

impl Worker {
    /// A worker that is not up yet.
    pub(crate) fn new(index: WorkerIndex, kind: WorkerKind) -> Worker {
        Worker {
            index,
            kind,
            up: false,
            incarnation: 0,
            health: Health::default(),
            state: WorkerState::Ready,
            leaves_at: None,
            fence: 0,
            lease: WorkerLease::default(),
            running: BTreeMap::new(),
            history: RunHistory::default(),
            heartbeats: HeartbeatSchedule::default(),
        }
    }

    /// The same worker in its next incarnation, up and empty.
    pub(crate) fn restarted(&self) -> Worker {
        Worker {
            up: true,
            incarnation: self.incarnation + 1,
            ..Worker::new(self.index, self.kind.clone())
        }
    }

    /// Its id in this incarnation.
    pub(crate) fn instance(&self) -> Arc<str> {
        instance_id(self.index, self.incarnation)
    }

    /// Resources of all runs there, those that are being stopped included.
    pub(crate) fn used(&self) -> Resources {
        let running = self.running.values();
        running.fold(Resources::default(), |sum, run| {
            sum.saturating_add(&run.resources)
        })
    }

    /// Whether a run of these resources fits beside what runs there.
    pub(crate) fn fits(&self, resources: &Resources) -> bool {
        let needed = self.used().saturating_add(resources);
        self.kind.capacity.covers(&needed)
    }

    /// The heartbeat that it would send now.
    pub(crate) fn heartbeat(
        &self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        save_ms: Millis,
    ) -> Heartbeat {
        let report = |(id, run): (&RunId, &ActiveRun)| {
            let checkpoint = run.last_checkpoint(now, submitted_jobs, &id.task, save_ms);
            RunningTask {
                task: id.task.clone(),
                run: id.run,
                checkpoint,
                percent: run.percent(now),
            }
        };
        Heartbeat {
            service: self.kind.service.clone(),
            address: "".into(),
            zone: self.kind.zone.clone(),
            version: "v1".into(),
            slots: SLOTS,
            state: self.state,
            warmup_left_ms: 0,
            capacity: self.kind.capacity,
            labels: self.kind.labels.clone(),
            clock_ms: self.kind.clock.read(now),
            sequence: self.heartbeats.sequence(),
            remaining_ms: self
                .leaves_at
                .map(|leaves_at| leaves_at.saturating_sub(now)),
            running: self.running.iter().map(report).collect(),
            finished: self.history.reported(),
        }
    }
}
