//! Candidate workers that a unit is ranked on: all of a small pool; in a larger one a random sample plus the
//! least and the most loaded workers.

use crate::cycle::SchedulingCycle;
use crate::eligibility::is_eligible;
use crate::index::{QueueKey, WorkerIndex};
use crate::ranking::{rank, RankedWorker};
use crate::unit_view::UnitView;
use crate::worker_pool::WorkerPool;
use rand::seq::IndexedRandom;

/// Pool size up to which all workers are ranked. That costs less than a wrong choice among few.
const MAX_FULLY_RANKED: usize = 32;
/// Number of workers sampled at random from a larger pool.
const RANDOM_SAMPLE: usize = 6;
/// Number of workers taken from each end of the pool's order by load.
const TAKEN_PER_LOAD_EXTREME: usize = 6;
/// Maximum number of workers scanned at each end to find eligible ones.
const SCANNED_PER_LOAD_EXTREME: usize = 24;

/// Ranked candidates for a unit, best first; those that the unit avoids come last.
pub(crate) fn ranked_candidates(
    cycle: &mut SchedulingCycle<'_>,
    key: QueueKey,
) -> Vec<RankedWorker> {
    let Some(view) = UnitView::new(cycle.cluster, cycle.now, key) else {
        return Vec::new();
    };
    let Some(pool) = view.pool() else {
        return Vec::new();
    };
    let candidates = if pool.members.len() <= MAX_FULLY_RANKED {
        pool.members.clone()
    } else {
        let sample = pool
            .members
            .choose_multiple(cycle.random, RANDOM_SAMPLE)
            .copied();
        let mut candidates: Vec<WorkerIndex> = sample.collect();
        add_by_load(&view, pool, &mut candidates);
        candidates
    };
    let mut ranked: Vec<RankedWorker> = dedup_eligible(&view, candidates)
        .into_iter()
        .filter_map(|index| rank(&view, index))
        .collect();
    ranked.sort_by(|left, right| {
        left.rank
            .total_cmp(&right.rank)
            .then(left.index.cmp(&right.index))
    });
    ranked
}

/// Adds workers by load: from the pool, and from the rack with the unit's data.
fn add_by_load(view: &UnitView<'_>, pool: &WorkerPool, candidates: &mut Vec<WorkerIndex>) {
    add_load_extremes(view, pool, candidates);
    let data_rack = view.unit().affinity.as_deref();
    let data_rack_pool = data_rack.and_then(|rack| view.service.pools.with_label(Some(rack)));
    if let Some(data_rack_pool) = data_rack_pool {
        add_load_extremes(view, data_rack_pool, candidates);
    }
}

/// Adds the least loaded workers of a pool, and the most loaded ones that may have free capacity.
fn add_load_extremes(view: &UnitView<'_>, pool: &WorkerPool, candidates: &mut Vec<WorkerIndex>) {
    let is_eligible = |index: &WorkerIndex| is_eligible(&view.cluster.workers, view.unit(), *index);
    let least_loaded = pool.least_loaded().take(SCANNED_PER_LOAD_EXTREME);
    candidates.extend(
        least_loaded
            .filter(is_eligible)
            .take(TAKEN_PER_LOAD_EXTREME),
    );
    let most_loaded = pool.most_loaded_below_full().take(SCANNED_PER_LOAD_EXTREME);
    candidates.extend(most_loaded.filter(is_eligible).take(TAKEN_PER_LOAD_EXTREME));
}

/// Removes ineligible and duplicate workers and sorts by index.
fn dedup_eligible(view: &UnitView<'_>, mut candidates: Vec<WorkerIndex>) -> Vec<WorkerIndex> {
    candidates.retain(|index| is_eligible(&view.cluster.workers, view.unit(), *index));
    candidates.sort_unstable();
    candidates.dedup();
    candidates
}
