//! Queue of pending units: their order and the times of their retries.

use crate::headroom::SlackClass;
use crate::index::QueueKey;
use crate::pending_unit::PendingUnit;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

/// All pending units. A unit has at most one timer, set to its `retry_at`.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    units: BTreeMap<QueueKey, PendingUnit>,
    keys: HashMap<UnitId, QueueKey>,
    timers: BTreeSet<(Millis, QueueKey)>,
    last_serial: u64,
    retry_count: u64,
}

impl PendingQueue {
    pub(crate) fn add(&mut self, now: Millis, unit: Unit, slack_class: SlackClass) -> QueueKey {
        self.last_serial += 1;
        let key = QueueKey {
            priority: unit.priority,
            order: unit.order,
            serial: self.last_serial,
        };
        self.keys.insert(unit.id.clone(), key);
        self.units
            .insert(key, PendingUnit::new(now, unit, slack_class));
        key
    }

    pub(crate) fn remove(&mut self, key: QueueKey) -> Option<PendingUnit> {
        let pending = self.units.remove(&key)?;
        self.keys.remove(&pending.unit.id);
        if let Some(retry_at) = pending.retry_at {
            self.timers.remove(&(retry_at, key));
        }
        Some(pending)
    }

    /// Moves a unit, with its timer, to another order within its priority. Returns its new key.
    pub(crate) fn reorder(&mut self, key: QueueKey, order: u64) -> Option<QueueKey> {
        let mut pending = self.units.remove(&key)?;
        let new_key = QueueKey { order, ..key };
        pending.unit.order = order;
        self.keys.insert(pending.unit.id.clone(), new_key);
        if let Some(retry_at) = pending.retry_at {
            self.timers.remove(&(retry_at, key));
            self.timers.insert((retry_at, new_key));
        }
        self.units.insert(new_key, pending);
        Some(new_key)
    }

    pub(crate) fn key_of(&self, unit: &UnitId) -> Option<QueueKey> {
        self.keys.get(unit).copied()
    }

    pub(crate) fn get(&self, key: QueueKey) -> Option<&PendingUnit> {
        self.units.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: QueueKey) -> Option<&mut PendingUnit> {
        self.units.get_mut(&key)
    }

    pub(crate) fn len(&self) -> usize {
        self.units.len()
    }

    /// Total number of retries.
    pub(crate) fn retry_count(&self) -> u64 {
        self.retry_count
    }

    /// Adds to the total number of retries.
    pub(crate) fn count_retries(&mut self, retries: usize) {
        self.retry_count += retries as u64;
    }

    /// Number of units that come before one in the queue order.
    pub(crate) fn units_before(&self, key: QueueKey) -> usize {
        self.units.range(..key).count()
    }

    /// Schedules the unit's next retry: after a delay that doubles each time, but no later than
    /// `no_later_than`.
    pub(crate) fn schedule_retry(&mut self, now: Millis, key: QueueKey, no_later_than: Millis) {
        let Some(pending) = self.units.get_mut(&key) else {
            return;
        };
        let retry_at = pending.next_retry(now, no_later_than);
        if let Some(previous) = pending.retry_at.replace(retry_at) {
            self.timers.remove(&(previous, key));
        }
        self.timers.insert((retry_at, key));
    }

    /// Postpones a due retry to the time that was reserved for it. The delay before the retry after it is
    /// unchanged.
    pub(crate) fn postpone_retry(&mut self, key: QueueKey, retry_at: Millis) {
        let Some(pending) = self.units.get_mut(&key) else {
            return;
        };
        pending.retry_at = Some(retry_at);
        pending.is_retry_reserved = true;
        self.timers.insert((retry_at, key));
    }

    /// Whether any unit is due for a retry.
    pub(crate) fn has_due(&self, now: Millis) -> bool {
        self.timers
            .first()
            .is_some_and(|(retry_at, _)| *retry_at <= now)
    }

    /// Takes up to `max` units that are due for a retry.
    pub(crate) fn take_due(&mut self, now: Millis, max: usize) -> Vec<QueueKey> {
        let mut keys = Vec::new();
        while keys.len() < max && self.has_due(now) {
            let Some((_, key)) = self.timers.pop_first() else {
                break;
            };
            if let Some(pending) = self.units.get_mut(&key) {
                pending.retry_at = None;
            }
            keys.push(key);
        }
        keys
    }
}
