//! One service: its workers by label and by load, its demand, and what is usual there.

use crate::amounts::{amounts, Amounts};
use crate::headroom::Headroom;
use crate::key::{Key, Slot};
use crate::learning::{most_runs, Charge, Mean, Speed};
use crate::pace::Paces;
use crate::room::Worker;
use crate::types::Allocation;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Which of a worker's labels names its rack.
pub(crate) const RACK_LABEL: usize = 1;
/// What is kept free is worked out anew at this interval.
const SETTLE_MS: Millis = 100;
/// Usual run time before any end was seen.
const FIRST_USUAL_MS: f64 = 1_000.0;
/// Below this share of use, a unit that has waited long takes any room there is.
const LIGHT_USE: f64 = 0.6;

/// Workers with one label, or all of a service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub members: Vec<Slot>,
    /// The best remembered: by load in hundredths.
    pub by_load: BTreeSet<(u32, Slot)>,
}

/// One service.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub all: Pool,
    by_label: BTreeMap<Arc<str>, Pool>,
    /// Rack labels with the number of their workers.
    racks: BTreeMap<Arc<str>, u32>,
    /// Room of the workers that take new work.
    capacity: Amounts,
    /// What runs at them takes.
    used: Amounts,
    pub headroom: Headroom,
    settled_at: Option<Millis>,
    /// Units that room is kept for.
    pub reserving: BTreeSet<Key>,
    /// Gangs that wait.
    pub gangs: BTreeSet<Key>,
    pub speed: Speed,
    /// Sum of the workers' charges.
    charges: Charge,
    run_ms: Mean,
    /// Run times of its newest steps' tasks.
    paces: Paces,
    /// Largest share of a worker that a unit asked for lately.
    largest_share: f64,
    largest_at: Millis,
}

impl Service {
    pub fn add(&mut self, slot: Slot, worker: &mut Worker) {
        self.all.add(slot, worker.filed_load);
        for label in &worker.info.labels {
            self.by_label
                .entry(label.clone())
                .or_default()
                .add(slot, worker.filed_load);
        }
        if let Some(rack) = worker.info.labels.get(RACK_LABEL) {
            *self.racks.entry(rack.clone()).or_insert(0) += 1;
        }
        self.count_capacity(worker, 1.0);
        self.recount(worker);
    }

    pub fn remove(&mut self, slot: Slot, worker: &mut Worker) {
        self.all.remove(slot, worker.filed_load);
        for label in &worker.info.labels {
            let Some(pool) = self.by_label.get_mut(label) else {
                continue;
            };
            pool.remove(slot, worker.filed_load);
            if pool.members.is_empty() {
                self.by_label.remove(label);
            }
        }
        if let Some(rack) = worker.info.labels.get(RACK_LABEL) {
            let left = self.racks.get(rack).copied().unwrap_or(0).saturating_sub(1);
            if left == 0 {
                self.racks.remove(rack);
            } else {
                self.racks.insert(rack.clone(), left);
            }
        }
        self.count_capacity(worker, -1.0);
        add(&mut self.used, &worker.counted, -1.0);
        worker.counted = Resources::default();
    }

    fn count_capacity(&mut self, worker: &Worker, sign: f64) {
        if !worker.info.schedulable {
            return;
        }
        self.settled_at = None;
        add(&mut self.capacity, &worker.info.capacity, sign);
    }

    /// Counts what an open worker holds now.
    pub fn recount(&mut self, worker: &mut Worker) {
        let holds = if worker.info.schedulable {
            worker.used
        } else {
            Resources::default()
        };
        add(&mut self.used, &worker.counted, -1.0);
        add(&mut self.used, &holds, 1.0);
        worker.counted = holds;
    }

    /// Files a worker under its new load.
    pub fn file(&mut self, slot: Slot, worker: &Worker, before: u32) {
        self.all.file(slot, before, worker.filed_load);
        for label in &worker.info.labels {
            if let Some(pool) = self.by_label.get_mut(label) {
                pool.file(slot, before, worker.filed_load);
            }
        }
    }

    pub fn pool(&self, label: Option<&str>) -> Option<&Pool> {
        match label {
            Some(label) => self.by_label.get(label),
            None => Some(&self.all),
        }
    }

    pub fn racks(&self) -> impl Iterator<Item = &Pool> {
        self.racks.keys().filter_map(|rack| self.by_label.get(rack))
    }

    /// Whether much of the room is free.
    pub fn is_lightly_used(&self) -> bool {
        let pairs = self.used.iter().zip(self.capacity);
        pairs
            .map(|(used, all)| used / all.max(1.0))
            .fold(0.0, f64::max)
            < LIGHT_USE
    }

    pub fn settle(&mut self, now: Millis) {
        if self
            .settled_at
            .is_some_and(|at| now < at.saturating_add(SETTLE_MS))
        {
            return;
        }
        self.settled_at = Some(now);
        self.headroom.settle(now, self.capacity);
    }

    pub fn usual_ms(&self) -> f64 {
        self.run_ms.or(FIRST_USUAL_MS)
    }

    pub fn change_charges(&mut self, now: Millis, change: f64) {
        self.charges.add(now, change);
    }

    /// How many runs a worker may have at once, by its failures.
    pub fn most_runs(&self, now: Millis, worker: &Worker) -> usize {
        let charge = worker.charge.at(now);
        if charge == 0.0 {
            return usize::MAX;
        }
        most_runs(
            charge,
            self.charges.at(now) / self.all.members.len().max(1) as f64,
        )
    }

    pub fn learn_run(&mut self, ran_ms: Millis) {
        self.run_ms.learn(ran_ms as f64);
    }

    /// A run takes, or took, this time near its data: tells the speed of its worker by the step's other tasks, or by its
    /// estimate where there is none. A gang's members all take the time of the slowest.
    pub fn learn_speed(
        &mut self,
        now: Millis,
        held: &Allocation,
        near_ms: f64,
        worker: &mut Speed,
    ) {
        if held.gang_member {
            return;
        }
        let by_step = self.paces.compare(&held.unit.step, near_ms);
        let by_estimate = || (held.estimated_ms > 0).then(|| near_ms / held.estimated_ms as f64);
        let Some(ratio) = by_step.or_else(by_estimate) else {
            return;
        };
        worker.learn(now, ratio);
        self.speed.learn(now, ratio);
    }

    /// Notes what share of a worker a unit asks for.
    pub fn note_share(&mut self, now: Millis, share: f64) {
        let before = self.largest_share(now);
        if share >= before {
            (self.largest_share, self.largest_at) = (share, now);
        }
    }

    /// The largest share asked for lately; fades.
    pub fn largest_share(&self, now: Millis) -> f64 {
        const HALF_LIFE_MS: f64 = 30_000.0;
        self.largest_share * (-(now.saturating_sub(self.largest_at) as f64) / HALF_LIFE_MS).exp2()
    }
}

fn add(sum: &mut Amounts, resources: &Resources, sign: f64) {
    for (sum, part) in sum.iter_mut().zip(amounts(resources)) {
        *sum = (*sum + sign * part).max(0.0);
    }
}

impl Pool {
    fn add(&mut self, slot: Slot, load: u32) {
        if self.by_load.insert((load, slot)) {
            self.members.push(slot);
        }
    }

    fn remove(&mut self, slot: Slot, load: u32) {
        self.members.retain(|member| *member != slot);
        self.by_load.remove(&(load, slot));
    }

    fn file(&mut self, slot: Slot, before: u32, load: u32) {
        self.by_load.remove(&(before, slot));
        self.by_load.insert((load, slot));
    }
}
