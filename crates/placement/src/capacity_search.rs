//! Search for capacity for a unit that does not fit: capacity is reserved as runs end, or freed by preempting
//! less urgent runs.

use crate::admission::remaining_wait_ms;
use crate::cluster::ReservationWindow;
use crate::cycle::SchedulingCycle;
use crate::decision::Decision;
use crate::gang_fit::{cheapest_plan, GangPlan, PreemptionScope};
use crate::index::{QueueKey, WorkerIndex};
use crate::policy::Mechanism;
use crate::ranking::RankedWorker;
use crate::unit_view::UnitView;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Capacity that is expected to become free within this time is waited for instead of preempting runs.
const SHORT_WAIT_MS: f64 = 300.0;
/// Waiting time from which a unit that may preempt, but not reserve, no longer waits for runs to end.
const PREEMPT_AFTER_MS: Millis = 700;
/// Waiting time from which capacity is reserved far ahead for a unit that may not preempt yet.
const RESERVE_AHEAD_AFTER_MS: Millis = 300;
/// How far ahead capacity is reserved, in milliseconds; tried in this order.
const RESERVE_AHEAD_MS: [f64; 2] = [2_000.0, 15_000.0];
/// A reservation expires this long after its capacity was expected.
const RESERVATION_GRACE_MS: Millis = 500;
/// Single tasks that take less than this share of a worker get no reservation: they fit anyway as other runs
/// end.
const MIN_RESERVED_SHARE: f64 = 0.2;
/// A service may have one unit with reservations, plus one for each this many workers.
const WORKERS_PER_RESERVING_UNIT: usize = 8;
/// Maximum cost of the preemptions for one unit, in multiples of a small job's value.
const MAX_COST_FOR_MOST_URGENT: f64 = 0.5;
const MAX_COST_FOR_OTHERS: f64 = 0.25;
const MAX_COST_FOR_GANG: f64 = 1.5;

/// Searches capacity in groups of workers: tries the scopes in order, and reserves what the first affordable
/// plan needs.
pub(crate) fn search_capacity(
    cycle: &mut SchedulingCycle<'_>,
    key: QueueKey,
    groups: &[Vec<RankedWorker>],
) {
    cycle.remaining_searches = cycle.remaining_searches.saturating_sub(1);
    let Some(view) = cycle.view(key) else {
        return;
    };
    let max_cost = max_cost(&view);
    let found = scopes(&view, groups).into_iter().find_map(|scope| {
        let plan = cheapest_plan(&view, groups, scope)?;
        (plan.cost <= max_cost).then_some((plan, scope.max_remaining_ms()?))
    });
    if let Some((plan, within_ms)) = found {
        apply_plan(cycle, key, plan, within_ms);
    }
}

/// Whether a search could succeed; a cheap check before workers are ranked.
pub(crate) fn search_may_succeed(view: &UnitView<'_>, workers: &[WorkerIndex]) -> bool {
    !view.unit().speculative && (may_preempt(view, workers) || may_reserve(view, workers))
}

/// Scopes of the search, in the order in which they are tried.
fn scopes(view: &UnitView<'_>, groups: &[Vec<RankedWorker>]) -> Vec<PreemptionScope> {
    let workers: Vec<WorkerIndex> = groups.iter().flatten().map(|worker| worker.index).collect();
    let may_preempt = may_preempt(view, &workers);
    let may_reserve = may_reserve(view, &workers);
    let waited_ms = view.waited_ms();
    let remaining_ms = remaining_wait_ms(view);
    let mut scopes = Vec::new();
    if may_reserve || may_preempt && waited_ms < PREEMPT_AFTER_MS {
        scopes.push(PreemptionScope::EndingSoon {
            within_ms: SHORT_WAIT_MS,
        });
    }
    if may_reserve && remaining_ms > SHORT_WAIT_MS {
        scopes.push(PreemptionScope::EndingSoon {
            within_ms: remaining_ms,
        });
    }
    if may_preempt && (may_reserve || remaining_ms <= 0.0) {
        scopes.extend(preempting_scopes(view));
    }
    if may_reserve && waited_ms >= RESERVE_AHEAD_AFTER_MS {
        let ahead = |within_ms| PreemptionScope::EndingSoon { within_ms };
        scopes.extend(RESERVE_AHEAD_MS.map(ahead));
    }
    scopes
}

fn preempting_scopes(view: &UnitView<'_>) -> Vec<PreemptionScope> {
    let mut scopes = vec![PreemptionScope::Preempting {
        within_ms: SHORT_WAIT_MS,
        gang_members: false,
    }];
    if view.pending.is_gang() {
        scopes.push(PreemptionScope::Preempting {
            within_ms: RESERVE_AHEAD_MS[0],
            gang_members: false,
        });
    }
    if view.unit().priority == 0 {
        scopes.push(PreemptionScope::Preempting {
            within_ms: SHORT_WAIT_MS,
            gang_members: true,
        });
    }
    scopes
}

/// Whether one of the workers has runs that are less urgent than the unit.
fn may_preempt(view: &UnitView<'_>, workers: &[WorkerIndex]) -> bool {
    let runs_less_urgent = |index: &WorkerIndex| {
        let worker = view.cluster.workers.get(*index);
        worker.is_some_and(|worker| {
            worker.allocated.below_priority(view.unit().priority) != Resources::default()
        })
    };
    view.uses(Mechanism::Preemption) && workers.iter().any(runs_less_urgent)
}

/// Whether capacity may be reserved: only for gangs and large tasks, and for a limited number of units at a
/// time.
fn may_reserve(view: &UnitView<'_>, workers: &[WorkerIndex]) -> bool {
    let service = view.service;
    let max_units = 1 + service.pools.all.members.len() / WORKERS_PER_RESERVING_UNIT;
    let first = workers
        .first()
        .and_then(|index| view.cluster.workers.get(*index));
    let is_large = first.is_some_and(|worker| view.pending.share_of(worker) >= MIN_RESERVED_SHARE);
    view.uses(Mechanism::Reservations)
        && (view.pending.is_gang() || is_large)
        && service.reserving_units.len() < max_units
}

fn max_cost(view: &UnitView<'_>) -> f64 {
    if view.pending.is_gang() {
        MAX_COST_FOR_GANG
    } else if view.unit().priority == 0 {
        MAX_COST_FOR_MOST_URGENT
    } else {
        MAX_COST_FOR_OTHERS
    }
}

/// Reserves the capacity of a plan and orders its preemptions.
fn apply_plan(cycle: &mut SchedulingCycle<'_>, key: QueueKey, plan: GangPlan, within_ms: f64) {
    let window = reservation_window(cycle, &plan, within_ms);
    for assignment in plan.assignments {
        let by_preemption = !assignment.victims.is_empty();
        let (index, members) = (assignment.worker, assignment.members);
        cycle
            .cluster
            .reserve(key, index, members, window, by_preemption);
        let Some(worker) = cycle.cluster.workers.get_mut(index) else {
            continue;
        };
        for task in assignment.victims {
            worker.mark_stopping(&task);
            cycle.decisions.push(Decision::Preempt {
                task,
                worker: worker.info.id.clone(),
            });
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the fraction of a millisecond is meant to be cut off"
)]
fn reservation_window(
    cycle: &SchedulingCycle<'_>,
    plan: &GangPlan,
    within_ms: f64,
) -> ReservationWindow {
    let preempts = plan
        .assignments
        .iter()
        .any(|assignment| !assignment.victims.is_empty());
    let stop_ms = if preempts {
        cycle.cluster.settings.max_stop_ms
    } else {
        0
    };
    let available_at = cycle.now.saturating_add(stop_ms.max(within_ms as Millis));
    ReservationWindow {
        available_at,
        expires_at: available_at.saturating_add(RESERVATION_GRACE_MS),
    }
}
