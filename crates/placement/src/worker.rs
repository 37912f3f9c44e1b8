//! State of one worker: its runs, its queue of unit copies, its reservations, and what is learned from its
//! runs.

use crate::capacity::AllocatedCapacity;
use crate::index::QueueKey;
use crate::penalty::Penalty;
use crate::reservation::{HeadroomAccess, Reservation};
use crate::resource_vector::{dominant_share, multiply};
use crate::run::Run;
use crate::run_time::RelativeSpeed;
use crate::worker_info::WorkerInfo;
use crate::worker_pool::LoadLevel;
use std::collections::{BTreeMap, BTreeSet};
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// A unit may use capacity that is kept for others only if this many times its demand is free.
const FREE_MULTIPLE_FOR_ACCESS: u64 = 2;

/// State of one worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    pub(crate) runs: BTreeMap<TaskId, Run>,
    /// Capacity that the runs hold.
    pub(crate) allocated: AllocatedCapacity,
    /// Copies of pending units in this worker's queue.
    pub(crate) queue: BTreeSet<QueueKey>,
    /// Resources that the queued copies request.
    queued: Resources,
    pub(crate) reservations: Vec<Reservation>,
    pub(crate) penalty: Penalty,
    pub(crate) speed: RelativeSpeed,
    /// Load under which the service's pools list this worker.
    pub(crate) listed_load: LoadLevel,
    /// Allocated capacity of this worker as included in the service's total.
    pub(crate) counted_usage: Resources,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo) -> Worker {
        Worker {
            info,
            runs: BTreeMap::new(),
            allocated: AllocatedCapacity::default(),
            queue: BTreeSet::new(),
            queued: Resources::default(),
            reservations: Vec::new(),
            penalty: Penalty::default(),
            speed: RelativeSpeed::default(),
            listed_load: LoadLevel::default(),
            counted_usage: Resources::default(),
        }
    }

    /// Allocates capacity for a run. Returns false if the task already has an allocation here.
    pub(crate) fn allocate(&mut self, task: &TaskId, run: Run) -> bool {
        if self.runs.contains_key(task) {
            return false;
        }
        self.allocated.add(&run);
        self.runs.insert(task.clone(), run);
        true
    }

    /// Releases the allocation of a run.
    pub(crate) fn release(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.allocated.remove(&run);
        Some(run)
    }

    /// Records that a stop was ordered for a run.
    pub(crate) fn mark_stopping(&mut self, task: &TaskId) {
        let Some(run) = self.runs.get_mut(task).filter(|run| !run.stopping) else {
            return;
        };
        run.stopping = true;
        self.allocated.on_stopping(run);
    }

    /// Capacity that is not allocated.
    pub(crate) fn free(&self) -> Resources {
        self.info.capacity.saturating_sub(&self.allocated.total())
    }

    /// Whether a task fits without delaying the units that capacity is reserved for.
    pub(crate) fn fits(
        &self,
        now: Millis,
        key: QueueKey,
        demand: &Resources,
        ends_at_ms: f64,
        access: HeadroomAccess,
    ) -> bool {
        let free = self.free();
        if !free.covers(demand) {
            return false;
        }
        let access = if free.covers(&multiply(demand, FREE_MULTIPLE_FOR_ACCESS)) {
            access
        } else {
            HeadroomAccess::Denied
        };
        self.reservations
            .iter()
            .filter(|reservation| reservation.blocks(now, key, access))
            .filter(|reservation| ends_at_ms > reservation.available_at as f64)
            .fold(free, |free, reservation| {
                free.saturating_sub(&reservation.resources)
            })
            .covers(demand)
    }

    /// Share of the capacity that is allocated or requested by queued copies.
    pub(crate) fn load(&self) -> f64 {
        let claimed = self.allocated.total().saturating_add(&self.queued);
        dominant_share(&claimed, &self.info.capacity)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|own| &**own == label)
    }

    /// Whether the unit is a speculative second run and this worker already runs the same task.
    pub(crate) fn runs_same_task(&self, unit: &Unit) -> bool {
        unit.speculative && unit.tasks.iter().any(|task| self.runs.contains_key(task))
    }

    /// Whether the unit's anti-affinity limit, on tasks of its step per worker, admits one more task here.
    pub(crate) fn admits_by_anti_affinity(&self, unit: &Unit) -> bool {
        unit.anti_affinity == 0 || self.allocated.tasks_of(&unit.id.step) < unit.anti_affinity
    }

    /// Queues a copy of a unit. Returns false if the unit already has a copy here.
    pub(crate) fn add_copy(&mut self, key: QueueKey, demand: &Resources) -> bool {
        let new = self.queue.insert(key);
        if new {
            self.queued = self.queued.saturating_add(demand);
        }
        new
    }

    pub(crate) fn remove_copy(&mut self, key: QueueKey, demand: &Resources) {
        if self.queue.remove(&key) {
            self.queued = self.queued.saturating_sub(demand);
        }
    }

    /// Replaces the key of a queued copy after its unit was reordered; the copy moves to its new position in
    /// the queue.
    pub(crate) fn rekey_copy(&mut self, key: QueueKey, new_key: QueueKey) {
        if self.queue.remove(&key) {
            self.queue.insert(new_key);
        }
    }

    /// Reserves capacity for a unit, replacing any earlier reservation of the unit on this worker.
    pub(crate) fn reserve(&mut self, reservation: Reservation) {
        self.cancel_reservation(reservation.unit);
        self.reservations.push(reservation);
    }

    pub(crate) fn cancel_reservation(&mut self, unit: QueueKey) {
        self.reservations
            .retain(|reservation| reservation.unit != unit);
    }
}
