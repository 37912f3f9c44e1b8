//! Room for a unit that is stuck: kept for it as runs end, or made by stopping what is less urgent.

use crate::amounts::times;
use crate::gather::{Plan, Reach, Site};
use crate::key::{Key, Slot};
use crate::placement::Placement;
use crate::policy::Mechanism;
use crate::queue::Waiting;
use crate::room::Reservation;
use crate::types::Decision;
use streamusher_protocol::Millis;

/// Room that comes free by itself in this time is waited for, rather than stopping anything.
const SOON_MS: f64 = 300.0;
/// What did not end by itself for so long is not waited for any more where something may be stopped.
const GIVEN_UP_AFTER_MS: Millis = 700;
/// A unit that waits so long, while runs are stopped only for more urgent ones, has room kept for it.
const KEEP_AFTER_MS: Millis = 300;
/// Kept for so long past the time at which the room was expected.
const GRACE_MS: Millis = 500;
/// How far ahead room is kept, nearest first.
const AHEAD_MS: [f64; 2] = [2_000.0, 15_000.0];
/// Tasks that take less of a worker find room anyway as others end.
const LEAST_SHARE_KEPT: f64 = 0.2;
/// Units that room is kept for at once: one, and one more for so many workers.
const WORKERS_PER_KEPT: usize = 8;
/// What stops for one unit may lose, in units of a small job's worth: most urgent, others, gangs.
const PRICE_FOR_MOST_URGENT: f64 = 0.5;
const PRICE_FOR_OTHERS: f64 = 0.25;
const PRICE_FOR_GANG: f64 = 1.5;

/// A group of workers with their ranks.
pub(crate) type Group = Vec<(f64, Slot)>;

impl Placement {
    /// Helps a single task that found no room: any acceptable worker, then kept room, then stops.
    pub(crate) fn relieve(&mut self, now: Millis, key: Key, out: &mut Vec<Decision>) {
        let copies = self
            .queue
            .get(key)
            .map_or(Vec::new(), |waiting| waiting.copies.clone());
        if self.claim_any(now, key, &copies, out) {
            return;
        }
        if copies.len() < 2 {
            let ranked = self.ranked(now, key);
            let others = self.acceptable(now, key, &ranked);
            if self.claim_any(now, key, &others, out) {
                return;
            }
        }
        if !self.is_kept(now, key) && self.is_worth_a_plan(key, &copies) {
            let ranked = self.ranked(now, key);
            let group: Group = ranked
                .iter()
                .map(|worker| (worker.rank, worker.slot))
                .collect();
            self.make_room(now, key, &[group], out);
        }
        self.look_again(now, key);
    }

    /// Whether one of the workers took the task.
    fn claim_any(
        &mut self,
        now: Millis,
        key: Key,
        slots: &[Slot],
        out: &mut Vec<Decision>,
    ) -> bool {
        for slot in slots {
            self.claim(now, key, *slot, out);
            if self.queue.get(key).is_none() {
                return true;
            }
        }
        false
    }

    /// Whether a plan could lead to anything: looked up before workers are ranked.
    fn is_worth_a_plan(&self, key: Key, slots: &[Slot]) -> bool {
        let Some(waiting) = self
            .queue
            .get(key)
            .filter(|waiting| !waiting.unit.speculative)
        else {
            return false;
        };
        self.plans_left > 0 && (self.may_stop(waiting, slots) || self.may_keep(waiting, slots))
    }

    /// Whether room is kept for a unit; forgets what was kept for too long.
    pub(crate) fn is_kept(&mut self, now: Millis, key: Key) -> bool {
        let kept = |waiting: &Waiting| !waiting.reserved.is_empty() && waiting.reserved_until > now;
        if self.queue.get(key).is_some_and(kept) {
            return true;
        }
        self.unreserve(key);
        false
    }

    pub(crate) fn look_again(&mut self, now: Millis, key: Key) {
        self.note_wait(now, key);
        let Some(waiting) = self.queue.get(key) else {
            return;
        };
        let latest = if waiting.reserved.is_empty() {
            Millis::MAX
        } else {
            waiting.reserved_until
        };
        self.queue.look_again(now, key, latest);
    }

    /// Finds the nearest and cheapest way to room, and goes it.
    pub(crate) fn make_room(
        &mut self,
        now: Millis,
        key: Key,
        groups: &[Group],
        out: &mut Vec<Decision>,
    ) {
        self.plans_left = self.plans_left.saturating_sub(1);
        let Some(waiting) = self.queue.get(key) else {
            return;
        };
        for reach in self.reaches(now, waiting, groups) {
            let most = most_price(waiting);
            if let Some(plan) = self
                .cheapest(now, key, waiting, groups, reach)
                .filter(|p| p.price <= most)
            {
                return self.carry_out(now, key, plan, reach, out);
            }
        }
    }

    /// The best plan over the groups: an earlier group's if it has any.
    pub(crate) fn cheapest(
        &self,
        now: Millis,
        key: Key,
        waiting: &Waiting,
        groups: &[Group],
        reach: Reach,
    ) -> Option<Plan> {
        let plans = groups
            .iter()
            .filter_map(|group| self.plan(now, key, waiting, group, reach));
        plans.min_by(|a, b| a.price.total_cmp(&b.price).then(a.rank.total_cmp(&b.rank)))
    }

    fn reaches(&self, now: Millis, waiting: &Waiting, groups: &[Group]) -> Vec<Reach> {
        let mut reaches = Vec::new();
        let (gang, urgent) = (waiting.is_gang(), waiting.unit.priority == 0);
        let waited = waiting.waited(now);
        let slots: Vec<Slot> = groups.iter().flatten().map(|(_, slot)| *slot).collect();
        let stops = self.may_stop(waiting, &slots);
        let keeps = self.may_keep(waiting, &slots);
        if stops && waited < GIVEN_UP_AFTER_MS || keeps {
            reaches.push(Reach::Within(SOON_MS));
        }
        let spare_ms = self.spare_ms(now, waiting);
        if keeps && spare_ms > SOON_MS {
            reaches.push(Reach::Within(spare_ms));
        }
        if stops && (keeps || spare_ms <= 0.0) {
            reaches.push(Reach::Stopping {
                within_ms: SOON_MS,
                gangs: false,
            });
            if gang {
                reaches.push(Reach::Stopping {
                    within_ms: AHEAD_MS[0],
                    gangs: false,
                });
            }
            if urgent {
                reaches.push(Reach::Stopping {
                    within_ms: SOON_MS,
                    gangs: true,
                });
            }
        }
        if keeps && waited >= KEEP_AFTER_MS {
            reaches.extend(AHEAD_MS.map(Reach::Within));
        }
        reaches
    }

    /// Whether anything that is less urgent runs there.
    fn may_stop(&self, waiting: &Waiting, slots: &[Slot]) -> bool {
        let below = |slot: Slot| {
            let worker = self.workers.get(slot);
            worker.is_some_and(|worker| {
                worker.used_below(waiting.unit.priority) != Default::default()
            })
        };
        self.uses(Mechanism::Preemption) && slots.iter().any(|slot| below(*slot))
    }

    /// Whether room may be kept: for gangs and large tasks, and for few units at once.
    fn may_keep(&self, waiting: &Waiting, slots: &[Slot]) -> bool {
        let Some(service) = self.services.get(&waiting.unit.service) else {
            return false;
        };
        let most = 1 + service.all.members.len() / WORKERS_PER_KEPT;
        let first = slots.first().and_then(|slot| self.workers.get(*slot));
        let large =
            waiting.is_gang() || first.is_some_and(|w| waiting.share_of(w) >= LEAST_SHARE_KEPT);
        self.uses(Mechanism::Reservations) && large && service.reserving.len() < most
    }

    fn carry_out(
        &mut self,
        now: Millis,
        key: Key,
        plan: Plan,
        reach: Reach,
        out: &mut Vec<Decision>,
    ) {
        let (Reach::Within(within_ms) | Reach::Stopping { within_ms, .. }) = reach else {
            return;
        };
        let stops = plan.sites.iter().any(|site| !site.victims.is_empty());
        let stop_ms = if stops { self.settings.max_stop_ms } else { 0 };
        let ready_at = now.saturating_add(stop_ms.max(within_ms as Millis));
        let until = ready_at.saturating_add(GRACE_MS);
        for site in plan.sites {
            self.reserve(key, &site, ready_at, until);
            let Some(worker) = self.workers.get_mut(site.slot) else {
                continue;
            };
            for task in site.victims {
                worker.stop(&task);
                out.push(Decision::Preempt {
                    task,
                    worker: worker.info.id.clone(),
                });
            }
        }
    }

    fn reserve(&mut self, key: Key, site: &Site, ready_at: Millis, until: Millis) {
        let Some(waiting) = self.queue.get_mut(key) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(site.slot) else {
            return;
        };
        let resources = times(&waiting.unit.resources, u64::from(site.members));
        let firm = !site.victims.is_empty();
        worker.reserve(Reservation {
            key,
            resources,
            ready_at,
            until,
            firm,
        });
        waiting.reserved.push(site.slot);
        waiting.reserved_until = until;
        let single = !waiting.is_gang();
        if let Some(service) = self.services.get_mut(&waiting.unit.service) {
            service.reserving.insert(key);
        }
        if single {
            self.add_copy(key, site.slot);
        }
    }

    /// Room is no longer kept for a unit; others may take it.
    pub(crate) fn unreserve(&mut self, key: Key) {
        let Some(waiting) = self.queue.get_mut(key) else {
            return;
        };
        let reserved = std::mem::take(&mut waiting.reserved);
        if let Some(service) = self.services.get_mut(&waiting.unit.service) {
            service.reserving.remove(&key);
        }
        for slot in reserved {
            if let Some(worker) = self.workers.get_mut(slot) {
                worker.unreserve(key);
                self.dirty.insert(slot);
            }
        }
    }
}

fn most_price(waiting: &Waiting) -> f64 {
    match (waiting.is_gang(), waiting.unit.priority) {
        (true, _) => PRICE_FOR_GANG,
        (false, 0) => PRICE_FOR_MOST_URGENT,
        (false, _) => PRICE_FOR_OTHERS,
    }
}
