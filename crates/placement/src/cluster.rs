//! Cluster state that decisions are based on: workers, services and pending units.
//!
//! The methods keep these invariants:
//!
//! - a unit has a copy in a worker's queue if and only if the unit's `copies` contain the worker; the same
//!   holds for reservations and `reserved_at`;
//! - a service's totals, and the load under which its pools list a worker, match the worker's allocations and
//!   queue;
//! - a service's `pending_gangs` and `reserving_units` contain only pending units.

use crate::allocation::Allocation;
use crate::headroom::{DemandChange, SlackClass};
use crate::index::{QueueKey, WorkerIndex};
use crate::pending_unit::PendingUnit;
use crate::policy::Mechanism;
use crate::queue::PendingQueue;
use crate::reservation::Reservation;
use crate::resource_vector::{multiply, ResourceVector};
use crate::service::Service;
use crate::settings::PlacementSettings;
use crate::worker_pool::LoadLevel;
use crate::worker_table::WorkerTable;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// Time span of a reservation: when its capacity is expected to be free, and when it expires.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservationWindow {
    pub(crate) available_at: Millis,
    pub(crate) expires_at: Millis,
}

/// Workers, services and pending units, with the changes that the next scheduling cycle has to process.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) settings: PlacementSettings,
    pub(crate) workers: WorkerTable,
    pub(crate) services: BTreeMap<Arc<str>, Service>,
    pub(crate) queue: PendingQueue,
    /// Workers whose capacity or queue changed since the last cycle.
    pub(crate) changed_workers: BTreeSet<WorkerIndex>,
    /// Units that were enqueued and not yet examined by a cycle.
    pub(crate) new_units: BTreeSet<QueueKey>,
    /// Services in which capacity was freed since the last cycle.
    pub(crate) services_with_freed_capacity: BTreeSet<Arc<str>>,
}

impl Cluster {
    pub(crate) fn new(settings: PlacementSettings) -> Cluster {
        Cluster {
            settings,
            workers: WorkerTable::default(),
            services: BTreeMap::new(),
            queue: PendingQueue::default(),
            changed_workers: BTreeSet::new(),
            new_units: BTreeSet::new(),
            services_with_freed_capacity: BTreeSet::new(),
        }
    }

    /// Whether the policy enables a mechanism.
    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.policy.is_enabled(mechanism)
    }

    /// Whether there are changes that no cycle has processed yet.
    pub(crate) fn has_changes(&self) -> bool {
        !(self.new_units.is_empty()
            && self.changed_workers.is_empty()
            && self.services_with_freed_capacity.is_empty())
    }

    /// Enqueues a unit, which must not be pending already.
    pub(crate) fn enqueue(&mut self, now: Millis, unit: Unit) {
        let allocation = Allocation::from(&unit);
        let service = self.services.entry(unit.service.clone()).or_default();
        let slack_class = service
            .headroom
            .observe_slack(&unit.queue, unit.priority, unit.slack_ms);
        self.change_demand(now, &allocation, slack_class, DemandChange::Added);
        let key = self.queue.add(now, unit, slack_class);
        let is_gang = self.queue.get(key).is_some_and(PendingUnit::is_gang);
        if let Some(service) = self
            .services
            .get_mut(&allocation.service)
            .filter(|_| is_gang)
        {
            service.pending_gangs.insert(key);
        }
        self.new_units.insert(key);
    }

    /// Removes a unit from the queue, with its copies and reservations.
    pub(crate) fn remove_pending(&mut self, key: QueueKey) -> Option<PendingUnit> {
        self.withdraw_copies(key);
        self.cancel_reservations(key);
        self.new_units.remove(&key);
        let pending = self.queue.remove(key)?;
        if let Some(service) = self.services.get_mut(&pending.unit.service) {
            service.pending_gangs.remove(&key);
        }
        Some(pending)
    }

    /// Adds a copy of a unit to a worker's queue.
    pub(crate) fn add_copy(&mut self, key: QueueKey, index: WorkerIndex) {
        let Some(pending) = self.queue.get_mut(key) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        if worker.add_copy(key, &pending.unit.resources) {
            pending.copies.push(index);
            self.update_load(index);
            self.changed_workers.insert(index);
        }
    }

    /// Removes a unit's copies from all workers' queues.
    pub(crate) fn withdraw_copies(&mut self, key: QueueKey) {
        let Some(pending) = self.queue.get_mut(key) else {
            return;
        };
        let copies = std::mem::take(&mut pending.copies);
        let demand = pending.unit.resources;
        for index in copies {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.remove_copy(key, &demand);
            }
            self.update_load(index);
        }
    }

    /// Reserves capacity on a worker for `members` tasks of a unit. A single task also gets a copy in the
    /// worker's queue.
    pub(crate) fn reserve(
        &mut self,
        key: QueueKey,
        index: WorkerIndex,
        members: u32,
        window: ReservationWindow,
        by_preemption: bool,
    ) {
        let Some(pending) = self.queue.get_mut(key) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        worker.reserve(Reservation {
            unit: key,
            resources: multiply(&pending.unit.resources, u64::from(members)),
            available_at: window.available_at,
            expires_at: window.expires_at,
            by_preemption,
        });
        pending.reserved_at.push(index);
        pending.reserved_until = window.expires_at;
        let is_gang = pending.is_gang();
        if let Some(service) = self.services.get_mut(&pending.unit.service) {
            service.reserving_units.insert(key);
        }
        if !is_gang {
            self.add_copy(key, index);
        }
    }

    /// Whether a unit holds unexpired reservations. Cancels them if they have expired.
    pub(crate) fn holds_reservations(&mut self, now: Millis, key: QueueKey) -> bool {
        let holds = self
            .queue
            .get(key)
            .is_some_and(|pending| !pending.reserved_at.is_empty() && pending.reserved_until > now);
        if !holds {
            self.cancel_reservations(key);
        }
        holds
    }

    /// Cancels all reservations of a unit, which makes the capacity available to other units.
    pub(crate) fn cancel_reservations(&mut self, key: QueueKey) {
        let Some(pending) = self.queue.get_mut(key) else {
            return;
        };
        let reserved_at = std::mem::take(&mut pending.reserved_at);
        if let Some(service) = self.services.get_mut(&pending.unit.service) {
            service.reserving_units.remove(&key);
        }
        for index in reserved_at {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.cancel_reservation(key);
                self.changed_workers.insert(index);
            }
        }
    }

    /// Changes a unit's order within its priority and replaces its queue key wherever the key is stored. The
    /// unit must hold no reservations. Returns true if the order was changed.
    pub(crate) fn change_key(&mut self, key: QueueKey, order: u64) -> bool {
        let Some(pending) = self.queue.get(key) else {
            return false;
        };
        let Some(service) = self.services.get_mut(&pending.unit.service) else {
            return false;
        };
        let copies = pending.copies.clone();
        let Some(new_key) = self.queue.reorder(key, order) else {
            return false;
        };
        if service.pending_gangs.remove(&key) {
            service.pending_gangs.insert(new_key);
        }
        if self.new_units.remove(&key) {
            self.new_units.insert(new_key);
        }
        for index in copies {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.rekey_copy(key, new_key);
            }
        }
        true
    }

    /// Updates the service's totals and pools to a worker's current allocations and queue.
    pub(crate) fn update_load(&mut self, index: WorkerIndex) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let load = LoadLevel::of(worker.load());
        let previous = std::mem::replace(&mut worker.listed_load, load);
        let Some(service) = self.services.get_mut(&worker.info.service) else {
            return;
        };
        service.update_usage(worker);
        if previous != load {
            service.update_listed_load(index, worker, previous);
        }
    }

    /// Adds the resources that an allocation requests or holds to the demand of its service, or removes them.
    pub(crate) fn change_demand(
        &mut self,
        now: Millis,
        allocation: &Allocation,
        slack_class: SlackClass,
        change: DemandChange,
    ) {
        if !allocation.counts_as_demand() {
            return;
        }
        if let Some(service) = self.services.get_mut(&allocation.service) {
            let resources = ResourceVector::from(&allocation.resources);
            service
                .headroom
                .change_demand(now, slack_class, resources, change);
        }
    }
}
