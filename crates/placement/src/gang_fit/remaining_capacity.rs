//! Remaining capacity of a worker, in total and under each headroom limit.

use crate::admission::headroom_against;
use crate::headroom::SlackClass;
use crate::reservation::HeadroomAccess;
use crate::resource_vector::ResourceVector;
use crate::run::Run;
use crate::unit_view::UnitView;
use crate::worker::Worker;

/// Limit on the resources of a worker that slack classes beyond a given one may hold.
#[derive(Clone, Debug)]
struct HeadroomLimit {
    /// Last class that the headroom is for.
    up_to: SlackClass,
    /// Maximum that runs of later classes may hold.
    max: ResourceVector,
    /// Resources that runs of later classes hold.
    used: ResourceVector,
}

impl HeadroomLimit {
    fn admits(&self, demand: ResourceVector, members: u32) -> bool {
        // A worker without runs of the later classes always admits one.
        let first = members == 1 && self.used.is_zero_or_less();
        first || (self.used + demand).fits_within(&self.max)
    }
}

/// Remaining capacity of a worker.
#[derive(Clone, Debug)]
pub(crate) struct RemainingCapacity {
    total: ResourceVector,
    limits: Vec<HeadroomLimit>,
}

impl RemainingCapacity {
    /// Remaining capacity for a unit, excluding what is reserved for units earlier in the queue, unless
    /// `access` opens it.
    pub(crate) fn of(
        view: &UnitView<'_>,
        worker: &Worker,
        access: HeadroomAccess,
    ) -> RemainingCapacity {
        let capacity = ResourceVector::from(&worker.info.capacity);
        let mut total = capacity;
        total -= ResourceVector::from(&worker.allocated.total());
        for reservation in &worker.reservations {
            if reservation.blocks(view.now, view.key, access) {
                total -= ResourceVector::from(&reservation.resources);
            }
        }
        let limits = if access > HeadroomAccess::Denied {
            Vec::new()
        } else {
            headroom_limits(view, worker, capacity)
        };
        RemainingCapacity { total, limits }
    }

    /// Adds the capacity that a run holds, as if the run had ended.
    pub(crate) fn free(&mut self, run: &Run) {
        let freed = ResourceVector::from(&run.allocation.resources);
        self.total += freed;
        for limit in self.limits_on(run) {
            limit.used -= freed;
        }
    }

    /// Reverts [`RemainingCapacity::free`] for a run.
    pub(crate) fn undo_free(&mut self, run: &Run) {
        let taken = ResourceVector::from(&run.allocation.resources);
        self.total -= taken;
        for limit in self.limits_on(run) {
            limit.used += taken;
        }
    }

    fn limits_on(&mut self, run: &Run) -> impl Iterator<Item = &mut HeadroomLimit> {
        let slack_class = run.slack_class;
        self.limits
            .iter_mut()
            .filter(move |limit| slack_class > limit.up_to)
    }

    /// Whether `members` members fit.
    pub(crate) fn fits(&self, member_demand: &ResourceVector, members: u32) -> bool {
        let demand = member_demand.scaled(f64::from(members));
        demand.fits_within(&self.total)
            && self
                .limits
                .iter()
                .all(|limit| limit.admits(demand, members))
    }
}

fn headroom_limits(
    view: &UnitView<'_>,
    worker: &Worker,
    capacity: ResourceVector,
) -> Vec<HeadroomLimit> {
    headroom_against(view)
        .map(|headroom| HeadroomLimit {
            up_to: headroom.up_to,
            max: capacity.minus_shares(headroom.shares),
            used: ResourceVector::from(&worker.allocated.above_slack_class(headroom.up_to)),
        })
        .collect()
}
