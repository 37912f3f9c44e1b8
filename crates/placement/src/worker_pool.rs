//! Pools of workers, ordered by load: one of all workers of a service, and one per label.

use crate::index::WorkerIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Position of the rack among a worker's labels.
const RACK_LABEL: usize = 1;

/// A worker's load in hundredths of its capacity, up to twice the capacity. A finer or higher scale would
/// make no difference.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LoadLevel(u32);

impl LoadLevel {
    /// Level of a worker whose whole capacity is allocated.
    const FULL: LoadLevel = LoadLevel(100);
    const PER_CAPACITY: f64 = 100.0;
    const MAX: f64 = 200.0;

    /// Converts a load given as a share of the capacity.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "clamped to the greatest level; the fraction is meant to be cut off"
    )]
    pub(crate) fn of(load: f64) -> LoadLevel {
        LoadLevel((load * LoadLevel::PER_CAPACITY).clamp(0.0, LoadLevel::MAX) as u32)
    }
}

/// The workers with one label, or all workers of a service.
#[derive(Debug, Default)]
pub(crate) struct WorkerPool {
    /// Workers of the pool, in no particular order; used for random sampling.
    pub(crate) members: Vec<WorkerIndex>,
    by_load: BTreeSet<(LoadLevel, WorkerIndex)>,
}

impl WorkerPool {
    fn add(&mut self, worker: WorkerIndex, load: LoadLevel) {
        if self.by_load.insert((load, worker)) {
            self.members.push(worker);
        }
    }

    fn remove(&mut self, worker: WorkerIndex, load: LoadLevel) {
        self.members.retain(|member| *member != worker);
        self.by_load.remove(&(load, worker));
    }

    fn change_load(&mut self, worker: WorkerIndex, previous: LoadLevel, load: LoadLevel) {
        self.by_load.remove(&(previous, worker));
        self.by_load.insert((load, worker));
    }

    /// Members in order of load, least loaded first.
    pub(crate) fn least_loaded(&self) -> impl Iterator<Item = WorkerIndex> + '_ {
        self.by_load.iter().map(|(_, worker)| *worker)
    }

    /// Members that may have free capacity, most loaded first.
    pub(crate) fn most_loaded_below_full(&self) -> impl Iterator<Item = WorkerIndex> + '_ {
        let below_full = self.by_load.range(..(LoadLevel::FULL, WorkerIndex(0)));
        below_full.rev().map(|(_, worker)| *worker)
    }
}

/// Worker pools of one service.
#[derive(Debug, Default)]
pub(crate) struct WorkerPools {
    pub(crate) all: WorkerPool,
    by_label: BTreeMap<Arc<str>, WorkerPool>,
    /// Number of workers by rack label.
    workers_by_rack: BTreeMap<Arc<str>, u32>,
}

impl WorkerPools {
    pub(crate) fn add(&mut self, worker: WorkerIndex, labels: &[Arc<str>], load: LoadLevel) {
        self.all.add(worker, load);
        for label in labels {
            let pool = self.by_label.entry(label.clone()).or_default();
            pool.add(worker, load);
        }
        if let Some(rack) = labels.get(RACK_LABEL) {
            *self.workers_by_rack.entry(rack.clone()).or_insert(0) += 1;
        }
    }

    pub(crate) fn remove(&mut self, worker: WorkerIndex, labels: &[Arc<str>], load: LoadLevel) {
        self.all.remove(worker, load);
        for label in labels {
            let Some(pool) = self.by_label.get_mut(label) else {
                continue;
            };
            pool.remove(worker, load);
            if pool.members.is_empty() {
                self.by_label.remove(label);
            }
        }
        if let Some(rack) = labels.get(RACK_LABEL) {
            self.remove_from_rack(rack);
        }
    }

    fn remove_from_rack(&mut self, rack: &Arc<str>) {
        let count = self.workers_by_rack.get(rack).copied().unwrap_or(0);
        let remaining = count.saturating_sub(1);
        if remaining == 0 {
            self.workers_by_rack.remove(rack);
        } else {
            self.workers_by_rack.insert(rack.clone(), remaining);
        }
    }

    pub(crate) fn change_load(
        &mut self,
        worker: WorkerIndex,
        labels: &[Arc<str>],
        previous: LoadLevel,
        load: LoadLevel,
    ) {
        self.all.change_load(worker, previous, load);
        for label in labels {
            if let Some(pool) = self.by_label.get_mut(label) {
                pool.change_load(worker, previous, load);
            }
        }
    }

    /// Pool of the workers with a label, or of all workers if `label` is `None`.
    pub(crate) fn with_label(&self, label: Option<&str>) -> Option<&WorkerPool> {
        match label {
            Some(label) => self.by_label.get(label),
            None => Some(&self.all),
        }
    }

    /// Pool of each rack, in the order of the rack labels.
    pub(crate) fn racks(&self) -> impl Iterator<Item = &WorkerPool> {
        let racks = self.workers_by_rack.keys();
        racks.filter_map(|rack| self.by_label.get(rack))
    }
}
