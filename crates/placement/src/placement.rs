//! The entry points: events in, decisions out.

use crate::amounts::{amounts, dominant_share};
use crate::headroom::Patience;
use crate::key::{Key, Slot};
use crate::learning::Charge;
use crate::policy::Mechanism;
use crate::queue::{Queue, Waiting};
use crate::room::{Worker, Workers};
use crate::run::Run;
use crate::service::Service;
use crate::types::{
    Allocation, Decision, PlacementSettings, ReleaseReason, WorkerInfo, WorkerStatus,
};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::{RunEnd, TaskId};
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// Units looked at again in one call; the others follow in the next.
const MOST_DUE: usize = 64;
/// Units that came since the last call and are looked at in one, most urgent first; a new primary finds all that wait at once,
/// and must not stand still for them.
const MOST_FRESH: usize = 1_000;
/// Searches for room in one call, most urgent first: they cost the most by far.
const MOST_PLANS: usize = 16;
/// Gangs of a service that are tried when room comes free.
const GANGS_TRIED: usize = 8;
/// Loads are filed in steps of a hundredth, up to twice the room: finer or higher ones would change nothing.
const FILED_STEPS: f64 = 100.0;
const HIGHEST_FILED: f64 = 200.0;

/// Decides which worker runs which unit.
///
/// Copies of a unit wait in the queues of several workers. The first worker with room takes the unit, and the
/// other copies are withdrawn in the same step. Room is taken when a start is decided and given back by
/// [`Placement::release`] only, so a worker is never filled beyond its capacity.
#[derive(Debug)]
pub struct Placement {
    pub(crate) settings: PlacementSettings,
    pub(crate) rng: Pcg32,
    pub(crate) workers: Workers,
    pub(crate) services: BTreeMap<Arc<str>, Service>,
    pub(crate) queue: Queue,
    /// Workers whose room or queue has changed.
    pub(crate) dirty: BTreeSet<Slot>,
    /// Units that came since the last call.
    pub(crate) fresh: BTreeSet<Key>,
    /// Services in which room came free.
    freed: BTreeSet<Arc<str>>,
    /// Charges that a former primary has learnt, of workers that were not told of yet.
    inherited: BTreeMap<WorkerId, Charge>,
    /// Searches for room that the present call may still make.
    pub(crate) plans_left: usize,
    /// The latest time that was told.
    now: Millis,
}

impl Placement {
    /// An empty placement.
    pub fn new(settings: PlacementSettings) -> Placement {
        Placement {
            rng: Pcg32::seed_from_u64(settings.random_seed),
            settings,
            workers: Workers::default(),
            services: BTreeMap::new(),
            queue: Queue::default(),
            dirty: BTreeSet::new(),
            fresh: BTreeSet::new(),
            freed: BTreeSet::new(),
            inherited: BTreeMap::new(),
            plans_left: 0,
            now: 0,
        }
    }

    /// A worker is new, or what it says of itself has changed.
    pub fn update_worker(&mut self, now: Millis, info: WorkerInfo) {
        let known = self.workers.slot_of(&info.id);
        let same = |slot| {
            self.workers
                .get(slot)
                .is_some_and(|worker| worker.info == info)
        };
        if known.is_some_and(same) {
            return;
        }
        let slot = match known {
            Some(slot) => slot,
            None => self.workers.add(Worker::new(info.clone())),
        };
        let Some(worker) = self.workers.get_mut(slot) else {
            return;
        };
        if known.is_some() {
            if let Some(service) = self.services.get_mut(&worker.info.service) {
                service.remove(slot, worker);
            }
        }
        worker.info = info;
        worker.filed_load = filed_load(worker);
        self.services
            .entry(worker.info.service.clone())
            .or_default()
            .add(slot, worker);
        self.freed.insert(worker.info.service.clone());
        self.dirty.insert(slot);
        self.apply_inherited(now, slot);
    }

    /// A former primary held this against a worker, in tasks: it counts once the worker is told of, and fades from now on.
    pub fn restore_penalty(&mut self, now: Millis, worker: WorkerId, charge: f64) {
        self.inherited
            .insert(worker, Charge::inherited(now, charge));
    }

    /// What speaks against each worker now, in tasks.
    pub fn penalties(&self, now: Millis) -> impl Iterator<Item = (&WorkerId, f64)> {
        let known = self
            .workers
            .iter()
            .map(move |(_, worker)| (&worker.info.id, worker.charge.at(now)));
        let inherited = self
            .inherited
            .iter()
            .map(move |(id, charge)| (id, charge.at(now)));
        known.chain(inherited)
    }

    fn apply_inherited(&mut self, now: Millis, slot: Slot) {
        let Some(worker) = self.workers.get_mut(slot) else {
            return;
        };
        let Some(charge) = self.inherited.remove(&worker.info.id) else {
            return;
        };
        let change = charge.at(now) - worker.charge.at(now);
        worker.charge = charge;
        if let Some(service) = self.services.get_mut(&worker.info.service) {
            service.change_charges(now, change);
        }
    }

    /// A worker is gone, with all that took room there.
    pub fn remove_worker(&mut self, now: Millis, id: &WorkerId) {
        self.inherited.remove(id);
        let Some(slot) = self.workers.slot_of(id) else {
            return;
        };
        let Some(mut worker) = self.workers.remove(slot) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&worker.info.service) {
            service.remove(slot, &mut worker);
            service.change_charges(now, -worker.charge.at(now));
        }
        self.dirty.remove(&slot);
        worker
            .runs
            .values()
            .for_each(|run| self.note_demand(now, &run.held, run.patience, -1.0));
        for key in &worker.queue {
            if let Some(waiting) = self.queue.get_mut(*key) {
                waiting.copies.retain(|copy| *copy != slot);
            }
        }
        for kept in &worker.reservations {
            if let Some(waiting) = self.queue.get_mut(kept.key) {
                waiting.reserved.retain(|reserved| *reserved != slot);
                waiting.reserved_until = 0;
            }
        }
    }

    /// A run is known to take room at a worker. `place` does this itself for what it starts.
    ///
    /// A worker that is not known yet is kept as one that takes no new work until `worker` tells of it.
    pub fn restore_run(&mut self, now: Millis, task: &TaskId, worker: &WorkerId, held: Allocation) {
        if self.workers.slot_of(worker).is_none() {
            self.update_worker(now, unknown_worker(worker, &held.service));
        }
        let Some(slot) = self.workers.slot_of(worker) else {
            return;
        };
        let Some(found) = self.workers.get_mut(slot) else {
            return;
        };
        let Some(service) = self.services.get_mut(&held.service) else {
            return;
        };
        let patience = service
            .headroom
            .learn_slack(&held.queue, held.priority, held.slack_ms);
        if !found.take(task, Run::new(now, held.clone(), patience)) {
            return;
        }
        self.note_demand(now, &held, patience, 1.0);
        self.refile(slot);
    }

    /// A run gives its room back; how it ended is learnt from.
    pub fn release(&mut self, now: Millis, task: &TaskId, worker: &WorkerId, how: ReleaseReason) {
        let Some(slot) = self.workers.slot_of(worker) else {
            return;
        };
        let Some(found) = self.workers.get_mut(slot) else {
            return;
        };
        let Some(run) = found.give_back(task) else {
            return;
        };
        self.note_demand(now, &run.held, run.patience, -1.0);
        self.learn(now, slot, &run, how);
        self.refile(slot);
        self.dirty.insert(slot);
        self.freed.insert(run.held.service);
    }

    /// A run was told to stop: it still takes its room, and is never preempted again.
    pub fn mark_stopping(&mut self, task: &TaskId, worker: &WorkerId) {
        let Some(slot) = self.workers.slot_of(worker) else {
            return;
        };
        if let Some(found) = self.workers.get_mut(slot) {
            found.stop(task);
        }
    }

    /// A run makes no progress at its worker: others are kept from there at once, before its own end is proven.
    pub fn on_run_stalled(&mut self, now: Millis, worker: &WorkerId) {
        if !self.uses(Mechanism::Penalties) {
            return;
        }
        let Some(slot) = self.workers.slot_of(worker) else {
            return;
        };
        let Some(found) = self.workers.get_mut(slot) else {
            return;
        };
        let change = found.charge.learn_standstill(now);
        if let Some(service) = self.services.get_mut(&found.info.service) {
            service.change_charges(now, change);
        }
    }

    /// A run has done this share of its work, in percent.
    pub fn update_progress(&mut self, now: Millis, task: &TaskId, worker: &WorkerId, percent: f64) {
        let Some(slot) = self.workers.slot_of(worker) else {
            return;
        };
        let Some(found) = self.workers.get_mut(slot) else {
            return;
        };
        let Some(run) = found.runs.get_mut(task) else {
            return;
        };
        let Some(near_ms) = run.progress(now, percent) else {
            return;
        };
        let held = run.held.clone();
        if let Some(service) = self.services.get_mut(&found.info.service) {
            service.learn_speed(now, &held, near_ms, &mut found.speed);
        }
    }

    /// A unit's turn has come. The same unit again replaces what was known of it.
    pub fn enqueue(&mut self, now: Millis, unit: Unit) {
        self.now = self.now.max(now);
        self.withdraw(&unit.id);
        let service = self.services.entry(unit.service.clone()).or_default();
        let patience = service
            .headroom
            .learn_slack(&unit.queue, unit.priority, unit.slack_ms);
        self.note_demand(now, &Allocation::from(&unit), patience, 1.0);
        let gang_of = unit.service.clone();
        let key = self.queue.add(now, unit, patience);
        let is_gang = self.queue.get(key).is_some_and(Waiting::is_gang);
        if let Some(service) = self.services.get_mut(&gang_of).filter(|_| is_gang) {
            service.gangs.insert(key);
        }
        self.fresh.insert(key);
    }

    /// A unit is no longer to be started.
    pub fn withdraw(&mut self, unit: &UnitId) {
        let Some(key) = self.queue.key_of(unit) else {
            return;
        };
        let Some(waiting) = self.drop_waiting(key) else {
            return;
        };
        self.note_demand(
            self.now,
            &Allocation::from(&waiting.unit),
            waiting.patience,
            -1.0,
        );
    }

    /// What can be started or preempted now. Cheap when nothing has changed and nothing is due.
    pub fn place(&mut self, now: Millis) -> Vec<Decision> {
        self.now = self.now.max(now);
        let unchanged = self.fresh.is_empty() && self.dirty.is_empty() && self.freed.is_empty();
        if unchanged && !self.queue.is_due(now) {
            return Vec::new();
        }
        self.services
            .values_mut()
            .for_each(|service| service.settle(now));
        self.plans_left = MOST_PLANS;
        let mut looked_at = self.take_fresh();
        looked_at.extend(self.queue.take_due(now, MOST_DUE));
        let (gangs, singles): (BTreeSet<Key>, BTreeSet<Key>) = looked_at
            .into_iter()
            .partition(|key| self.queue.get(*key).is_some_and(Waiting::is_gang));
        let gangs = self.with_gangs_of_freed(gangs);
        let mut out = Vec::new();
        gangs
            .iter()
            .chain(&singles)
            .for_each(|key| self.note_share(now, *key));
        singles.iter().for_each(|key| self.spread(now, *key));
        for key in gangs {
            self.scan_changed(now, Some(key), &mut out);
            self.try_gang(now, key, &mut out);
        }
        self.scan_changed(now, None, &mut out);
        self.dirty.clear();
        singles
            .into_iter()
            .for_each(|key| self.relieve(now, key, &mut out));
        out
    }

    fn take_fresh(&mut self) -> BTreeSet<Key> {
        let first_left = self.fresh.iter().nth(MOST_FRESH).copied();
        let left = first_left.map_or_else(BTreeSet::new, |key| self.fresh.split_off(&key));
        std::mem::replace(&mut self.fresh, left)
    }

    fn note_share(&mut self, now: Millis, key: Key) {
        let Some(waiting) = self.queue.get(key) else {
            return;
        };
        let Some(service) = self.services.get_mut(&waiting.unit.service) else {
            return;
        };
        let some = service
            .all
            .members
            .first()
            .and_then(|slot| self.workers.get(*slot));
        if let Some(worker) = some {
            let share = dominant_share(&waiting.unit.resources, &worker.info.capacity);
            service.note_share(now, share);
        }
    }

    fn with_gangs_of_freed(&mut self, mut gangs: BTreeSet<Key>) -> BTreeSet<Key> {
        for name in std::mem::take(&mut self.freed) {
            let Some(service) = self.services.get(&name) else {
                continue;
            };
            gangs.extend(service.gangs.iter().take(GANGS_TRIED));
        }
        gangs
    }

    /// How much longer than usual a worker's runs have lately taken; 1 where nothing tells.
    pub fn worker_slowness(&self, now: Millis, worker: &WorkerId) -> f64 {
        let found = self
            .workers
            .slot_of(worker)
            .and_then(|slot| self.workers.get(slot));
        let usual = found.and_then(|worker| self.services.get(&worker.info.service));
        found
            .zip(usual)
            .map_or(1.0, |(worker, usual)| self.slowness_at(now, worker, usual))
    }

    /// How much longer a run at a worker is taken to last than at a usual worker near its data. Whether a run that a former
    /// primary has ordered is away from its data is not known.
    pub fn run_slowness(&self, now: Millis, task: &TaskId, worker: &WorkerId) -> f64 {
        let found = self
            .workers
            .slot_of(worker)
            .and_then(|slot| self.workers.get(slot));
        let far_x = found
            .and_then(|worker| worker.runs.get(task))
            .map_or(1.0, |run| run.far_x);
        far_x * self.worker_slowness(now, worker)
    }

    /// Whether a mechanism is in use.
    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.policy.is_enabled(mechanism)
    }

    /// How many units wait.
    pub fn pending_count(&self) -> usize {
        self.queue.len()
    }

    /// Every worker, as operators see it.
    pub fn workers(&self) -> impl Iterator<Item = WorkerStatus> + '_ {
        self.workers.iter().map(move |(_, worker)| {
            let usual = self
                .services
                .get(&worker.info.service)
                .map(|service| service.speed);
            WorkerStatus {
                info: worker.info.clone(),
                used: worker.used,
                runs: worker.runs.len(),
                queued: worker.queue.len(),
                penalty: worker.charge.at(self.now),
                slowness: usual.map_or(1.0, |usual| worker.speed.slowness(self.now, &usual)),
            }
        })
    }

    /// Takes a unit out of all queues, with the room that is kept for it.
    pub(crate) fn drop_waiting(&mut self, key: Key) -> Option<Waiting> {
        self.withdraw_copies(key);
        self.unreserve(key);
        self.fresh.remove(&key);
        let waiting = self.queue.remove(key)?;
        if let Some(service) = self.services.get_mut(&waiting.unit.service) {
            service.gangs.remove(&key);
        }
        Some(waiting)
    }

    /// Files a worker under its present load, and counts what it holds.
    pub(crate) fn refile(&mut self, slot: Slot) {
        let Some(worker) = self.workers.get_mut(slot) else {
            return;
        };
        let load = filed_load(worker);
        let before = std::mem::replace(&mut worker.filed_load, load);
        let Some(service) = self.services.get_mut(&worker.info.service) else {
            return;
        };
        service.recount(worker);
        if before != load {
            service.file(slot, worker, before);
        }
    }

    fn note_demand(&mut self, now: Millis, held: &Allocation, patience: Patience, sign: f64) {
        if !counts_as_demand(held.gang_member, held.long_running) {
            return;
        }
        if let Some(service) = self.services.get_mut(&held.service) {
            service
                .headroom
                .change(now, patience, amounts(&held.resources), sign);
        }
    }

    fn learn(&mut self, now: Millis, slot: Slot, run: &Run, how: ReleaseReason) {
        let held = &run.held;
        let charges = self.uses(Mechanism::Penalties);
        let Some(worker) = self.workers.get_mut(slot) else {
            return;
        };
        let change = if charges {
            worker.charge.learn(now, how)
        } else {
            0.0
        };
        if let Some(service) = self.services.get_mut(&worker.info.service) {
            service.change_charges(now, change);
        }
        let ReleaseReason::Finished {
            outcome: RunEnd::Done,
            ran_ms,
        } = how
        else {
            return;
        };
        // A run that continued from a checkpoint did not run its whole time.
        let tells_speed = !held.checkpoints && !held.long_running;
        let near_ms = ran_ms.max(1) as f64 / run.far_x;
        let Some(service) = self
            .services
            .get_mut(&held.service)
            .filter(|_| !held.long_running)
        else {
            return;
        };
        if tells_speed {
            service.learn_speed(now, held, near_ms, &mut worker.speed);
        }
        service.learn_run(ran_ms);
    }
}

/// Gangs and tasks that last take their room for long: keeping as much free again would be of no use.
fn counts_as_demand(gang: bool, long_running: bool) -> bool {
    !gang && !long_running
}

fn filed_load(worker: &Worker) -> u32 {
    (worker.load() * FILED_STEPS).clamp(0.0, HIGHEST_FILED) as u32
}

fn unknown_worker(id: &WorkerId, service: &Arc<str>) -> WorkerInfo {
    WorkerInfo {
        id: id.clone(),
        service: service.clone(),
        zone: "".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        schedulable: false,
    }
}
