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
const PER_END_OF_LOAD: usize = 6;
/// Maximum number of workers scanned at each end to find eligible ones.
const SCANNED_PER_END: usize = 24;

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
    let mut ranked: Vec<RankedWorker> = eligible_once(&view, candidates)
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
    add_ends_of_load(view, pool, candidates);
    let data_rack = view.unit().affinity.as_deref();
    let near_data = data_rack.and_then(|rack| view.service.pools.with_label(Some(rack)));
    if let Some(near_data) = near_data {
        add_ends_of_load(view, near_data, candidates);
    }
}

/// Adds the least loaded workers of a pool, and the most loaded ones that may have free capacity.
fn add_ends_of_load(view: &UnitView<'_>, pool: &WorkerPool, candidates: &mut Vec<WorkerIndex>) {
    let is_eligible = |index: &WorkerIndex| is_eligible(&view.cluster.workers, view.unit(), *index);
    let least_loaded = pool.least_loaded().take(SCANNED_PER_END);
    candidates.extend(least_loaded.filter(is_eligible).take(PER_END_OF_LOAD));
    let most_loaded = pool.most_loaded_below_full().take(SCANNED_PER_END);
    candidates.extend(most_loaded.filter(is_eligible).take(PER_END_OF_LOAD));
}

/// Removes ineligible and duplicate workers and sorts by index.
fn eligible_once(view: &UnitView<'_>, mut candidates: Vec<WorkerIndex>) -> Vec<WorkerIndex> {
    candidates.retain(|index| is_eligible(&view.cluster.workers, view.unit(), *index));
    candidates.sort_unstable();
    candidates.dedup();
    candidates
}
