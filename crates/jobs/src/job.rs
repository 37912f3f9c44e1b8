//! One job: its terms, its iterations, which units of it wait, and how it ends.

use crate::backoff::restart_pause;
use crate::effects::Effects;
use crate::latency::{LatencyBreakdown, LatencyStage};
use crate::names::unit_id;
use crate::plan::Plan;
use crate::policy::QueuePolicy;
use crate::step::{Iteration, Phase, Step};
use crate::validation::MOST_TASKS;
use std::collections::{BTreeMap, BTreeSet};
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{JobId, RunId, TaskId};
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::{Millis, Now};

/// A second copy of a task that is at work goes behind all that has waited for less than this.
const SPARE_BEHIND_MS: Millis = 600_000;

/// A job that has not ended, or of which runs are left.
#[derive(Debug)]
pub(crate) struct Job {
    /// Its identifier.
    pub id: JobId,
    /// Its queue's terms.
    pub terms: QueuePolicy,
    /// Its request.
    pub plan: Plan,
    /// When it was handed in, since 1970.
    pub submitted: Millis,
    /// Its final state.
    pub end: Option<JobState>,
    /// Something of it has begun.
    pub begun: bool,
    /// Iterations that are due and not over.
    pub iterations: BTreeMap<u32, Iteration>,
    /// The next iteration to release.
    pub next: u32,
    /// Iterations that are over.
    pub done: DoneIterations,
    /// Iterations of which every task is done.
    pub completed: u32,
    /// Runs that are assigned.
    pub assigned: u32,
    /// Its next release is planned.
    pub release_planned: bool,
}

/// Which iterations are over.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DoneIterations {
    /// All before this one.
    pub below: u32,
    /// Later ones.
    pub above: BTreeSet<u32>,
}

impl DoneIterations {
    /// Adds one.
    pub fn insert(&mut self, iteration: u32) {
        self.above.insert(iteration);
        while self.above.remove(&self.below) {
            self.below += 1;
        }
    }

    /// Whether one is over.
    pub fn contains(&self, iteration: u32) -> bool {
        iteration < self.below || self.above.contains(&iteration)
    }

    /// How many are over.
    pub fn count(&self) -> u32 {
        self.below.saturating_add(self.above.len() as u32)
    }
}

impl Job {
    /// A job that was just handed in.
    pub fn new(id: JobId, terms: QueuePolicy, plan: Plan, submitted: Millis) -> Job {
        Job {
            id,
            terms,
            plan,
            submitted,
            end: None,
            begun: false,
            iterations: BTreeMap::new(),
            next: 0,
            done: DoneIterations::default(),
            completed: 0,
            assigned: 0,
            release_planned: false,
        }
    }

    /// The state that clients are shown.
    pub fn state(&self) -> JobState {
        let open = if self.begun {
            JobState::Running
        } else {
            JobState::Pending
        };
        self.end.unwrap_or(open)
    }

    /// Releases all iterations that are due, as far as the bound of open tasks allows.
    pub fn release_due(&mut self, now: Now, fx: &mut Effects) {
        while self.end.is_none() && self.may_release() && self.plan.due_at(self.next) <= now.unix_ms
        {
            self.release_next(now, fx);
        }
    }

    /// Plans the next release, if there is one that only time keeps back.
    pub fn plan_release(&mut self, fx: &mut Effects) {
        if self.end.is_some() || self.release_planned || !self.may_release() {
            return;
        }
        self.release_planned = true;
        fx.timers.release_at(self.plan.due_at(self.next), &self.id);
    }

    fn may_release(&self) -> bool {
        let open = self.iterations.len() as u64;
        let room = open == 0 || (open + 1).saturating_mul(self.plan.tasks) <= MOST_TASKS;
        self.next < self.plan.iterations() && room
    }

    fn release_next(&mut self, now: Now, fx: &mut Effects) {
        let iteration = self.next;
        self.next += 1;
        if self.done.contains(iteration) {
            return;
        }
        self.iterations
            .insert(iteration, Iteration::new(&self.plan));
        for step in 0..self.plan.blockers.len() {
            if self.plan.blockers[step] == 0 {
                self.step_ready(now, iteration, step, fx);
            }
        }
    }

    /// Gives out all units of a step that may begin.
    pub fn step_ready(&mut self, now: Now, iteration: u32, step: usize, fx: &mut Effects) {
        let units = self.step_at(iteration, step).map_or(0, |s| s.units.len());
        for unit in 0..units {
            self.unit_ready(now, iteration, step, unit, fx);
        }
    }

    /// Lets a unit wait for a worker, now or after a pause; it ends the job if the unit has no attempt left.
    pub fn unit_ready(
        &mut self,
        now: Now,
        iteration: u32,
        step: usize,
        unit: usize,
        fx: &mut Effects,
    ) {
        let lasts = self.lasts(step);
        let limit = self.terms.max_attempts;
        let id = self.unit_id(iteration, step, unit);
        let chain = self
            .iterations
            .get(&iteration)
            .map(|content| content.latest.clone());
        let Some(state) = self.unit_mut(iteration, step, unit) else {
            return;
        };
        if matches!(state.phase, Phase::Done | Phase::Abandoned) {
            return;
        }
        if !lasts && state.failed >= limit.max(1) {
            let spent = state.spent.clone();
            self.fail(now, iteration, spent, fx);
            return;
        }
        if state.phase == Phase::Blocked {
            state.follow(now.steady_ms, chain.unwrap_or_default());
        }
        let pause = if lasts {
            restart_pause(state.failed)
        } else {
            0
        };
        if pause > 0 {
            let until = now.steady_ms.saturating_add(pause);
            state.phase = Phase::Paused(until);
            fx.timers.resume_at(until, id);
            return;
        }
        state.phase = Phase::Waiting;
        fx.ready.insert(id);
    }

    /// Ends the job as one of its units has no attempt left.
    pub fn fail(&mut self, now: Now, iteration: u32, spent: LatencyBreakdown, fx: &mut Effects) {
        if self.end.is_none() {
            fx.completions
                .push(self.completion(now, iteration, false, spent));
        }
        self.finish(JobState::Failed, fx);
    }

    /// Ends the pause of a unit, if it is the one planned for that time.
    pub fn resume(&mut self, now: Now, planned: Millis, id: &UnitId, fx: &mut Effects) {
        let unit = id.index.unwrap_or(0) as usize;
        let Some(state) = self.unit_mut(id.step.iteration, id.step.step as usize, unit) else {
            return;
        };
        if state.phase == Phase::Paused(planned) {
            state.tell(now.steady_ms, LatencyStage::BackedOff);
            state.phase = Phase::Waiting;
            fx.ready.insert(id.clone());
        }
    }

    /// Ends the job: nothing of it begins any more, and what runs is to be stopped.
    pub fn finish(&mut self, state: JobState, fx: &mut Effects) {
        if self.end.is_some() {
            return;
        }
        self.end = Some(state);
        fx.jobs.insert(self.id.clone());
        for (&iteration, content) in &mut self.iterations {
            for (step, entry) in content.steps.iter_mut().enumerate() {
                abandon(&self.id, iteration, step, entry, fx);
            }
        }
    }

    /// Takes new terms. Units that wait are given out anew, and the job ends if one has no attempt left.
    pub fn retune(&mut self, terms: QueuePolicy, fx: &mut Effects) {
        self.terms = terms;
        fx.jobs.insert(self.id.clone());
        let mut hopeless = false;
        for (&iteration, content) in &self.iterations {
            for (step, entry) in content.steps.iter().enumerate() {
                let lasts = self.plan.request.steps[step].long_running;
                for (unit, state) in entry.units.iter().enumerate() {
                    let waits = matches!(state.phase, Phase::Waiting);
                    hopeless |= waits && !lasts && state.failed >= self.terms.max_attempts.max(1);
                    if waits {
                        fx.renew(unit_id(&self.id, iteration, step, unit, entry.gang));
                    }
                }
            }
        }
        if hopeless {
            self.finish(JobState::Failed, fx);
        }
    }

    /// The part of the job's slack that falls to a step, by the step's share of the longest chain. The slack is what the
    /// objective leaves beside the estimated work.
    pub fn slack_of(&self, estimated_ms: Millis) -> Millis {
        let chain_ms = self.plan.chain_ms as f64;
        let slack_ms =
            self.terms.target_latency_ms as f64 + (self.terms.stretch - 1.0).max(0.0) * chain_ms;
        let share = if chain_ms > 0.0 {
            (estimated_ms as f64 / chain_ms).min(1.0)
        } else {
            1.0
        };
        (share * slack_ms) as Millis
    }

    /// A waiting unit as placement needs it.
    pub fn unit(&self, id: &UnitId) -> Option<Unit> {
        let (iteration, step) = (id.step.iteration, id.step.step as usize);
        let request = self.plan.step(id.step.step)?;
        let entry = self.step_at(iteration, step)?;
        let unit = id.index.unwrap_or(0) as usize;
        let state = entry
            .units
            .get(unit)
            .filter(|s| s.phase == Phase::Waiting)?;
        let due = self.plan.due_at(iteration).max(self.submitted);
        let speculative = entry
            .members_of(unit)
            .any(|m| entry.members[m].earlier.is_some());
        let behind = if speculative { SPARE_BEHIND_MS } else { 0 };
        Some(Unit {
            id: id.clone(),
            tasks: entry
                .members_of(unit)
                .map(|m| self.task_id(iteration, step, m))
                .collect(),
            resources: request.resources,
            service: self.terms.service.clone(),
            queue: self.terms.queue.clone(),
            priority: self.terms.priority,
            order: due
                .saturating_add(self.terms.target_latency_ms)
                .saturating_add(behind),
            slack_ms: self.slack_of(request.estimated_ms),
            node_selector: request.node_selector.clone(),
            affinity: request.affinity.clone(),
            anti_affinity: request.anti_affinity,
            same_rack: request.same_rack,
            estimated_ms: request.estimated_ms,
            checkpoints: request.checkpoints,
            long_running: request.long_running,
            hedged: self.is_hedged(step),
            speculative,
            avoid: state.avoid.clone(),
        })
    }
}

/// Takes back what waits and stops what runs of a step.
fn abandon(job: &JobId, iteration: u32, step: usize, entry: &mut Step, fx: &mut Effects) {
    for unit in 0..entry.units.len() {
        let members = entry.members_of(unit);
        for index in members.clone() {
            if let Some(earlier) = &entry.members[index].earlier {
                let task = TaskId {
                    job: job.clone(),
                    iteration,
                    step: step as u32,
                    index: index as u32,
                };
                fx.stop.insert(RunId {
                    task,
                    run: earlier.run,
                });
            }
        }
        let state = &mut entry.units[unit];
        match state.phase {
            Phase::Waiting => fx.revoke(unit_id(job, iteration, step, unit, entry.gang)),
            Phase::Assigned => {
                let run = state.run;
                let at = |index| TaskId {
                    job: job.clone(),
                    iteration,
                    step: step as u32,
                    index,
                };
                for member in members.filter(|&m| entry.members[m].worker.is_some()) {
                    fx.stop.insert(RunId {
                        task: at(member as u32),
                        run,
                    });
                }
            }
            _ => {}
        }
        if state.phase != Phase::Done {
            state.phase = Phase::Abandoned;
        }
    }
}
