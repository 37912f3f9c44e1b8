//! The queue of pending units: their order, and when each is looked at again.

use crate::headroom::SlackClass;
use crate::index::QueueKey;
use crate::pending_unit::PendingUnit;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

/// All pending units. A unit has at most one timer, that of its `retry_at`.
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

    /// Gives a unit another order within its priority, with its timer. Returns its new key.
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

    /// Retries of units so far.
    pub(crate) fn retry_count(&self) -> u64 {
        self.retry_count
    }

    /// Counts retries of units.
    pub(crate) fn count_retries(&mut self, retries: usize) {
        self.retry_count += retries as u64;
    }

    /// How many units come before one.
    pub(crate) fn units_before(&self, key: QueueKey) -> usize {
        self.units.range(..key).count()
    }

    /// Sets the unit's next retry: after a delay that doubles, or earlier if asked for.
    pub(crate) fn schedule_retry(&mut self, now: Millis, key: QueueKey, no_later_than: Millis) {
        let Some(pending) = self.units.get_mut(&key) else {
            return;
        };
        let retry_at = pending.next_retry(now, no_later_than);
        if let Some(before) = pending.retry_at.replace(retry_at) {
            self.timers.remove(&(before, key));
        }
        self.timers.insert((retry_at, key));
    }

    /// Postpones the unit's retry that is due to a time that is reserved for it; the delay before the one after stays.
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

    /// The units that are due for a retry, at most so many.
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
