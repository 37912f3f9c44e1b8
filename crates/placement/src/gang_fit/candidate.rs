//! A worker that may take members of a gang while a plan is made.

use super::preemption_scope::PreemptionScope;
use super::remaining_capacity::RemainingCapacity;
use crate::admission::has_run_slot;
use crate::index::WorkerIndex;
use crate::ranking::RankedWorker;
use crate::reservation::HeadroomAccess;
use crate::resource_vector::ResourceVector;
use crate::run::Run;
use crate::unit_view::UnitView;
use crate::wait_escalation::headroom_access;
use crate::worker::Worker;
use std::cmp::Ordering;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::Unit;

/// Members that a plan assigns to one worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerAssignment {
    pub(crate) worker: WorkerIndex,
    pub(crate) members: u32,
    /// Runs to preempt for the members.
    pub(crate) victims: Vec<TaskId>,
    /// Cost of preempting the victims, in multiples of a small job's value.
    pub(crate) cost: f64,
}

/// A run that may be preempted.
struct Victim<'a> {
    task: &'a TaskId,
    run: &'a Run,
    cost: f64,
}

/// Requirements for placing one more member on a worker.
struct NextMember {
    /// Cost of the additional preemptions.
    cost: f64,
    /// Number of victims that are preempted in total with that member.
    preempted: usize,
}

/// A worker that may take members.
pub(crate) struct CandidateWorker<'a> {
    index: WorkerIndex,
    rank: f64,
    /// Capacity that is left with the first `preempted` victims stopped.
    remaining: RemainingCapacity,
    max_members: u32,
    /// Runs that may be preempted, cheapest first.
    victims: Vec<Victim<'a>>,
    members: u32,
    preempted: usize,
    next_member: Option<NextMember>,
}

impl<'a> CandidateWorker<'a> {
    /// Returns `None` if the worker may not run the unit at all.
    pub(crate) fn new(
        view: &UnitView<'a>,
        ranked: &RankedWorker,
        scope: PreemptionScope,
    ) -> Option<CandidateWorker<'a>> {
        let worker = view.cluster.workers.get(ranked.index)?;
        let access = headroom_access(view, worker);
        let has_no_slot = access == HeadroomAccess::Denied && !has_run_slot(view, worker);
        if !worker.info.schedulable || has_no_slot {
            return None;
        }
        let mut candidate = CandidateWorker {
            index: ranked.index,
            rank: ranked.rank,
            remaining: RemainingCapacity::of(view, worker, access),
            max_members: max_members(view.unit(), worker),
            victims: Vec::new(),
            members: 0,
            preempted: 0,
            next_member: None,
        };
        candidate.apply_scope(view, worker, scope);
        candidate.update_next_member(&ResourceVector::from(&view.unit().resources));
        Some(candidate)
    }

    /// Counts the capacity that the scope treats as free, and lists the runs that may be preempted.
    fn apply_scope(&mut self, view: &UnitView<'a>, worker: &'a Worker, scope: PreemptionScope) {
        let Some(within_ms) = scope.max_remaining_ms() else {
            return;
        };
        let settings = &view.cluster.settings;
        let mean_run_ms = view.service.mean_run_ms();
        let priority = view.unit().priority;
        for (task, run) in &worker.runs {
            let remaining_ms = run.expected_remaining_ms(view.now, mean_run_ms, settings);
            // Capacity freed by more urgent work is soon taken by work of the same kind.
            if remaining_ms <= within_ms && run.allocation.priority >= priority {
                self.remaining.free(run);
            } else if may_preempt(scope, run, priority) {
                let cost = run.preemption_cost(view.now, settings);
                self.victims.push(Victim { task, run, cost });
            }
        }
        self.victims.sort_by(|left, right| {
            left.cost
                .total_cmp(&right.cost)
                .then(left.task.cmp(right.task))
        });
    }

    /// Computes what one more member would need.
    fn update_next_member(&mut self, demand: &ResourceVector) {
        self.next_member = self.find_next_member(demand);
    }

    fn find_next_member(&self, demand: &ResourceVector) -> Option<NextMember> {
        if self.members >= self.max_members {
            return None;
        }
        let mut remaining = self.remaining.clone();
        let mut next = NextMember {
            cost: 0.0,
            preempted: self.preempted,
        };
        while !remaining.fits(demand, self.members + 1) {
            let victim = self.victims.get(next.preempted)?;
            remaining.free(victim.run);
            next.cost += victim.cost;
            next.preempted += 1;
        }
        Some(next)
    }

    pub(crate) fn fits_next_member(&self) -> bool {
        self.next_member.is_some()
    }

    pub(crate) fn has_members(&self) -> bool {
        self.members > 0
    }

    pub(crate) fn rank(&self) -> f64 {
        self.rank
    }

    /// Orders workers by preference for the next member: lower cost first, then better rank.
    pub(crate) fn compare_next_member(&self, other: &CandidateWorker<'_>) -> Ordering {
        self.next_member_cost()
            .total_cmp(&other.next_member_cost())
            .then(self.rank.total_cmp(&other.rank))
            .then(self.index.cmp(&other.index))
    }

    fn next_member_cost(&self) -> f64 {
        self.next_member
            .as_ref()
            .map_or(f64::INFINITY, |next| next.cost)
    }

    /// Assigns one more member to this worker, if it fits.
    pub(crate) fn add_member(&mut self, demand: &ResourceVector) {
        let Some(next) = self.next_member.take() else {
            return;
        };
        for victim in &self.victims[self.preempted..next.preempted] {
            self.remaining.free(victim.run);
        }
        self.preempted = next.preempted;
        self.members += 1;
        self.update_next_member(demand);
    }

    /// The members on this worker with the preemptions that they need. Victims that more expensive ones made
    /// redundant are dropped.
    pub(crate) fn assignment(&self, demand: &ResourceVector) -> WorkerAssignment {
        let mut needed: Vec<usize> = (0..self.preempted).collect();
        for dropped in (0..self.preempted).rev() {
            let others: Vec<usize> = needed
                .iter()
                .copied()
                .filter(|index| *index != dropped)
                .collect();
            if self.fits_with_victims(&others, demand) {
                needed = others;
            }
        }
        let victims = needed.iter().map(|index| &self.victims[*index]);
        WorkerAssignment {
            worker: self.index,
            members: self.members,
            victims: victims.clone().map(|victim| victim.task.clone()).collect(),
            cost: victims.map(|victim| victim.cost).sum(),
        }
    }

    /// Whether the members fit if only these of the chosen victims are stopped.
    fn fits_with_victims(&self, stopped: &[usize], demand: &ResourceVector) -> bool {
        let mut remaining = self.remaining.clone();
        let still_running = (0..self.preempted).filter(|index| !stopped.contains(index));
        for index in still_running {
            remaining.undo_free(self.victims[index].run);
        }
        remaining.fits(demand, self.members)
    }
}

/// Maximum number of a unit's tasks on a worker, by the unit's anti-affinity limit for its step.
fn max_members(unit: &Unit, worker: &Worker) -> u32 {
    match unit.anti_affinity {
        0 => u32::MAX,
        limit => limit.saturating_sub(worker.allocated.tasks_of(&unit.id.step)),
    }
}

/// Whether a run may be preempted for a unit of the given priority.
fn may_preempt(scope: PreemptionScope, run: &Run, priority: u32) -> bool {
    let PreemptionScope::Preempting { gang_members, .. } = scope else {
        return false;
    };
    !run.stopping
        && run.allocation.priority > priority
        && (gang_members || !run.allocation.gang_member)
}
