//! A simulated worker: its fixed properties and the state of its current incarnation.

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

/// Number of slots in heartbeats. The scheduler places tasks by resources instead.
const SLOTS: u32 = 8;

/// Fixed properties of a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerKind {
    /// Name of the service.
    pub(crate) service: Arc<str>,
    /// Name of the zone.
    pub(crate) zone: Arc<str>,
    /// Name of the rack, which is also one of the labels.
    pub(crate) rack: Arc<str>,
    /// All labels, including the rack.
    pub(crate) labels: Vec<Arc<str>>,
    /// Resource capacity.
    pub(crate) capacity: Resources,
    /// Whether the worker rejects runs that exceed its capacity.
    pub(crate) rejects_overload: bool,
    /// Speed of a healthy worker: milliseconds of work done per millisecond.
    pub(crate) speed: f64,
    /// Monotonic clock of the worker.
    pub(crate) clock: WorkerClock,
}

/// Current performance of a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// Factor on the worker's speed; 0 means no progress.
    pub(crate) speed: f64,
    /// Share of started runs that fail.
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

/// A worker. All fields but `index` and `kind` are reset with each incarnation.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// Index of the worker in the fleet.
    pub(crate) index: WorkerIndex,
    /// Fixed properties.
    pub(crate) kind: WorkerKind,
    /// Whether the worker's process is up.
    pub(crate) up: bool,
    /// Number of the incarnation; incremented with each start.
    pub(crate) incarnation: u32,
    /// Current performance.
    pub(crate) health: Health,
    /// State in heartbeats: whether the worker accepts work.
    pub(crate) state: WorkerState,
    /// Time at which a draining worker leaves; `None` if it does not drain.
    pub(crate) leaves_at: Option<Millis>,
    /// Highest fencing token seen.
    pub(crate) fence: u64,
    /// Current lease.
    pub(crate) lease: WorkerLease,
    /// Runs in progress.
    pub(crate) running: BTreeMap<RunId, ActiveRun>,
    /// Runs that are over.
    pub(crate) history: RunHistory,
    /// Schedule of the heartbeats.
    pub(crate) heartbeats: HeartbeatSchedule,
}

/// Instance id of a worker in an incarnation.
pub(crate) fn instance_id(index: WorkerIndex, incarnation: u32) -> Arc<str> {
    format!("i-{index:03}-{incarnation}").into()
}

impl Worker {
    /// Creates a worker that is not up yet.
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

    /// Returns the worker in its next incarnation: up and without runs.
    pub(crate) fn restarted(&self) -> Worker {
        Worker {
            up: true,
            incarnation: self.incarnation + 1,
            ..Worker::new(self.index, self.kind.clone())
        }
    }

    /// Instance id of the current incarnation.
    pub(crate) fn instance(&self) -> Arc<str> {
        instance_id(self.index, self.incarnation)
    }

    /// Resources of all runs in progress, including runs that are being stopped.
    pub(crate) fn used(&self) -> Resources {
        let running = self.running.values();
        running.fold(Resources::default(), |sum, run| {
            sum.saturating_add(&run.resources)
        })
    }

    /// Whether the free capacity suffices for these resources.
    pub(crate) fn fits(&self, resources: &Resources) -> bool {
        let needed = self.used().saturating_add(resources);
        self.kind.capacity.covers(&needed)
    }

    /// Builds the heartbeat for the current state.
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
