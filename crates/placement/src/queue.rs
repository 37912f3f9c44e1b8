//! The units that wait: their order, their copies, and when each is looked at again.

use crate::amounts::dominant_share;
use crate::headroom::Patience;
use crate::key::{Key, Slot};
use crate::room::Worker;
use crate::waits::Waits;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

/// First wait for more copies; doubles up to the last.
const FIRST_WAIT_MS: Millis = 50;
const LAST_WAIT_MS: Millis = 800;

/// A unit that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub unit: Unit,
    pub since: Millis,
    /// How long its queue can wait.
    pub patience: Patience,
    /// The workers in whose queues it has a copy.
    pub copies: Vec<Slot>,
    /// The workers at which room is kept for it.
    pub reserved: Vec<Slot>,
    pub reserved_until: Millis,
    /// What it has waited for until its last look, and for what it waits since.
    pub waits: Waits,
    wait_ms: Millis,
    due: Option<Millis>,
}

impl Waiting {
    pub fn is_gang(&self) -> bool {
        self.unit.id.index.is_none() || self.unit.tasks.len() != 1
    }

    /// Share of a worker that one task takes.
    pub fn share_of(&self, worker: &Worker) -> f64 {
        dominant_share(&self.unit.resources, &worker.info.capacity)
    }

    pub fn waited(&self, now: Millis) -> Millis {
        now.saturating_sub(self.since)
    }
}

/// All units that wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    units: BTreeMap<Key, Waiting>,
    keys: HashMap<UnitId, Key>,
    timers: BTreeSet<(Millis, Key)>,
    serial: u64,
}

impl Queue {
    pub fn add(&mut self, now: Millis, unit: Unit, patience: Patience) -> Key {
        self.serial += 1;
        let key = Key {
            priority: unit.priority,
            order: unit.order,
            serial: self.serial,
        };
        self.keys.insert(unit.id.clone(), key);
        let waiting = Waiting {
            unit,
            since: now,
            patience,
            copies: Vec::new(),
            reserved: Vec::new(),
            reserved_until: 0,
            waits: Waits::new(now),
            wait_ms: FIRST_WAIT_MS,
            due: None,
        };
        self.units.insert(key, waiting);
        key
    }

    pub fn remove(&mut self, key: Key) -> Option<Waiting> {
        let waiting = self.units.remove(&key)?;
        self.keys.remove(&waiting.unit.id);
        if let Some(due) = waiting.due {
            self.timers.remove(&(due, key));
        }
        Some(waiting)
    }

    /// Files a unit under another order, with its timer; gives its new key.
    pub fn reorder(&mut self, key: Key, order: u64) -> Option<Key> {
        let mut waiting = self.units.remove(&key)?;
        let changed = Key { order, ..key };
        waiting.unit.order = order;
        self.keys.insert(waiting.unit.id.clone(), changed);
        if let Some(due) = waiting.due {
            self.timers.remove(&(due, key));
            self.timers.insert((due, changed));
        }
        self.units.insert(changed, waiting);
        Some(changed)
    }

    pub fn key_of(&self, unit: &UnitId) -> Option<Key> {
        self.keys.get(unit).copied()
    }

    pub fn get(&self, key: Key) -> Option<&Waiting> {
        self.units.get(&key)
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut Waiting> {
        self.units.get_mut(&key)
    }

    pub fn len(&self) -> usize {
        self.units.len()
    }

    /// Sets the unit's next look: after a wait that doubles, or earlier if asked for.
    pub fn look_again(&mut self, now: Millis, key: Key, latest: Millis) {
        let Some(waiting) = self.units.get_mut(&key) else {
            return;
        };
        let due = now.saturating_add(waiting.wait_ms).min(latest.max(now + 1));
        waiting.wait_ms = (waiting.wait_ms * 2).min(LAST_WAIT_MS);
        if let Some(before) = waiting.due.replace(due) {
            self.timers.remove(&(before, key));
        }
        self.timers.insert((due, key));
    }

    /// How many units come before one.
    pub fn before(&self, key: Key) -> usize {
        self.units.range(..key).count()
    }

    /// Whether any unit is to be looked at again.
    pub fn is_due(&self, now: Millis) -> bool {
        self.timers.first().is_some_and(|(due, _)| *due <= now)
    }

    /// The units whose time has come, at most so many.
    pub fn take_due(&mut self, now: Millis, most: usize) -> Vec<Key> {
        let mut keys = Vec::new();
        while keys.len() < most && self.is_due(now) {
            let Some((_, key)) = self.timers.pop_first() else {
                break;
            };
            self.units
                .entry(key)
                .and_modify(|waiting| waiting.due = None);
            keys.push(key);
        }
        keys
    }
}
