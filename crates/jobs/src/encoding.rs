//! Jobs and tasks to and from their stored forms.

use crate::effects::Effects;
use crate::job::{DoneIterations, Job};
use crate::plan::Plan;
use crate::policy::QueuePolicy;
use crate::record::{JobRecord, OpenRecord, TaskRecord};
use crate::step::{Iteration, Phase};
use std::sync::Arc;
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Now;

impl Job {
    /// The job's record.
    pub fn record(&self) -> JobRecord {
        let open = OpenRecord {
            service: self.terms.service.clone(),
            priority: self.terms.priority,
            max_attempts: self.terms.max_attempts,
            stretch: self.terms.stretch,
            target_latency_ms: self.terms.target_latency_ms,
            submitted_ms: self.submitted,
            done_below: self.done.below,
            done_above: self.done.above.iter().copied().collect(),
            request: self.plan.request.clone(),
        };
        JobRecord {
            queue: self.terms.queue.clone(),
            state: self.end,
            open: Some(open),
        }
    }

    /// A task's record; none if nothing of it has begun.
    pub fn task_record(&self, task: &TaskId) -> Option<TaskRecord> {
        let place = self.place(task)?;
        let step = self.step_at(place.iteration, place.step)?;
        let (unit, member) = self.state_of(place)?;
        if unit.run == 0 {
            return None;
        }
        let mut record = TaskRecord {
            run: unit.run,
            worker: member.worker.clone(),
            stopping: member.stopping,
            earlier: member.earlier.clone(),
            ..TaskRecord::default()
        };
        if step.first_member(place.unit) == place.member {
            record.done = unit.phase == Phase::Done;
            record.failed = unit.failed;
            record.counted = unit.counted;
            record.checkpoint = unit.checkpoint.clone();
            record.avoid = unit.avoid.clone();
            let has_moved = unit.assigned > 0 && unit.started_from != unit.checkpoint;
            record.started_from = has_moved.then(|| unit.started_from.clone());
        }
        Some(record)
    }

    /// A job as it was stored; its tasks' records follow by [`Job::restore_task`].
    pub fn restore(id: JobId, queue: Arc<str>, end: Option<JobState>, open: OpenRecord) -> Job {
        let terms = QueuePolicy {
            queue,
            service: open.service,
            priority: open.priority,
            max_attempts: open.max_attempts,
            stretch: open.stretch,
            target_latency_ms: open.target_latency_ms,
        };
        let mut job = Job::new(id, terms, Plan::new(open.request), open.submitted_ms);
        job.end = end;
        job.done = DoneIterations {
            below: open.done_below,
            above: open.done_above.into_iter().collect(),
        };
        job.completed = job.done.count();
        job.begun = job.completed > 0;
        job
    }

    /// Takes a task's record over. False if the job has no such task.
    pub fn restore_task(&mut self, now: Now, task: &TaskId, record: TaskRecord) -> bool {
        if record.run == 0
            || task.iteration >= self.plan.iterations()
            || self.done.contains(task.iteration)
        {
            return false;
        }
        self.restore_iterations(task.iteration);
        let Some(place) = self.place(task) else {
            return false;
        };
        let Some(content) = self.iterations.get_mut(&place.iteration) else {
            return false;
        };
        let step = &mut content.steps[place.step];
        let is_first = step.first_member(place.unit) == place.member;
        let (unit, member) = (&mut step.units[place.unit], &mut step.members[place.member]);
        if member.worker.is_some() || (unit.run != 0 && unit.run != record.run) {
            return false;
        }
        unit.run = record.run;
        unit.began = now.steady_ms;
        unit.told_until = now.steady_ms;
        if record.worker.is_some() {
            unit.assigned += 1;
            content.assigned += 1;
            self.assigned += 1;
        }
        if record.earlier.is_some() {
            content.assigned += 1;
            self.assigned += 1;
        }
        member.earlier = record.earlier;
        member.worker = record.worker;
        member.stopping = record.stopping;
        if is_first {
            unit.phase = if record.done { Phase::Done } else { unit.phase };
            unit.failed = record.failed;
            unit.counted = record.counted;
            unit.started_from = record
                .started_from
                .unwrap_or_else(|| record.checkpoint.clone());
            unit.checkpoint = record.checkpoint;
            unit.avoid = record.avoid;
        }
        self.begun = true;
        true
    }

    /// Iterations are released in order, so those before one that has begun were released too.
    fn restore_iterations(&mut self, last: u32) {
        if self.end.is_some() {
            self.iterations
                .entry(last)
                .or_insert_with(|| Iteration::new(&self.plan));
            return;
        }
        self.next = self.next.max(self.done.below);
        while self.next <= last {
            if !self.done.contains(self.next) {
                self.iterations
                    .insert(self.next, Iteration::new(&self.plan));
            }
            self.next += 1;
        }
    }

    /// After all tasks' records: finds which steps are done and gives out what waits.
    pub fn resume_restored(&mut self, now: Now, fx: &mut Effects) {
        self.next = self.next.max(self.done.below);
        let restored: Vec<u32> = self.iterations.keys().copied().collect();
        for iteration in restored {
            self.resume_iteration(now, iteration, fx);
        }
        self.release_due(now, fx);
    }

    fn resume_iteration(&mut self, now: Now, iteration: u32, fx: &mut Effects) {
        let Some(content) = self.iterations.get_mut(&iteration) else {
            return;
        };
        for step in 0..content.steps.len() {
            for unit in 0..content.steps[step].units.len() {
                let state = &mut content.steps[step].units[unit];
                match state.phase {
                    Phase::Done => {
                        content.unit_done(&self.plan, step, unit);
                    }
                    _ if state.assigned > 0 => state.phase = Phase::Assigned,
                    _ => {}
                }
            }
        }
        if content.open_steps == 0 {
            self.completed += 1;
        }
        let steps = 0..self.plan.blockers.len();
        let free = |s: &usize| {
            self.step_at(iteration, *s)
                .is_some_and(|step| step.blockers == 0)
        };
        let free_steps: Vec<usize> = steps.filter(free).collect();
        for step in free_steps {
            self.resume_step(now, iteration, step, fx);
        }
    }

    fn resume_step(&mut self, now: Now, iteration: u32, step: usize, fx: &mut Effects) {
        let units = self.step_at(iteration, step).map_or(0, |s| s.units.len());
        for unit in 0..units {
            let phase = self.unit_mut(iteration, step, unit).map(|u| u.phase);
            if phase != Some(Phase::Blocked) {
                continue;
            }
            if self.end.is_none() {
                self.unit_ready(now, iteration, step, unit, fx);
            }
        }
    }
}
