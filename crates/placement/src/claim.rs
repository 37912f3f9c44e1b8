//! The claim: a worker with room takes the first copy that fits, and the other copies are withdrawn.

use crate::amounts::{amounts, times};
use crate::copies::ANYWHERE_MS;
use crate::headroom::Kept;
use crate::key::{Key, Slot};
use crate::placement::Placement;
use crate::policy::Mechanism;
use crate::queue::Waiting;
use crate::room::{Insistence, Worker};
use crate::run::Run;
use crate::service::Service;
use crate::types::{Allocation, Decision, TaskAssignment};
use std::collections::BTreeMap;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::Millis;

/// Copies that are looked at in one queue; further ones are found when their unit is looked at again.
const LOOKED_AT: usize = 32;

/// No unit waits 3 s while its service has much free room: small ones then take even what was stopped for others.
const EVEN_STOPPED_MS: Millis = 2_300;
const SMALL_SHARE: f64 = 0.2;
/// A unit may wait for this part of its slack before it costs others anything: the rest is for orders, slow workers and second
/// attempts.
const PART_OF_SLACK_WAITED: f64 = 0.5;

impl Placement {
    /// Whether a single task may start at a worker now.
    pub(crate) fn admits(&self, now: Millis, key: Key, waiting: &Waiting, slot: Slot) -> bool {
        let unit = &waiting.unit;
        let Some(worker) = self
            .workers
            .get(slot)
            .filter(|worker| worker.info.schedulable)
        else {
            return false;
        };
        let is_barred = worker.runs_copy_of(unit) || !spreads(worker, waiting);
        if is_barred || !worker.free().covers(&unit.resources) {
            return false;
        }
        let Some(service) = self.services.get(&unit.service) else {
            return false;
        };
        if unit.speculative && !service.is_lightly_used() {
            return false;
        }
        let insistence = self.insistence(now, waiting, service, worker);
        let ends_at = now as f64 + self.expected_ms(now, unit, worker, service);
        let allowed = worker.runs.len() < self.most_runs(now, worker, service)
            && self.leaves_headroom(now, worker, service, waiting);
        (allowed || insistence > Insistence::Usual)
            && worker.fits(now, key, &unit.resources, ends_at, insistence)
    }

    /// How many runs a worker may have at once, by its failures.
    pub(crate) fn most_runs(&self, now: Millis, worker: &Worker, service: &Service) -> usize {
        if self.uses(Mechanism::Probation) {
            service.most_runs(now, worker)
        } else {
            usize::MAX
        }
    }

    /// What of a worker's room must stay free of a unit. One that has waited for part of its slack goes before what is no more
    /// urgent.
    pub(crate) fn kept_against<'a>(
        &'a self,
        now: Millis,
        waiting: &'a Waiting,
        service: &'a Service,
    ) -> impl Iterator<Item = Kept> + 'a {
        let insists = self.spare_ms(now, waiting) <= 0.0;
        let waited = waiting.waited(now) as f64 / patience_ms(waiting).max(1.0);
        let kept = service
            .headroom
            .against(waiting.patience, waited)
            .filter(|_| self.uses(Mechanism::Headroom));
        kept.filter(move |kept| !insists || kept.most_urgent < waiting.unit.priority)
    }

    /// How much longer a unit may wait for room before stops that are ordered for it would come too late.
    pub(crate) fn spare_ms(&self, now: Millis, waiting: &Waiting) -> f64 {
        patience_ms(waiting)
            - waiting
                .waited(now)
                .saturating_add(self.settings.max_stop_ms) as f64
    }

    /// Whether what is kept free for work that can wait less stays free. A worker without runs that can wait longer takes one.
    fn leaves_headroom(
        &self,
        now: Millis,
        worker: &Worker,
        service: &Service,
        waiting: &Waiting,
    ) -> bool {
        let capacity = amounts(&worker.info.capacity);
        let asked = amounts(&waiting.unit.resources);
        self.kept_against(now, waiting, service).all(|kept| {
            let behind = worker.used_behind(kept.up_to);
            let used = amounts(&behind);
            let fits = |kind: usize| {
                used[kind] + asked[kind] <= capacity[kind] * (1.0 - kept.shares[kind])
            };
            behind == Resources::default() || (0..3).all(fits)
        })
    }

    /// A unit that has waited long in a service with much free room takes any room that there is.
    pub(crate) fn takes_any(&self, now: Millis, waiting: &Waiting, service: &Service) -> bool {
        self.uses(Mechanism::WaitEscalation)
            && !waiting.unit.speculative
            && waiting.waited(now) >= ANYWHERE_MS
            && service.is_lightly_used()
    }

    /// How much a unit may take of what is kept at a worker. What was stopped for others goes to small tasks only:
    /// a large one would have it stopped again.
    pub(crate) fn insistence(
        &self,
        now: Millis,
        waiting: &Waiting,
        service: &Service,
        worker: &Worker,
    ) -> Insistence {
        if !self.takes_any(now, waiting, service) {
            Insistence::Usual
        } else if waiting.waited(now) >= EVEN_STOPPED_MS && waiting.share_of(worker) < SMALL_SHARE {
            Insistence::EvenStopped
        } else {
            Insistence::AnyRoom
        }
    }

    /// Lets the workers with changes take what fits, up to a place in the order.
    pub(crate) fn scan_changed(
        &mut self,
        now: Millis,
        until: Option<Key>,
        out: &mut Vec<Decision>,
    ) {
        let slots: Vec<Slot> = self.dirty.iter().copied().collect();
        slots
            .into_iter()
            .for_each(|slot| self.scan(now, slot, until, out));
    }

    fn scan(&mut self, now: Millis, slot: Slot, until: Option<Key>, out: &mut Vec<Decision>) {
        loop {
            let Some(worker) = self
                .workers
                .get(slot)
                .filter(|worker| worker.info.schedulable)
            else {
                return;
            };
            let in_order = |key: &&Key| until.is_none_or(|until| **key < until);
            let keys: Vec<Key> = worker
                .queue
                .iter()
                .take_while(in_order)
                .take(LOOKED_AT)
                .copied()
                .collect();
            let before = out.len();
            keys.into_iter()
                .for_each(|key| self.claim(now, key, slot, out));
            if out.len() == before {
                return;
            }
        }
    }

    /// Starts a waiting task at a worker if it may.
    pub(crate) fn claim(&mut self, now: Millis, key: Key, slot: Slot, out: &mut Vec<Decision>) {
        let Some(waiting) = self.queue.get(key).filter(|waiting| !waiting.is_gang()) else {
            return;
        };
        if !self.admits(now, key, waiting, slot) {
            return;
        }
        let on = waiting
            .unit
            .tasks
            .iter()
            .map(|task| (task.clone(), slot))
            .collect();
        self.start(now, key, on, out);
    }

    /// Withdraws all copies of a unit and takes room for its tasks.
    pub(crate) fn start(
        &mut self,
        now: Millis,
        key: Key,
        on: Vec<(TaskId, Slot)>,
        out: &mut Vec<Decision>,
    ) {
        if !self.has_room_for(key, &on) {
            return;
        }
        let Some(waiting) = self.taken_from_queue(key, &on) else {
            return;
        };
        let mut placed = Vec::with_capacity(on.len());
        for (task, slot) in on {
            let mut run = Run::new(now, Allocation::from(&waiting.unit), waiting.patience);
            run.far_x = self.far_x(&waiting.unit, slot);
            let Some(worker) = self.workers.get_mut(slot) else {
                continue;
            };
            let id = worker.info.id.clone();
            worker.take(&task, run);
            self.refile(slot);
            placed.push(TaskAssignment { task, worker: id });
        }
        let waits = waiting.waits.ended(now);
        out.push(Decision::Start {
            unit: waiting.unit.id,
            assignments: placed,
            waits,
        });
    }

    /// The last check before room is taken, whoever chose the workers: no worker is filled beyond its room.
    fn has_room_for(&self, key: Key, on: &[(TaskId, Slot)]) -> bool {
        let Some(waiting) = self.queue.get(key) else {
            return false;
        };
        let mut counts: BTreeMap<Slot, u64> = BTreeMap::new();
        on.iter()
            .for_each(|(_, slot)| *counts.entry(*slot).or_insert(0) += 1);
        counts.into_iter().all(|(slot, count)| {
            let asked = times(&waiting.unit.resources, count);
            self.workers
                .get(slot)
                .is_some_and(|worker| worker.free().covers(&asked))
        })
    }

    #[cfg(not(feature = "mutant-claim"))]
    fn taken_from_queue(&mut self, key: Key, _on: &[(TaskId, Slot)]) -> Option<Waiting> {
        self.drop_waiting(key)
    }

    /// Fault for the tests to find: the copies at other workers stay.
    #[cfg(feature = "mutant-claim")]
    fn taken_from_queue(&mut self, key: Key, on: &[(TaskId, Slot)]) -> Option<Waiting> {
        let waiting = self.queue.get(key)?.clone();
        if waiting.copies.len() <= 1 {
            return self.drop_waiting(key);
        }
        for (_, slot) in on {
            let worker = self.workers.get_mut(*slot)?;
            worker.remove_copy(key, &waiting.unit.resources);
        }
        Some(waiting)
    }
}

/// Whether `anti_affinity` lets one more of the step's tasks onto a worker.
fn spreads(worker: &Worker, waiting: &Waiting) -> bool {
    let most = waiting.unit.anti_affinity;
    most == 0 || worker.count_of(&waiting.unit.id.step) < most
}

/// How long a unit may wait before it costs others anything.
fn patience_ms(waiting: &Waiting) -> f64 {
    PART_OF_SLACK_WAITED * waiting.unit.slack_ms as f64
}
