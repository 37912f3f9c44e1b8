//! Gang fit: finds workers for all members of a unit at once, using free capacity, capacity that becomes free
//! soon, or preemption. A single task is treated as a gang of one.
//!
//! The algorithm is greedy bin packing: each member goes to the worker where it costs least, with ties broken
//! by rank.

mod candidate;
mod preemption_scope;
mod remaining_capacity;

pub(crate) use candidate::WorkerAssignment;
pub(crate) use preemption_scope::PreemptionScope;

use crate::ranking::RankedWorker;
use crate::resource_vector::ResourceVector;
use crate::unit_view::UnitView;
use candidate::CandidateWorker;

/// An assignment of all members of a unit to workers.
#[derive(Clone, Debug)]
pub(crate) struct GangPlan {
    pub(crate) assignments: Vec<WorkerAssignment>,
    /// Cost of the preemptions, in multiples of a small job's value.
    pub(crate) cost: f64,
    /// Sum of the ranks of the workers.
    rank: f64,
}

/// Best plan over the groups of workers: the cheapest, then the best ranked, then the one of the earliest
/// group.
pub(crate) fn cheapest_plan(
    view: &UnitView<'_>,
    groups: &[Vec<RankedWorker>],
    scope: PreemptionScope,
) -> Option<GangPlan> {
    let plans = groups
        .iter()
        .filter_map(|group| plan_within(view, group, scope));
    plans.min_by(|left, right| {
        left.cost
            .total_cmp(&right.cost)
            .then(left.rank.total_cmp(&right.rank))
    })
}

/// Greedy low-cost plan that places all members of a unit within a group of workers; `None` if they do not
/// fit.
fn plan_within(
    view: &UnitView<'_>,
    group: &[RankedWorker],
    scope: PreemptionScope,
) -> Option<GangPlan> {
    let demand = ResourceVector::from(&view.unit().resources);
    let mut candidates: Vec<CandidateWorker<'_>> = group
        .iter()
        .filter_map(|worker| CandidateWorker::new(view, worker, scope))
        .collect();
    for _ in &view.unit().tasks {
        candidates
            .iter_mut()
            .filter(|candidate| candidate.fits_next_member())
            .min_by(|left, right| left.compare_next_member(right))?
            .add_member(&demand);
    }
    Some(plan_of(&candidates, &demand))
}

fn plan_of(candidates: &[CandidateWorker<'_>], demand: &ResourceVector) -> GangPlan {
    let chosen = || {
        candidates
            .iter()
            .filter(|candidate| candidate.has_members())
    };
    let assignments: Vec<WorkerAssignment> = chosen()
        .map(|candidate| candidate.assignment(demand))
        .collect();
    GangPlan {
        cost: assignments.iter().map(|assignment| assignment.cost).sum(),
        rank: chosen().map(CandidateWorker::rank).sum(),
        assignments,
    }
}
