//! How many copies of a unit wait in how many queues, and when there are more.

use crate::key::{Key, Slot};
use crate::placement::Placement;
use crate::policy::Mechanism;
use crate::ranking::{Ranked, PENALTY_OF_AVOIDED};
use streamusher_protocol::Millis;

/// From this wait on a unit has a copy at every worker that it may go to.
const COPIES_EVERYWHERE_MS: Millis = 200;
/// Most copies of a unit: in a larger service, later looks take other workers.
const MOST_COPIES: usize = 32;
/// Most copies at first, however many wait: past some queues the next adds little.
const MOST_AT_FIRST: usize = 4;
/// From this wait on, no worker is too far, too slow or too often at fault.
pub(crate) const ANYWHERE_MS: Millis = 1_500;
/// From this wait on, avoided workers are taken too.
const EVEN_AVOIDED_MS: Millis = 6_000;

impl Placement {
    /// Puts copies of a unit into queues: one where the best has room, more while copies wait, all at last.
    pub(crate) fn spread(&mut self, now: Millis, key: Key) {
        let ranked = self.ranked(now, key);
        let acceptable = self.acceptable(now, key, &ranked);
        let (Some(first), Some(waiting)) = (ranked.first(), self.queue.get(key)) else {
            return;
        };
        let before = waiting.copies.len();
        let wanted = if first.wait_ms == 0.0 || !self.uses(Mechanism::QueueCopies) {
            1
        } else if waiting.waited(now) >= COPIES_EVERYWHERE_MS {
            MOST_COPIES
        } else {
            let ahead = self
                .workers
                .get(first.slot)
                .map_or(0, |worker| worker.queue.len());
            (1 + ahead).min(MOST_AT_FIRST).max(2 * before)
        };
        if before >= MOST_COPIES {
            self.withdraw_copies(key);
        }
        acceptable
            .into_iter()
            .take(wanted.min(MOST_COPIES))
            .for_each(|slot| self.add_copy(key, slot));
    }

    /// The workers at which the unit would be done no later than by waiting for the best, best first.
    pub(crate) fn acceptable(&self, now: Millis, key: Key, ranked: &[Ranked]) -> Vec<Slot> {
        let (Some(first), Some(waiting)) = (ranked.first(), self.queue.get(key)) else {
            return Vec::new();
        };
        let Some(service) = self.services.get(&waiting.unit.service) else {
            return Vec::new();
        };
        let waited = waiting.waited(now);
        let patience = (waited as f64 + first.wait_ms) / self.run_ms(&waiting.unit, service);
        let patient = self.uses(Mechanism::WaitEscalation);
        let limit = if self.takes_any(now, waiting, service) || waited >= EVEN_AVOIDED_MS {
            f64::INFINITY
        } else if waited >= ANYWHERE_MS && patient {
            first.penalty.max(PENALTY_OF_AVOIDED / 2.0)
        } else {
            first.penalty + patience.min(PENALTY_OF_AVOIDED / 2.0)
        };
        ranked
            .iter()
            .filter(|other| other.penalty <= limit)
            .map(|other| other.slot)
            .collect()
    }

    pub(crate) fn add_copy(&mut self, key: Key, slot: Slot) {
        let Some(waiting) = self.queue.get_mut(key) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(slot) else {
            return;
        };
        if worker.add_copy(key, &waiting.unit.resources) {
            waiting.copies.push(slot);
            self.refile(slot);
        }
        self.dirty.insert(slot);
    }

    /// Takes a unit's copies out of all queues.
    pub(crate) fn withdraw_copies(&mut self, key: Key) {
        let Some(waiting) = self.queue.get_mut(key) else {
            return;
        };
        let copies = std::mem::take(&mut waiting.copies);
        let asked = waiting.unit.resources;
        for slot in copies {
            if let Some(worker) = self.workers.get_mut(slot) {
                worker.remove_copy(key, &asked);
            }
            self.refile(slot);
        }
    }
}
