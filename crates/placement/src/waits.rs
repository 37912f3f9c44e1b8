//! What a unit has waited for, as its looks found it: time counts for the reason that the look before it found.

use crate::explain::WaitReason;
use crate::key::{Key, Slot};
use crate::placement::Placement;
use crate::types::TimeWaited;
use streamusher_protocol::Millis;

/// Workers that are looked at for the reason of a wait: its copies' first.
const MOST_LOOKED_AT: usize = 32;

/// The time that a unit has waited, by reason.
#[derive(Clone, Debug)]
pub(crate) struct Waits {
    reason: Option<WaitReason>,
    since: Millis,
    told: Vec<TimeWaited>,
}

impl Waits {
    /// A unit that begins to wait.
    pub fn new(now: Millis) -> Waits {
        Waits {
            reason: None,
            since: now,
            told: Vec::new(),
        }
    }

    /// A look found that the unit waits for this from now on.
    pub fn found(&mut self, now: Millis, reason: WaitReason) {
        self.close(now);
        self.reason = Some(reason);
    }

    /// All of it, as the unit starts now.
    pub fn ended(mut self, now: Millis) -> Vec<TimeWaited> {
        self.close(now);
        self.told
    }

    fn close(&mut self, now: Millis) {
        let waited_ms = now.saturating_sub(std::mem::replace(&mut self.since, now));
        let Some(reason) = self.reason.filter(|_| waited_ms > 0) else {
            return;
        };
        match self.told.iter_mut().find(|total| total.reason == reason) {
            Some(total) => total.waited_ms += waited_ms,
            None => self.told.push(TimeWaited { reason, waited_ms }),
        }
    }
}

impl Placement {
    /// Notes why a unit waits that was looked at and did not start.
    pub(crate) fn note_wait(&mut self, now: Millis, key: Key) {
        let Some(reason) = self.wait_reason(key) else {
            return;
        };
        if let Some(waiting) = self.queue.get_mut(key) {
            waiting.waits.found(now, reason);
        }
    }

    /// By the workers that one look takes in; [`Placement::explain`] looks at all.
    fn wait_reason(&self, key: Key) -> Option<WaitReason> {
        let waiting = self.queue.get(key)?;
        if !waiting.reserved.is_empty() {
            return Some(WaitReason::CapacityReserved);
        }
        let service = self.services.get(&waiting.unit.service)?;
        let copies = waiting.copies.iter().copied();
        let pool = service.pool(waiting.unit.node_selector.as_deref());
        let members = pool
            .into_iter()
            .flat_map(|pool| pool.members.iter().copied());
        let slots = copies.chain(members).take(MOST_LOOKED_AT);
        let mut eligible = slots
            .filter(|slot| self.is_eligible(&waiting.unit, *slot))
            .peekable();
        let has_room = |slot: Slot| {
            let worker = self.workers.get(slot);
            worker.is_some_and(|worker| worker.free().covers(&waiting.unit.resources))
        };
        Some(match () {
            () if eligible.peek().is_none() => WaitReason::NoSchedulableWorker,
            () if !waiting.is_gang() && eligible.any(has_room) => {
                WaitReason::CapacityReservedForOthers
            }
            () => WaitReason::NoFreeCapacity,
        })
    }
}
