//! A unit that waits gets another place in the order.

use crate::key::{Key, Slot};
use crate::placement::Placement;
use crate::queue::Waiting;
use streamusher_protocol::unit::UnitId;

impl Placement {
    /// A waiting unit's order within its priority; none where it does not wait.
    pub fn order_of(&self, unit: &UnitId) -> Option<u64> {
        let waiting = self.queue.get(self.queue.key_of(unit)?)?;
        Some(waiting.unit.order)
    }

    /// Changes a waiting unit's order within its priority; its copies and the time that it has waited stay. A gang that
    /// room is kept for, and a unit that runs were stopped for, keep their place. Room kept for another unit is given up
    /// and kept anew at its next look. True where the place was changed.
    pub fn reorder(&mut self, unit: &UnitId, order: u64) -> bool {
        let Some(key) = self.queue.key_of(unit) else {
            return false;
        };
        let Some(waiting) = self.queue.get(key) else {
            return false;
        };
        if waiting.unit.order == order || self.keeps_place(key, waiting) {
            return false;
        }
        self.unreserve(key);
        self.file_under(key, order)
    }

    fn keeps_place(&self, key: Key, waiting: &Waiting) -> bool {
        let is_firm = |slot: &Slot| {
            let worker = self.workers.get(*slot);
            worker.is_some_and(|worker| {
                worker
                    .reservations
                    .iter()
                    .any(|kept| kept.key == key && kept.firm)
            })
        };
        !waiting.reserved.is_empty() && (waiting.is_gang() || waiting.reserved.iter().any(is_firm))
    }

    fn file_under(&mut self, key: Key, order: u64) -> bool {
        let Some(waiting) = self.queue.get(key) else {
            return false;
        };
        let Some(service) = self.services.get_mut(&waiting.unit.service) else {
            return false;
        };
        let copies = waiting.copies.clone();
        let Some(changed) = self.queue.reorder(key, order) else {
            return false;
        };
        if service.gangs.remove(&key) {
            service.gangs.insert(changed);
        }
        if self.fresh.remove(&key) {
            self.fresh.insert(changed);
        }
        for slot in copies {
            let Some(worker) = self.workers.get_mut(slot) else {
                continue;
            };
            if worker.queue.remove(&key) {
                worker.queue.insert(changed);
            }
        }
        true
    }
}
