//! The steps of one iteration: their units, which tasks are assigned where, and what is still open.
//!
//! A unit is what starts together: a task, or all tasks of a gang. Runs, attempts and checkpoint belong to the unit;
//! a member has only the worker at which the unit's newest run of it sits.

use crate::latency::{LatencyBreakdown, LatencyStage, RunTimings};
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Workers that a unit remembers to avoid; more would leave too little choice in a small group.
const MOST_AVOIDED: usize = 4;

/// Where a unit stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its step waits for other steps.
    #[default]
    Blocked,
    /// It waits for a worker.
    Waiting,
    /// It is to wait for a worker from this time of the steady clock on.
    Paused(Millis),
    /// A run of it is recorded at one worker at least.
    Assigned,
    /// It is done.
    Done,
    /// Its job ended before it began again.
    Abandoned,
}

/// A unit of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnitState {
    /// Where it stands.
    pub phase: Phase,
    /// The newest run; 0 before the first.
    pub run: u32,
    /// Attempts that failed; for a unit that lasts, those since it last ran for long.
    pub failed: u32,
    /// The newest run that counted as a failed attempt.
    pub counted: u32,
    /// Members that are assigned.
    pub assigned: u32,
    /// When the newest run was assigned, by the steady clock.
    pub began: Millis,
    /// Up to when its time is told in `spent`, by the steady clock.
    pub told_until: Millis,
    /// Where its time went, with that of the chain of units before it.
    pub spent: LatencyBreakdown,
    /// How its newest run went, once the run has ended.
    pub run_times: Option<RunTimings>,
    /// The newest checkpoint known.
    pub checkpoint: Arc<str>,
    /// What the newest run was started with.
    pub started_from: Arc<str>,
    /// Workers to avoid, the newest last.
    pub avoid: Vec<WorkerId>,
}

impl UnitState {
    /// Its turn has come after units that spent this time, the last before it.
    pub fn follow(&mut self, now: Millis, chain: LatencyBreakdown) {
        self.spent = chain;
        self.told_until = now;
    }

    /// What it did since its time was last told.
    pub fn tell(&mut self, now: Millis, stage: LatencyStage) {
        self.spent.add(stage, now.saturating_sub(self.told_until));
        self.told_until = now;
    }

    /// Its newest run has done its work.
    pub fn tell_done(&mut self, now: Millis) {
        match self.run_times.take() {
            Some(times) => times.add_done(now.saturating_sub(self.told_until), &mut self.spent),
            None => self.tell(now, LatencyStage::Worked),
        }
        self.told_until = now;
    }

    /// Remembers a worker to avoid; whether that is news.
    pub fn avoid(&mut self, worker: &WorkerId) -> bool {
        if self.avoid.contains(worker) {
            return false;
        }
        if self.avoid.len() >= MOST_AVOIDED {
            self.avoid.remove(0);
        }
        self.avoid.push(worker.clone());
        true
    }
}

/// A run of a hedged task beside which a newer one waits or runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EarlierRun {
    /// Its number.
    pub run: u32,
    /// Where it sits.
    pub worker: WorkerId,
    /// Its result is not wanted any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stopping: bool,
    /// What it was started with.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub started_from: Arc<str>,
}

/// A task of a unit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    /// Where the unit's newest run of it sits, until that is over.
    pub worker: Option<WorkerId>,
    /// The run's result is not wanted any more.
    pub stopping: bool,
    /// The checkpoint that this run reported last.
    pub reported: Option<Arc<str>>,
    /// A run that goes on beside the newest; of hedged tasks only.
    pub earlier: Option<EarlierRun>,
}

/// One step of one iteration.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// All its tasks are one unit.
    pub gang: bool,
    /// Steps that must be done before.
    pub blockers: u32,
    /// Units that are not done.
    pub open: u32,
    /// Its units: one for each task, or a single one.
    pub units: Vec<UnitState>,
    /// Its tasks.
    pub members: Vec<Member>,
}

impl Step {
    /// The unit that a task belongs to.
    pub fn unit_of(&self, member: usize) -> usize {
        if self.gang {
            0
        } else {
            member
        }
    }

    /// The tasks of a unit.
    pub fn members_of(&self, unit: usize) -> std::ops::Range<usize> {
        if self.gang {
            0..self.members.len()
        } else {
            unit..unit + 1
        }
    }

    /// The task in whose record the unit's state stands.
    pub fn first_member(&self, unit: usize) -> usize {
        if self.gang {
            0
        } else {
            unit
        }
    }
}

/// One iteration of a job.
#[derive(Clone, Debug)]
pub(crate) struct Iteration {
    /// Its steps.
    pub steps: Vec<Step>,
    /// Steps that are not done.
    pub open_steps: u32,
    /// Tasks that are assigned.
    pub assigned: u32,
    /// Where the time of the unit went that was done last, and of the chain before it.
    pub latest: LatencyBreakdown,
}

impl Iteration {
    /// An iteration of which nothing has begun.
    pub fn new(plan: &Plan) -> Iteration {
        let steps = plan
            .request
            .steps
            .iter()
            .zip(&plan.blockers)
            .map(|(request, &blockers)| {
                let count = request.count as usize;
                let units = if request.gang { 1 } else { count };
                Step {
                    gang: request.gang,
                    blockers,
                    open: units as u32,
                    units: vec![UnitState::default(); units],
                    members: vec![Member::default(); count],
                }
            });
        Iteration {
            steps: steps.collect(),
            open_steps: plan.request.steps.len() as u32,
            assigned: 0,
            latest: LatencyBreakdown::default(),
        }
    }

    /// Notes that a unit is done. Gives the steps that are free to begin by that.
    pub fn unit_done(&mut self, plan: &Plan, step: usize, unit: usize) -> Vec<usize> {
        let entry = &mut self.steps[step];
        entry.units[unit].phase = Phase::Done;
        self.latest = entry.units[unit].spent.clone();
        entry.open = entry.open.saturating_sub(1);
        if entry.open > 0 {
            return Vec::new();
        }
        self.open_steps = self.open_steps.saturating_sub(1);
        let mut freed = Vec::new();
        for &dependent in &plan.dependents[step] {
            let waiting = &mut self.steps[dependent as usize];
            waiting.blockers = waiting.blockers.saturating_sub(1);
            if waiting.blockers == 0 {
                freed.push(dependent as usize);
            }
        }
        freed
    }
}
