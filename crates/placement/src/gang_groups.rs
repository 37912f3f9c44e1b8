//! Groups of workers that a gang may be placed on: each rack, then all workers.

use crate::cycle::SchedulingCycle;
use crate::eligibility::is_eligible;
use crate::index::{QueueKey, WorkerIndex};
use crate::policy::Mechanism;
use crate::ranking::{rank, RankedWorker};
use crate::run_estimate::baseline_run_ms;
use crate::unit_view::UnitView;
use crate::wait_escalation::ANY_WORKER_AFTER_MS;
use crate::worker_pool::WorkerPool;
use rand::seq::IndexedRandom;

/// Maximum number of workers of a pool that one attempt considers; a larger pool is sampled at random.
const MAX_WORKERS: usize = 256;
/// Maximum number of racks that one attempt considers; a larger number is sampled at random.
const MAX_RACKS: usize = 64;
/// Compensates for rounding when a whole number of members fills a worker.
const ROUNDING_MARGIN: f64 = 1e-9;

/// Groups of workers that a gang may be placed on, in order of preference.
pub(crate) fn worker_groups(
    cycle: &mut SchedulingCycle<'_>,
    key: QueueKey,
) -> Vec<Vec<RankedWorker>> {
    let mut groups = rack_groups(cycle, key);
    groups.extend(all_workers_group(cycle, key));
    groups
}

/// One group per rack, for a gang that requests a single rack.
fn rack_groups(cycle: &mut SchedulingCycle<'_>, key: QueueKey) -> Vec<Vec<RankedWorker>> {
    let Some(view) = UnitView::new(cycle.cluster, cycle.now, key) else {
        return Vec::new();
    };
    if !requests_one_rack(&view) {
        return Vec::new();
    }
    let mut racks: Vec<&WorkerPool> = view.service.pools.racks().collect();
    if racks.len() > MAX_RACKS {
        racks = racks
            .choose_multiple(cycle.random, MAX_RACKS)
            .copied()
            .collect();
    }
    racks
        .into_iter()
        .map(|rack| ranked_eligible(&view, &rack.members))
        .filter(|group| !group.is_empty())
        .collect()
}

/// All workers as one group, if spreading over several racks costs nothing or no more than waiting for a
/// single rack.
fn all_workers_group(cycle: &mut SchedulingCycle<'_>, key: QueueKey) -> Option<Vec<RankedWorker>> {
    let view = UnitView::new(cycle.cluster, cycle.now, key)?;
    if !may_span_racks(&view) {
        return None;
    }
    let pool = view.pool()?;
    let members: Vec<WorkerIndex> = if pool.members.len() > MAX_WORKERS {
        pool.members
            .choose_multiple(cycle.random, MAX_WORKERS)
            .copied()
            .collect()
    } else {
        pool.members.clone()
    };
    Some(ranked_eligible(&view, &members))
}

fn requests_one_rack(view: &UnitView<'_>) -> bool {
    view.unit().same_rack && view.uses(Mechanism::RackLocality)
}

/// Whether the gang may spread over several racks. Waiting for a single rack is worthwhile up to the cost of
/// the slower run across racks.
fn may_span_racks(view: &UnitView<'_>) -> bool {
    if !requests_one_rack(view) {
        return true;
    }
    let slowdown = (view.cluster.settings.remote_slowdown - 1.0).max(0.0);
    let cost_ms = slowdown * baseline_run_ms(view);
    view.waited_ms() as f64 >= cost_ms.min(ANY_WORKER_AFTER_MS as f64)
        || !view
            .service
            .pools
            .racks()
            .any(|rack| rack_fits_all_members(view, rack))
}

/// Whether a rack has capacity for all members when it is empty.
fn rack_fits_all_members(view: &UnitView<'_>, rack: &WorkerPool) -> bool {
    let workers = &view.cluster.workers;
    let members = rack
        .members
        .iter()
        .filter(|index| is_eligible(workers, view.unit(), **index))
        .filter_map(|index| workers.get(*index))
        .map(|worker| max_members_when_empty(view, view.pending.share_of(worker)));
    members.sum::<f64>() >= view.unit().tasks.len() as f64
}

fn max_members_when_empty(view: &UnitView<'_>, share_per_member: f64) -> f64 {
    let by_capacity = if share_per_member > 0.0 {
        (1.0 / share_per_member + ROUNDING_MARGIN).floor()
    } else {
        f64::INFINITY
    };
    let by_anti_affinity = match view.unit().anti_affinity {
        0 => f64::INFINITY,
        limit => f64::from(limit),
    };
    by_capacity.min(by_anti_affinity)
}

fn ranked_eligible(view: &UnitView<'_>, workers: &[WorkerIndex]) -> Vec<RankedWorker> {
    workers
        .iter()
        .filter(|index| is_eligible(&view.cluster.workers, view.unit(), **index))
        .filter_map(|index| rank(view, *index))
        .collect()
}
