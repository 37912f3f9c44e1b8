//! The entry points: events in, decisions out.

use crate::types::{Decision, Held, Release, Settings, WorkerInfo, WorkerStatus};
use std::collections::{BTreeMap, HashMap};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::{StepId, Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// Decides which worker runs which unit.
#[derive(Debug)]
pub struct Placement {
    _settings: Settings,
    workers: BTreeMap<WorkerId, Worker>,
    waiting: BTreeMap<(u32, u64, UnitId), Unit>,
    keys: HashMap<UnitId, (u32, u64)>,
}

#[derive(Debug)]
struct Worker {
    info: WorkerInfo,
    used: Resources,
    runs: BTreeMap<TaskId, Held>,
}

impl Worker {
    fn bears(&self, unit: &Unit, step: &StepId) -> bool {
        let free = self.info.capacity.minus(&self.used);
        let same = self.runs.values().filter(|held| &held.unit.step == step).count();
        self.info.open
            && self.info.service == unit.service
            && unit.node_selector.as_ref().is_none_or(|label| self.info.labels.contains(label))
            && (unit.anti_affinity == 0 || same < unit.anti_affinity as usize)
            && free.covers(&unit.resources)
    }
}

impl Placement {
    /// An empty placement.
    pub fn new(settings: Settings) -> Placement {
        Placement {
            _settings: settings,
            workers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            keys: HashMap::new(),
        }
    }

    /// A worker is new, or what it says of itself has changed.
    pub fn worker(&mut self, _now: Millis, info: WorkerInfo) {
        let id = info.id.clone();
        match self.workers.get_mut(&id) {
            Some(worker) => worker.info = info,
            None => {
                let worker = Worker { info, used: Resources::default(), runs: BTreeMap::new() };
                self.workers.insert(id, worker);
            }
        }
    }

    /// A worker is gone, with all that took room there.
    pub fn worker_gone(&mut self, _now: Millis, id: &WorkerId) {
        self.workers.remove(id);
    }

    /// A run is known to take room at a worker. `place` does this itself for what it starts.
    pub fn occupy(&mut self, _now: Millis, task: &TaskId, worker: &WorkerId, held: Held) {
        let Some(found) = self.workers.get_mut(worker) else { return };
        if found.runs.contains_key(task) {
            return;
        }
        found.used = found.used.plus(&held.resources);
        found.runs.insert(task.clone(), held);
    }

    /// A run gives its room back.
    pub fn release(&mut self, _now: Millis, task: &TaskId, worker: &WorkerId, _how: Release) {
        let Some(found) = self.workers.get_mut(worker) else { return };
        let Some(held) = found.runs.remove(task) else { return };
        found.used = found.used.minus(&held.resources);
    }

    /// A run was told to stop: it still takes its room, and is never preempted again.
    pub fn stopping(&mut self, _task: &TaskId, _worker: &WorkerId) {}

    /// A run has done this share of its work.
    pub fn progress(&mut self, _now: Millis, _task: &TaskId, _worker: &WorkerId, _percent: f64) {}

    /// A unit's turn has come. The same unit again replaces what was known of it.
    pub fn enqueue(&mut self, _now: Millis, unit: Unit) {
        self.withdraw(&unit.id);
        self.keys.insert(unit.id.clone(), (unit.priority, unit.order));
        self.waiting.insert((unit.priority, unit.order, unit.id.clone()), unit);
    }

    /// A unit is no longer to be started.
    pub fn withdraw(&mut self, unit: &UnitId) {
        if let Some((priority, order)) = self.keys.remove(unit) {
            self.waiting.remove(&(priority, order, unit.clone()));
        }
    }

    /// What can be started or preempted now. Cheap when nothing has changed.
    pub fn place(&mut self, now: Millis) -> Vec<Decision> {
        let units: Vec<Unit> = self.waiting.values().cloned().collect();
        units.iter().filter_map(|unit| self.start(now, unit)).collect()
    }

    fn start(&mut self, now: Millis, unit: &Unit) -> Option<Decision> {
        let mut on: Vec<(TaskId, WorkerId)> = Vec::new();
        for task in &unit.tasks {
            let found = self.workers.values().find(|worker| worker.bears(unit, &unit.id.step));
            let Some(worker) = found.map(|worker| worker.info.id.clone()) else {
                on.iter().for_each(|(task, worker)| self.release(now, task, worker, Release::Withdrawn));
                return None;
            };
            self.occupy(now, task, &worker, held(unit));
            on.push((task.clone(), worker));
        }
        self.withdraw(&unit.id);
        Some(Decision::Start { unit: unit.id.clone(), on })
    }

    /// How many units wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Every worker, as operators see it.
    pub fn workers(&self) -> impl Iterator<Item = WorkerStatus> + '_ {
        self.workers.values().map(|worker| WorkerStatus {
            info: worker.info.clone(),
            used: worker.used,
            runs: worker.runs.len(),
            queued: 0,
            charge: 0.0,
            slowness: 1.0,
        })
    }
}

fn held(unit: &Unit) -> Held {
    Held {
        unit: unit.id.clone(),
        resources: unit.resources,
        service: unit.service.clone(),
        priority: unit.priority,
        checkpoints: unit.checkpoints,
        long_running: unit.long_running,
        gang: unit.id.index.is_none(),
        estimated_ms: unit.estimated_ms,
    }
}
