//! Which workers a unit would go to: a sample and the best remembered, ranked by own counts and what is added.

use crate::key::{Key, Slot};
use crate::placement::Placement;
use crate::policy::Mechanism;
use crate::queue::Waiting;
use crate::room::Worker;
use crate::service::{Pool, Service};
use rand::seq::IndexedRandom;
use streamusher_protocol::unit::Unit;
use streamusher_protocol::Millis;

/// Up to here all workers of a pool are ranked: that costs less than a wrong choice among few.
const SMALL_POOL: usize = 32;
/// Workers drawn at random from a larger pool.
const SAMPLE: usize = 6;
/// Workers remembered as the best: those with the lowest load.
const REMEMBERED: usize = 6;
/// How many of the list of the lowest load are looked at for eligible ones.
const LOOKED_AT: usize = 24;
/// The filed load of a worker whose room is taken.
const FULL: u32 = 100;
/// A failed run costs a retry: so many run times for each task of charge.
const RUNS_PER_CHARGE: f64 = 0.3;
/// Load decides between workers that are otherwise alike.
const WEIGHT_OF_LOAD: f64 = 0.2;
/// Puts avoided workers behind all others; in run times.
pub(crate) const PENALTY_OF_AVOIDED: f64 = 100.0;
/// From this share of a worker on, large tasks are expected: smaller ones are packed to leave whole workers.
pub(crate) const LARGE_SHARE: f64 = 0.4;

/// A worker as a unit sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ranked {
    /// Expected wait and penalty, in run times of the unit; lower is better.
    pub rank: f64,
    /// How much longer than usual the unit would take there, in its run times.
    pub penalty: f64,
    /// Expected wait in milliseconds.
    pub wait_ms: f64,
    pub slot: Slot,
}

impl Placement {
    /// What hardly changes while the unit waits: service, label, size, and that no copy of it is there.
    pub(crate) fn is_eligible(&self, unit: &Unit, slot: Slot) -> bool {
        let Some(worker) = self.workers.get(slot) else {
            return false;
        };
        worker.info.schedulable
            && worker.info.service == unit.service
            && worker.info.capacity.covers(&unit.resources)
            && unit
                .node_selector
                .as_ref()
                .is_none_or(|label| worker.has_label(label))
            && !worker.runs_copy_of(unit)
    }

    /// Eligible workers, best first; avoided ones come last.
    pub(crate) fn ranked(&mut self, now: Millis, key: Key) -> Vec<Ranked> {
        let Some(waiting) = self.queue.get(key) else {
            return Vec::new();
        };
        let Some(service) = self.services.get(&waiting.unit.service) else {
            return Vec::new();
        };
        let Some(pool) = service.pool(waiting.unit.node_selector.as_deref()) else {
            return Vec::new();
        };
        let drawn: Vec<Slot> = if pool.members.len() > SMALL_POOL {
            pool.members
                .choose_multiple(&mut self.rng, SAMPLE)
                .copied()
                .collect()
        } else {
            Vec::new()
        };
        let (queue, now) = (&self.queue, now);
        let Some(waiting) = queue.get(key) else {
            return Vec::new();
        };
        let Some(service) = self.services.get(&waiting.unit.service) else {
            return Vec::new();
        };
        let slots = self.candidates(&waiting.unit, service, drawn);
        let mut ranked: Vec<Ranked> = slots
            .into_iter()
            .filter_map(|slot| self.rank(now, key, waiting, service, slot))
            .collect();
        ranked.sort_by(|a, b| a.rank.total_cmp(&b.rank).then(a.slot.cmp(&b.slot)));
        ranked
    }

    fn candidates(&self, unit: &Unit, service: &Service, drawn: Vec<Slot>) -> Vec<Slot> {
        let Some(pool) = service.pool(unit.node_selector.as_deref()) else {
            return Vec::new();
        };
        let mut slots = drawn;
        if pool.members.len() <= SMALL_POOL {
            slots.extend(&pool.members);
        } else {
            self.remember(unit, pool, &mut slots);
            let near = unit
                .affinity
                .as_deref()
                .and_then(|rack| service.pool(Some(rack)));
            near.into_iter()
                .for_each(|near| self.remember(unit, near, &mut slots));
        }
        slots.retain(|slot| self.is_eligible(unit, *slot));
        slots.sort_unstable();
        slots.dedup();
        slots
    }

    /// Adds the least loaded and the most loaded of a pool that may still have room.
    fn remember(&self, unit: &Unit, pool: &Pool, slots: &mut Vec<Slot>) {
        let eligible = |(_, slot): &&(u32, Slot)| self.is_eligible(unit, *slot);
        let least = pool
            .by_load
            .iter()
            .take(LOOKED_AT)
            .filter(eligible)
            .take(REMEMBERED);
        slots.extend(least.map(|(_, slot)| slot));
        let below_full = pool.by_load.range(..(FULL, 0)).rev();
        slots.extend(
            below_full
                .take(LOOKED_AT)
                .filter(eligible)
                .take(REMEMBERED)
                .map(|(_, slot)| slot),
        );
    }

    pub(crate) fn rank(
        &self,
        now: Millis,
        key: Key,
        waiting: &Waiting,
        service: &Service,
        slot: Slot,
    ) -> Option<Ranked> {
        let worker = self.workers.get(slot)?;
        let run_ms = self.run_ms(&waiting.unit, service);
        let penalty = self.penalty(now, &waiting.unit, worker, service);
        let admitted = self.admits(now, key, waiting, slot);
        let wait_ms = if admitted {
            0.0
        } else {
            wait_ms(worker, service, waiting)
        };
        let share = worker.load();
        let packs = self.uses(Mechanism::Packing)
            && service.largest_share(now) >= LARGE_SHARE
            && waiting.share_of(worker) < LARGE_SHARE;
        let load = if packs && admitted {
            1.0 - share
        } else {
            share + waiting.share_of(worker)
        };
        let rank = penalty + wait_ms / run_ms + WEIGHT_OF_LOAD * load;
        Some(Ranked {
            rank,
            penalty,
            wait_ms,
            slot,
        })
    }

    /// Run time that the unit is expected to take at a usual worker near its data.
    pub(crate) fn run_ms(&self, unit: &Unit, service: &Service) -> f64 {
        match unit.estimated_ms {
            0 => service.usual_ms().max(1.0),
            estimated => estimated as f64,
        }
    }

    /// How much longer than usual a worker's runs have lately taken.
    pub(crate) fn slowness_at(&self, now: Millis, worker: &Worker, service: &Service) -> f64 {
        if self.uses(Mechanism::RelativeSpeed) {
            worker.speed.slowness(now, &service.speed)
        } else {
            1.0
        }
    }

    /// How much longer than usual the unit takes at a worker, in its run times: wrong rack, slow, failing.
    fn penalty(&self, now: Millis, unit: &Unit, worker: &Worker, service: &Service) -> f64 {
        let far_x = if self.uses(Mechanism::DataLocality) {
            self.far_x_at(unit, worker)
        } else {
            1.0
        };
        let slowness = self.slowness_at(now, worker, service);
        let avoided = if self.uses(Mechanism::Avoidance) && unit.avoid.contains(&worker.info.id) {
            PENALTY_OF_AVOIDED
        } else {
            0.0
        };
        avoided + far_x * slowness - 1.0 + RUNS_PER_CHARGE * worker.charge.at(now)
    }

    /// How much longer a run takes at a worker than near its data.
    pub(crate) fn far_x(&self, unit: &Unit, slot: Slot) -> f64 {
        self.workers
            .get(slot)
            .map_or(1.0, |worker| self.far_x_at(unit, worker))
    }

    fn far_x_at(&self, unit: &Unit, worker: &Worker) -> f64 {
        let is_far = unit
            .affinity
            .as_ref()
            .is_some_and(|rack| !worker.has_label(rack));
        if is_far {
            self.settings.remote_slowdown.max(1.0)
        } else {
            1.0
        }
    }

    /// How long the unit would take at a worker.
    pub(crate) fn expected_ms(
        &self,
        now: Millis,
        unit: &Unit,
        worker: &Worker,
        service: &Service,
    ) -> f64 {
        if unit.long_running {
            return f64::INFINITY;
        }
        let penalty = self.penalty(now, unit, worker, service) % PENALTY_OF_AVOIDED;
        self.run_ms(unit, service) * (1.0 + penalty).max(0.1)
    }
}

/// Expected wait by counts: room comes free as runs end, and the copies before this one take it first.
fn wait_ms(worker: &Worker, service: &Service, waiting: &Waiting) -> f64 {
    let ahead = worker.queue.len() as f64;
    let runs = worker.runs.len() as f64;
    // A task that takes the room of many needs as many ends.
    let ends = (waiting.share_of(worker) * runs).max(1.0);
    service.usual_ms() * (ends + ahead) / (runs + 1.0)
}
