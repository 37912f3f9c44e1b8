//! Runs of a job's tasks: how they begin, and what follows from how they end.

use crate::changes::StartedRun;
use crate::effects::Effects;
use crate::job::Job;
use crate::latency::LatencyStage;
use crate::position::Place;
use crate::step::{EarlierRun, Iteration, Phase, Step};
use std::sync::Arc;
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{RunEnd, RunId, TaskId};
use streamusher_protocol::unit::{UnitId, WorkerId};
use streamusher_protocol::{Millis, Now};

/// A run this long ends a row of failures of a task that lasts.
const SOUND_RUN_MS: Millis = 10_000;

/// What the end of a run means for its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The unit is done.
    Done,
    /// A failed attempt.
    Failed,
    /// Neither: the unit is to run again.
    Over,
}

/// How a run was over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunOver {
    /// What it means for its unit.
    pub outcome: Outcome,
    /// What its time was spent on, if not on work that is done.
    pub vain: LatencyStage,
}

impl From<RunEnd> for Outcome {
    fn from(how: RunEnd) -> Outcome {
        match how {
            RunEnd::Done => Outcome::Done,
            RunEnd::Failed => Outcome::Failed,
            RunEnd::Stopped
            | RunEnd::LeaseExpired
            | RunEnd::GangBroken
            | RunEnd::GangIncomplete
            | RunEnd::Rejected => Outcome::Over,
        }
    }
}

impl Job {
    /// Assigns a waiting unit to workers, one for each of its tasks.
    pub fn begin(
        &mut self,
        now: Now,
        id: &UnitId,
        on: &[(TaskId, WorkerId)],
        fx: &mut Effects,
    ) -> Vec<StartedRun> {
        let (iteration, step) = (id.step.iteration, id.step.step as usize);
        let unit = id.index.unwrap_or(0) as usize;
        let spec = self.plan.request.spec.clone();
        let Some(entry) = self
            .iterations
            .get_mut(&iteration)
            .and_then(|i| i.steps.get_mut(step))
        else {
            return Vec::new();
        };
        let Some(run) = next_run(entry, id, unit) else {
            return Vec::new();
        };
        let Some(workers) = workers_by_member(entry, id, unit, on) else {
            return Vec::new();
        };
        let state = &mut entry.units[unit];
        state.run = run;
        state.phase = Phase::Assigned;
        state.began = now.steady_ms;
        state.run_times = None;
        state.assigned = workers.len() as u32;
        state.started_from = state.checkpoint.clone();
        let checkpoint = state.checkpoint.clone();
        fx.ready.remove(id);
        let mut started = Vec::with_capacity(workers.len());
        for (member, worker) in entry.members_of(unit).zip(workers) {
            let holder = &mut entry.members[member];
            holder.worker = Some(worker.clone());
            holder.stopping = false;
            holder.reported = None;
            let task = TaskId {
                job: self.id.clone(),
                iteration,
                step: step as u32,
                index: member as u32,
            };
            fx.tasks.insert(task.clone());
            let run = RunId { task, run };
            started.push(StartedRun {
                run,
                worker,
                spec: spec.clone(),
                checkpoint: checkpoint.clone(),
            });
        }
        self.count_assigned(iteration, started.len() as u32);
        self.begun = true;
        started
    }

    fn count_assigned(&mut self, iteration: u32, added: u32) {
        self.assigned += added;
        if let Some(content) = self.iterations.get_mut(&iteration) {
            content.assigned += added;
        }
    }

    /// Records that a run is over; false if it is not recorded as assigned.
    pub fn over(
        &mut self,
        now: Now,
        run: &RunId,
        how: RunOver,
        checkpoint: &str,
        fx: &mut Effects,
    ) -> bool {
        let Some(place) = self.place_of_run(run) else {
            return false;
        };
        self.note_checkpoint(place, checkpoint);
        let worker = self.release_worker(place, run, fx);
        if self.end.is_none() {
            self.judge(now, place, how, worker, fx);
        }
        self.drop_if_over(place.iteration, fx);
        true
    }

    /// Takes the newest checkpoint over, which counts for the whole unit.
    pub fn note_checkpoint(&mut self, place: Place, checkpoint: &str) {
        let writes = self
            .plan
            .request
            .steps
            .get(place.step)
            .is_some_and(|s| s.checkpoints);
        // The newest run's checkpoints count: two runs that report in turn would write the record each time.
        if !writes || checkpoint.is_empty() || place.is_earlier {
            return;
        }
        let Some(step) = self.step_mut(place.iteration, place.step) else {
            return;
        };
        let (unit, member) = (&mut step.units[place.unit], &mut step.members[place.member]);
        let before = member.reported.as_deref().unwrap_or(&unit.started_from);
        if before != checkpoint {
            let text: Arc<str> = checkpoint.into();
            member.reported = Some(text.clone());
            unit.checkpoint = text;
        }
    }

    fn release_worker(&mut self, place: Place, run: &RunId, fx: &mut Effects) -> Option<WorkerId> {
        let content = self.iterations.get_mut(&place.iteration)?;
        let step = &mut content.steps[place.step];
        let member = &mut step.members[place.member];
        let worker = match place.is_earlier {
            true => member.earlier.take().map(|earlier| earlier.worker),
            false => {
                member.stopping = false;
                member.reported = None;
                step.units[place.unit].assigned -= 1;
                member.worker.take()
            }
        };
        let first = step.first_member(place.unit);
        content.assigned -= 1;
        self.assigned -= 1;
        fx.stop.remove(run);
        fx.tasks.insert(run.task.clone());
        fx.tasks
            .insert(self.task_id(place.iteration, place.step, first));
        worker
    }

    fn judge(
        &mut self,
        now: Now,
        place: Place,
        how: RunOver,
        worker: Option<WorkerId>,
        fx: &mut Effects,
    ) {
        let RunOver { outcome, vain } = how;
        let lasts = self.lasts(place.step);
        let limit = self.terms.max_attempts.max(1);
        let Some(state) = self.unit_mut(place.iteration, place.step, place.unit) else {
            return;
        };
        if state.phase == Phase::Done {
            return;
        }
        if outcome == Outcome::Done && !lasts {
            state.tell_done(now.steady_ms);
            self.unit_done(now, place, fx);
            return;
        }
        if lasts && now.steady_ms.saturating_sub(state.began) >= SOUND_RUN_MS {
            state.failed = 0;
        }
        state.tell(now.steady_ms, vain);
        if outcome == Outcome::Failed {
            worker.iter().for_each(|w| {
                state.avoid(w);
            });
            // All members of a gang share a run, which counts once; an earlier run is a single task's.
            if place.is_earlier || state.counted != state.run {
                state.counted = if place.is_earlier {
                    state.counted
                } else {
                    state.run
                };
                state.failed = state.failed.saturating_add(1);
            }
        }
        let hopeless = !lasts && state.failed >= limit;
        if hopeless && outcome == Outcome::Failed {
            let spent = state.spent.clone();
            self.fail(now, place.iteration, spent, fx);
            return;
        }
        match place.is_earlier {
            true => self.go_on_alone(place, fx),
            false => self.stop_or_wait(now, place, fx),
        }
    }

    /// The run beside a unit's newest is over: a copy that waits for spare room is now the task's only one.
    fn go_on_alone(&mut self, place: Place, fx: &mut Effects) {
        let id = self.unit_id(place.iteration, place.step, place.unit);
        let state = self.unit_mut(place.iteration, place.step, place.unit);
        if state.is_some_and(|state| state.phase == Phase::Waiting) {
            fx.renew(id);
        }
    }

    /// Lets a second run of a hedged task wait for a worker while the only one goes on. False where the run is not the
    /// only one, or its task is not hedged.
    pub fn hedge(&mut self, run: &RunId, fx: &mut Effects) -> bool {
        let Some(place) = self.place_of_run(run).filter(|place| !place.is_earlier) else {
            return false;
        };
        if self.end.is_some() || !self.is_hedged(place.step) {
            return false;
        }
        let id = self.unit_id(place.iteration, place.step, place.unit);
        let Some(step) = self.step_mut(place.iteration, place.step) else {
            return false;
        };
        let (unit, member) = (&mut step.units[place.unit], &mut step.members[place.member]);
        if unit.phase != Phase::Assigned || member.stopping || member.earlier.is_some() {
            return false;
        }
        let Some(worker) = member.worker.take() else {
            return false;
        };
        unit.avoid(&worker);
        unit.assigned -= 1;
        unit.phase = Phase::Waiting;
        member.reported = None;
        let started_from = unit.started_from.clone();
        member.earlier = Some(EarlierRun {
            run: unit.run,
            worker,
            stopping: false,
            started_from,
        });
        fx.tasks.insert(run.task.clone());
        fx.ready.insert(id);
        true
    }

    /// Stops the members that are left; with none left, the unit waits again.
    fn stop_or_wait(&mut self, now: Now, place: Place, fx: &mut Effects) {
        let Some(step) = self.step_at(place.iteration, place.step) else {
            return;
        };
        if step.units[place.unit].assigned == 0 {
            self.unit_ready(now, place.iteration, place.step, place.unit, fx);
            return;
        }
        for task in self.mark_stopping(place, fx) {
            fx.stop.insert(task);
        }
    }

    /// Marks all members that are left, and gives those that were not marked before.
    fn mark_stopping(&mut self, place: Place, fx: &mut Effects) -> Vec<RunId> {
        let job = self.id.clone();
        let Some(step) = self.step_mut(place.iteration, place.step) else {
            return Vec::new();
        };
        let run = step.units[place.unit].run;
        let mut marked = Vec::new();
        for index in step.members_of(place.unit) {
            let member = &mut step.members[index];
            let (iteration, step) = (place.iteration, place.step as u32);
            let task = TaskId {
                job: job.clone(),
                iteration,
                step,
                index: index as u32,
            };
            if member.worker.is_some() && !member.stopping {
                member.stopping = true;
                fx.tasks.insert(task.clone());
                marked.push(RunId {
                    task: task.clone(),
                    run,
                });
            }
            if let Some(earlier) = member.earlier.as_mut().filter(|earlier| !earlier.stopping) {
                earlier.stopping = true;
                fx.tasks.insert(task.clone());
                marked.push(RunId {
                    task,
                    run: earlier.run,
                });
            }
        }
        marked
    }

    /// Notes that a unit is done. The others of a gang end by themselves at the same time: they are not stopped, as the
    /// copies of a hedged task are.
    fn unit_done(&mut self, now: Now, place: Place, fx: &mut Effects) {
        let others = self.mark_stopping(place, fx);
        if self.is_hedged(place.step) {
            fx.stop.extend(others);
        }
        let id = self.unit_id(place.iteration, place.step, place.unit);
        let state = self.unit_mut(place.iteration, place.step, place.unit);
        if state.is_some_and(|state| state.phase == Phase::Waiting) {
            fx.revoke(id);
        }
        let Some(content) = self.iterations.get_mut(&place.iteration) else {
            return;
        };
        let freed = content.unit_done(&self.plan, place.step, place.unit);
        let is_complete = content.open_steps == 0;
        let spent = content.latest.clone();
        for step in freed {
            self.step_ready(now, place.iteration, step, fx);
        }
        if is_complete {
            self.completed += 1;
            fx.completions
                .push(self.completion(now, place.iteration, true, spent));
        }
        if self.completed == self.plan.iterations() {
            self.finish(JobState::Succeeded, fx);
        }
    }

    /// Forgets an iteration that is done and of which no run is left; the job's record says so instead.
    fn drop_if_over(&mut self, iteration: u32, fx: &mut Effects) {
        let is_over = |i: &Iteration| i.open_steps == 0 && i.assigned == 0;
        if !self.iterations.get(&iteration).is_some_and(is_over) {
            return;
        }
        self.forget_tasks(iteration, fx);
        self.iterations.remove(&iteration);
        self.done.insert(iteration);
        fx.jobs.insert(self.id.clone());
    }

    /// Marks the records of an iteration's tasks as changed, to be removed with it.
    pub fn forget_tasks(&self, iteration: u32, fx: &mut Effects) {
        let Some(content) = self.iterations.get(&iteration) else {
            return;
        };
        for (step, entry) in content.steps.iter().enumerate() {
            for member in 0..entry.members.len() {
                if entry.units[entry.unit_of(member)].run > 0 {
                    fx.tasks.insert(self.task_id(iteration, step, member));
                }
            }
        }
    }

    /// Remembers that a run makes no progress at its worker.
    pub fn stalled(&mut self, run: &RunId, fx: &mut Effects) {
        let Some(place) = self.place_of_run(run) else {
            return;
        };
        let Some(step) = self.step_mut(place.iteration, place.step) else {
            return;
        };
        let member = &step.members[place.member];
        let earlier = member.earlier.as_ref().filter(|_| place.is_earlier);
        let Some(worker) = earlier
            .map(|e| &e.worker)
            .or(member.worker.as_ref())
            .cloned()
        else {
            return;
        };
        let first = step.first_member(place.unit);
        if step.units[place.unit].avoid(&worker) {
            fx.tasks
                .insert(self.task_id(place.iteration, place.step, first));
        }
    }
}

fn next_run(step: &Step, id: &UnitId, unit: usize) -> Option<u32> {
    if step.gang != id.index.is_none() {
        return None;
    }
    let state = step.units.get(unit).filter(|s| s.phase == Phase::Waiting)?;
    state.run.checked_add(1)
}

/// The workers in order of the unit's tasks; none unless `on` names each of them once and nothing else.
fn workers_by_member(
    step: &Step,
    id: &UnitId,
    unit: usize,
    on: &[(TaskId, WorkerId)],
) -> Option<Vec<WorkerId>> {
    let members = step.members_of(unit);
    if on.len() != members.len() {
        return None;
    }
    let mut workers = vec![None; members.len()];
    for (task, worker) in on {
        let is_of_step = task.job == id.step.job
            && task.iteration == id.step.iteration
            && task.step == id.step.step;
        let offset = (task.index as usize).checked_sub(members.start)?;
        let slot = workers
            .get_mut(offset)
            .filter(|slot| is_of_step && slot.is_none())?;
        *slot = Some(worker.clone());
    }
    workers.into_iter().collect()
}
